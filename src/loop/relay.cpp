#include <ragwortrelay/host/metrics.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/loop/clock.h>
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

std::int64_t wallSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::shared_ptr<ResponseStream> responseFrom(const Dispatch::StoredResponse &stored)
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
    Implementation(const RelaySettings &settings, const SettingsFile &file, const PlatformAdapter &adapter, LogWriter &log)
        : m_settings(settings)
        , m_file(file)
        , m_log(log)
        , m_context(1)
        , m_timer(m_context)
        , m_fileTimer(m_context)
        , m_finishTimer(m_context)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_peers(m_context, settings.m_host.m_peerAddress, [this](const Host::Event &event) { handle(event); })
        , m_state(Host::makeState(startPeers(), adapter.m_source, randomSeed(), randomSeed()))
        , m_callers(m_context, settings.m_callers, adapter.m_headerScheme, [this](const Host::Event &event) { handle(event); })
        , m_backends(m_context, settings.m_backends, adapter.m_headerScheme, [this](const Host::Event &event) { handle(event); })
        , m_store(m_context, settings.m_store, adapter.m_storeFormat, [this](const Host::Event &event) { handle(event); })
        , m_readiness(m_context, settings.m_status.m_readinessListen, pages())
        , m_metrics(m_context, settings.m_status.m_metricsListen, pages())
        , m_operators(m_context, settings.m_operators, pages(), [this](const Host::OperatorCommandReceived &asked) { handle(asked); })
    {
    }

    void run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        waitForSignal();
        startStatus();
        m_callers.start();
        logStart();
        if (!m_file.m_name.empty()) {
            watchFile();
        }
        handle(Host::TimerExpired{wallSeconds()});
        m_context.run();
        m_log.log(Reporting::LogLine("exited"));
    }

