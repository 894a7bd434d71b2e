#include <ragwortrelay/limits/sublease.h>

#include <algorithm>

namespace RagwortRelay::Limits {

namespace {

/// Weight of the latest interval in the use of a host.
constexpr double UseSmoothing = 0.5;

/// Least rate of use that is remembered, in tokens per second.
constexpr double MinRememberedUse = 0.05;

/// Shortest interval over which a rate is measured.
constexpr Duration MinUseInterval = std::chrono::milliseconds(500);

std::int64_t slotOf(TimePoint time)
{
    return time.time_since_epoch() / SubleaseSlot;
}

/// Returns the first slot in which a sub-lease with an end is no longer in use.
std::int64_t endSlotOf(TimePoint until)
{
    return slotOf(until + SubleaseSlot - Duration(1));
}

/// Adds the parts of a host to the sum over the hosts, or removes them from it.
/// @param sign 1 to add, -1 to remove
void addParts(LentLimit &limit, const std::vector<LentPart> &parts, double sign)
{
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const double next = i + 1 < parts.size() ? parts[i + 1].m_fraction : 0.0;
        limit.m_byEnd[parts[i].m_endSlot] += sign * (parts[i].m_fraction - next);
    }
}

/// Removes what has ended.
void prune(LentLimit &limit, std::int64_t slot)
{
    limit.m_byEnd.erase(limit.m_byEnd.begin(), limit.m_byEnd.upper_bound(slot));
}

void prune(std::vector<LentPart> &parts, std::int64_t slot)
{
    std::erase_if(parts, [&](const LentPart &part) { return part.m_endSlot <= slot; });
}

/// Returns the greatest fraction that can be lent until a slot, beside what other hosts have. Precondition: ended parts are removed.
double lendable(const LentLimit &limit, double maxLent, const Backing &backing, std::int64_t slot, std::int64_t endSlot)
{
    double lent = 0.0; // By others, from the slot that is looked at on.
    double least = 1.0;
    auto next = limit.m_byEnd.rbegin();
    for (std::int64_t current = endSlot - 1; current >= slot; --current) {
        for (; next != limit.m_byEnd.rend() && next->first > current; ++next) {
            lent += next->second;
        }
        const auto index = static_cast<std::size_t>(current - slot);
        const double usable = index < backing.size() ? backing.at(index) : 0.0;
        least = std::min(least, maxLent * usable - lent);
    }
    return least;
}

/// Lends a host up to the wanted fraction of a limit. Returns what it gets.
/// @param maxLent largest part of the backing that may be lent to all hosts
double lend(LentLimit &limit, const HostId &host, double wanted, double maxLent, const Backing &backing, Duration duration, TimePoint now)
{
    const std::int64_t slot = slotOf(now);
    const std::int64_t endSlot = endSlotOf(now + duration);
    std::vector<LentPart> &parts = limit.m_byHost[host];
    prune(limit, slot);
    prune(parts, slot);
    addParts(limit, parts, -1.0);
    const double fraction = std::min(wanted, lendable(limit, maxLent, backing, slot, endSlot));
    if (fraction > 0.0) {
        std::erase_if(parts, [&](const LentPart &part) { return part.m_fraction <= fraction; });
        parts.push_back({fraction, endSlot});
    }
    addParts(limit, parts, 1.0);
    return std::max(0.0, fraction);
}

void updateRate(Lender &lender, const WorkspaceId &workspace, TokenUse &use, TimePoint now)
{
    const Duration elapsed = now - use.m_updatedAt;
    if (elapsed < MinUseInterval) {
        return;
    }
    const double latest = use.m_count / std::chrono::duration<double>(elapsed).count();
    const double change = UseSmoothing * (latest - use.m_rate);
    lender.m_totalUses[workspace] += change;
    use = {0, use.m_rate + change, now};
}

/// Returns the fraction of a limit that a host should get by its use; 0 if that is too little to be of use.
double wantedFraction(const SubleaseSettings &settings, const TokenUse &use, double totalUse, const TokenBucket &bucket)
{
    if (use.m_rate < settings.m_minUse || bucket.m_rate <= 0.0) {
        return 0.0;
    }
    const double affordable = settings.m_maxLent * bucket.m_rate / std::max(use.m_rate, totalUse);
    const double useFraction = std::clamp(affordable, settings.m_minUseFraction, settings.m_maxUseFraction);
    const double fraction = std::min(1.0, useFraction * use.m_rate / bucket.m_rate);
    return fraction * bucket.m_burst < settings.m_minTokens ? 0.0 : fraction;
}

}

Backing backingOf(const std::vector<LeasedPart> &parts, TimePoint now)
{
    Backing backing{};
    const std::int64_t first = slotOf(now);
    std::array<double, std::tuple_size_v<Backing>> byLast{}; // What ends after each slot.
    for (const LeasedPart &part : parts) {
        const std::int64_t count = std::min<std::int64_t>(slotOf(part.m_until) - first, static_cast<std::int64_t>(byLast.size()));
        if (count > 0) {
            byLast.at(static_cast<std::size_t>(count - 1)) += part.m_fraction;
        }
    }
    double sum = 0.0;
    for (std::size_t i = backing.size(); i-- > 0;) {
        sum += byLast.at(i);
        backing.at(i) = sum;
    }
    return backing;
}

