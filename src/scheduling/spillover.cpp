#include <ragwortrelay/core/decay.h>
#include <ragwortrelay/scheduling/spillover.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace RagwortRelay::Scheduling {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the size limit after a request. It settles where the share of smaller requests is the wanted one.
double adjustedMaxKib(double maxKib, double share, double kib)
{
    constexpr double Step = 0.1;
    constexpr double MinKib = 0.01;
    constexpr double MaxKib = 1e6;
    const double adjusted = maxKib * std::exp(Step * (kib <= maxKib ? share - 1.0 : share));
    return std::clamp(adjusted, MinKib, MaxKib);
}

}

std::string toString(SpilloverReason reason)
{
    switch (reason) {
    case SpilloverReason::OwnServersFull:
        return "own-servers-full";
    case SpilloverReason::OwnServersSick:
        return "own-servers-sick";
    case SpilloverReason::PriceBelowBenefit:
        return "price-below-benefit";
    case SpilloverReason::UnusedServer:
        return "unused-server";
    }
    return {};
}

bool isEnabled(const SpilloverSettings &settings)
{
    return settings.m_pricePerKib > 0.0 || settings.m_pricePerMs > 0.0;
}

double spilloverPrice(const SpilloverSettings &settings, double kib)
{
    return settings.m_pricePerKib * kib + settings.m_pricePerMs * std::chrono::duration<double, std::milli>(settings.m_latency).count();
}

double expectedRate(const DomainDemand &demand, const SpilloverSettings &settings, TimePoint now)
{
    const double fast = demand.m_fastRate * decayFactor(now - demand.m_updatedAt, settings.m_fastAveragingTime);
    const double slow = demand.m_slowRate * decayFactor(now - demand.m_updatedAt, settings.m_slowAveragingTime);
    // An average lags a rate that changes evenly by its averaging time.
    const double slope = (fast - slow) / secondsOf(settings.m_slowAveragingTime - settings.m_fastAveragingTime);
    return std::max(0.0, fast + slope * secondsOf(settings.m_fastAveragingTime + settings.m_horizon));
}

double expectedUtilization(const DomainDemand &demand, const SpilloverSettings &settings, TimePoint now)
{
    const double rate = expectedRate(demand, settings, now);
    if (demand.m_capacity <= 0.0) {
        return rate > 0.0 ? std::numeric_limits<double>::max() : 0.0;
    }
    return rate / demand.m_capacity;
}

DomainDemand afterArrival(const DomainDemand &demand, const SpilloverSettings &settings, double kib, TimePoint now)
{
    DomainDemand next = demand;
    const Duration elapsed = now - demand.m_updatedAt;
    next.m_fastRate = demand.m_fastRate * decayFactor(elapsed, settings.m_fastAveragingTime) + 1.0 / secondsOf(settings.m_fastAveragingTime);
    next.m_slowRate = demand.m_slowRate * decayFactor(elapsed, settings.m_slowAveragingTime) + 1.0 / secondsOf(settings.m_slowAveragingTime);
    next.m_updatedAt = now;
    const double utilization = expectedUtilization(next, settings, now);
    next.m_isSpilling = utilization > (demand.m_isSpilling ? settings.m_stopBelow : settings.m_startAbove);
    next.m_spillShare = next.m_isSpilling ? std::max(0.0, 1.0 - settings.m_startAbove / utilization) : 0.0;
    next.m_maxSpillKib = next.m_isSpilling ? adjustedMaxKib(demand.m_maxSpillKib > 0.0 ? demand.m_maxSpillKib : kib, next.m_spillShare, kib) : 0.0;
    return next;
}

DomainDemand afterReceipt(const DomainDemand &demand, const SpilloverSettings &settings, TimePoint now)
{
    DomainDemand next = demand;
    const double decay = decayFactor(now - demand.m_receivedAt, settings.m_fastAveragingTime);
    next.m_receivedRate = demand.m_receivedRate * decay + 1.0 / secondsOf(settings.m_fastAveragingTime);
    next.m_receivedAt = now;
    return next;
}

bool shouldLeave(const DomainDemand &demand, const SpilloverSettings &settings, double kib)
{
    return demand.m_isSpilling && kib <= demand.m_maxSpillKib && spilloverPrice(settings, kib) <= settings.m_maxSpillPrice;
}

bool mayReceive(const DomainDemand &target, const DomainDemand &source, const SpilloverSettings &settings, TimePoint now)
{
    const double received = target.m_receivedRate * decayFactor(now - target.m_receivedAt, settings.m_fastAveragingTime);
    const bool isFull = expectedRate(target, settings, now) + received >= settings.m_stopBelow * target.m_capacity;
    return !target.m_isSpilling && !isFull && expectedUtilization(target, settings, now) < expectedUtilization(source, settings, now);
}

Duration expectedWait(const DomainDemand &demand, const SpilloverSettings &settings, TimePoint now)
{
    if (demand.m_capacity <= 0.0) {
        return Duration::max();
    }
    const double excess = std::max(0.0, expectedRate(demand, settings, now) - demand.m_capacity);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1.0 + excess) / demand.m_capacity));
}

double waitingCost(Duration wait, Duration spare)
{
    return wait >= spare ? 1.0 : std::max(0.0, secondsOf(wait) / secondsOf(spare));
}

}
