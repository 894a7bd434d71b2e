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

/// A line with the time at which it was logged.
struct TimedLine {
    std::int64_t m_wallMicroseconds = 0; ///< Since 1970 by the wall clock, for readers only.
    Reporting::LogLine m_line{""};
};

/// Writes a line as one JSON object, without its end. Thread-safe.
std::string toJson(const TimedLine &line, const std::string &host);

/// Duty that writes log lines to standard output from a thread of its own. Whoever logs never waits: a full ring drops lines and
/// counts them.
class LogWriter
{
public:
    /// @param host stands in each line
    LogWriter(std::string host, Reporting::Severity least);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Starts the thread. Call once.
    void start();

    /// Adds a line. Thread-safe.
    void log(Reporting::LogLine line);

    /// Writes what was logged and ends the thread. Thread-safe; idempotent.
    void stop();

    /// Returns how many lines were dropped. Thread-safe.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void run();
    void writeAll();

    static constexpr std::size_t Capacity = 2048; // lines

    std::string m_host;
    Reporting::Severity m_least;
    std::mutex m_mutex;
    std::condition_variable m_hasLines;
    std::atomic<bool> m_isWaiting{false};
    std::atomic<bool> m_isStopping{false};
    Ring<TimedLine> m_lines;
    std::uint64_t m_droppedTold = 0;
    std::thread m_thread;
};

}
