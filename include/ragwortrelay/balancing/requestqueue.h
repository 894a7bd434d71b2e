#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace RagwortRelay::Balancing {

/// Bounds of the queue before one service.
struct QueueSettings {
    std::size_t m_perWorkspace = 32; ///< Requests.
    std::size_t m_perService = 256; ///< Requests.
    Duration m_longestWait{std::chrono::seconds(1)};

    friend bool operator==(const QueueSettings &, const QueueSettings &) = default;
};

/// A request that waits for a slot.
struct QueuedRequest {
    std::uint64_t m_id = 0;
    WorkspaceId m_workspace;
    double m_weight = 1.0; ///< Of the workspace; positive.
    TimePoint m_startBefore; ///< It can't be answered in time when it starts later.

    friend bool operator==(const QueuedRequest &, const QueuedRequest &) = default;
};

/// Requests of one workspace, first come first served.
struct WorkspaceQueue {
    std::deque<QueuedRequest> m_requests;
    double m_startTag = 0.0; ///< Virtual time at which its first request starts.
};

/// Requests that wait for the servers of one service. Workspaces take turns by start-time fair queueing.
/// Source: Goyal, Vin and Cheng, "Start-time Fair Queueing" (1996).
struct RequestQueue {
    std::map<WorkspaceId, WorkspaceQueue> m_workspaces;
    std::size_t m_size = 0;
    double m_virtualTime = 0.0;
    Duration m_turnInterval{0}; ///< Between two turns, as a moving average.
    std::optional<TimePoint> m_lastTurn;
    TimePoint m_retryAt; ///< No turn before this time unless a slot became free.
    Duration m_retryWait{0}; ///< Grows with each turn that found no slot.
};

/// Why enqueue() refused.
enum class QueueRefusal : std::uint8_t {
    WorkspaceFull,
    ServiceFull,
    TooLate, ///< Its turn would come after its deadline.
};

/// Puts a request at the end of its workspace's queue.
/// Precondition: the request isn't queued.
/// @return nothing, or why the request must be refused
tl::expected<void, QueueRefusal> enqueue(RequestQueue &queue, const QueueSettings &settings, const QueuedRequest &request, TimePoint now);

/// Puts a request whose turn was in vain back to the front of its workspace's queue, without a further charge.
void enqueueAgain(RequestQueue &queue, const QueuedRequest &request);

/// Returns the request whose turn it is, or nothing when the queue is empty.
std::optional<std::uint64_t> nextTurn(const RequestQueue &queue);

/// Takes the request whose turn it is out of the queue and charges its workspace. Precondition: the queue isn't empty.
void takeTurn(RequestQueue &queue, TimePoint now);

/// Takes a request out of the queue without a charge; returns whether it was there.
bool removeRequest(RequestQueue &queue, const WorkspaceId &workspace, std::uint64_t id);

/// Takes out and returns the requests that can't be answered in time any more.
std::vector<std::uint64_t> expire(RequestQueue &queue, TimePoint now);

/// Returns how long a new request of the workspace would wait by the turns of late.
Duration expectedWait(const RequestQueue &queue, const WorkspaceId &workspace, double weight);

/// Puts off the next turn after one that found no free slot. The waits are drawn at random, so that hosts don't try in step.
void noteNoSlot(RequestQueue &queue, RandomGenerator &random, TimePoint now);

/// Lets the waits shrink after a request was run.
void noteSlot(RequestQueue &queue);

}
