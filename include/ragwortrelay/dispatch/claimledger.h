#pragma once

#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/claimexpiry.h>
#include <ragwortrelay/dispatch/claimrecord.h>
#include <ragwortrelay/dispatch/claimrecovery.h>
#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/reporting/counters.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Claims of one host on idempotency keys. `docs/dispatch.md` explains why the request of a key is executed at most once.
namespace RagwortRelay::Dispatch {

/// Number of a request on this host that needs a claim; never 0.
using ClaimantId = std::uint64_t;

/// Number of a call to the store on one ledger.
using ClaimCallId = std::uint64_t;

/// Settings for the claims of one host.
struct ClaimSettings {
    std::string m_owner; ///< Identifier that is unique to each process of the fleet.
    Duration m_confirmationTimeout{std::chrono::seconds(3)}; ///< Maximum time until the store confirms a claim.
    Duration m_initialPollInterval{std::chrono::milliseconds(100)}; ///< First interval between reads of another host's claim; it doubles with each read.
    Duration m_maxPollInterval{std::chrono::seconds(1)}; ///< Upper bound of the interval between reads of another host's claim.
    Duration m_retryInterval{std::chrono::milliseconds(500)}; ///< Interval before a failed read is retried.
    Duration m_probeInterval{std::chrono::milliseconds(500)}; ///< Interval between claims that probe whether an unavailable table has recovered.
    std::uint32_t m_failureThreshold = 3; ///< Consecutive failed calls after which the table is considered unavailable.
    std::size_t m_maxBatchWrites = 25; ///< Maximum number of writes in one transaction.
    std::size_t m_maxWriteCalls = 2; ///< Maximum number of concurrent transactions.
    std::size_t m_maxReadCalls = 64; ///< Maximum number of concurrent reads.
    std::size_t m_maxClaims = 10'000; ///< Maximum number of claims in memory.
    ClaimExpirySettings m_expiry;
    ClaimRecoverySettings m_recovery;

    friend bool operator==(const ClaimSettings &, const ClaimSettings &) = default;
};

/// Request that may be executed only if no request with its key has been executed.
struct ClaimRequest {
    ClaimantId m_claimant = 0;
    Store::RowKey m_key; ///< Row of the idempotency key.
    std::string m_fingerprint; ///< Fingerprint of the request.
    TimePoint m_deadline; ///< Deadline of the request.

    friend bool operator==(const ClaimRequest &, const ClaimRequest &) = default;
};

/// Permission to execute the request once. The claimant must call completeClaim() afterwards, regardless of the result.
struct ClaimGranted {
    friend bool operator==(const ClaimGranted &, const ClaimGranted &) = default;
};

/// Outcome for a request that needs a claim: permission, a replayed response or a refusal.
using ClaimOutcome = std::variant<ClaimGranted, StoredResponse, Problem>;

/// Outcome of a claim for one claimant.
struct ClaimDecision {
    ClaimantId m_claimant = 0;
    ClaimOutcome m_outcome;

    friend bool operator==(const ClaimDecision &, const ClaimDecision &) = default;
};

/// Call to the store that the owner of the ledger has to make.
struct ClaimCall {
    ClaimCallId m_call = 0;
    Store::Call m_request;

    friend bool operator==(const ClaimCall &, const ClaimCall &) = default;
};

/// Decisions and store calls that a change of the ledger results in.
struct ClaimOutput {
    std::vector<ClaimDecision> m_decisions;
    std::vector<ClaimCall> m_calls;

    friend bool operator==(const ClaimOutput &, const ClaimOutput &) = default;
};

/// Final result of a granted claim.
struct ClaimResult {
    ClaimState m_state = ClaimState::Released; ///< Final state; never Running.
    std::optional<StoredResponse> m_response; ///< Response of a claim in the state Done, unless it is too large to be stored.

    friend bool operator==(const ClaimResult &, const ClaimResult &) = default;
};

/// Progress of this host on the claim of one key.
struct Claim {
    /// State of the row that this host wants to write.
    enum class Goal : std::uint8_t {
        Acquire, ///< Write the claim as running.
        Complete, ///< Write the final result.
    };
    /// Current step towards the goal.
    enum class Step : std::uint8_t {
        WritePending, ///< A write is queued.
        Writing, ///< A write is in flight.
        ReadPending, ///< A read is due at a later time.
        Reading, ///< A read is in flight.
        Held, ///< The claim is granted and the result of the claimant is awaited.
    };
    /// Request of this host that waits for the result of the claimant.
    struct Waiter {
        ClaimantId m_claimant = 0;
        TimePoint m_deadline;
    };

