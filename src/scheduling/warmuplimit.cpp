#include <ragwortrelay/scheduling/warmuplimit.h>

#include <algorithm>

namespace RagwortRelay::Scheduling {

void updateShare(WarmupShare &share, double latest, TimePoint now)
{
    if (share.m_next > share.m_usable && now >= share.m_nextAt) {
        share.m_usable = share.m_next;
    }
    const bool isWaiting = share.m_next > share.m_usable;
    if (latest <= share.m_usable) {
        share.m_usable = latest;
        share.m_next = latest;
    } else if (isWaiting) {
        share.m_next = std::min(share.m_next, latest); // A further increase waits for a period of its own.
    } else {
        share.m_next = latest;
        share.m_nextAt = now + WarmupWindow;
    }
}

std::uint32_t maxColdStarts(const WarmupBounds &bounds, double coldRate, double share)
{
    constexpr double MaxStarts = 1'000'000.0;
    const double starts = std::clamp((coldRate * bounds.m_overage + bounds.m_slack) * share, 0.0, MaxStarts);
    return static_cast<std::uint32_t>(starts);
}

void recordStart(RecentStarts &recent, TimePoint now)
{
    while (!recent.m_starts.empty() && now - recent.m_starts.front() >= WarmupWindow) {
        recent.m_starts.pop_front();
    }
    recent.m_starts.push_back(now);
}

bool allowsStart(const RecentStarts &recent, std::uint32_t maxStarts, TimePoint now)
{
    const auto counted = std::ranges::count_if(recent.m_starts, [&](TimePoint start) { return now - start < WarmupWindow; });
    return counted < static_cast<std::ptrdiff_t>(maxStarts);
}

}
