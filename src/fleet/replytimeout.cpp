#include <ragwortrelay/fleet/replytimeout.h>

#include <algorithm>

namespace RagwortRelay::Fleet {

ReplyTimeout afterReply(const ReplyTimeout &timeout, Duration replyTime)
{
    constexpr int SmoothingDivisor = 8;
    constexpr int VariationDivisor = 4;
    if (!timeout.m_smoothed) {
        return {replyTime, replyTime / 2, 0, {}};
    }
    const Duration difference = replyTime - *timeout.m_smoothed;
    const Duration deviation = std::max(difference, -difference);
    return {*timeout.m_smoothed + difference / SmoothingDivisor, timeout.m_variation + (deviation - timeout.m_variation) / VariationDivisor, 0, {}};
}

ReplyTimeout afterTimeout(const ReplyTimeout &timeout, const ReplyTimeoutSettings &settings, RandomGenerator &random, TimePoint now)
{
    ReplyTimeout result = timeout;
    ++result.m_timeouts;
    if (result.m_timeouts < settings.m_maxTimeouts) {
        return result;
    }
    constexpr unsigned MaxDoublings = 16;
    const unsigned doublings = std::min(MaxDoublings, result.m_timeouts - settings.m_maxTimeouts);
    const Duration pause = std::min(settings.m_maxPause, settings.m_minPause * (1U << doublings));
    const double jitter = 0.5 + randomUnit(random);
    result.m_pausedUntil = now + std::chrono::duration_cast<Duration>(pause * jitter);
    return result;
}

Duration waitFor(const ReplyTimeout &timeout, const ReplyTimeoutSettings &settings)
{
    constexpr int VariationFactor = 4;
    constexpr unsigned MaxDoublings = 8;
    const Duration usual = timeout.m_smoothed.value_or(Duration(0)) + VariationFactor * timeout.m_variation;
    const Duration base = std::max(settings.m_minTimeout, usual);
    return std::min(settings.m_maxTimeout, base * (1U << std::min(MaxDoublings, timeout.m_timeouts)));
}

bool isPaused(const ReplyTimeout &timeout, TimePoint now)
{
    return now < timeout.m_pausedUntil;
}

}
