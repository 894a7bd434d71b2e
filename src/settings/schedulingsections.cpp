#include <ragwortrelay/detail/settings/sections.h>

namespace RagwortRelay::Settings::detail {

using std::chrono::milliseconds;
using std::chrono::minutes;

RetrySettings readRetries(YamlReader reader)
{
    constexpr double MaxRatio = 10.0;
    constexpr std::uint64_t MaxReserve = 1'000'000;
    RetrySettings settings;
    settings.m_ratio = reader.number("ratio", settings.m_ratio, 0.0, MaxRatio);
    settings.m_reserve = reader.integer("reserve", settings.m_reserve, 0, MaxReserve);
    reader.reportUnknownKeys();
    return settings;
}

HealthSettings readHealth(YamlReader reader)
{
    constexpr double MinAvoidAbove = 0.05;
    constexpr double MaxAvoidAbove = 0.95;
    HealthSettings settings;
    settings.m_floor = reader.number("floor", settings.m_floor, 0.0, 1.0);
    settings.m_avoidAbove = reader.number("avoid-above", settings.m_avoidAbove, MinAvoidAbove, MaxAvoidAbove);
    settings.m_trialInterval = reader.duration("trial-interval", settings.m_trialInterval, milliseconds(50), minutes(5));
    reader.reportUnknownKeys();
    return settings;
}

WarmupSettings readWarmup(YamlReader reader)
{
    constexpr double MaxOverage = 100.0;
    constexpr double MaxSlack = 1'000'000.0;
    WarmupSettings settings;
    settings.m_overage = reader.number("overage", settings.m_overage, 0.0, MaxOverage);
    settings.m_slack = reader.number("slack", settings.m_slack, 0.0, MaxSlack);
    reader.reportUnknownKeys();
    return settings;
}

BalancingSettings readBalancing(YamlReader reader)
{
    constexpr double MaxPrice = 1000.0;
    BalancingSettings settings;
    settings.m_crossDomainPricePerKib = reader.number("cross-domain-price-per-kib", settings.m_crossDomainPricePerKib, 0.0, MaxPrice);
    settings.m_crossDomainPricePerMs = reader.number("cross-domain-price-per-ms", settings.m_crossDomainPricePerMs, 0.0, MaxPrice);
    reader.reportUnknownKeys();
    return settings;
}

QueueSettings readQueue(YamlReader reader)
{
    constexpr std::uint64_t MaxQueueLength = 100'000;
    QueueSettings settings;
    settings.m_perService = reader.integer("per-service", settings.m_perService, 0, MaxQueueLength);
    reader.reportUnknownKeys();
    return settings;
}

}
