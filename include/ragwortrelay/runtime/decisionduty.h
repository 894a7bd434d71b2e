#pragma once

#include <ragwortrelay/node/node.h>
#include <ragwortrelay/runtime/backendclient.h>
#include <ragwortrelay/runtime/callerfront.h>
#include <ragwortrelay/runtime/input.h>
#include <ragwortrelay/runtime/operatorfront.h>
#include <ragwortrelay/runtime/peerstreams.h>
#include <ragwortrelay/runtime/platformclient.h>
#include <ragwortrelay/runtime/wakeup.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace RagwortRelay::Runtime {

/// Returns the present time of the monotonic clock of this host. Thread-safe.
TimePoint currentTime();

/// Duty that owns the state of the host: takes events from its ring, decides, and hands the actions to the other duties.
///
/// It never waits for another duty. When the ring of the backend client is full, the attempt fails as not sent; orders for the
/// fronts and the platform wait in a list of its own, which holds at most one entry a request.
class DecisionDuty
{
public:
    DecisionDuty(const Node::NodeSettings &settings, std::uint64_t seed);
    ~DecisionDuty();
    DecisionDuty(const DecisionDuty &) = delete;
    DecisionDuty &operator=(const DecisionDuty &) = delete;

    /// Returns the ring for events. Thread-safe.
    [[nodiscard]] DecisionRing &inputs();

    /// Connects the other duties. Call once, before start(); they must outlive the thread.
    void connect(CallerFront &callers, BackendClient &backends, PlatformClient &platform, OperatorFront &operators, PeerStreams &peers);

    /// Starts the thread. Call once, after connect().
    /// @param onExit called on the duty's thread once the host has stopped gracefully
    void start(std::function<void()> onExit);

    /// Ends the thread. Thread-safe; idempotent.
    void stop();

    /// Returns how many events found the ring full. Thread-safe.
    [[nodiscard]] Reporting::Counters counters() const;

    /// Passes on that a stream has room again. Thread-safe.
    void onSpace(Node::AttemptId attempt);

    /// Passes on that a stream has more bytes. Thread-safe.
    void onBytes(Node::AttemptId attempt);

private:
    void run();
    void take(DecisionInput input);
    void handle(const Node::Event &event);
    void perform(const Node::Action &action);
    void startAttempt(const Node::StartAttempt &start);
    void forwardAnswer(const Node::ForwardAnswer &forward);
    void replayAnswer(const Node::ReplayAnswer &replay);
    void answerProblem(const Node::AnswerProblem &answer);
    void forgetForwarded(Node::AttemptId attempt);
    void flush();

    static constexpr std::size_t InputCapacity = 32768;

    Wakeup m_wakeup;
    DecisionRing m_inputs;
    Node::Node m_node;
    CallerFront *m_callers = nullptr;
    BackendClient *m_backends = nullptr;
    PlatformClient *m_platform = nullptr;
    OperatorFront *m_operators = nullptr;
    PeerStreams *m_peers = nullptr;
    std::map<Node::ExchangeId, std::shared_ptr<const CallerRequest>> m_requests;
    std::map<Node::AttemptId, std::shared_ptr<AnswerStream>> m_streams;
    std::deque<Node::Event> m_localEvents;
    std::deque<FrontOrder> m_waitingFrontOrders;
    std::deque<Node::CallPlatform> m_waitingCalls;
    std::deque<Node::AnswerOperator> m_waitingReplies;
    std::mutex m_forwardedMutex; ///< Guards m_forwarded, which two other duties read.
    std::map<Node::AttemptId, Node::ExchangeId> m_forwarded;
    std::function<void()> m_onExit;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

}
