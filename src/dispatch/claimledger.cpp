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

/// Returns the outcome for later requests with the key of a finished claim. Precondition: the state is Done or Unknown.
ClaimOutcome finishedOutcome(ClaimState state, const std::optional<StoredResponse> &response)
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

/// Returns whether no later request with the key may be executed.
bool isFinal(ClaimState state)
{
    return state == ClaimState::Done || state == ClaimState::Unknown;
}

/// Adds a decision for a claimant. Does nothing for claimant 0.
void deliverOutcome(ClaimLedger &ledger, ClaimantId claimant, const ClaimOutcome &outcome, ClaimOutput &output)
{
    if (claimant == 0) {
        return;
    }
    if (std::holds_alternative<StoredResponse>(outcome)) {
        Reporting::count(ledger.m_counters, "claims_replayed");
    }
    if (!std::holds_alternative<ClaimGranted>(outcome)) {
        ledger.m_keys.erase(claimant);
    }
    output.m_decisions.push_back({claimant, outcome});
}

ClaimCallId startCall(ClaimLedger &ledger, const Store::Call &request, ClaimCallPurpose purpose, ClaimOutput &output)
{
    const ClaimCallId call = ++ledger.m_lastCallId;
    ledger.m_calls.emplace(call, std::move(purpose));
    output.m_calls.push_back({call, request});
    return call;
}

/// Returns the call that reads one row.
Store::ReadRows makeReadCall(const Store::RowKey &key)
{
    return {key.m_table, key.m_part, key.m_name, {}, 1};
}

/// Returns the row that the call from makeReadCall() read; empty if it does not exist.
std::optional<Store::Row> findRow(const Store::RowsRead &read, const Store::RowKey &key)
{
    const bool isThere = !read.m_rows.empty() && read.m_rows.front().m_key.m_name == key.m_name;
    return isThere ? std::optional(read.m_rows.front()) : std::nullopt;
}

void queueWrite(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim)
{
    claim.m_step = Step::WritePending;
    (claim.m_goal == Goal::Acquire ? ledger.m_acquireQueue : ledger.m_completionQueue).push_back(key);
}

void scheduleRead(Claim &claim, Duration wait, TimePoint now)
{
    claim.m_step = Step::ReadPending;
    claim.m_nextReadAt = now + wait;
}

void startDueRead(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, TimePoint now, ClaimOutput &output)
{
    const bool isDue = claim.m_step == Step::ReadPending && now >= claim.m_nextReadAt;
    if (!isDue || ledger.m_readCalls >= ledger.m_settings.m_maxReadCalls) {
        return;
    }
    ++ledger.m_readCalls;
    claim.m_step = Step::Reading;
    claim.m_call = startCall(ledger, makeReadCall(key), {Kind::Read, {{key, 0}}}, output);
}

/// Returns the record for the next write of a claim.
ClaimRecord makeRecord(const ClaimLedger &ledger, const Claim &claim)
{
    ClaimRecord record;
    record.m_state = claim.m_goal == Goal::Acquire ? ClaimState::Running : claim.m_result.m_state;
    record.m_attempt = claim.m_attempt;
    record.m_fingerprint = claim.m_fingerprint;
    record.m_epoch = ledger.m_expiry.m_epoch;
    if (claim.m_goal == Goal::Complete) {
        record.m_response = claim.m_result.m_response;
    }
    return record;
}

/// Moves queued writes of one queue into a transaction until it is full.
void fillBatch(ClaimLedger &ledger, std::deque<Store::RowKey> &queue, Goal goal, Store::Transaction &transaction, ClaimCallPurpose &purpose)
{
    const ClaimCallId call = ledger.m_lastCallId + 1;
    while (!queue.empty() && transaction.m_writes.size() < ledger.m_settings.m_maxBatchWrites) {
        const Store::RowKey key = std::move(queue.front());
        queue.pop_front();
        const auto found = ledger.m_claims.find(key);
        if (found == ledger.m_claims.end() || found->second.m_step != Step::WritePending || found->second.m_goal != goal) {
            continue; // The claim was removed or has changed its step or goal since.
        }
        Claim &claim = found->second;
        if (claim.m_version > 0 && Store::eraOf(claim.m_version) < ledger.m_storeEra) { // The version may stand for another content by now.
            scheduleRead(claim, Duration::zero(), TimePoint{});
            continue;
        }
        claim.m_step = Step::Writing;
        claim.m_call = call;
        claim.m_isAcquireInFlight = goal == Goal::Acquire;
        if (claim.m_isAcquireInFlight) {
            claim.m_acquireBaseVersion = claim.m_version;
        }
        transaction.m_expected.push_back({key, claim.m_version});
        transaction.m_writes.push_back({key, encodeClaim(makeRecord(ledger, claim))});
        purpose.m_rows.push_back({key, claim.m_version});
    }
}

