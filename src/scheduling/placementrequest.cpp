#include <ragwortrelay/scheduling/placementrequest.h>

namespace RagwortRelay::Scheduling {

std::string toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::OverLimit:
        return "over-limit";
    case RefusalReason::NoBudget:
        return "no-retry-budget";
    case RefusalReason::NoServer:
        return "no-server";
    case RefusalReason::Overload:
        return "overload";
    case RefusalReason::Quarantined:
        return "quarantined";
    }
    return {};
}

AttemptReport unusedPlacement(std::uint64_t number, const ServerId &server)
{
    AttemptReport report;
    report.m_number = number;
    report.m_server = server;
    report.m_end = AttemptEnd::Abandoned;
    return report;
}

std::string toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Succeeded:
        return "succeeded";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Shed:
        return "shed";
    case AttemptEnd::Misdirected:
        return "misdirected";
    case AttemptEnd::NotListening:
        return "not-listening";
    case AttemptEnd::Unreachable:
        return "unreachable";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::MalformedResponse:
        return "garbled";
    case AttemptEnd::TimedOut:
        return "timed-out";
    case AttemptEnd::Abandoned:
        return "abandoned";
    }
    return {};
}

}
