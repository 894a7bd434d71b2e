#include <ragwortrelay/host/metrics.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/loop/clock.h>
#include <ragwortrelay/loop/eventloop.h>
#include <ragwortrelay/loop/peersocket.h>
#include <ragwortrelay/loop/relay.h>
#include <ragwortrelay/reporting/counters.h>

#include <csignal>
#include <filesystem>
#include <random>
#include <type_traits>

namespace RagwortRelay::Loop {

namespace {

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::int64_t unixSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::shared_ptr<ResponseStream> makeResponseStream(const Dispatch::StoredResponse &stored)
{
    auto stream = std::make_shared<ResponseStream>();
    stream->m_head.m_status = stored.m_status;
    for (const Dispatch::ResponseHeader &header : stored.m_headers) {
        stream->m_head.m_headers.push_back({header.m_name, header.m_value});
    }
    stream->m_pending = stored.m_body;
    stream->m_state = BodyState::Whole;
    return stream;
}

}

class Relay::Implementation
{
public:
    Implementation(const RelaySettings &settings, const SettingsFile &settingsFile, const PlatformAdapter &adapter, LogWriter &log)
        : m_settings(settings)
        , m_settingsFile(settingsFile)
        , m_log(log)
        , m_budget(std::make_shared<CallerBudget>(settings.m_callerBudget))
        , m_context(1)
        , m_timer(m_context)
        , m_settingsFileTimer(m_context)
        , m_exitTimer(m_context)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_peerSocket(m_context, settings.m_host.m_peerAddress, [this](const Host::Event &event) { handle(event); })
        , m_state(Host::makeState(openPeerSocket(), adapter.m_source, randomSeed(), randomSeed()))
        , m_callers(m_context, withBudget(settings.m_callers), adapter.m_headerScheme, [this](const Host::Event &event) { handle(event); })
        , m_backends(m_context, settings.m_backends, adapter.m_headerScheme, [this](const Host::Event &event) { handle(event); })
        , m_store(m_context, settings.m_store, adapter.m_storeFormat, [this](const Host::Event &event) { handle(event); })
        , m_readinessListener(m_context, settings.m_status.m_readinessListen, m_budget, makePageLookup())
        , m_metricsListener(m_context, settings.m_status.m_metricsListen, m_budget, makePageLookup())
        , m_operators(m_context, withBudget(settings.m_operators), makePageLookup(), [this](const Host::OperatorCommandReceived &command) { handle(command); })
    {
        m_budget->setObserver([this](ReleaseReason reason) { onCallerReleased(reason); });
    }

    void run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        awaitSignal();
        startStatusListeners();
        m_callers.start();
        logStart();
        if (!m_settingsFile.m_name.empty()) {
            watchSettingsFile();
        }
        handle(Host::TimerExpired{unixSeconds()});
        runEventLoop(m_context, [this](const std::exception &exception) { reportException("connection", exception); });
        m_log.log(Reporting::LogLine("exited"));
    }

private:
    /// Returns the settings of a listener with the budget that all listeners share.
    template<typename ListenerSettings> ListenerSettings withBudget(ListenerSettings settings) const
    {
        settings.m_budget = m_budget;
        return settings;
    }

    /// Logs that connections of callers were closed, once a second at most, as there may be thousands.
    void onCallerReleased(ReleaseReason reason)
    {
        constexpr Duration Interval = std::chrono::seconds(1);
        const TimePoint now = currentTime();
        if (now < m_nextReleaseLine) {
            return;
        }
        m_nextReleaseLine = now + Interval;
        m_log.log(Reporting::LogLine("caller-connections-closed", Reporting::Severity::Warning)
                      .with("reason", reason == ReleaseReason::Memory ? "memory" : "connections")
                      .with("held_bytes", std::to_string(m_budget->held()))
                      .with("closed_for_memory", std::to_string(m_budget->released(ReleaseReason::Memory)))
                      .with("closed_for_connections", std::to_string(m_budget->released(ReleaseReason::Connections))));
    }

    /// Opens the port for other hosts. Returns the settings of the host with the actual address of that port.
    Host::HostSettings openPeerSocket()
    {
        Host::HostSettings host = m_settings.m_host;
        if (!host.m_peerAddress.empty()) {
            m_peerSocket.start();
            m_peerSocket.setSecret(host.m_secret);
            host.m_peerAddress = m_peerSocket.address();
        }
        return host;
    }

    void startStatusListeners()
    {
        if (!m_settings.m_status.m_readinessListen.empty()) {
            m_readinessListener.start();
        }
        if (!m_settings.m_status.m_metricsListen.empty()) {
            m_metricsListener.start();
        }
        if (!m_settings.m_operators.m_listen.empty()) {
            m_operators.start();
        }
    }