/// Starts transactions for queued writes. Acquisitions are written as soon as a transaction may start; results share their transactions or wait
/// for the next tick, which allows transactions of results only.
void startWrites(ClaimLedger &ledger, bool allowsCompletionsOnly, ClaimOutput &output)
{
    if (ledger.m_expiry.m_epoch == 0) {
        return; // A record without its epoch would never expire.
    }
    while (ledger.m_writeCalls < ledger.m_settings.m_maxWriteCalls && (!ledger.m_acquireQueue.empty() || allowsCompletionsOnly)) {
        Store::Transaction transaction;
        ClaimCallPurpose purpose{Kind::Write, {}};
        if (!ledger.m_recovery.m_isInGrace) {
            fillBatch(ledger, ledger.m_acquireQueue, Goal::Acquire, transaction, purpose);
        }
        fillBatch(ledger, ledger.m_completionQueue, Goal::Complete, transaction, purpose);
        if (transaction.m_writes.empty()) {
            return;
        }
        ++ledger.m_writeCalls;
        Reporting::count(ledger.m_counters, "claim_transactions");
        Reporting::count(ledger.m_counters, "claim_writes", transaction.m_writes.size());
        startCall(ledger, transaction, std::move(purpose), output);
    }
}

void startClaim(ClaimLedger &ledger, const ClaimRequest &request, TimePoint now)
{
    Claim &claim = ledger.m_claims[request.m_key];
    claim.m_attempt = ledger.m_settings.m_owner + '/' + std::to_string(++ledger.m_lastAttemptNumber);
    claim.m_fingerprint = request.m_fingerprint;
    claim.m_claimant = request.m_claimant;
    claim.m_deadline = request.m_deadline;
    claim.m_confirmationDeadline = std::min(request.m_deadline, now + ledger.m_settings.m_confirmationTimeout);
    claim.m_pollDelay = ledger.m_settings.m_initialPollInterval;
    queueWrite(ledger, request.m_key, claim);
}

/// Removes a claim. The first request that waits for the key, if any, starts a new claim.
void removeClaim(ClaimLedger &ledger, const Store::RowKey &key, TimePoint now)
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
    startClaim(ledger, {first.m_claimant, key, fingerprint, first.m_deadline}, now);
    ledger.m_claims.at(key).m_waiters = std::move(waiters);
}

/// Delivers the same outcome to the claimant and all waiting requests and removes the claim.
void deliverToAll(ClaimLedger &ledger, const Store::RowKey &key, const ClaimOutcome &outcome, ClaimOutput &output)
{
    const auto found = ledger.m_claims.find(key);
    const Claim claim = std::move(found->second);
    ledger.m_claims.erase(found);
    deliverOutcome(ledger, claim.m_claimant, outcome, output);
    for (const Claim::Waiter &waiter : claim.m_waiters) {
        deliverOutcome(ledger, waiter.m_claimant, outcome, output);
    }
}

/// Sets the result to write for a claim. If it is final, waiting requests receive it immediately.
void setResult(ClaimLedger &ledger, Claim &claim, const ClaimResult &result, ClaimOutput &output)
{
    claim.m_goal = Goal::Complete;
    claim.m_result = result;
    claim.m_pollDelay = ledger.m_settings.m_retryInterval;
    ledger.m_keys.erase(claim.m_claimant);
    claim.m_claimant = 0;
    if (!isFinal(result.m_state)) {
        return;
    }
    const std::deque<Claim::Waiter> waiters = std::exchange(claim.m_waiters, {});
    for (const Claim::Waiter &waiter : waiters) {
        deliverOutcome(ledger, waiter.m_claimant, finishedOutcome(result.m_state, result.m_response), output);
    }
}

/// Cancels the acquisition of a claim that is not held. A write that was already sent may still take effect and then has to be undone.
void cancelAcquisition(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, TimePoint now, ClaimOutput &output)
{
    if (!claim.m_acquireBaseVersion || claim.m_isRunningElsewhere) {
        ledger.m_keys.erase(claim.m_claimant);
        return removeClaim(ledger, key, now);
    }
    setResult(ledger, claim, {ClaimState::Released, {}}, output);
    if (claim.m_step == Step::WritePending || claim.m_step == Step::ReadPending) {
        scheduleRead(claim, Duration::zero(), now);
    }
}

