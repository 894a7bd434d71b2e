#include <ragwortrelay/dispatch/claimledger.h>
#include <ragwortrelay/http/status.h>

#include <algorithm>
#include <utility>

namespace RagwortRelay::Dispatch {

namespace {

using Goal = Claim::Goal;
using Step = Claim::Step;
using Kind = ClaimCallPurpose::Kind;

Problem problemUnavailable()
{
    constexpr Duration RetryAfter = std::chrono::seconds(2);
    return {Http::Status::ServiceUnavailable, ErrorId::RequestClaimUnavailable, Outcome::NotRun, "the idempotency key can't be claimed at present", RetryAfter};
}

Problem problemKeyReused()
{
    return {Http::Status::Unprocessable, ErrorId::RequestIdempotencyKeyReused, Outcome::NotRun, "the idempotency key stands for another request", {}};
}

Problem problemAlreadyRunning()
{
    return {Http::Status::Conflict, ErrorId::RequestAlreadyRunning, Outcome::Unknown, "another request with this idempotency key runs or was broken off", {}};
}

/// Returns what later requests with the key of a finished claim are told. Precondition: the state is Done or Unknown.
ClaimOutcome responseOf(ClaimState state, const std::optional<StoredResponse> &response)
{
    if (state == ClaimState::Done && response) {
        return *response;
    }
    if (state == ClaimState::Done) {
        return Problem{
            Http::Status::Conflict, ErrorId::RequestAnswerNotKept, Outcome::Unknown, "the request was run and answered; the answer was too large to keep", {}};
    }
    return Problem{
        Http::Status::Conflict, ErrorId::RequestOutcomeUnknown, Outcome::Unknown, "an earlier request with this idempotency key may have been run", {}};
}

bool isFinal(ClaimState state)
{
    return state == ClaimState::Done || state == ClaimState::Unknown;
}

void give(ClaimLedger &ledger, ClaimantId claimant, const ClaimOutcome &response, ClaimOutput &output)
{
    if (claimant == 0) {
        return;
    }
    if (std::holds_alternative<StoredResponse>(response)) {
        Reporting::count(ledger.m_counters, "claims_replayed");
    }
    if (!std::holds_alternative<ClaimGranted>(response)) {
        ledger.m_keys.erase(claimant);
    }
    output.m_decisions.push_back({claimant, response});
}

ClaimCallId startCall(ClaimLedger &ledger, const Store::Call &request, ClaimCallPurpose purpose, ClaimOutput &output)
{
    const ClaimCallId call = ++ledger.m_lastCall;
    ledger.m_calls.emplace(call, std::move(purpose));
    output.m_calls.push_back({call, request});
    return call;
}

/// Returns the call that reads one row.
Store::ReadRows readOf(const Store::RowKey &key)
{
    return {key.m_table, key.m_part, key.m_name, {}, 1};
}

/// Returns the row that was read by readOf(), or nothing when there is none.
std::optional<Store::Row> rowIn(const Store::RowsRead &read, const Store::RowKey &key)
{
    const bool isThere = !read.m_rows.empty() && read.m_rows.front().m_key.m_name == key.m_name;
    return isThere ? std::optional(read.m_rows.front()) : std::nullopt;
}

void queueWrite(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim)
{
    claim.m_step = Step::WriteDue;
    (claim.m_goal == Goal::Take ? ledger.m_takeQueue : ledger.m_settleQueue).push_back(key);
}

void readAfter(Claim &claim, Duration wait, TimePoint now)
{
    claim.m_step = Step::ReadDue;
    claim.m_dueAt = now + wait;
}

void startDueRead(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, TimePoint now, ClaimOutput &output)
{
    const bool isDue = claim.m_step == Step::ReadDue && now >= claim.m_dueAt;
    if (!isDue || ledger.m_readCalls >= ledger.m_settings.m_readCallsAtMost) {
        return;
    }
    ++ledger.m_readCalls;
    claim.m_step = Step::Reading;
    claim.m_call = startCall(ledger, readOf(key), {Kind::Read, {{key, 0}}}, output);
}

/// Returns the record that the next write of a claim puts.
ClaimRecord recordOf(const ClaimLedger &ledger, const Claim &claim)
{
    ClaimRecord record;
    record.m_state = claim.m_goal == Goal::Take ? ClaimState::Running : claim.m_result.m_state;
    record.m_attempt = claim.m_attempt;
    record.m_fingerprint = claim.m_fingerprint;
    record.m_epoch = ledger.m_expiry.m_epoch;
    if (claim.m_goal == Goal::Settle) {
        record.m_response = claim.m_result.m_response;
    }
    return record;
}

/// Moves queued writes of one queue into a transaction until it is full.
void fillBatch(ClaimLedger &ledger, std::deque<Store::RowKey> &queue, Goal goal, Store::Transaction &transact, ClaimCallPurpose &purpose)
{
    const ClaimCallId call = ledger.m_lastCall + 1;
    while (!queue.empty() && transact.m_writes.size() < ledger.m_settings.m_batchAtMost) {
        const Store::RowKey key = std::move(queue.front());
        queue.pop_front();
        const auto found = ledger.m_claims.find(key);
        if (found == ledger.m_claims.end() || found->second.m_step != Step::WriteDue || found->second.m_goal != goal) {
            continue; // It was dropped or has taken another turn since.
        }
        Claim &claim = found->second;
        claim.m_step = Step::Writing;
        claim.m_call = call;
        claim.m_takeInFlight = goal == Goal::Take;
        if (claim.m_takeInFlight) {
            claim.m_takeBase = claim.m_version;
        }
        transact.m_expected.push_back({key, claim.m_version});
        transact.m_writes.push_back({key, encodeClaim(recordOf(ledger, claim))});
        purpose.m_rows.push_back({key, claim.m_version});
    }
}

/// Starts transactions for queued writes. Takings go at once while a transaction may start; results travel with them or wait for a tick.
void startWrites(ClaimLedger &ledger, bool withSettleOnly, ClaimOutput &output)
{
    if (ledger.m_expiry.m_epoch == 0) {
        return; // A record without its epoch would never expire.
    }
    while (ledger.m_writeCalls < ledger.m_settings.m_writeCallsAtMost && (!ledger.m_takeQueue.empty() || withSettleOnly)) {
        Store::Transaction transact;
        ClaimCallPurpose purpose{Kind::Write, {}};
        fillBatch(ledger, ledger.m_takeQueue, Goal::Take, transact, purpose);
        fillBatch(ledger, ledger.m_settleQueue, Goal::Settle, transact, purpose);
        if (transact.m_writes.empty()) {
            return;
        }
        ++ledger.m_writeCalls;
        Reporting::count(ledger.m_counters, "claim_transactions");
        Reporting::count(ledger.m_counters, "claim_writes", transact.m_writes.size());
        startCall(ledger, transact, std::move(purpose), output);
    }
}

void openClaim(ClaimLedger &ledger, const ClaimRequest &request, TimePoint now)
{
    Claim &claim = ledger.m_claims[request.m_key];
    claim.m_attempt = ledger.m_settings.m_owner + '/' + std::to_string(++ledger.m_lastAttempt);
    claim.m_fingerprint = request.m_fingerprint;
    claim.m_claimant = request.m_claimant;
    claim.m_deadline = request.m_deadline;
    claim.m_confirmBy = std::min(request.m_deadline, now + ledger.m_settings.m_patience);
    claim.m_wait = ledger.m_settings.m_watchInterval;
    queueWrite(ledger, request.m_key, claim);
}

/// Forgets a claim; the first request that waits for the key begins anew.
void dropClaim(ClaimLedger &ledger, const Store::RowKey &key, TimePoint now)
{
    const auto found = ledger.m_claims.find(key);
    std::deque<Claim::Waiter> waiters = std::move(found->second.m_waiters);
    const std::string fingerprint = found->second.m_fingerprint;
    ledger.m_claims.erase(found);
    if (waiters.empty()) {
        return;
    }
    const Claim::Waiter first = waiters.front();
    waiters.pop_front();
    openClaim(ledger, {first.m_claimant, key, fingerprint, first.m_deadline}, now);
    ledger.m_claims.at(key).m_waiters = std::move(waiters);
}

/// Gives all who want the key the same answer and forgets the claim.
void answerAll(ClaimLedger &ledger, const Store::RowKey &key, const ClaimOutcome &response, ClaimOutput &output)
{
    const auto found = ledger.m_claims.find(key);
    const Claim claim = std::move(found->second);
    ledger.m_claims.erase(found);
    give(ledger, claim.m_claimant, response, output);
    for (const Claim::Waiter &waiter : claim.m_waiters) {
        give(ledger, waiter.m_claimant, response, output);
    }
}

void setResult(ClaimLedger &ledger, Claim &claim, const ClaimResult &result, ClaimOutput &output)
{
    claim.m_goal = Goal::Settle;
    claim.m_result = result;
    claim.m_wait = ledger.m_settings.m_retryInterval;
    ledger.m_keys.erase(claim.m_claimant);
    claim.m_claimant = 0;
    if (!isFinal(result.m_state)) {
        return;
    }
    const std::deque<Claim::Waiter> waiters = std::exchange(claim.m_waiters, {});
    for (const Claim::Waiter &waiter : waiters) {
        give(ledger, waiter.m_claimant, responseOf(result.m_state, result.m_response), output);
    }
}

/// Ends the wish for a claim that isn't held. What was sent for it may still take effect and has to be undone.
void stopTaking(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, TimePoint now, ClaimOutput &output)
{
    if (!claim.m_takeBase || claim.m_seenOther) {
        ledger.m_keys.erase(claim.m_claimant);
        return dropClaim(ledger, key, now);
    }
    setResult(ledger, claim, {ClaimState::Released, {}}, output);
    if (claim.m_step == Step::WriteDue || claim.m_step == Step::ReadDue) {
        readAfter(claim, Duration::zero(), now);
    }
}

void grant(ClaimLedger &ledger, Claim &claim, ClaimOutput &output)
{
    claim.m_step = Step::Held;
    Reporting::count(ledger.m_counters, "claims_granted");
    give(ledger, claim.m_claimant, ClaimGranted{}, output);
}

void onWritten(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, Store::Version version, TimePoint now, ClaimOutput &output)
{
    claim.m_version = version;
    if (claim.m_goal == Goal::Take) {
        return grant(ledger, claim, output);
    }
    if (claim.m_takeInFlight) {
        return queueWrite(ledger, key, claim); // It was given up while its write was under way.
    }
    dropClaim(ledger, key, now);
}

/// Tells whether a write was in the way of its transaction: its row has another version than it expects.
bool hasConflict(const Store::Conflict &conflict, const Store::RowPrecondition &expectation)
{
    const auto row = std::ranges::find_if(conflict.m_rows, [&](const Store::Row &stored) { return stored.m_key == expectation.m_key; });
    const Store::Version version = row == conflict.m_rows.end() || row->m_erased ? 0 : row->m_version;
    return version != expectation.m_version;
}

/// Tells whether a write surely had no effect and may be sent again as it is.
bool wasNotTried(const Store::Result &result, const Store::RowPrecondition &expectation)
{
    const auto *conflict = std::get_if<Store::Conflict>(&result);
    return std::holds_alternative<Store::Refused>(result) || (conflict != nullptr && !hasConflict(*conflict, expectation));
}

void onWriteAnswered(ClaimLedger &ledger, ClaimCallId call, const ClaimCallPurpose &purpose, const Store::Result &result, TimePoint now, ClaimOutput &output)
{
    const auto *committed = std::get_if<Store::Committed>(&result);
    for (const Store::RowPrecondition &write : purpose.m_rows) {
        const Store::RowKey &key = write.m_key;
        const auto found = ledger.m_claims.find(key);
        if (found == ledger.m_claims.end() || found->second.m_step != Step::Writing || found->second.m_call != call) {
            continue;
        }
        Claim &claim = found->second;
        if (committed != nullptr) {
            onWritten(ledger, key, claim, committed->m_version, now, output);
        } else if (std::holds_alternative<Store::Conflict>(result) && wasNotTried(result, write) && claim.m_takeInFlight == (claim.m_goal == Goal::Take)) {
            queueWrite(ledger, key, claim); // Another write of the batch stood in its way.
        } else {
            readAfter(claim, Duration::zero(), now);
            startDueRead(ledger, key, claim, now, output);
        }
    }
}

void watch(ClaimLedger &ledger, Claim &claim, TimePoint now)
{
    claim.m_seenOther = true;
    readAfter(claim, claim.m_wait, now);
    claim.m_wait = std::min(2 * claim.m_wait, ledger.m_settings.m_watchIntervalAtMost);
}

/// Tries to take a key that was found free at a version.
void takeFree(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, std::uint64_t version, TimePoint now)
{
    if (claim.m_seenOther) {
        claim.m_seenOther = false;
        claim.m_confirmBy = std::min(claim.m_deadline, now + ledger.m_settings.m_patience);
    }
    claim.m_version = version;
    queueWrite(ledger, key, claim);
}

void onTakeRead(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, const std::optional<Store::Row> &item, TimePoint now, ClaimOutput &output)
{
    if (!item) {
        return takeFree(ledger, key, claim, 0, now);
    }
    const auto record = decodeClaim(item->m_value);
    if (!record) {
        return answerAll(ledger, key, responseOf(ClaimState::Unknown, {}), output);
    }
    if (record->m_attempt == claim.m_attempt) {
        claim.m_version = item->m_version;
        return grant(ledger, claim, output);
    }
    if (record->m_state == ClaimState::Released) {
        return takeFree(ledger, key, claim, item->m_version, now);
    }
    if (record->m_fingerprint != claim.m_fingerprint) {
        return answerAll(ledger, key, problemKeyReused(), output);
    }
    if (record->m_state == ClaimState::Running) {
        return watch(ledger, claim, now);
    }
    answerAll(ledger, key, responseOf(record->m_state, record->m_response), output);
}

void onSettleRead(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, const std::optional<Store::Row> &item, TimePoint now)
{
    const std::uint64_t version = item ? item->m_version : 0;
    const auto record = item ? decodeClaim(item->m_value) : tl::unexpected(Error{});
    const bool isOurs = record && record->m_attempt == claim.m_attempt;
    const bool runs = isOurs && record->m_state == ClaimState::Running;
    // A write of ours whose answer was lost can still take effect as long as the item has the version that it expects.
    const bool mayStillLand = !isOurs && claim.m_result.m_state == ClaimState::Released && claim.m_takeBase == version;
    if (!runs && !mayStillLand) {
        return dropClaim(ledger, key, now);
    }
    claim.m_version = version;
    queueWrite(ledger, key, claim);
}

void onReadAnswered(ClaimLedger &ledger, ClaimCallId call, const Store::RowKey &key, const Store::Result &result, TimePoint now, ClaimOutput &output)
{
    const auto found = ledger.m_claims.find(key);
    if (found == ledger.m_claims.end() || found->second.m_step != Step::Reading || found->second.m_call != call) {
        return;
    }
    Claim &claim = found->second;
    const auto *read = std::get_if<Store::RowsRead>(&result);
    if (read == nullptr) {
        return readAfter(claim, ledger.m_settings.m_retryInterval, now);
    }
    if (claim.m_goal == Goal::Take) {
        return onTakeRead(ledger, key, claim, rowIn(*read, key), now, output);
    }
    onSettleRead(ledger, key, claim, rowIn(*read, key), now);
}

void onSweepAnswered(ClaimLedger &ledger, const Store::Result &result, ClaimOutput &output)
{
    const auto *page = std::get_if<Store::RowsRead>(&result);
    if (page == nullptr) {
        return;
    }
    if (const auto erase = eraseExpired(ledger.m_expiry, ledger.m_settings.m_expiry, *page)) {
        Reporting::count(ledger.m_counters, "claims_expired", erase->m_erased.size());
        startCall(ledger, *erase, {Kind::Other, {}}, output);
    }
}

void onEpochAnswered(ClaimLedger &ledger, const Store::Result &result, TimePoint now, ClaimOutput &output)
{
    const auto *read = std::get_if<Store::RowsRead>(&result);
    if (read == nullptr) {
        return;
    }
    if (const auto next = noteEpoch(ledger.m_expiry, ledger.m_settings.m_expiry, rowIn(*read, epochKey()), now)) {
        startCall(ledger, *next, {Kind::Other, {}}, output);
    }
}

/// Refuses waiting requests whose deadline is over.
void expireWaiters(ClaimLedger &ledger, Claim &claim, TimePoint now, ClaimOutput &output)
{
    const bool mayRun = claim.m_seenOther || claim.m_step == Step::Held;
    std::deque<Claim::Waiter> left;
    for (const Claim::Waiter &waiter : std::exchange(claim.m_waiters, {})) {
        if (now < waiter.m_deadline) {
            left.push_back(waiter);
        } else {
            give(ledger, waiter.m_claimant, mayRun ? problemAlreadyRunning() : problemUnavailable(), output);
        }
    }
    claim.m_waiters = std::move(left);
}

void tickClaim(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, TimePoint now, ClaimOutput &output)
{
    expireWaiters(ledger, claim, now, output);
    const bool isTaking = claim.m_goal == Goal::Take && claim.m_step != Step::Held;
    const TimePoint end = claim.m_seenOther ? claim.m_deadline : claim.m_confirmBy;
    if (isTaking && now >= end) {
        give(ledger, claim.m_claimant, claim.m_seenOther ? problemAlreadyRunning() : problemUnavailable(), output);
        return stopTaking(ledger, key, claim, now, output);
    }
    startDueRead(ledger, key, claim, now, output);
}

}

bool isTableDown(const ClaimLedger &ledger)
{
    return ledger.m_failuresInRow >= ledger.m_settings.m_failuresUntilDown;
}

void beginClaim(ClaimLedger &ledger, const ClaimRequest &request, TimePoint now, ClaimOutput &output)
{
    const auto found = ledger.m_claims.find(request.m_key);
    if (found != ledger.m_claims.end()) {
        Claim &claim = found->second;
        if (claim.m_fingerprint != request.m_fingerprint) {
            return give(ledger, request.m_claimant, problemKeyReused(), output);
        }
        if (claim.m_goal == Goal::Settle && isFinal(claim.m_result.m_state)) {
            return give(ledger, request.m_claimant, responseOf(claim.m_result.m_state, claim.m_result.m_response), output);
        }
        ledger.m_keys[request.m_claimant] = request.m_key;
        claim.m_waiters.push_back({request.m_claimant, request.m_deadline});
        return;
    }
    const bool isFull = ledger.m_claims.size() >= ledger.m_settings.m_claimsAtMost;
    const bool isDown = isTableDown(ledger);
    if (isFull || (isDown && now < ledger.m_probeAt)) {
        Reporting::count(ledger.m_counters, isFull ? "claims_refused{reason=\"full\"}" : "claims_refused{reason=\"table-down\"}");
        return give(ledger, request.m_claimant, problemUnavailable(), output);
    }
    ledger.m_probeAt = now + ledger.m_settings.m_probeInterval;
    ledger.m_keys[request.m_claimant] = request.m_key;
    openClaim(ledger, request, now);
    startWrites(ledger, false, output);
}

void abandonClaim(ClaimLedger &ledger, ClaimantId claimant, TimePoint now, ClaimOutput &output)
{
    const auto key = ledger.m_keys.find(claimant);
    if (key == ledger.m_keys.end()) {
        return;
    }
    const Store::RowKey item = key->second;
    Claim &claim = ledger.m_claims.at(item);
    if (claim.m_claimant == claimant) {
        if (claim.m_step != Step::Held) {
            stopTaking(ledger, item, claim, now, output);
            startWrites(ledger, false, output);
        }
        return;
    }
    std::erase_if(claim.m_waiters, [claimant](const Claim::Waiter &waiter) { return waiter.m_claimant == claimant; });
    ledger.m_keys.erase(key);
}

void completeClaim(ClaimLedger &ledger, ClaimantId claimant, const ClaimResult &result, TimePoint /*now*/, ClaimOutput &output)
{
    const auto key = ledger.m_keys.find(claimant);
    if (key == ledger.m_keys.end()) {
        return;
    }
    const Store::RowKey item = key->second;
    Claim &claim = ledger.m_claims.at(item);
    if (claim.m_claimant != claimant || claim.m_step != Step::Held) {
        return;
    }
    setResult(ledger, claim, result, output);
    queueWrite(ledger, item, claim);
}

void onClaimCallCompleted(ClaimLedger &ledger, ClaimCallId call, const Store::Result &result, TimePoint now, ClaimOutput &output)
{
    const auto found = ledger.m_calls.find(call);
    if (found == ledger.m_calls.end()) {
        return;
    }
    const ClaimCallPurpose purpose = std::move(found->second);
    ledger.m_calls.erase(found);
    const bool hasFailed = std::holds_alternative<Store::NoResponse>(result) || std::holds_alternative<Store::Refused>(result);
    ledger.m_failuresInRow = hasFailed ? ledger.m_failuresInRow + 1 : 0;
    switch (purpose.m_kind) {
    case Kind::Write:
        --ledger.m_writeCalls;
        onWriteAnswered(ledger, call, purpose, result, now, output);
        break;
    case Kind::Read:
        --ledger.m_readCalls;
        onReadAnswered(ledger, call, purpose.m_rows.front().m_key, result, now, output);
        break;
    case Kind::ReadEpoch:
        onEpochAnswered(ledger, result, now, output);
        break;
    case Kind::Sweep:
        onSweepAnswered(ledger, result, output);
        break;
    case Kind::Other:
        break;
    }
    startWrites(ledger, false, output);
}

void tickClaims(ClaimLedger &ledger, RandomGenerator &random, TimePoint now, ClaimOutput &output)
{
    std::vector<Store::RowKey> keys;
    keys.reserve(ledger.m_claims.size());
    for (const auto &[key, claim] : ledger.m_claims) {
        keys.push_back(key);
    }
    for (const Store::RowKey &key : keys) {
        tickClaim(ledger, key, ledger.m_claims.at(key), now, output);
    }
    if (takeEpochRead(ledger.m_expiry, ledger.m_settings.m_expiry, now)) {
        startCall(ledger, readOf(epochKey()), {Kind::ReadEpoch, {}}, output);
    }
    if (const auto sweep = takeSweep(ledger.m_expiry, ledger.m_settings.m_expiry, random, now)) {
        startCall(ledger, *sweep, {Kind::Sweep, {}}, output);
    }
    startWrites(ledger, true, output);
}

}
