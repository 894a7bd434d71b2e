#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/health/decider.h>
#include <ragwortrelay/health/evidence.h>
#include <ragwortrelay/health/follower.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace RagwortRelay::Node {

/// What a host holds to judge the health of backend servers.
struct HealthState {
    Health::EvidenceBook m_book;
    std::map<ServiceId, Health::Following> m_following;
    std::map<ServiceId, Health::DecidingState> m_deciding; ///< Of the services that this host decides for.
    std::set<ServerId> m_leaving; ///< Backend servers by the platform's list.
    std::map<ServiceId, HostId> m_deciders; ///< Chosen for `m_decidersAmong` and `m_decidersVersion`.
    std::vector<HostId> m_decidersAmong;
    std::uint64_t m_decidersVersion = 0;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_reportedAt;
    std::optional<TimePoint> m_decidedAt;
    std::optional<TimePoint> m_listedAt;
    bool m_listRuns = false;
};

}