void grantClaim(ClaimLedger &ledger, Claim &claim, ClaimOutput &output)
{
    claim.m_step = Step::Held;
    Reporting::count(ledger.m_counters, "claims_granted");
    deliverOutcome(ledger, claim.m_claimant, ClaimGranted{}, output);
}

void onWriteCommitted(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, Store::Version version, TimePoint now, ClaimOutput &output)
{
    claim.m_version = version;
    if (claim.m_goal == Goal::Acquire) {
        return grantClaim(ledger, claim, output);
    }
    if (claim.m_isAcquireInFlight) {
        return queueWrite(ledger, key, claim); // The acquisition was cancelled while its write was in flight.
    }
    if (isFinal(claim.m_result.m_state)) {
        rememberClaim(ledger.m_recovery, ledger.m_settings.m_recovery, key, makeRecord(ledger, claim), now);
    }
    removeClaim(ledger, key, now);
}

/// Returns whether a write conflicts with the store, that is, its row has another version than expected.
bool hasConflict(const Store::Conflict &conflict, const Store::RowPrecondition &expectation)
{
    const auto row = std::ranges::find_if(conflict.m_rows, [&](const Store::Row &stored) { return stored.m_key == expectation.m_key; });
    const Store::Version version = row == conflict.m_rows.end() || row->m_erased ? 0 : row->m_version;
    return version != expectation.m_version;
}

/// Returns whether a write certainly had no effect and may be repeated unchanged.
bool hadNoEffect(const Store::Result &result, const Store::RowPrecondition &expectation)
{
    const auto *conflict = std::get_if<Store::Conflict>(&result);
    return std::holds_alternative<Store::Refused>(result) || (conflict != nullptr && !hasConflict(*conflict, expectation));
}

void onWriteCompleted(ClaimLedger &ledger, ClaimCallId call, const ClaimCallPurpose &purpose, const Store::Result &result, TimePoint now, ClaimOutput &output)
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
            onWriteCommitted(ledger, key, claim, committed->m_version, now, output);
        } else if (std::holds_alternative<Store::Conflict>(result) && hadNoEffect(result, write)
                   && claim.m_isAcquireInFlight == (claim.m_goal == Goal::Acquire)) {
            queueWrite(ledger, key, claim); // Another write of the transaction caused the conflict.
        } else {
            scheduleRead(claim, Duration::zero(), now);
            startDueRead(ledger, key, claim, now, output);
        }
    }
}

/// Schedules the next read of a claim that another attempt holds, with exponential backoff.
void pollOtherAttempt(ClaimLedger &ledger, Claim &claim, TimePoint now)
{
    claim.m_isRunningElsewhere = true;
    scheduleRead(claim, claim.m_pollDelay, now);
    claim.m_pollDelay = std::min(2 * claim.m_pollDelay, ledger.m_settings.m_maxPollInterval);
}

/// Starts to acquire a key that a read found free at the given version of its row.
void acquireFreeKey(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, std::uint64_t version, TimePoint now)
{
    if (claim.m_isRunningElsewhere) {
        claim.m_isRunningElsewhere = false;
        claim.m_confirmationDeadline = std::min(claim.m_deadline, now + ledger.m_settings.m_confirmationTimeout);
    }
    claim.m_version = version;
    queueWrite(ledger, key, claim);
}

void onAcquireRead(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, const std::optional<Store::Row> &row, TimePoint now, ClaimOutput &output)
{
    if (!row) {
        return acquireFreeKey(ledger, key, claim, 0, now);
    }
    const auto record = decodeClaim(row->m_value);
    if (!record) {
        return deliverToAll(ledger, key, finishedOutcome(ClaimState::Unknown, {}), output);
    }
    if (record->m_attempt == claim.m_attempt) {
        claim.m_version = row->m_version;
        return grantClaim(ledger, claim, output);
    }
    if (record->m_state == ClaimState::Released) {
        return acquireFreeKey(ledger, key, claim, row->m_version, now);
    }
    if (record->m_fingerprint != claim.m_fingerprint) {
        return deliverToAll(ledger, key, problemKeyReused(), output);
    }
    if (record->m_state == ClaimState::Running) {
        return pollOtherAttempt(ledger, claim, now);
    }
    deliverToAll(ledger, key, finishedOutcome(record->m_state, record->m_response), output);
}

