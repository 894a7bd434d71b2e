#pragma once

#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/claimexpiry.h>
#include <ragwortrelay/dispatch/claimrecord.h>
#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/reporting/counters.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Claims on idempotency keys, as one host sees them. `docs/dispatch.md` has the argument why a key is run at most once.
namespace RagwortRelay::Dispatch {

/// Number of a request on this host that wants a claim; never 0.
using ClaimantId = std::uint64_t;

/// Number of a call to the store.
using ClaimCallId = std::uint64_t;

/// How a host goes about claims.
struct ClaimSettings {
    std::string m_owner; ///< Differs for each process of the fleet.
    Duration m_patience{std::chrono::seconds(3)}; ///< For the table to confirm a claim.
    Duration m_watchInterval{std::chrono::milliseconds(100)}; ///< First wait between two reads of a claim of another host; doubles.
    Duration m_watchIntervalAtMost{std::chrono::seconds(1)};
    Duration m_retryInterval{std::chrono::milliseconds(500)}; ///< Wait after a read that failed.
    Duration m_probeInterval{std::chrono::milliseconds(500)}; ///< Between two claims that test whether the table is back.
    std::uint32_t m_failuresUntilDown = 3; ///< Calls in a row.
    std::size_t m_batchAtMost = 25; ///< Writes of one transaction.
    std::size_t m_writeCallsAtMost = 2; ///< Transactions at a time.
    std::size_t m_readCallsAtMost = 64;
    std::size_t m_claimsAtMost = 10'000; ///< In memory.
    ClaimExpirySettings m_expiry;

    friend bool operator==(const ClaimSettings &, const ClaimSettings &) = default;
};

/// Request that may run only if nobody has run its key.
struct ClaimRequest {
    ClaimantId m_claimant = 0;
    Store::RowKey m_key;
    std::string m_fingerprint;
    TimePoint m_deadline;

    friend bool operator==(const ClaimRequest &, const ClaimRequest &) = default;
};

/// The request may be run, once. The claimant must call completeClaim() afterwards, whatever becomes of it.
struct ClaimGranted {
    friend bool operator==(const ClaimGranted &, const ClaimGranted &) = default;
};

/// What becomes of a request that wanted a claim.
using ClaimOutcome = std::variant<ClaimGranted, StoredResponse, Problem>;

struct ClaimDecision {
    ClaimantId m_claimant = 0;
    ClaimOutcome m_response;

    friend bool operator==(const ClaimDecision &, const ClaimDecision &) = default;
};

struct ClaimCall {
    ClaimCallId m_call = 0;
    Store::Call m_request;

    friend bool operator==(const ClaimCall &, const ClaimCall &) = default;
};

/// What is to be done after a step.
struct ClaimOutput {
    std::vector<ClaimDecision> m_decisions;
    std::vector<ClaimCall> m_calls;

    friend bool operator==(const ClaimOutput &, const ClaimOutput &) = default;
};

/// How a granted claim ended.
struct ClaimResult {
    ClaimState m_state = ClaimState::Released; ///< Not Running.
    std::optional<StoredResponse> m_response; ///< Of a done claim, unless it is too large to be kept.

    friend bool operator==(const ClaimResult &, const ClaimResult &) = default;
};

/// What this host is doing about one key.
struct Claim {
    enum class Goal : std::uint8_t {
        Take,
        Settle, ///< Writes how it ended.
    };
    enum class Step : std::uint8_t {
        WriteDue,
        Writing,
        ReadDue,
        Reading,
        Held, ///< Granted; the claimant has the word.
    };
    struct Waiter {
        ClaimantId m_claimant = 0;
        TimePoint m_deadline;
    };

    Goal m_goal = Goal::Take;
    Step m_step = Step::WriteDue;
    std::string m_attempt;
    std::string m_fingerprint;
    ClaimantId m_claimant = 0; ///< 0 once it has its verdict and nothing is expected of it.
    TimePoint m_deadline; ///< Of the claimant.
    TimePoint m_confirmBy; ///< End of the patience.
    std::uint64_t m_version = 0; ///< That the next write expects.
    std::optional<std::uint64_t> m_takeBase; ///< Version that the last write of a running claim expected.
    bool m_takeInFlight = false; ///< The write in flight makes the claim running.
    bool m_seenOther = false; ///< The claim of another attempt is running.
    ClaimCallId m_call = 0;
    TimePoint m_dueAt; ///< Of the next read.
    Duration m_wait{}; ///< Before the next read.
    ClaimResult m_result; ///< Of the goal Settle.
    std::deque<Waiter> m_waiters; ///< Requests of this host with the same key.
};

/// What a call to the store was for.
struct ClaimCallPurpose {
    enum class Kind : std::uint8_t {
        Write,
        Read,
        ReadEpoch,
        Sweep,
        Other,
    };
    Kind m_kind{};
    std::vector<Store::RowPrecondition> m_rows; ///< That are written or read, with the versions that the writes expect.
};

/// All claims of one host.
struct ClaimLedger {
    ClaimSettings m_settings;
    ClaimExpiry m_expiry;
    std::map<Store::RowKey, Claim> m_claims;
    std::map<ClaimantId, Store::RowKey> m_keys; ///< Of claimants and waiters.
    std::deque<Store::RowKey> m_takeQueue;
    std::deque<Store::RowKey> m_settleQueue;
    std::map<ClaimCallId, ClaimCallPurpose> m_calls;
    std::size_t m_writeCalls = 0;
    std::size_t m_readCalls = 0;
    std::uint32_t m_failuresInRow = 0;
    TimePoint m_probeAt;
    ClaimCallId m_lastCall = 0;
    std::uint64_t m_lastAttempt = 0;
    Reporting::Counters m_counters;
};

/// Wants a key for a request. The verdict comes with this output or a later one, at the latest soon after the request's deadline.
/// Precondition: the claimant's number was never used before on this ledger. Not thread-safe on one ledger.
void beginClaim(ClaimLedger &ledger, const ClaimRequest &request, TimePoint now, ClaimOutput &output);

/// The claimant no longer wants a verdict. Does nothing when it has got one. Not thread-safe on one ledger.
void abandonClaim(ClaimLedger &ledger, ClaimantId claimant, TimePoint now, ClaimOutput &output);

/// Writes down how a granted claim ended. Does nothing for a claimant that holds none. Not thread-safe on one ledger.
/// Released must be passed only when no byte of the request can have been sent, or the backend server said that it was not run.
void completeClaim(ClaimLedger &ledger, ClaimantId claimant, const ClaimResult &result, TimePoint now, ClaimOutput &output);

/// Takes in the answer to a call. Not thread-safe on one ledger.
void onClaimCallCompleted(ClaimLedger &ledger, ClaimCallId call, const Store::Result &result, TimePoint now, ClaimOutput &output);

/// Does what is due by time. Not thread-safe on one ledger.
void tickClaims(ClaimLedger &ledger, RandomGenerator &random, TimePoint now, ClaimOutput &output);

/// Tells whether the table has failed several times in a row and has not answered since. Thread-safe on a constant ledger.
bool isTableDown(const ClaimLedger &ledger);

}
