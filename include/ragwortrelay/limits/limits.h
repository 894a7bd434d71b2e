#pragma once

#include <ragwortrelay/core/random.h>
#include <ragwortrelay/limits/holding.h>
#include <ragwortrelay/limits/messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace RagwortRelay::Limits {

/// How hosts lend to one another.
struct LimitsSettings {
    Duration m_lease{std::chrono::seconds(5)}; ///< Of a loan. Must stay below the lease margin of membership.
    Duration m_longestWait{std::chrono::milliseconds(25)}; ///< Of a request for a borrowed token.
    Duration m_answerTimeout{std::chrono::milliseconds(100)}; ///< After which a wish counts as lost.
    Duration m_controlInterval{std::chrono::milliseconds(100)}; ///< Between two looks at demand.
    std::uint32_t m_triesAtMost = 4; ///< Lenders that one request asks.
    std::uint32_t m_waitingAtMost = 64; ///< Requests of one workspace that wait for a token at once.

    friend bool operator==(const LimitsSettings &, const LimitsSettings &) = default;
};

/// What a borrower knows of a lender.
struct LenderHint {
    std::uint32_t m_tokensLeft = 0;
    TimePoint m_toldAt;
    TimePoint m_emptyUntil; ///< Not worth asking before.

    friend bool operator==(const LenderHint &, const LenderHint &) = default;
};

/// A wish that hasn't been answered.
struct PendingLoan {
    HostId m_lender;
    TimePoint m_askedAt;

    friend bool operator==(const PendingLoan &, const PendingLoan &) = default;
};

/// One workspace's limit as one host works with it.
struct WorkspaceLimit {
    Share m_limit; ///< Of the whole fleet.
    Holding m_holding;
    std::vector<HostId> m_lenders; ///< Other hosts that hold shards of it.
    std::map<HostId, LenderHint> m_hints;
    std::map<LoanId, PendingLoan> m_pending;
    std::uint32_t m_waiting = 0; ///< Requests that wait for a token.
    std::uint64_t m_arrived = 0; ///< Requests since the last look at demand.
    double m_demand = 0.0; ///< Requests a second, smoothed.
    TimePoint m_demandAt;

    friend bool operator==(const WorkspaceLimit &, const WorkspaceLimit &) = default;
};

/// A request that is to be sent.
struct LoanMessage {
    HostId m_host;
    LoanRequest m_request;

    friend bool operator==(const LoanMessage &, const LoanMessage &) = default;
};

/// Limits as one host works with them.
struct LimitsState {
    LimitsSettings m_settings;
    Party m_self;
    std::map<WorkspaceId, WorkspaceLimit> m_workspaces;
    std::map<Party, LoanId> m_highestLoan; ///< Last wish of each borrower that was answered; older ones come too late.
    std::map<HostId, LoanRequest> m_outbox; ///< Goes out with the next sendOutbox().
    LoanId m_lastLoan = 0;
    std::optional<TimePoint> m_controlledAt;
    bool m_stopping = false; ///< Lends nothing any more.

    friend bool operator==(const LimitsState &, const LimitsState &) = default;
};

/// What admit() decided.
enum class Admission : std::uint8_t {
    Admitted, ///< A token was taken.
    Wait, ///< A token may come soon.
    Refused, ///< The workspace is over its rate, as far as can be seen.
};

/// What a request has done so far to get its token.
struct AdmissionTry {
    std::optional<TimePoint> m_since; ///< First try.
    std::uint32_t m_asked = 0; ///< Lenders asked.
    bool m_waits = false; ///< Counted in WorkspaceLimit::m_waiting.

    friend bool operator==(const AdmissionTry &, const AdmissionTry &) = default;
};

/// Takes a token for a request, or asks a lender for one; to be called again when a grant came and when time went on.
/// Preconditions, here and below: `now` doesn't run backwards. Not thread-safe on one state.
Admission admit(LimitsState &state, const WorkspaceId &workspace, AdmissionTry &attempt, RandomGenerator &random, TimePoint now);

/// Forgets a request that waited.
void forget(LimitsState &state, const WorkspaceId &workspace, AdmissionTry &attempt);

/// Returns when a refused caller should try again.
Duration retryAfter(const LimitsState &state, const WorkspaceId &workspace, TimePoint now);

/// Borrows ahead of need, and gives back what is of no use or would lapse. Does something each m_controlInterval.
void control(LimitsState &state, RandomGenerator &random, TimePoint now);

/// Takes in a request of another host; returns the answer.
LoanAnswer onLoanRequest(LimitsState &state, const Party &from, const LoanRequest &request, TimePoint now);

/// Takes in an answer; returns the workspaces for which something was granted or refused.
std::vector<WorkspaceId> onLoanAnswer(LimitsState &state, const HostId &from, const LoanAnswer &answer, TimePoint now);

/// Returns the messages that wait to be sent, one for each host, and forgets them.
std::vector<LoanMessage> takeOutbox(LimitsState &state);

/// Sets what this host holds by its shards, and who else holds shards. Workspaces that have no limit any more are to be set to none.
/// @param ownEndsAt instant from which the own share must not be used
void setLimit(
    LimitsState &state, const WorkspaceId &workspace, const Share &limit, const Share &own, std::vector<HostId> lenders, TimePoint ownEndsAt, TimePoint now);

/// Gives back all that is borrowed.
void giveBackAll(LimitsState &state, TimePoint now);

/// Forgets the workspaces that have no limit and of which nothing is held.
void dropVoid(LimitsState &state);

/// Tells whether a part can be given up now: it is not lent.
bool canGiveUp(const LimitsState &state, const WorkspaceId &workspace, const Share &part, TimePoint now);

/// Tells whether anything is lent.
bool hasLent(const LimitsState &state, TimePoint now);

}