void onCompletionRead(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, const std::optional<Store::Row> &row, TimePoint now)
{
    const std::uint64_t version = row ? row->m_version : 0;
    const auto record = row ? decodeClaim(row->m_value) : tl::unexpected(Error{});
    const bool isOurs = record && record->m_attempt == claim.m_attempt;
    const bool isRunning = isOurs && record->m_state == ClaimState::Running;
    // A write of this host whose result was lost can still take effect as long as the row has the version that the write expects.
    const bool mayStillCommit = !isOurs && claim.m_result.m_state == ClaimState::Released && claim.m_acquireBaseVersion == version;
    const bool isOfEarlierEra = claim.m_version > 0 && Store::eraOf(claim.m_version) < ledger.m_storeEra;
    const bool isFree = !row || (record && !isOurs && record->m_state == ClaimState::Released);
    claim.m_isLost = isFinal(claim.m_result.m_state) && isFree && (claim.m_isLost || isOfEarlierEra);
    if (isOurs && isFinal(record->m_state)) {
        rememberClaim(ledger.m_recovery, ledger.m_settings.m_recovery, key, *record, now);
    }
    if (!isRunning && !mayStillCommit && !claim.m_isLost) {
        return removeClaim(ledger, key, now);
    }
    claim.m_version = version;
    queueWrite(ledger, key, claim);
}

void onReadCompleted(ClaimLedger &ledger, ClaimCallId call, const Store::RowKey &key, const Store::Result &result, TimePoint now, ClaimOutput &output)
{
    const auto found = ledger.m_claims.find(key);
    if (found == ledger.m_claims.end() || found->second.m_step != Step::Reading || found->second.m_call != call) {
        return;
    }
    Claim &claim = found->second;
    const auto *read = std::get_if<Store::RowsRead>(&result);
    if (read == nullptr) {
        return scheduleRead(claim, ledger.m_settings.m_retryInterval, now);
    }
    if (claim.m_goal == Goal::Acquire) {
        return onAcquireRead(ledger, key, claim, findRow(*read, key), now, output);
    }
    onCompletionRead(ledger, key, claim, findRow(*read, key), now);
}

void onSweepCompleted(ClaimLedger &ledger, const Store::Result &result, ClaimOutput &output)
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

void onEpochCallCompleted(ClaimLedger &ledger, const Store::Result &result, TimePoint now, ClaimOutput &output)
{
    const auto *read = std::get_if<Store::RowsRead>(&result);
    if (read == nullptr) {
        return;
    }
    if (const auto next = onEpochRead(ledger.m_expiry, ledger.m_settings.m_expiry, findRow(*read, epochKey()), now)) {
        startCall(ledger, *next, {Kind::Other, {}}, output);
    }
}

/// Refuses waiting requests whose deadline has passed.
void expireWaiters(ClaimLedger &ledger, Claim &claim, TimePoint now, ClaimOutput &output)
{
    const bool mayRun = claim.m_isRunningElsewhere || claim.m_step == Step::Held;
    std::deque<Claim::Waiter> remaining;
    for (const Claim::Waiter &waiter : std::exchange(claim.m_waiters, {})) {
        if (now < waiter.m_deadline) {
            remaining.push_back(waiter);
        } else {
            deliverOutcome(ledger, waiter.m_claimant, mayRun ? problemAlreadyRunning() : problemUnavailable(), output);
        }
    }
    claim.m_waiters = std::move(remaining);
}

/// Refuses all requests that wait for the acquisition of a claim, and cancels it.
void refuseAcquisition(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, TimePoint now, ClaimOutput &output)
{
    const Problem problem = claim.m_isRunningElsewhere ? problemAlreadyRunning() : problemUnavailable();
    deliverOutcome(ledger, claim.m_claimant, problem, output);
    const std::deque<Claim::Waiter> waiters = std::exchange(claim.m_waiters, {});
    for (const Claim::Waiter &waiter : waiters) {
        deliverOutcome(ledger, waiter.m_claimant, problem, output);
    }
    cancelAcquisition(ledger, key, claim, now, output);
}

/// Returns whether a claim that is to be written again as running is still held.
bool isStillHeld(const ClaimLedger &ledger, const Store::RowKey &key, const ClaimRecord &record)
{
    const auto claim = ledger.m_claims.find(key);
    return claim != ledger.m_claims.end() && claim->second.m_step == Step::Held && claim->second.m_attempt == record.m_attempt;
}

