#include <ragwortrelay/runtime/decisionduty.h>
#include <ragwortrelay/runtime/logging.h>

#include <poll.h>
#include <pthread.h>
#include <type_traits>

namespace RagwortRelay::Runtime {

TimePoint currentTime()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

namespace {

std::int64_t wallSeconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
}

}

DecisionDuty::DecisionDuty(const Node::NodeSettings &settings, std::uint64_t seed)
    : m_inputs(InputCapacity, [this] { m_wakeup.notify(); }), m_node(Node::makeNode(settings, seed))
{
}

DecisionDuty::~DecisionDuty()
{
    stop();
}

DecisionRing &DecisionDuty::inputs()
{
    return m_inputs;
}

void DecisionDuty::connect(CallerFront &callers, BackendClient &backends, PlatformClient &platform, OperatorFront &operators, PeerStreams &peers)
{
    m_callers = &callers;
    m_backends = &backends;
    m_platform = &platform;
    m_operators = &operators;
    m_peers = &peers;
}

void DecisionDuty::start(std::function<void()> onExit)
{
    m_onExit = std::move(onExit);
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), "decision");
}

void DecisionDuty::stop()
{
    m_stopping.store(true);
    m_wakeup.notify();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void DecisionDuty::run()
{
    constexpr Duration TickInterval = std::chrono::milliseconds(20);
    constexpr std::size_t MostInputs = 128; // Between two looks at the time, so that a flood of requests doesn't hold up leases.
    bool hasMore = false;
    TimePoint nextTick = currentTime();
    while (!m_stopping.load()) {
        const TimePoint now = currentTime();
        if (now >= nextTick) {
            handle(Node::Ticked{wallSeconds()});
            nextTick = now + TickInterval;
        }
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(nextTick - now);
        pollfd descriptor{m_wakeup.descriptor(), POLLIN, 0};
        if (poll(&descriptor, 1, hasMore ? 0 : static_cast<int>(wait.count())) > 0) {
            m_wakeup.clear();
        }
        hasMore = m_inputs.drain([this](DecisionInput &&input) { take(std::move(input)); }, MostInputs) == MostInputs;
        flush();
    }
}

void DecisionDuty::take(DecisionInput input)
{
    if (const auto *request = std::get_if<Node::RequestArrived>(&input.m_event)) {
        m_requests.emplace(request->m_exchange, std::move(input.m_request));
    }
    handle(input.m_event);
}

void DecisionDuty::handle(const Node::Event &event)
{
    for (const Node::Action &action : Node::handle(m_node, event, currentTime())) {
        perform(action);
    }
    // The request is of use only while the node still may start an attempt with it.
    const auto *gone = std::get_if<Node::CallerGone>(&event);
    if (gone != nullptr) {
        m_requests.erase(gone->m_exchange);
    }
    while (!m_localEvents.empty()) {
        const Node::Event local = std::move(m_localEvents.front());
        m_localEvents.pop_front();
        handle(local);
    }
    if (const auto *failed = std::get_if<Node::AttemptFailed>(&event)) {
        m_streams.erase(failed->m_attempt); // Nothing of it is ever forwarded.
    }
    if (const auto *ended = std::get_if<Node::AttemptEnded>(&event)) {
        forgetForwarded(ended->m_attempt);
    }
}

void DecisionDuty::forgetForwarded(Node::AttemptId attempt)
{
    const std::lock_guard lock(m_forwardedMutex);
    m_forwarded.erase(attempt);
}

void DecisionDuty::perform(const Node::Action &action)
{
    std::visit(
        [this](const auto &typed) {
            using Type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Type, Node::StartAttempt>) {
                startAttempt(typed);
            } else if constexpr (std::is_same_v<Type, Node::CancelAttempt>) {
                m_streams.erase(typed.m_attempt);
                forgetForwarded(typed.m_attempt);
                m_backends->orders().push(CancelRequest{typed.m_attempt});
            } else if constexpr (std::is_same_v<Type, Node::ForwardAnswer>) {
                forwardAnswer(typed);
            } else if constexpr (std::is_same_v<Type, Node::ReplayAnswer>) {
                replayAnswer(typed);
            } else if constexpr (std::is_same_v<Type, Node::AnswerProblem>) {
                answerProblem(typed);
            } else if constexpr (std::is_same_v<Type, Node::CallPlatform>) {
                m_waitingCalls.push_back(typed);
            } else if constexpr (std::is_same_v<Type, Node::AnswerOperator>) {
                m_waitingReplies.push_back(typed);
            } else if constexpr (std::is_same_v<Type, Node::SetReadiness>) {
                m_operators->setReady(typed.m_ready);
            } else if constexpr (std::is_same_v<Type, Node::SendPeer>) {
                m_peers->orders().push(typed); // A full ring counts the message as lost, which its sender must bear anyway.
            } else if constexpr (std::is_same_v<Type, Node::LogChange>) {
                logChange(typed.m_text);
            } else {
                m_onExit();
            }
        },
        action);
}

