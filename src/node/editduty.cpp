#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/detail/node/duties.h>

#include <algorithm>
#include <cctype>

namespace RagwortRelay::Node::detail {

namespace {

using Configuration::Change;
using Configuration::EncodedChange;

constexpr std::size_t MostQueuedEdits = 1000;
constexpr std::size_t LongestChangeId = 64;
constexpr Duration RetryAfterFailure = std::chrono::milliseconds(250);
constexpr Duration LongestRetryAfterRefusal = std::chrono::milliseconds(50);

/// What is to be done with a queued edit.
enum class Verdict : std::uint8_t {
    Answered, ///< Take it out of the queue.
    Keep, ///< Look at it again later.
    Busy, ///< A call for it was started; look at no other.
    Append,
};

/// Changes that the next transaction is to append.
struct Batch {
    std::vector<EncodedChange> m_changes;
    Configuration::Overlay m_overlay;
    std::size_t m_bytes = 0;
};

void answer(Actions &actions, const QueuedEdit &queued, OperatorReply reply)
{
    actions.push_back(AnswerOperator{queued.m_call, std::move(reply)});
}

bool isChangeId(const std::string &text)
{
    const auto allowed = [](unsigned char letter) { return std::isalnum(letter) != 0 || letter == '-' || letter == '_'; };
    return !text.empty() && text.size() <= LongestChangeId && std::all_of(text.begin(), text.end(), allowed);
}

QueuedEdit *findEdit(EditQueue &queue, const std::string &changeId)
{
    const auto found = std::find_if(queue.m_edits.begin(), queue.m_edits.end(), [&](const QueuedEdit &queued) { return queued.m_edit.m_changeId == changeId; });
    return found == queue.m_edits.end() ? nullptr : &*found;
}

/// Starts a call for one edit.
void startFor(Node &node, const std::string &changeId, const Platform::Call &request, PlatformPurpose purpose, TimePoint now, Actions &actions)
{
    node.m_configuration.m_queue.m_isBusy = true;
    node.m_configuration.m_queue.m_subject = changeId;
    callPlatform(node, request, {purpose, 0, now, 0}, actions);
}

void retryLater(Node &node, TimePoint now, Duration wait)
{
    node.m_configuration.m_queue.m_retryAt = now + wait;
}

std::string reasonOf(const Node &node)
{
    return node.m_configuration.m_isStoreBehind ? "the store lacks the version that is in force" : "the store gave no usable answer in time";
}

/// Handles an edit that conflicts or is wrong by the table as this host has it. Nothing is said to the operator before a read of the
/// store that began after the edit arrived has shown that the table is up to date, and another that the change wasn't appended
/// before: a conflict would otherwise be one with the edit itself, whose answer was lost. A write of it that is still under way
/// can't take effect any more, since the version that it builds on isn't the newest.
Verdict refuse(Node &node, QueuedEdit &queued, const Batch &batch, OperatorReply reply, TimePoint now, Actions &actions)
{
    const auto &confirmedAt = node.m_configuration.m_freshness.m_confirmedAt;
    if (!confirmedAt || *confirmedAt < queued.m_arrivedAt) {
        if (!node.m_pollRuns) {
            pollSoon(node, now, actions);
        } else {
            node.m_configuration.m_pollAgain = true;
        }
        return Verdict::Keep;
    }
    if (!batch.m_changes.empty()) {
        return Verdict::Keep;
    }
    if (!queued.m_wasLookedUp) {
        const std::string &id = queued.m_edit.m_changeId;
        startFor(node, id, Platform::GetItem{Configuration::changeKey(id)}, PlatformPurpose::LookUpChange, now, actions);
        return Verdict::Busy;
    }
    answer(actions, queued, std::move(reply));
    return Verdict::Answered;
}

/// Adds an edit to the batch if nothing stands against it.
Verdict consider(Node &node, QueuedEdit &queued, Batch &batch, TimePoint now, Actions &actions)
{
    const Configuration::EditTable &edit = queued.m_edit;
    const auto known = node.m_configuration.m_versionOfChange.find(edit.m_changeId);
    if (known != node.m_configuration.m_versionOfChange.end()) {
        answer(actions, queued, EditDone{known->second});
        return Verdict::Answered;
    }
    if (now - queued.m_arrivedAt >= node.m_settings.m_configuration.m_editLimit) {
        answer(actions, queued, EditUnresolved{reasonOf(node), queued.m_mayBeWritten});
        return Verdict::Answered;
    }
    const bool isRepeated =
        std::any_of(batch.m_changes.begin(), batch.m_changes.end(), [&](const EncodedChange &other) { return other.m_change.m_changeId == edit.m_changeId; });
    if (isRepeated || batch.m_changes.size() == Configuration::MostChanges) {
        return Verdict::Keep;
    }
    const auto conflicts = Configuration::conflictsOf(node.m_table, batch.m_overlay, edit);
    if (!conflicts.empty()) {
        return refuse(node, queued, batch, EditConflict{conflicts}, now, actions);
    }
    EncodedChange encoded{Configuration::changeOf(edit, node.m_table.m_version + batch.m_changes.size() + 1), {}};
    const Findings findings = Configuration::checkChange(node.m_table, batch.m_overlay, encoded.m_change);
    if (!findings.empty()) {
        return refuse(node, queued, batch, EditRefused{findings}, now, actions);
    }
    encoded.m_body = Configuration::encodeChange(encoded.m_change);
    if (encoded.m_body.size() > Configuration::LargestInlineChange && !queued.m_hasObject) {
        if (!batch.m_changes.empty()) {
            return Verdict::Keep;
        }
        const Platform::PutObject put{Configuration::changeObject(edit.m_changeId), encoded.m_body};
        startFor(node, edit.m_changeId, put, PlatformPurpose::WriteChangeObject, now, actions);
        return Verdict::Busy;
    }
    if (!batch.m_changes.empty() && batch.m_bytes + encoded.m_body.size() > Configuration::LargestTransaction) {
        return Verdict::Keep;
    }
    batch.m_bytes += encoded.m_body.size();
    for (const Configuration::Row &row : encoded.m_change.m_rows) {
        batch.m_overlay.insert_or_assign(row.m_key, row);
    }
    batch.m_changes.push_back(std::move(encoded));
    return Verdict::Append;
}

void append(Node &node, Batch batch, TimePoint now, Actions &actions)
{
    EditQueue &queue = node.m_configuration.m_queue;
    for (const EncodedChange &change : batch.m_changes) {
        QueuedEdit *queued = findEdit(queue, change.m_change.m_changeId);
        queued->m_wasLookedUp = false;
    }
    queue.m_isBusy = true;
    queue.m_running = std::move(batch.m_changes);
    const Platform::Transact transact = Configuration::appendTransaction(queue.m_running);
    callPlatform(node, transact, {PlatformPurpose::AppendChanges, 0, now, queue.m_running.front().m_change.m_version}, actions);
}

/// Returns the id of a change that the store refused because it was appended before; empty when there is none.
std::string repeatedChange(const std::vector<EncodedChange> &changes, const Platform::Refused &refused)
{
    for (const std::size_t index : refused.m_failedWrites) {
        const bool isChangeId = index > 0 && index % Configuration::WritesOfChange == 0;
        const std::size_t change = index / Configuration::WritesOfChange - 1;
        if (isChangeId && change < changes.size()) {
            return changes[change].m_change.m_changeId;
        }
    }
    return {};
}

void onAppended(Node &node, const std::vector<EncodedChange> &changes, TimePoint now, Actions &actions)
{
    for (const EncodedChange &change : changes) {
        if (bringInForce(node, change.m_change.m_version, change.m_body, now, actions)) {
            sendHint(node, change.m_change.m_version, change.m_body, actions);
        }
    }
    writeSnapshot(node, changes.front().m_change.m_version, now, actions);
}

}

void queueEdit(Node &node, OperatorCallId call, const EditTable &edit, TimePoint now, Actions &actions)
{
    EditQueue &queue = node.m_configuration.m_queue;
    const QueuedEdit queued{call, edit, now};
    if (!isChangeId(edit.m_changeId)) {
        const Finding finding{{"edit", 0, 0}, ErrorId::TableUnreadable, "the change id must have 1 to 64 letters, digits, '-' or '_'"};
        return answer(actions, queued, EditRefused{{finding}});
    }
    if (edit.m_rows.empty()) {
        return answer(actions, queued, EditDone{node.m_table.m_version});
    }
    if (queue.m_edits.size() >= MostQueuedEdits) {
        return answer(actions, queued, EditUnresolved{"too many edits wait on this host", false});
    }
    queue.m_edits.push_back(queued);
    runEdits(node, now, actions);
}

void runEdits(Node &node, TimePoint now, Actions &actions)
{
    EditQueue &queue = node.m_configuration.m_queue;
    if (queue.m_isBusy || (queue.m_retryAt && now < *queue.m_retryAt)) {
        return;
    }
    Batch batch;
    for (auto queued = queue.m_edits.begin(); queued != queue.m_edits.end();) {
        const Verdict verdict = consider(node, *queued, batch, now, actions);
        if (verdict == Verdict::Busy) {
            return;
        }
        queued = verdict == Verdict::Answered ? queue.m_edits.erase(queued) : std::next(queued);
    }
    if (!batch.m_changes.empty()) {
        append(node, std::move(batch), now, actions);
    }
}

void onChangeLookedUp(Node &node, const Platform::Result &result, TimePoint now, Actions &actions)
{
    ConfigurationState &state = node.m_configuration;
    state.m_queue.m_isBusy = false;
    QueuedEdit *queued = findEdit(state.m_queue, state.m_queue.m_subject);
    const auto *read = std::get_if<Platform::ItemRead>(&result);
    if (read == nullptr) {
        return retryLater(node, now, RetryAfterFailure);
    }
    if (read->m_item) {
        state.m_versionOfChange.emplace(state.m_queue.m_subject, read->m_item->m_version);
        state.m_changeOrder.push_back(state.m_queue.m_subject);
    } else if (queued != nullptr) {
        queued->m_wasLookedUp = true;
    }
    runEdits(node, now, actions);
}

void onChangeObjectWritten(Node &node, const Platform::Result &result, TimePoint now, Actions &actions)
{
    EditQueue &queue = node.m_configuration.m_queue;
    queue.m_isBusy = false;
    QueuedEdit *queued = findEdit(queue, queue.m_subject);
    if (!std::holds_alternative<Platform::Written>(result)) {
        return retryLater(node, now, RetryAfterFailure);
    }
    if (queued != nullptr) {
        queued->m_hasObject = true;
    }
    runEdits(node, now, actions);
}

void onChangesAppended(Node &node, const Platform::Result &result, TimePoint now, Actions &actions)
{
    EditQueue &queue = node.m_configuration.m_queue;
    const std::vector<EncodedChange> changes = std::move(queue.m_running);
    queue.m_running.clear();
    queue.m_isBusy = false;
    if (std::holds_alternative<Platform::Written>(result)) {
        onAppended(node, changes, now, actions);
        return runEdits(node, now, actions);
    }
    if (const auto *refused = std::get_if<Platform::Refused>(&result)) {
        const std::string repeated = repeatedChange(changes, *refused);
        if (!repeated.empty()) {
            return startFor(node, repeated, Platform::GetItem{Configuration::changeKey(repeated)}, PlatformPurpose::LookUpChange, now, actions);
        }
        // Another host was first. Hosts that try again at different times get in each other's way less.
        const auto jitter = static_cast<std::int64_t>(drawBelow(node.m_random, static_cast<std::uint64_t>(LongestRetryAfterRefusal.count())));
        retryLater(node, now, Duration(jitter));
        return pollSoon(node, now, actions);
    }
    for (const EncodedChange &change : changes) {
        QueuedEdit *queued = findEdit(queue, change.m_change.m_changeId);
        if (queued != nullptr) {
            queued->m_mayBeWritten = true;
        }
    }
    retryLater(node, now, RetryAfterFailure);
    pollSoon(node, now, actions);
}

}