    void logStart()
    {
        const HostId &leader = m_state.m_leadership.m_leader;
        m_log.log(Reporting::LogLine("started")
                      .with("domain", m_settings.m_host.m_domain.text())
                      .with("callers", m_callers.address())
                      .with("operators", m_settings.m_operators.m_listen.empty() ? "" : m_operators.address())
                      .with("peers", m_state.m_settings.m_peerAddress)
                      .with("leader", leader.text()));
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const ErrorCode &error, int signal) {
            if (error) {
                return;
            }
            awaitSignal();
            if (signal == SIGHUP) {
                readSettings();
            } else {
                handle(Host::StopRequested{});
            }
        });
    }

    void readSettings()
    {
        const auto settings = m_settingsFile.m_read(m_log);
        if (settings) {
            handle(Host::SettingsChanged{*settings});
        }
    }

    /// Polls the modification time of the settings file, so that a change takes effect without SIGHUP, too.
    void watchSettingsFile()
    {
        constexpr auto Interval = std::chrono::seconds(1);
        m_settingsFileTimer.expires_after(Interval);
        m_settingsFileTimer.async_wait([this](const ErrorCode &result) {
            if (!result) {
                watchSettingsFile();
            }
        });
        std::error_code error;
        const auto modifiedAt = std::filesystem::last_write_time(m_settingsFile.m_name, error);
        if (error) {
            return;
        }
        const bool isChanged = m_settingsFileModifiedAt && modifiedAt != *m_settingsFileModifiedAt;
        m_settingsFileModifiedAt = modifiedAt;
        if (isChanged) {
            readSettings();
        }
    }

    /// Passes an event to the state machine and performs the actions. Never throws: an exception costs only the event or the action.
    void handle(const Host::Event &event)
    {
        Host::Actions actions;
        try {
            actions = Host::handle(m_state, event, currentTime());
        } catch (const std::exception &exception) {
            onEventFailed(event, exception);
        }
        for (const Host::Action &action : actions) {
            try {
                perform(action);
            } catch (const std::exception &exception) {
                reportException("action", exception);
            }
        }
        armTimer();
    }

    void onEventFailed(const Host::Event &event, const std::exception &exception)
    {
        constexpr Duration RetryInterval = std::chrono::milliseconds(100); // An event of the timer that fails again must not occupy the processor.
        m_noTimerBefore = currentTime() + RetryInterval;
        reportException("event", exception);
        const auto *request = std::get_if<Host::RequestArrived>(&event);
        if (request != nullptr) {
            m_callers.abandon(request->m_exchange);
        }
    }

    /// Logs and counts an exception that ended the work on one connection, event or action.
    void reportException(const char *source, const std::exception &exception)
    {
        ++m_exceptions;
        m_log.log(Reporting::LogLine("exception", Reporting::Severity::Error).with("source", source).with("reason", exception.what()));
    }

    /// Arms the timer for the next event of the state machine, unless it is armed for that time already.
    void armTimer()
    {
        const TimePoint expiry = std::max(Host::nextTimerAt(m_state), m_noTimerBefore);
        if (expiry == m_timerExpiry) {
            return;
        }
        m_timerExpiry = expiry;
        if (expiry == TimePoint::max()) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(std::max(Duration(0), expiry - currentTime()));
        m_timer.async_wait([this](const ErrorCode &error) {
            if (!error) {
                m_timerExpiry = TimePoint::max();
                handle(Host::TimerExpired{unixSeconds()});
            }
        });
    }

    void perform(const Host::Action &action)
    {
        std::visit([this](const auto &alternative) { performAction(alternative); }, action);
    }

    void performAction(const Host::StartAttempt &start)
    {
        const CallerRequest *request = m_callers.requestOf(start.m_exchange);
        if (request != nullptr) {
            return m_backends.start(start, *request);
        }
        const Host::AttemptId attempt = start.m_attempt;
        asio::post(m_context, [this, attempt] { handle(Host::AttemptFailed{attempt, Dispatch::AttemptFailure::Cancelled, false}); });
    }

    void performAction(const Host::CancelAttempt &cancel)
    {
        m_backends.cancel(cancel);
    }

    void performAction(const Host::ForwardResponse &forward)
    {
        const std::shared_ptr<ResponseStream> stream = m_backends.responseOf(forward.m_attempt);
        if (stream) {
            m_callers.response(forward.m_exchange, stream);
        }
    }

    void performAction(const Host::ReplayResponse &replay)
    {
        m_callers.response(replay.m_exchange, makeResponseStream(replay.m_response));
    }

    void performAction(const Host::ReplyToOperator &reply)
    {
        m_operators.sendReply(reply);
    }

    void performAction(const Host::SendProblem &refusal)
    {
        m_callers.refuse(refusal.m_exchange, refusal.m_problem);
    }

    void performAction(const Host::CallStore &call)
    {
        m_store.call(call.m_call, call.m_request);
    }

    void performAction(const Host::SendDatagram &message)
    {
        m_peerSocket.send(message.m_address, message.m_datagram);
    }

    void performAction(const Host::SetPeerSecret &secret)
    {
        m_peerSocket.setSecret(secret.m_secret);
    }

    void performAction(const Host::CloseIdleConnections &action)
    {
        m_backends.dropConnections(action.m_server);
    }

    void performAction(const Host::SetReadiness &readiness)
    {
        m_isReady = readiness.m_ready;
    }

    void performAction(const Host::SetCallerLimits &limits)
    {
        m_callers.setLimits(limits.m_limits);
    }

    void performAction(const Host::DrainCallers & /*action*/)
    {
        m_callers.startDraining();
    }

    void performAction(const Host::CloseIdleCallers & /*action*/)
    {
        m_callers.closeIdleConnections();
    }

    void performAction(const Host::Log &line)
    {
        m_log.log(line.m_line);
    }

    void performAction(const Host::Exit &exit)
    {
        constexpr Duration MinWriteTime = std::chrono::milliseconds(200); // For responses that were made just before the limit.
        m_exitAt = currentTime() + std::max(MinWriteTime, exit.m_timeLeft);
        m_callers.stop();
        awaitResponses();
    }

    /// Stops the event loop when all responses are written, or when it is time to exit.
    void awaitResponses()
    {
        constexpr auto Interval = std::chrono::milliseconds(20);
        if (m_callers.unfinishedResponses() == 0 || currentTime() >= m_exitAt) {
            return m_context.stop();
        }
        m_exitTimer.expires_after(Interval);
        m_exitTimer.async_wait([this](const ErrorCode &error) {
            if (!error) {
                awaitResponses();
            }
        });
    }

    PageLookup makePageLookup()
    {
        return [this](const std::string &path) { return findPage(path); };
    }

    [[nodiscard]] std::optional<Page> findPage(const std::string &path) const
    {
        if (path == m_settings.m_status.m_readinessPath) {
            return m_isReady ? Page{Http::Status::Ok, "application/json", "{\"ready\":true}"}
                             : Page{Http::Status::ServiceUnavailable, "application/json", "{\"ready\":false}"};
        }
        if (path == m_settings.m_status.m_metricsPath) {
            return Page{Http::Status::Ok, "text/plain; version=0.0.4", formatMetricsPage()};
        }
        return std::nullopt;
    }

    [[nodiscard]] std::string formatMetricsPage() const
    {
        Reporting::Counters counters;
        Reporting::count(counters, "log_lines_dropped", m_log.dropped());
        Reporting::count(counters, "backend_connections_opened", m_backends.opened());
        Reporting::count(counters, "peer_datagrams_refused", m_peerSocket.refused());
        Reporting::count(counters, "exceptions", m_exceptions);
        Reporting::count(counters, "caller_connections_closed{reason=\"memory\"}", m_budget->released(ReleaseReason::Memory));
        Reporting::count(counters, "caller_connections_closed{reason=\"connections\"}", m_budget->released(ReleaseReason::Connections));
        const Reporting::Gauges gauges{{"caller_bytes_held", static_cast<double>(m_budget->held())}};
        return Host::metricsOf(m_state, currentTime()) + Reporting::formatMetrics(counters) + Reporting::formatMetrics(gauges);
    }

    RelaySettings m_settings;
    SettingsFile m_settingsFile;
    std::optional<std::filesystem::file_time_type> m_settingsFileModifiedAt;
    LogWriter &m_log;
    std::shared_ptr<CallerBudget> m_budget; ///< Outlives the context, whose pending operations may hold connections.
    asio::io_context m_context;
    asio::steady_timer m_timer;
    asio::steady_timer m_settingsFileTimer;
    asio::steady_timer m_exitTimer;
    asio::signal_set m_signals;
    PeerSocket m_peerSocket;
    Host::State m_state;
    CallerListener m_callers;
    BackendPool m_backends;
    StoreClient m_store;
    StatusListener m_readinessListener;
    StatusListener m_metricsListener;
    OperatorListener m_operators;
    TimePoint m_timerExpiry = TimePoint::max();
    TimePoint m_noTimerBefore{}; ///< Earliest time of the next timer event, after one that failed.
    TimePoint m_nextReleaseLine{}; ///< Earliest time of the next line about closed connections.
    std::uint64_t m_exceptions = 0; ///< Exceptions that ended the work on one connection, event or action.
    bool m_isReady = false;
    TimePoint m_exitAt; ///< Time at which the event loop stops although responses are being written.
};

Relay::Relay(const RelaySettings &settings, const SettingsFile &settingsFile, const PlatformAdapter &adapter, LogWriter &log)
    : m_implementation(std::make_unique<Implementation>(settings, settingsFile, adapter, log))
{
}

Relay::~Relay() = default;

void Relay::run()
{
    m_implementation->run();
}

}
