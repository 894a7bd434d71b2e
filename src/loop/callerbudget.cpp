#include <ragwortrelay/loop/callerbudget.h>

#include <algorithm>

namespace RagwortRelay::Loop {

CallerBudget::CallerBudget(const CallerBudgetSettings &settings) : m_settings(settings), m_limit(settings.m_limit)
{
}

CallerBudget::Id CallerBudget::add(const void *group, const std::string &address, TimePoint now, Release release)
{
    const Id id = ++m_lastId;
    m_holders.emplace(id, Holder{group, address, 0, now, std::move(release)});
    return id;
}

void CallerBudget::remove(Id id)
{
    const auto found = m_holders.find(id);
    if (found != m_holders.end()) {
        setHeld(id, 0);
        m_holders.erase(found);
    }
}

void CallerBudget::setHeld(Id id, std::uint64_t bytes)
{
    Holder &holder = m_holders.at(id);
    const auto address = m_heldByAddress.try_emplace(holder.m_address, 0).first;
    address->second += bytes - holder.m_bytes; // Unsigned differences wrap, the sums don't.
    m_held += bytes - holder.m_bytes;
    holder.m_bytes = bytes;
    if (address->second == 0) {
        m_heldByAddress.erase(address);
    }
}

void CallerBudget::setProgress(Id id, TimePoint now)
{
    m_holders.at(id).m_progressAt = now;
}

void CallerBudget::setLargestRequest(std::uint64_t bytes)
{
    m_limit = std::max(m_limit, std::min(bytes, m_settings.m_maxLimit));
}

void CallerBudget::enforce(TimePoint now)
{
    if (m_isReleasing) {
        return; // A released connection reports what it holds now.
    }
    m_isReleasing = true;
    while (m_held > m_limit) {
        const std::uint64_t before = m_held;
        const Holder *victim = chooseVictim(nullptr, now);
        if (victim == nullptr) {
            break;
        }
        release(*victim, ReleaseReason::Memory);
        if (m_held >= before) {
            break; // Its memory is freed later.
        }
    }
    m_isReleasing = false;
}

bool CallerBudget::releaseOneOf(const void *group, TimePoint now)
{
    const Holder *victim = chooseVictim(group, now);
    if (victim != nullptr) {
        release(*victim, ReleaseReason::Connections);
    }
    return victim != nullptr;
}

const CallerBudget::Holder *CallerBudget::chooseVictim(const void *group, TimePoint now) const
{
    const Holder *victim = nullptr;
    double highestRank = -1.0;
    for (const auto &[id, holder] : m_holders) {
        if ((group != nullptr && holder.m_group != group) || holder.m_bytes == 0) {
            continue;
        }
        // A caller that has just come has no age, so that one that holds as much for longer comes before it.
        const double age = std::chrono::duration<double>(now - holder.m_progressAt).count();
        const double rank = static_cast<double>(holder.m_bytes) * age * static_cast<double>(m_heldByAddress.at(holder.m_address));
        if (rank > highestRank) {
            highestRank = rank;
            victim = &holder;
        }
    }
    return victim;
}

void CallerBudget::release(const Holder &victim, ReleaseReason reason)
{
    ++m_released[reason];
    const Release release = victim.m_release; // The holder is removed by the call.
    release(reason);
    if (m_observer) {
        m_observer(reason);
    }
}

std::uint64_t CallerBudget::held() const
{
    return m_held;
}

std::uint64_t CallerBudget::released(ReleaseReason reason) const
{
    const auto found = m_released.find(reason);
    return found == m_released.end() ? 0 : found->second;
}

void CallerBudget::setObserver(std::function<void(ReleaseReason)> observer)
{
    m_observer = std::move(observer);
}

}