/// Starts the next transaction that writes claims again.
void startRecoveryWrite(ClaimLedger &ledger, TimePoint now, ClaimOutput &output)
{
    std::erase_if(ledger.m_recovery.m_pending, [&](const auto &entry) {
        const PendingRecovery &pending = entry.second;
        const bool isRunning = pending.m_record.m_state == ClaimState::Running;
        return isRunning && !pending.m_isInFlight && !isStillHeld(ledger, entry.first, pending.m_record);
    });
    if (const auto transaction = nextRecoveryWrite(ledger.m_recovery, ledger.m_settings.m_recovery, now)) {
        Reporting::count(ledger.m_counters, "claim_transactions");
        startCall(ledger, *transaction, {Kind::Recover, {}}, output);
    }
}

void tickClaim(ClaimLedger &ledger, const Store::RowKey &key, Claim &claim, TimePoint now, ClaimOutput &output)
{
    expireWaiters(ledger, claim, now, output);
    const bool isAcquiring = claim.m_goal == Goal::Acquire && claim.m_step != Step::Held;
    const TimePoint deadline = claim.m_isRunningElsewhere ? claim.m_deadline : claim.m_confirmationDeadline;
    if (isAcquiring && now >= deadline) {
        deliverOutcome(ledger, claim.m_claimant, claim.m_isRunningElsewhere ? problemAlreadyRunning() : problemUnavailable(), output);
        return cancelAcquisition(ledger, key, claim, now, output);
    }
    startDueRead(ledger, key, claim, now, output);
}

}

bool isTableDown(const ClaimLedger &ledger)
{
    return ledger.m_consecutiveFailures >= ledger.m_settings.m_failureThreshold;
}

void beginClaim(ClaimLedger &ledger, const ClaimRequest &request, TimePoint now, ClaimOutput &output)
{
    const auto found = ledger.m_claims.find(request.m_key);
    if (found != ledger.m_claims.end()) {
        Claim &claim = found->second;
        if (claim.m_fingerprint != request.m_fingerprint) {
            return deliverOutcome(ledger, request.m_claimant, problemKeyReused(), output);
        }
        if (claim.m_goal == Goal::Complete && isFinal(claim.m_result.m_state)) {
            return deliverOutcome(ledger, request.m_claimant, finishedOutcome(claim.m_result.m_state, claim.m_result.m_response), output);
        }
        ledger.m_keys[request.m_claimant] = request.m_key;
        claim.m_waiters.push_back({request.m_claimant, request.m_deadline});
        return;
    }
    const auto recovered = ledger.m_recovery.m_pending.find(request.m_key);
    if (recovered != ledger.m_recovery.m_pending.end() && isFinal(recovered->second.m_record.m_state)) {
        return deliverOutcome(ledger, request.m_claimant, finishedOutcome(recovered->second.m_record.m_state, {}), output);
    }
    if (ledger.m_recovery.m_isInGrace) {
        Reporting::count(ledger.m_counters, "claims_refused{reason=\"store-restored\"}");
        return deliverOutcome(ledger, request.m_claimant, problemUnavailable(), output);
    }
    const bool isFull = ledger.m_claims.size() >= ledger.m_settings.m_maxClaims;
    const bool isDown = isTableDown(ledger);
    if (isFull || (isDown && now < ledger.m_nextProbeAt)) {
        Reporting::count(ledger.m_counters, isFull ? "claims_refused{reason=\"full\"}" : "claims_refused{reason=\"table-down\"}");
        return deliverOutcome(ledger, request.m_claimant, problemUnavailable(), output);
    }
    ledger.m_nextProbeAt = now + ledger.m_settings.m_probeInterval;
    ledger.m_keys[request.m_claimant] = request.m_key;
    startClaim(ledger, request, now);
    startWrites(ledger, false, output);
}

void abandonClaim(ClaimLedger &ledger, ClaimantId claimant, TimePoint now, ClaimOutput &output)
{
    const auto found = ledger.m_keys.find(claimant);
    if (found == ledger.m_keys.end()) {
        return;
    }
    const Store::RowKey key = found->second;
    Claim &claim = ledger.m_claims.at(key);
    if (claim.m_claimant == claimant) {
        if (claim.m_step != Step::Held) {
            cancelAcquisition(ledger, key, claim, now, output);
            startWrites(ledger, false, output);
        }
        return;
    }
    std::erase_if(claim.m_waiters, [claimant](const Claim::Waiter &waiter) { return waiter.m_claimant == claimant; });
    ledger.m_keys.erase(found);
}

