#include <ragwortrelay/configuration/freshness.h>

#include <algorithm>
#include <set>

namespace RagwortRelay::Configuration {

namespace {

bool isYoung(const std::optional<TimePoint> &instant, TimePoint now, Duration memory)
{
    return instant && now - *instant <= memory;
}

}

Ask makeAsk(FreshnessState &state, bool wantsHosts, TimePoint now, Duration memory)
{
    std::erase_if(state.m_asks, [&](const auto &entry) { return now - entry.second > memory; });
    const std::uint64_t nonce = ++state.m_lastNonce;
    state.m_asks.emplace(nonce, now);
    return {nonce, wantsHosts, {}};
}

bool takeAttest(FreshnessState &state, const HostId &from, const Attest &attest, std::uint64_t version)
{
    const auto ask = state.m_asks.find(attest.m_nonce);
    if (ask == state.m_asks.end()) {
        return false;
    }
    PeerView &view = state.m_peers[from];
    if (view.m_askedAt && *view.m_askedAt > ask->second) {
        return false;
    }
    view = {attest.m_version, ask->second, attest.m_established, attest.m_domain};
    if (attest.m_confirmedAgo && *attest.m_confirmedAgo >= Duration::zero() && attest.m_version <= version) {
        // The sender answered after it was asked, so its read is at most that much older than the question.
        confirmVersion(state, ask->second - *attest.m_confirmedAgo);
    }
    return true;
}

void confirmVersion(FreshnessState &state, TimePoint startedAt)
{
    state.m_confirmedAt = state.m_confirmedAt ? std::max(*state.m_confirmedAt, startedAt) : startedAt;
}

std::size_t
countReached(const FreshnessState &state, const std::map<HostId, HostEntry> &roster, const HostId &self, std::uint64_t version, TimePoint now, Duration memory)
{
    std::size_t reached = state.m_established ? 1 : 0;
    for (const auto &[host, view] : state.m_peers) {
        const bool counts = host != self && roster.contains(host) && view.m_established && view.m_version <= version;
        reached += counts && isYoung(view.m_askedAt, now, memory) ? 1 : 0;
    }
    return reached;
}

std::size_t countDomains(const FreshnessState &state, TimePoint now, Duration memory)
{
    std::set<FailureDomainId> domains;
    for (const auto &[host, view] : state.m_peers) {
        if (view.m_version > 0 && isYoung(view.m_askedAt, now, memory)) {
            domains.insert(view.m_domain);
        }
    }
    return domains.size();
}

Freshness
judgeFreshness(FreshnessState &state, const std::map<HostId, HostEntry> &roster, const HostId &self, std::uint64_t version, TimePoint now, Duration memory)
{
    if (isYoung(state.m_confirmedAt, now, memory)) {
        state.m_established = state.m_established || *state.m_confirmedAt >= state.m_startedAt;
        return Freshness::Confirmed;
    }
    const std::size_t hosts = roster.size() + (roster.contains(self) ? 0 : 1);
    if (2 * countReached(state, roster, self, version, now, memory) > hosts) {
        state.m_established = true;
        return Freshness::Outage;
    }
    return Freshness::Isolated;
}

}
