#include <ragwortrelay/limits/throttle.h>

#include <algorithm>

namespace RagwortRelay::Limits {

namespace {

constexpr auto SlotCount = static_cast<std::int64_t>(Throttle::Slots);

/// Returns the number of the slot that contains a time.
std::int64_t slotAt(const ThrottleSettings &settings, TimePoint now)
{
    const std::int64_t length = std::max<std::int64_t>(1, settings.m_window.count() / SlotCount);
    return now.time_since_epoch().count() / length;
}

ThrottleCounts &slotOf(Throttle &throttle, std::int64_t number)
{
    return throttle.m_slots.at(static_cast<std::size_t>(number % SlotCount));
}

/// Clears the slots that have passed since the last recorded outcome.
void advance(Throttle &throttle, std::int64_t slot)
{
    for (std::int64_t number = std::max(throttle.m_slot, slot - SlotCount) + 1; number <= slot; ++number) {
        slotOf(throttle, number) = {};
    }
    throttle.m_slot = std::max(throttle.m_slot, slot);
}

}

void recordOutcome(Throttle &throttle, const ThrottleSettings &settings, ThrottleOutcome outcome, TimePoint now)
{
    advance(throttle, slotAt(settings, now));
    ThrottleCounts &counts = slotOf(throttle, throttle.m_slot);
    switch (outcome) {
    case ThrottleOutcome::Admitted:
        ++counts.m_admitted;
        break;
    case ThrottleOutcome::Refused:
        if (countsOf(throttle, settings, now).m_refused == 0) {
            throttle.m_slots.fill({});
        }
        ++counts.m_refused;
        break;
    case ThrottleOutcome::Throttled:
        ++counts.m_throttled;
        break;
    }
}

ThrottleCounts countsOf(const Throttle &throttle, const ThrottleSettings &settings, TimePoint now)
{
    Throttle current = throttle;
    advance(current, slotAt(settings, now));
    ThrottleCounts sum;
    for (const ThrottleCounts &counts : current.m_slots) {
        sum.m_admitted += counts.m_admitted;
        sum.m_refused += counts.m_refused;
        sum.m_throttled += counts.m_throttled;
    }
    return sum;
}

double throttleProbability(const Throttle &throttle, const ThrottleSettings &settings, TimePoint now)
{
    const ThrottleCounts counts = countsOf(throttle, settings, now);
    if (counts.m_refused == 0) {
        return 0.0;
    }
    const double requests = static_cast<double>(counts.m_admitted) + counts.m_refused + counts.m_throttled;
    return std::max(0.0, (requests - settings.m_multiplier * counts.m_admitted) / (requests + 1.0));
}

bool isIdle(const Throttle &throttle, const ThrottleSettings &settings, TimePoint now)
{
    return slotAt(settings, now) - throttle.m_slot >= SlotCount;
}

Duration throttledRetryDelay(Duration maxDelay, double position)
{
    constexpr double MinFraction = 0.5;
    return std::chrono::duration_cast<Duration>(maxDelay * (MinFraction + (1.0 - MinFraction) * position));
}

}