void completeClaim(ClaimLedger &ledger, ClaimantId claimant, const ClaimResult &result, TimePoint /*now*/, ClaimOutput &output)
{
    const auto found = ledger.m_keys.find(claimant);
    if (found == ledger.m_keys.end()) {
        return;
    }
    const Store::RowKey key = found->second;
    Claim &claim = ledger.m_claims.at(key);
    if (claim.m_claimant != claimant || claim.m_step != Step::Held) {
        return;
    }
    setResult(ledger, claim, result, output);
    queueWrite(ledger, key, claim);
}

void onStoreEra(ClaimLedger &ledger, Store::Era era, TimePoint now, ClaimOutput &output)
{
    if (era <= ledger.m_storeEra) {
        return;
    }
    ledger.m_storeEra = era;
    startRecovery(ledger.m_recovery, now);
    std::vector<Store::RowKey> keys;
    keys.reserve(ledger.m_claims.size());
    for (const auto &[key, claim] : ledger.m_claims) {
        keys.push_back(key);
    }
    for (const Store::RowKey &key : keys) {
        Claim &claim = ledger.m_claims.at(key);
        // A result is written without the read that completing the claim needs: other hosts see it even if no response reaches this host.
        const bool isFinished = claim.m_goal == Goal::Complete && isFinal(claim.m_result.m_state);
        if (claim.m_step == Step::Held || isFinished) {
            recoverClaim(ledger.m_recovery, key, makeRecord(ledger, claim));
        } else if (claim.m_goal == Goal::Acquire) {
            refuseAcquisition(ledger, key, claim, now, output);
        }
    }
}

void onClaimCallCompleted(ClaimLedger &ledger, ClaimCallId call, const Store::Result &result, TimePoint now, ClaimOutput &output)
{
    const auto found = ledger.m_calls.find(call);
    if (found == ledger.m_calls.end()) {
        return;
    }
    const ClaimCallPurpose purpose = std::move(found->second);
    ledger.m_calls.erase(found);
    if (const auto era = Store::eraOf(result)) {
        onStoreEra(ledger, *era, now, output);
    }
    const bool hasFailed = std::holds_alternative<Store::NoResponse>(result) || std::holds_alternative<Store::Refused>(result);
    recordStoreCall(ledger.m_recovery, hasFailed, now);
    ledger.m_consecutiveFailures = hasFailed ? ledger.m_consecutiveFailures + 1 : 0;
    switch (purpose.m_kind) {
    case Kind::Write:
        --ledger.m_writeCalls;
        onWriteCompleted(ledger, call, purpose, result, now, output);
        break;
    case Kind::Read:
        --ledger.m_readCalls;
        onReadCompleted(ledger, call, purpose.m_rows.front().m_key, result, now, output);
        break;
    case Kind::ReadEpoch:
        onEpochCallCompleted(ledger, result, now, output);
        break;
    case Kind::Sweep:
        onSweepCompleted(ledger, result, output);
        break;
    case Kind::Recover:
        onRecoveryWritten(ledger.m_recovery, ledger.m_settings.m_recovery, result, ledger.m_counters, now);
        startRecoveryWrite(ledger, now, output);
        break;
    case Kind::Other:
        break;
    }
    startWrites(ledger, false, output);
}

void tickClaims(ClaimLedger &ledger, RandomGenerator &random, TimePoint now, ClaimOutput &output)
{
    if (tickGrace(ledger.m_recovery, ledger.m_settings.m_recovery, now)) {
        startCall(ledger, makeReadCall(epochKey()), {Kind::ReadEpoch, {}}, output);
    }
    startRecoveryWrite(ledger, now, output);
    std::vector<Store::RowKey> keys;
    keys.reserve(ledger.m_claims.size());
    for (const auto &[key, claim] : ledger.m_claims) {
        keys.push_back(key);
    }
    for (const Store::RowKey &key : keys) {
        tickClaim(ledger, key, ledger.m_claims.at(key), now, output);
    }
    if (beginEpochRead(ledger.m_expiry, ledger.m_settings.m_expiry, now)) {
        startCall(ledger, makeReadCall(epochKey()), {Kind::ReadEpoch, {}}, output);
    }
    if (const auto sweep = beginSweep(ledger.m_expiry, ledger.m_settings.m_expiry, random, now)) {
        startCall(ledger, *sweep, {Kind::Sweep, {}}, output);
    }
    startWrites(ledger, true, output);
}

}