private:
    /// Opens the port for other hosts; returns the settings of the host with the address that the port has.
    Host::HostSettings startPeers()
    {
        Host::HostSettings host = m_settings.m_host;
        if (!host.m_peerAddress.empty()) {
            m_peers.start();
            m_peers.setSecret(host.m_secret);
            host.m_peerAddress = m_peers.address();
        }
        return host;
    }

    void startStatus()
    {
        if (!m_settings.m_status.m_readinessListen.empty()) {
            m_readiness.start();
        }
        if (!m_settings.m_status.m_metricsListen.empty()) {
            m_metrics.start();
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

    void waitForSignal()
    {
        m_signals.async_wait([this](const ErrorCode &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                readSettings();
            } else {
                handle(Host::StopRequested{});
            }
            waitForSignal();
        });
    }

    void readSettings()
    {
        const auto settings = m_file.m_read(m_log);
        if (settings) {
            handle(Host::SettingsChanged{*settings});
        }
    }

    /// Looks now and then whether the settings file was written without a signal.
    void watchFile()
    {
        constexpr auto Interval = std::chrono::seconds(1);
        std::error_code error;
        const auto writtenAt = std::filesystem::last_write_time(m_file.m_name, error);
        if (!error && m_fileWrittenAt && writtenAt != *m_fileWrittenAt) {
            readSettings();
        }
        if (!error) {
            m_fileWrittenAt = writtenAt;
        }
        m_fileTimer.expires_after(Interval);
        m_fileTimer.async_wait([this](const ErrorCode &result) {
            if (!result) {
                watchFile();
            }
        });
    }

    void handle(const Host::Event &event)
    {
        const Host::Actions actions = Host::handle(m_state, event, currentTime());
        for (const Host::Action &action : actions) {
            perform(action);
        }
        armTimer();
    }

    /// Sets the timer for what is due next, unless it is set for the same time.
    void armTimer()
    {
        const TimePoint due = Host::nextTimerAt(m_state);
        if (due == m_timerDue) {
            return;
        }
        m_timerDue = due;
        if (due == TimePoint::max()) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(std::max(Duration(0), due - currentTime()));
        m_timer.async_wait([this](const ErrorCode &error) {
            if (!error) {
                m_timerDue = TimePoint::max();
                handle(Host::TimerExpired{wallSeconds()});
            }
        });
    }

    void perform(const Host::Action &action)
    {
        std::visit([this](const auto &typed) { performTyped(typed); }, action);
    }

    void performTyped(const Host::StartAttempt &start)
    {
        const CallerRequest *request = m_callers.requestOf(start.m_exchange);
        if (request != nullptr) {
            return m_backends.start(start, *request);
        }
        const Host::AttemptId attempt = start.m_attempt;
        asio::post(m_context, [this, attempt] { handle(Host::AttemptFailed{attempt, Dispatch::AttemptFailure::Cancelled, false}); });
    }

    void performTyped(const Host::CancelAttempt &cancel)
    {
        m_backends.cancel(cancel);
    }

    void performTyped(const Host::ForwardResponse &forward)
    {
        const std::shared_ptr<ResponseStream> stream = m_backends.responseOf(forward.m_attempt);
        if (stream) {
            m_callers.response(forward.m_exchange, stream);
        }
    }

    void performTyped(const Host::ReplayResponse &replay)
    {
        m_callers.response(replay.m_exchange, responseFrom(replay.m_response));
    }

    void performTyped(const Host::ReplyToOperator &response)
    {
        m_operators.response(response);
    }

    void performTyped(const Host::SendProblem &response)
    {
        m_callers.refuse(response.m_exchange, response.m_problem);
    }

    void performTyped(const Host::CallStore &call)
    {
        m_store.call(call.m_call, call.m_request);
    }

    void performTyped(const Host::SendDatagram &message)
    {
        m_peers.send(message.m_address, message.m_datagram);
    }

    void performTyped(const Host::SetPeerSecret &secret)
    {
        m_peers.setSecret(secret.m_secret);
    }

    void performTyped(const Host::CloseIdleConnections &drop)
    {
        m_backends.dropConnections(drop.m_server);
    }

    void performTyped(const Host::SetReadiness &readiness)
    {
        m_isReady = readiness.m_ready;
    }

    void performTyped(const Host::SetCallerLimits &limits)
    {
        m_callers.setLimits(limits.m_limits);
    }

    void performTyped(const Host::DrainCallers & /*action*/)
    {
        m_callers.startDraining();
    }

    void performTyped(const Host::Log &line)
    {
        m_log.log(line.m_line);
    }

    void performTyped(const Host::Exit & /*action*/)
    {
        m_callers.stop();
        finishWriting();
    }

    /// Ends the loop once the answers that are under way are written.
    void finishWriting()
    {
        constexpr auto Interval = std::chrono::milliseconds(20);
        constexpr int MostRounds = 10;
        if (m_callers.unwritten() == 0 || ++m_finishRounds > MostRounds) {
            return m_context.stop();
        }
        m_finishTimer.expires_after(Interval);
        m_finishTimer.async_wait([this](const ErrorCode &error) {
            if (!error) {
                finishWriting();
            }
        });
    }

    Pages pages()
    {
        return [this](const std::string &path) { return pageAt(path); };
    }

    [[nodiscard]] std::optional<Page> pageAt(const std::string &path) const
    {
        if (path == m_settings.m_status.m_readinessPath) {
            return m_isReady ? Page{Http::Status::Ok, "application/json", "{\"ready\":true}"}
                             : Page{Http::Status::ServiceUnavailable, "application/json", "{\"ready\":false}"};
        }
        if (path == m_settings.m_status.m_metricsPath) {
            return Page{Http::Status::Ok, "text/plain; version=0.0.4", metrics()};
        }
        return std::nullopt;
    }

    [[nodiscard]] std::string metrics() const
    {
        Reporting::Counters counters;
        Reporting::count(counters, "log_lines_dropped", m_log.dropped());
        Reporting::count(counters, "backend_connections_opened", m_backends.opened());
        Reporting::count(counters, "peer_datagrams_refused", m_peers.refused());
        return Host::metricsOf(m_state, currentTime()) + Reporting::formatMetrics(counters);
    }

    RelaySettings m_settings;
    SettingsFile m_file;
    std::optional<std::filesystem::file_time_type> m_fileWrittenAt;
    LogWriter &m_log;
    asio::io_context m_context;
    asio::steady_timer m_timer;
    asio::steady_timer m_fileTimer;
    asio::steady_timer m_finishTimer;
    asio::signal_set m_signals;
    PeerSocket m_peers;
    Host::State m_state;
    CallerListener m_callers;
    BackendPool m_backends;
    StoreClient m_store;
    StatusListener m_readiness;
    StatusListener m_metrics;
    OperatorListener m_operators;
    TimePoint m_timerDue = TimePoint::max();
    bool m_isReady = false;
    int m_finishRounds = 0;
};

Relay::Relay(const RelaySettings &settings, const SettingsFile &file, const PlatformAdapter &adapter, LogWriter &log)
    : m_implementation(std::make_unique<Implementation>(settings, file, adapter, log))
{
}

Relay::~Relay() = default;

void Relay::run()
{
    m_implementation->run();
}

}
