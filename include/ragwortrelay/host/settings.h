#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/claimledger.h>
#include <ragwortrelay/fleet/leadership.h>
#include <ragwortrelay/scheduling/scheduler.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace RagwortRelay::Host {

/// How a host asks its leader for servers.
struct PlacementSettings {
    Duration m_resendAfter{
        std::chrono::milliseconds(15)}; ///< A placement that the leader has not answered is sent again; then after pauses twice as long each.
    Duration m_decideAfter{std::chrono::milliseconds(40)}; ///< Then the host decides by itself.
    Duration m_exhaustedHold{std::chrono::milliseconds(100)}; ///< A host asks no more for a workspace over its limit for so long.
    Duration m_askInterval{std::chrono::milliseconds(250)}; ///< Between two questions about a placement that waits at the leader.

    friend bool operator==(const PlacementSettings &, const PlacementSettings &) = default;
};

/// How old tables may be.
struct FreshnessSettings {
    Duration m_keys{std::chrono::milliseconds(4700)}; ///< Requests of workspaces run only with a configuration no older than this.
    Duration m_rejection{std::chrono::milliseconds(1900)}; ///< Only so fresh a configuration tells that a key or route isn't there.
    Duration m_ownStale{std::chrono::milliseconds(1000)}; ///< A leader that has read nothing for so long asks followers to read for it.
    Duration m_stale{std::chrono::milliseconds(3000)}; ///< A host whose configuration or servers are older asks the store itself.
    Duration m_staleHosts{std::chrono::milliseconds(8000)}; ///< The same for the hosts.
    Duration m_staleSpread{std::chrono::milliseconds(1200)}; ///< Hosts start to ask within this time, so that not all ask at once.
    Duration m_freshAgain{std::chrono::milliseconds(1300)}; ///< Such a host leaves it to the leader again when its state is so fresh.
    Duration m_confirmationStep{std::chrono::milliseconds(700)}; ///< A confirmation that is newer by this is told at once.
    std::size_t m_storeReaders = 3; ///< Followers that read at a time for a leader that can't.
    Duration m_storeReaderTimeout{std::chrono::milliseconds(250)}; ///< Time for a reader to show that it can read the store.
    Duration m_storeReaderSilenceTimeout{std::chrono::milliseconds(2200)}; ///< A reader that has told of nothing fresh for so long is replaced.
    Duration m_storeReaderBackoff{std::chrono::seconds(4)}; ///< A reader that could not read isn't asked again for so long.

    friend bool operator==(const FreshnessSettings &, const FreshnessSettings &) = default;
};

/// How a host behaves.
struct HostSettings {
    HostId m_host;
    FailureDomainId m_domain;
    std::string m_peerAddress; ///< `IP:PORT`; empty for a host that works alone.
    double m_capacity = 1.0; ///< Of its processor, relative to other hosts.
    std::vector<std::string> m_seeds; ///< `IP:PORT` of hosts that are asked for the others while the store can't tell.
    std::string m_secret; ///< Of the fleet; empty for one that the hosts agree on in the store.
    FreshnessSettings m_freshness;
    PlacementSettings m_placements;
    Fleet::LeadershipSettings m_leadership;
    Duration m_responseGrace{std::chrono::milliseconds(60)}; ///< After its deadline an answer that is on its way is still waited for.
    Duration m_leftRunningFor{std::chrono::milliseconds(300)}; ///< After the deadline a request that may run only once is left running at its server.
    Duration m_balancerLag{std::chrono::milliseconds(2500)}; ///< A stopping host goes on serving for so long.
    Duration m_stopLimit{std::chrono::milliseconds(5500)}; ///< Longest wait of a stopping host for requests in flight.
    Duration m_editLimit{std::chrono::seconds(20)}; ///< Longest time that an operator's edit is tried.
    bool m_storesServiceLevels = false; ///< Writes records of service levels to the store, for reports over all hosts.
    Dispatch::ClaimSettings m_claims; ///< The owner is set by makeState().
    std::uint32_t m_maxUnsentAttempts = 4; ///< Attempts of one request that reached no server.
    Scheduling::SchedulerSettings m_scheduling;
    std::chrono::milliseconds m_wait{900}; ///< Of one call that follows the configuration or the servers.
    std::chrono::milliseconds m_hostsWait{3000}; ///< Of one call that follows the hosts.
    Duration m_hostsInterval{std::chrono::milliseconds(250)}; ///< Least time between two such calls.
    Duration m_serversInterval{std::chrono::milliseconds(100)}; ///< Least time between two calls that follow the servers.

    friend bool operator==(const HostSettings &, const HostSettings &) = default;
};

}
