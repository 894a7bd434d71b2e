#pragma once

#include <ragwortrelay/loop/ring.h>
#include <ragwortrelay/reporting/logline.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace RagwortRelay::Loop {

/// Log line with the time at which it was logged.
struct TimestampedLine {
    std::int64_t m_wallClockMicroseconds = 0; ///< Wall-clock time in microseconds since 1970; for readers only, no decision depends on it.
    Reporting::LogLine m_line{""};
};

/// Returns a line as one JSON object without a line break. Thread-safe.
std::string toJson(const TimestampedLine &line, const std::string &host);

/// Writes log lines to standard output from a separate thread.
/// Logging doesn't wait for the output: when the queue is full, lines are dropped and counted.
class LogWriter
{
public:
    /// Creates a writer that drops lines below a severity.
    /// @param host host name, written in each line
    LogWriter(std::string host, Reporting::Severity minSeverity);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Starts the writing thread. Call once.
    void start();

    /// Queues a line, or drops it if its severity is too low or the queue is full. Thread-safe.
    void log(Reporting::LogLine line);

    /// Writes the queued lines and ends the thread. Thread-safe; idempotent.
    void stop();

    /// Returns the number of lines that were dropped because the queue was full. Thread-safe.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void run();
    void writeQueuedLines();

    static constexpr std::size_t Capacity = 2048; // lines

    std::string m_host;
    Reporting::Severity m_minSeverity;
    std::mutex m_mutex;
    std::condition_variable m_linesAvailable;
    std::atomic<bool> m_isWaiting{false};
    std::atomic<bool> m_isStopping{false};
    Ring<TimestampedLine> m_lines;
    std::uint64_t m_reportedDropped = 0;
    std::thread m_thread;
};

}