    Goal m_goal = Goal::Acquire;
    Step m_step = Step::WritePending;
    std::string m_attempt; ///< Unique identifier of this attempt to claim the key.
    std::string m_fingerprint;
    ClaimantId m_claimant = 0; ///< Request that the claim is for; 0 if no request needs it any longer.
    TimePoint m_deadline; ///< Deadline of the claimant.
    TimePoint m_confirmationDeadline; ///< Time by which the store must confirm the claim.
    std::uint64_t m_version = 0; ///< Version of the row that the next write expects.
    std::optional<std::uint64_t> m_acquireBaseVersion; ///< Version that the last write of the claim as running expected; empty if there was none.
    bool m_isAcquireInFlight = false; ///< Whether the write in flight sets the claim to running.
    bool m_isLost = false; ///< The store has lost the claim as running, so that the final result is written without it.
    bool m_isRunningElsewhere = false; ///< Whether the last successful read found a running claim of another attempt.
    ClaimCallId m_call = 0; ///< Last store call for this claim.
    TimePoint m_nextReadAt; ///< Earliest time of the next read.
    Duration m_pollDelay{}; ///< Delay before the next read of another attempt's claim.
    ClaimResult m_result; ///< Result to write for the goal Complete.
    std::deque<Waiter> m_waiters; ///< Further requests of this host with the same key.
};

/// Purpose of a pending store call.
struct ClaimCallPurpose {
    enum class Kind : std::uint8_t {
        Write,
        Read,
        ReadEpoch,
        Sweep,
        Recover,
        Other,
    };
    Kind m_kind{};
    std::vector<Store::RowPrecondition> m_rows; ///< Rows that are written or read, with the versions that the writes expect.
};

/// All claims of one host.
struct ClaimLedger {
    ClaimSettings m_settings;
    ClaimExpiry m_expiry;
    ClaimRecovery m_recovery;
    Store::Era m_storeEra = 0; ///< Latest known era of the store.
    std::map<Store::RowKey, Claim> m_claims;
    std::map<ClaimantId, Store::RowKey> m_keys; ///< Keys by claimant, including waiters.
    std::deque<Store::RowKey> m_acquireQueue; ///< Pending writes of running claims.
    std::deque<Store::RowKey> m_completionQueue; ///< Pending writes of final results.
    std::map<ClaimCallId, ClaimCallPurpose> m_calls; ///< Pending store calls.
    std::size_t m_writeCalls = 0; ///< Number of pending transactions of claims.
    std::size_t m_readCalls = 0; ///< Number of pending reads of claims.
    std::uint32_t m_consecutiveFailures = 0; ///< Consecutive store calls that failed.
    TimePoint m_nextProbeAt; ///< Earliest time of the next probe while the table is unavailable.
    ClaimCallId m_lastCallId = 0;
    std::uint64_t m_lastAttemptNumber = 0;
    Reporting::Counters m_counters;
};

/// Starts to claim a key for a request. The decision is part of this output or a later one, at the latest shortly after the request's deadline.
/// Precondition: the number of the claimant was never used before on this ledger. Not thread-safe on one ledger.
void beginClaim(ClaimLedger &ledger, const ClaimRequest &request, TimePoint now, ClaimOutput &output);

/// Cancels the claim of a claimant that no longer needs a decision. Does nothing if it already has one. Not thread-safe on one ledger.
void abandonClaim(ClaimLedger &ledger, ClaimantId claimant, TimePoint now, ClaimOutput &output);

/// Records the result of a granted claim. Does nothing if the claimant does not hold one. Not thread-safe on one ledger.
/// Precondition: the result is Released only if no byte of the request can have been sent, or the backend server reported that it was not executed.
void completeClaim(ClaimLedger &ledger, ClaimantId claimant, const ClaimResult &result, TimePoint now, ClaimOutput &output);

/// Records the era of the store. After a later one than the known one, no key is claimed for a while, and this host writes the claims again
/// that it holds or remembers. Not thread-safe on one ledger.
void onStoreEra(ClaimLedger &ledger, Store::Era era, TimePoint now, ClaimOutput &output);

/// Processes the result of a store call. Not thread-safe on one ledger.
void onClaimCallCompleted(ClaimLedger &ledger, ClaimCallId call, const Store::Result &result, TimePoint now, ClaimOutput &output);

/// Performs all actions that are due at the given time. Must be called regularly. Not thread-safe on one ledger.
void tickClaims(ClaimLedger &ledger, RandomGenerator &random, TimePoint now, ClaimOutput &output);

/// Returns whether several consecutive calls to the table failed and it has not responded since. Thread-safe on a constant ledger.
bool isTableDown(const ClaimLedger &ledger);

}
