#include <ragwortrelay/loop/log.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <pthread.h>
#include <unistd.h>

namespace RagwortRelay::Loop {

namespace {

const char *nameOf(Reporting::Severity severity)
{
    switch (severity) {
    case Reporting::Severity::Debug:
        return "debug";
    case Reporting::Severity::Info:
        return "info";
    case Reporting::Severity::Warning:
        return "warning";
    case Reporting::Severity::Error:
        return "error";
    }
    return "";
}

std::int64_t wallClockMicroseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

/// Writes all bytes to standard output. The remaining bytes are discarded on an error, for instance when the reader of a pipe is gone.
void writeToStandardOutput(const std::string &text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t count = ::write(STDOUT_FILENO, text.data() + written, text.size() - written);
        if (count <= 0) {
            return;
        }
        written += static_cast<std::size_t>(count);
    }
}

}

std::string toJson(const TimestampedLine &line, const std::string &host)
{
    nlohmann::ordered_json json{
        {"time_us", line.m_wallClockMicroseconds}, {"level", nameOf(line.m_line.m_severity)}, {"host", host}, {"event", line.m_line.m_event}};
    for (const auto &[name, value] : line.m_line.m_fields) {
        json[name] = value;
    }
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

LogWriter::LogWriter(std::string host, Reporting::Severity minSeverity)
    : m_host(std::move(host)), m_minSeverity(minSeverity), m_lines(Capacity, [this] {
        if (m_isWaiting.exchange(false)) {
            const std::lock_guard lock(m_mutex);
            m_linesAvailable.notify_one();
        }
    })
{
}

LogWriter::~LogWriter()
{
    stop();
}

void LogWriter::start()
{
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), "log");
}

void LogWriter::log(Reporting::LogLine line)
{
    if (line.m_severity >= m_minSeverity) {
        m_lines.push({wallClockMicroseconds(), std::move(line)});
    }
}

void LogWriter::stop()
{
    m_isStopping.store(true);
    {
        const std::lock_guard lock(m_mutex);
        m_isWaiting.store(false);
        m_linesAvailable.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::uint64_t LogWriter::dropped() const
{
    return m_lines.refused();
}

void LogWriter::run()
{
    constexpr auto BatchInterval = std::chrono::milliseconds(200); // Delay after the first line, so that lines are written in batches.
    while (!m_isStopping.load()) {
        m_isWaiting.store(true);
        writeQueuedLines();
        {
            std::unique_lock lock(m_mutex);
            m_linesAvailable.wait(lock, [this] { return !m_isWaiting.load() || m_isStopping.load(); });
        }
        if (!m_isStopping.load()) {
            std::this_thread::sleep_for(BatchInterval);
        }
    }
    writeQueuedLines();
}

void LogWriter::writeQueuedLines()
{
    std::string text;
    m_lines.drain([&](TimestampedLine &&line) {
        text += toJson(line, m_host);
        text += '\n';
    });
    if (m_lines.refused() != m_reportedDropped) {
        const std::uint64_t droppedTotal = m_lines.refused();
        const auto count = static_cast<std::int64_t>(droppedTotal - m_reportedDropped);
        m_reportedDropped = droppedTotal;
        text += toJson({wallClockMicroseconds(), Reporting::LogLine("log-lines-dropped", Reporting::Severity::Warning).with("count", count)}, m_host) + '\n';
    }
    if (!text.empty()) {
        writeToStandardOutput(text);
    }
}

}
