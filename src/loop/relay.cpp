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

constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t NotFound = 404;
constexpr std::uint16_t ServiceUnavailable = 503;

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::shared_ptr<AnswerStream> textAnswer(std::uint16_t status, std::string body)
{
    auto stream = std::make_shared<AnswerStream>();
    stream->m_head.m_status = status;
    stream->m_head.m_headers = {{"Content-Type", "text/plain; charset=utf-8"}};
    stream->m_pending = std::move(body);
    stream->m_state = BodyState::Whole;
    return stream;
}

CallerFrontSettings statusFrontAt(const std::string &listen)
{
    CallerFrontSettings settings;
    settings.m_listen = listen;
    return settings;
}

}

class Relay::Implementation
{
public:
    Implementation(const RelaySettings &settings, const SettingsFile &file, const Surroundings &surroundings, LogDuty &log)
        : m_settings(settings)
        , m_file(file)
        , m_log(log)
        , m_context(1)
        , m_timer(m_context)
        , m_fileTimer(m_context)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_state(Host::makeState(settings.m_host, surroundings.m_source, randomSeed(), randomSeed()))
        , m_callers(m_context, settings.m_callers, surroundings.m_dialect, [this](const Host::Event &event) { handle(event); })
        , m_backends(m_context, settings.m_backends, surroundings.m_dialect, [this](const Host::Event &event) { handle(event); })
        , m_store(m_context, settings.m_store, surroundings.m_storeFormat, [this](const Host::Event &event) { handle(event); })
        , m_peers(m_context, settings.m_host.m_peerAddress, [this](const Host::Event &event) { handle(event); })
        , m_readiness(m_context,
                      statusFrontAt(settings.m_status.m_readinessListen),
                      surroundings.m_dialect,
                      [this](const Host::Event &event) { answerStatus(m_readiness, event); })
        , m_metrics(m_context, statusFrontAt(settings.m_status.m_metricsListen), surroundings.m_dialect, [this](const Host::Event &event) {
            answerStatus(m_metrics, event);
        })
    {
    }

    void run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        waitForSignal();
        m_readiness.start();
        if (!m_settings.m_status.m_metricsListen.empty()) {
            m_metrics.start();
        }
        if (!m_settings.m_host.m_peerAddress.empty()) {
            m_peers.start();
        }
        m_callers.start();
        m_log.log(Reporting::LogLine("started").with("callers", m_callers.address()).with("domain", m_settings.m_host.m_domain.text()));
        if (!m_file.m_name.empty()) {
            watchFile();
        }
        handle(Host::Ticked{});
        m_context.run();
        m_log.log(Reporting::LogLine("exited"));
    }

private:
    void waitForSignal()
    {
        m_signals.async_wait([this](const ErrorCode &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                readSettings();
            } else {
                handle(Host::StopAsked{});
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
        const TimePoint due = Host::nextDueAt(m_state);
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
                handle(Host::Ticked{});
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

    void performTyped(const Host::ForwardAnswer &forward)
    {
        const std::shared_ptr<AnswerStream> stream = m_backends.answerOf(forward.m_attempt);
        if (stream) {
            m_callers.answer(forward.m_exchange, stream);
        }
    }

    void performTyped(const Host::AnswerProblem &answer)
    {
        m_callers.refuse(answer.m_exchange, answer.m_problem);
    }

    void performTyped(const Host::CallStore &call)
    {
        m_store.call(call.m_call, call.m_request);
    }

    void performTyped(const Host::SendPeer &message)
    {
        m_peers.send(message.m_address, message.m_datagram);
    }

    void performTyped(const Host::SetPeerSecret &secret)
    {
        m_peers.setSecret(secret.m_secret);
    }

    void performTyped(const Host::DropConnections &drop)
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

    void performTyped(const Host::SendCallersAway & /*action*/)
    {
        m_callers.sendAway();
    }

    void performTyped(const Host::Log &line)
    {
        m_log.log(line.m_line);
    }

    void performTyped(const Host::Exit & /*action*/)
    {
        m_callers.stopListening();
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
        m_timer.expires_after(Interval);
        m_timer.async_wait([this](const ErrorCode &error) {
            if (!error) {
                finishWriting();
            }
        });
    }

    void answerStatus(CallerFront &front, const Host::Event &event)
    {
        const auto *request = std::get_if<Host::RequestArrived>(&event);
        if (request == nullptr) {
            return;
        }
        front.answer(request->m_exchange, statusOf(request->m_facts.m_path));
    }

    [[nodiscard]] std::shared_ptr<AnswerStream> statusOf(const std::string &path) const
    {
        if (path == m_settings.m_status.m_readinessPath) {
            return m_isReady ? textAnswer(Ok, "ready\n") : textAnswer(ServiceUnavailable, "not ready\n");
        }
        if (path == m_settings.m_status.m_metricsPath) {
            return textAnswer(Ok, metrics());
        }
        return textAnswer(NotFound, "nothing here\n");
    }

    [[nodiscard]] std::string metrics() const
    {
        Reporting::Counters counters = m_state.m_counters;
        Reporting::count(counters, "log_lines_dropped", m_log.dropped());
        Reporting::count(counters, "backend_connections_opened", m_backends.opened());
        Reporting::count(counters, "peer_datagrams_refused", m_peers.refused());
        return Reporting::exposition(counters);
    }

    RelaySettings m_settings;
    SettingsFile m_file;
    std::optional<std::filesystem::file_time_type> m_fileWrittenAt;
    LogDuty &m_log;
    asio::io_context m_context;
    asio::steady_timer m_timer;
    asio::steady_timer m_fileTimer;
    asio::signal_set m_signals;
    Host::State m_state;
    CallerFront m_callers;
    BackendPool m_backends;
    StoreClient m_store;
    PeerSocket m_peers;
    CallerFront m_readiness;
    CallerFront m_metrics;
    TimePoint m_timerDue = TimePoint::max();
    bool m_isReady = false;
    int m_finishRounds = 0;
};

Relay::Relay(const RelaySettings &settings, const SettingsFile &file, const Surroundings &surroundings, LogDuty &log)
    : m_implementation(std::make_unique<Implementation>(settings, file, surroundings, log))
{
}

Relay::~Relay() = default;

void Relay::run()
{
    m_implementation->run();
}

}