void DecisionDuty::startAttempt(const Node::StartAttempt &start)
{
    const auto request = m_requests.find(start.m_exchange);
    if (request == m_requests.end()) {
        m_localEvents.emplace_back(Node::AttemptFailed{start.m_attempt, Dispatch::AttemptFailure::Cancelled, false});
        return;
    }
    auto stream = std::make_shared<AnswerStream>();
    m_streams.emplace(start.m_attempt, stream);
    if (!m_backends->orders().push(SendRequest{start.m_attempt, start.m_address, start.m_idempotent, start.m_timeLeft, request->second, stream})) {
        m_localEvents.emplace_back(Node::AttemptFailed{start.m_attempt, Dispatch::AttemptFailure::ConnectFailed, false});
    }
}

void DecisionDuty::forwardAnswer(const Node::ForwardAnswer &forward)
{
    const auto stream = m_streams.find(forward.m_attempt);
    if (stream == m_streams.end()) {
        return;
    }
    if (stream->second->m_bodyState.load() == BodyState::Open) {
        const std::lock_guard lock(m_forwardedMutex);
        m_forwarded.emplace(forward.m_attempt, forward.m_exchange);
    }
    m_waitingFrontOrders.emplace_back(SendAnswer{forward.m_exchange, forward.m_attempt, stream->second});
    m_streams.erase(stream);
    m_requests.erase(forward.m_exchange);
}

void DecisionDuty::replayAnswer(const Node::ReplayAnswer &replay)
{
    static_assert(Dispatch::LargestStoredAnswer <= AnswerStream::BodyCapacity);
    auto stream = std::make_shared<AnswerStream>();
    stream->m_status = replay.m_answer.m_status;
    stream->m_contentLength = static_cast<std::int64_t>(replay.m_answer.m_body.size());
    for (const Dispatch::AnswerHeader &header : replay.m_answer.m_headers) {
        stream->m_headers.push_back({header.m_name, header.m_value});
    }
    stream->m_body.push(replay.m_answer.m_body.data(), replay.m_answer.m_body.size());
    stream->m_bodyState.store(BodyState::Whole);
    m_waitingFrontOrders.emplace_back(SendAnswer{replay.m_exchange, 0, stream});
    m_requests.erase(replay.m_exchange);
}

void DecisionDuty::answerProblem(const Node::AnswerProblem &answer)
{
    m_waitingFrontOrders.emplace_back(SendProblem{answer.m_exchange, answer.m_problem});
    m_requests.erase(answer.m_exchange);
}

void DecisionDuty::flush()
{
    while (!m_waitingFrontOrders.empty() && m_callers->orders().push(m_waitingFrontOrders.front())) {
        m_waitingFrontOrders.pop_front();
    }
    while (!m_waitingReplies.empty() && m_operators->orders().push(m_waitingReplies.front())) {
        m_waitingReplies.pop_front();
    }
    while (!m_waitingCalls.empty() && m_platform->orders().push(m_waitingCalls.front())) {
        m_waitingCalls.pop_front();
    }
}

Reporting::Counters DecisionDuty::counters() const
{
    return {{"ring_refused{ring=\"decision\"}", m_inputs.refused()}};
}

void DecisionDuty::onSpace(Node::AttemptId attempt)
{
    m_backends->orders().push(SpaceReady{attempt});
}

void DecisionDuty::onBytes(Node::AttemptId attempt)
{
    const std::lock_guard lock(m_forwardedMutex);
    const auto exchange = m_forwarded.find(attempt);
    if (exchange != m_forwarded.end()) {
        m_callers->orders().push(BytesReady{exchange->second});
    }
}

}
