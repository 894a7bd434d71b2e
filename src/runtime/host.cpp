#include <ragwortrelay/runtime/decisionduty.h>
#include <ragwortrelay/runtime/host.h>

#include <curl/curl.h>

#include <future>
#include <random>
#include <sys/resource.h>

namespace RagwortRelay::Runtime {

namespace {

/// Returns a number that is higher than that of every earlier process of the host, as long as the clock wasn't set back in between.
Membership::Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Membership::Incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

Health::HealthSettings healthSettingsFrom(const Settings::HealthTuning &tuning)
{
    Health::HealthSettings health;
    health.m_ejectionThreshold = static_cast<double>(tuning.m_ejectionThreshold);
    health.m_slowFactor = static_cast<double>(tuning.m_slowFactor);
    health.m_firstWait = tuning.m_firstWait;
    health.m_longestWait = tuning.m_longestWait;
    health.m_trickleSuccesses = static_cast<std::uint32_t>(tuning.m_trialSuccesses);
    return health;
}

Node::NodeSettings nodeSettingsFrom(const Settings::Settings &settings, const PeerListener &listener)
{
    Node::NodeSettings node;
    node.m_host = settings.m_host.m_name;
    node.m_domain = settings.m_host.m_domain;
    node.m_incarnation = newIncarnation();
    node.m_platformIncarnation = settings.m_host.m_incarnation;
    node.m_peerAddress = listener.advertisedAddress();
    node.m_seedAddresses = settings.m_peers.m_seeds;
    node.m_pollInterval = settings.m_platform.m_pollInterval;
    node.m_configuration.m_isolationAfter = settings.m_configuration.m_isolationAfter;
    node.m_configuration.m_editLimit = settings.m_configuration.m_editLimit;
    node.m_balancerLag = settings.m_stop.m_balancerLag;
    node.m_stopLimit = settings.m_stop.m_limit;
    node.m_health = healthSettingsFrom(settings.m_health);
    node.m_queue = {settings.m_queue.m_perWorkspace, settings.m_queue.m_perService, settings.m_queue.m_longestWait};
    return node;
}

/// Lets the process open as many sockets as the system allows it.
void raiseDescriptorLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}

class Host::Implementation
{
public:
    explicit Implementation(const Settings::Settings &settings)
        : m_listener(settings.m_peers)
        , m_nodeSettings(nodeSettingsFrom(settings, m_listener))
        , m_decisions(m_nodeSettings, randomSeed())
        , m_callers(settings.m_callers, m_decisions.inputs(), [this](Node::AttemptId attempt) { m_decisions.onSpace(attempt); })
        , m_backends(settings.m_backends, m_decisions.inputs(), [this](Node::AttemptId attempt) { m_decisions.onBytes(attempt); })
        , m_platform(settings.m_platform, m_decisions.inputs())
        , m_operators(settings.m_operators, m_decisions.inputs())
        , m_peers(settings.m_peers, m_listener, settings.m_host.m_name, m_nodeSettings.m_incarnation, m_decisions.inputs())
    {
        m_decisions.connect(m_callers, m_backends, m_platform, m_operators, m_peers);
    }

    void start()
    {
        m_operators.setRuntimeCounters([this] { return counters(); });
        m_callers.start();
        m_operators.start();
        m_backends.start();
        m_platform.start();
        m_peers.start();
        m_decisions.start([this] { m_stopped.set_value(); });
    }

    void askToStop()
    {
        m_callers.announceStop();
        pushWaiting(m_decisions.inputs(), Node::StopAsked{});
    }

    void waitUntilStopped()
    {
        m_stopped.get_future().wait();
        m_callers.stop();
        m_operators.stop();
        m_backends.stop();
        m_platform.stop();
        m_peers.stop();
        m_decisions.stop();
    }

    [[nodiscard]] std::string callerAddress() const
    {
        return m_callers.address();
    }

    [[nodiscard]] std::string operatorAddress() const
    {
        return m_operators.address();
    }

    [[nodiscard]] const std::string &peerAddress() const
    {
        return m_listener.advertisedAddress();
    }

    [[nodiscard]] Reporting::Counters counters() const
    {
        Reporting::Counters all = m_peers.counters();
        all.merge(m_callers.counters());
        all.merge(m_backends.counters());
        all.merge(m_decisions.counters());
        return all;
    }

private:
    PeerListener m_listener;
    Node::NodeSettings m_nodeSettings;
    DecisionDuty m_decisions;
    CallerFront m_callers;
    BackendClient m_backends;
    PlatformClient m_platform;
    OperatorFront m_operators;
    PeerStreams m_peers;
    std::promise<void> m_stopped;
};

Host::Host(const Settings::Settings &settings)
{
    raiseDescriptorLimit();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_implementation = std::make_unique<Implementation>(settings);
}

Host::~Host() = default;

void Host::start()
{
    m_implementation->start();
}

void Host::askToStop()
{
    m_implementation->askToStop();
}

void Host::waitUntilStopped()
{
    m_implementation->waitUntilStopped();
}

std::string Host::callerAddress() const
{
    return m_implementation->callerAddress();
}

std::string Host::operatorAddress() const
{
    return m_implementation->operatorAddress();
}

std::string Host::peerAddress() const
{
    return m_implementation->peerAddress();
}

Reporting::Counters Host::counters() const
{
    return m_implementation->counters();
}

}
