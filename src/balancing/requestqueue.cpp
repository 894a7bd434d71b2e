#include <ragwortrelay/balancing/requestqueue.h>

#include <algorithm>

namespace RagwortRelay::Balancing {

namespace {

constexpr double AverageGain = 0.1;
constexpr Duration ShortestRetryWait = std::chrono::milliseconds(5);
constexpr Duration LongestRetryWait = std::chrono::milliseconds(40);

using Entry = std::map<WorkspaceId, WorkspaceQueue>::const_iterator;

/// Returns the workspace with the lowest start tag among those with requests, or the end.
Entry firstInTurn(const RequestQueue &queue)
{
    Entry first = queue.m_workspaces.end();
    for (Entry entry = queue.m_workspaces.begin(); entry != queue.m_workspaces.end(); ++entry) {
        const bool isWaiting = !entry->second.m_requests.empty();
        if (isWaiting && (first == queue.m_workspaces.end() || entry->second.m_startTag < first->second.m_startTag)) {
            first = entry;
        }
    }
    return first;
}

/// Forgets empty queues whose charge is paid off.
void forgetIdle(RequestQueue &queue)
{
    if (queue.m_size == 0) {
        queue.m_workspaces.clear();
        queue.m_lastTurn.reset();
        return;
    }
    std::erase_if(queue.m_workspaces,
                  [&queue](const auto &entry) { return entry.second.m_requests.empty() && entry.second.m_startTag <= queue.m_virtualTime; });
}

WorkspaceQueue &queueOf(RequestQueue &queue, const WorkspaceId &workspace)
{
    WorkspaceQueue &own = queue.m_workspaces[workspace];
    if (own.m_requests.empty()) {
        own.m_startTag = std::max(own.m_startTag, queue.m_virtualTime);
    }
    return own;
}

}

tl::expected<void, QueueRefusal> enqueue(RequestQueue &queue, const QueueSettings &settings, const QueuedRequest &request, TimePoint now)
{
    const auto own = queue.m_workspaces.find(request.m_workspace);
    const std::size_t ahead = own == queue.m_workspaces.end() ? 0 : own->second.m_requests.size();
    if (ahead >= settings.m_perWorkspace) {
        return tl::unexpected(QueueRefusal::WorkspaceFull);
    }
    if (queue.m_size >= settings.m_perService) {
        return tl::unexpected(QueueRefusal::ServiceFull);
    }
    const Duration wait = expectedWait(queue, request.m_workspace, request.m_weight);
    if (wait > settings.m_longestWait || now + wait >= request.m_startBefore) {
        return tl::unexpected(QueueRefusal::TooLate);
    }
    queueOf(queue, request.m_workspace).m_requests.push_back(request);
    ++queue.m_size;
    return {};
}

void enqueueAgain(RequestQueue &queue, const QueuedRequest &request)
{
    WorkspaceQueue &own = queueOf(queue, request.m_workspace);
    own.m_requests.push_front(request);
    own.m_startTag = std::max(0.0, own.m_startTag - 1.0 / request.m_weight);
    ++queue.m_size;
}

std::optional<std::uint64_t> nextTurn(const RequestQueue &queue)
{
    const Entry first = firstInTurn(queue);
    return first == queue.m_workspaces.end() ? std::nullopt : std::optional(first->second.m_requests.front().m_id);
}

void takeTurn(RequestQueue &queue, TimePoint now)
{
    WorkspaceQueue &own = queue.m_workspaces.at(firstInTurn(queue)->first);
    queue.m_virtualTime = std::max(queue.m_virtualTime, own.m_startTag);
    own.m_startTag += 1.0 / own.m_requests.front().m_weight;
    own.m_requests.pop_front();
    --queue.m_size;
    if (queue.m_lastTurn) {
        const auto change = static_cast<double>((now - *queue.m_lastTurn - queue.m_turnInterval).count());
        queue.m_turnInterval += Duration(static_cast<std::int64_t>(AverageGain * change));
    }
    queue.m_lastTurn = now;
    forgetIdle(queue);
}

bool removeRequest(RequestQueue &queue, const WorkspaceId &workspace, std::uint64_t id)
{
    const auto own = queue.m_workspaces.find(workspace);
    if (own == queue.m_workspaces.end()) {
        return false;
    }
    const std::size_t removed = std::erase_if(own->second.m_requests, [id](const QueuedRequest &request) { return request.m_id == id; });
    queue.m_size -= removed;
    forgetIdle(queue);
    return removed > 0;
}

std::vector<std::uint64_t> expire(RequestQueue &queue, TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[workspace, own] : queue.m_workspaces) {
        std::erase_if(own.m_requests, [&](const QueuedRequest &request) {
            const bool isLate = now >= request.m_startBefore;
            if (isLate) {
                expired.push_back(request.m_id);
            }
            return isLate;
        });
    }
    queue.m_size -= expired.size();
    forgetIdle(queue);
    return expired;
}

Duration expectedWait(const RequestQueue &queue, const WorkspaceId &workspace, double weight)
{
    const auto own = queue.m_workspaces.find(workspace);
    const double turnsOfOwn = own == queue.m_workspaces.end() ? 1.0 : static_cast<double>(own->second.m_requests.size()) + 1.0;
    double turns = turnsOfOwn;
    for (const auto &[id, other] : queue.m_workspaces) {
        if (id != workspace && !other.m_requests.empty()) {
            const double share = turnsOfOwn * other.m_requests.front().m_weight / weight;
            turns += std::min(static_cast<double>(other.m_requests.size()), share);
        }
    }
    return Duration(static_cast<std::int64_t>(turns * static_cast<double>(queue.m_turnInterval.count())));
}

void noteNoSlot(RequestQueue &queue, RandomGenerator &random, TimePoint now)
{
    constexpr double LeastPart = 0.5;
    queue.m_retryWait = std::clamp(queue.m_retryWait * 2, ShortestRetryWait, LongestRetryWait);
    const double part = LeastPart + drawUnit(random);
    queue.m_retryAt = now + Duration(static_cast<std::int64_t>(part * static_cast<double>(queue.m_retryWait.count())));
}

void noteSlot(RequestQueue &queue)
{
    queue.m_retryWait /= 2;
}

}
