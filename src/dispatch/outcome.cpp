#include <ragwortrelay/dispatch/outcome.h>

namespace RagwortRelay::Dispatch {

std::string toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

std::string toString(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::ConnectRefused:
        return "connect-refused";
    case AttemptFailure::ConnectFailed:
        return "connect-failed";
    case AttemptFailure::TimedOut:
        return "timed-out";
    case AttemptFailure::Broken:
        return "broken";
    case AttemptFailure::Truncated:
        return "cut-short";
    case AttemptFailure::Cancelled:
        return "cancelled";
    case AttemptFailure::Malformed:
        return "malformed";
    }
    return "unknown";
}

}