void recordUse(Lender &lender, const HostId &host, const WorkspaceId &workspace, TimePoint now)
{
    const auto [use, isNew] = lender.m_uses[host].try_emplace(workspace);
    if (isNew) {
        use->second.m_updatedAt = now;
    }
    ++use->second.m_count;
}

std::vector<Sublease> grantSubleases(Lender &lender,
                                     const SubleaseSettings &settings,
                                     const HostId &host,
                                     const std::map<WorkspaceId, TokenBucket> &buckets,
                                     const Backing &backing,
                                     TimePoint now)
{
    const auto uses = lender.m_uses.find(host);
    if (uses == lender.m_uses.end()) {
        return {};
    }
    std::vector<std::pair<double, WorkspaceId>> busiest;
    for (auto &[workspace, use] : uses->second) {
        updateRate(lender, workspace, use, now);
        if (use.m_rate >= settings.m_minUse) {
            busiest.emplace_back(use.m_rate, workspace);
        }
    }
    const std::size_t count = std::min(busiest.size(), settings.m_maxWorkspaces);
    std::partial_sort(busiest.begin(), busiest.begin() + static_cast<std::ptrdiff_t>(count), busiest.end(), std::greater<>());
    busiest.resize(count);
    std::vector<Sublease> granted;
    for (const auto &[rate, workspace] : busiest) {
        const auto bucket = buckets.find(workspace);
        const double wanted =
            bucket == buckets.end() ? 0.0 : wantedFraction(settings, uses->second.at(workspace), lender.m_totalUses[workspace], bucket->second);
        const double fraction = wanted > 0.0 ? lend(lender.m_limits[workspace], host, wanted, settings.m_maxLent, backing, settings.m_duration, now) : 0.0;
        if (fraction > 0.0) {
            granted.push_back({workspace, fraction});
        }
    }
    return granted;
}

std::vector<Sublease> grantPartOfAll(Lender &lender, const SubleaseSettings &settings, const HostId &host, double wanted, const Backing &backing, TimePoint now)
{
    const double fraction = lend(lender.m_limits[WorkspaceId()], host, wanted, settings.m_maxLentOfAll, backing, settings.m_duration, now);
    return fraction > 0.0 ? std::vector<Sublease>{{WorkspaceId(), fraction}} : std::vector<Sublease>();
}

double lentFraction(const Lender &lender, const WorkspaceId &workspace, TimePoint now)
{
    const auto limit = lender.m_limits.find(workspace);
    if (limit == lender.m_limits.end()) {
        return 0.0;
    }
    double sum = 0.0;
    for (auto entry = limit->second.m_byEnd.upper_bound(slotOf(now)); entry != limit->second.m_byEnd.end(); ++entry) {
        sum += entry->second;
    }
    return std::clamp(sum, 0.0, 1.0);
}

void forgetEnded(Lender &lender, TimePoint now)
{
    const std::int64_t slot = slotOf(now);
    for (auto &[workspace, limit] : lender.m_limits) {
        prune(limit, slot);
        for (auto &[host, parts] : limit.m_byHost) {
            prune(parts, slot);
        }
        std::erase_if(limit.m_byHost, [](const auto &entry) { return entry.second.empty(); });
    }
    std::erase_if(lender.m_limits, [](const auto &entry) { return entry.second.m_byHost.empty(); });
    for (auto &[host, uses] : lender.m_uses) {
        for (auto &[workspace, use] : uses) {
            updateRate(lender, workspace, use, now);
        }
        std::erase_if(uses, [&](const auto &entry) {
            const bool isForgotten = entry.second.m_count == 0 && entry.second.m_rate < MinRememberedUse;
            lender.m_totalUses[entry.first] -= isForgotten ? entry.second.m_rate : 0.0;
            return isForgotten;
        });
    }
    std::erase_if(lender.m_totalUses, [](const auto &entry) { return entry.second < MinRememberedUse; });
    std::erase_if(lender.m_uses, [](const auto &entry) { return entry.second.empty(); });
}

void applySubleases(Borrowings &borrowings, const SubleaseSettings &settings, const std::vector<Sublease> &subleases, TimePoint askedAt, TimePoint now)
{
    std::erase_if(borrowings, [&](const auto &entry) { return entry.second.m_until <= now; });
    const TimePoint until = askedAt + settings.m_duration;
    if (askedAt > now || until <= now) { // A time of an earlier run of the machine, or a reply that came too late.
        return;
    }
    for (const Sublease &sublease : subleases) {
        Borrowed &borrowed = borrowings[sublease.m_workspace];
        if (until > borrowed.m_until) {
            borrowed = {sublease.m_fraction, until};
        }
    }
}

}
