#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/claimledger.h>
#include <ragwortrelay/fleet/leadership.h>
#include <ragwortrelay/fleet/replytimeout.h>
#include <ragwortrelay/limits/throttle.h>
#include <ragwortrelay/scheduling/scheduler.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace RagwortRelay::Host {

/// Times of the placement requests that a host sends to its leader.
struct PlacementSettings {
    Duration m_resendBackoff{
        std::chrono::milliseconds(15)}; ///< First pause before an unanswered placement request is sent again; each further pause is twice as long.
    double m_resendRatio = 0.2; ///< Resends that each placement request allows. A leader that is behind would get twice as many messages otherwise.
    Fleet::ReplyTimeoutSettings m_leaderTimeout; ///< Time without a reply of the leader after which the host decides by itself.
    Limits::ThrottleSettings m_throttle; ///< Refusal of requests of workspaces over their limits without asking the leader.
    Duration m_askInterval{std::chrono::milliseconds(250)}; ///< Interval between two requests for a placement that the leader has queued.

    friend bool operator==(const PlacementSettings &, const PlacementSettings &) = default;
};

/// Ages of the tables at which a host changes its behaviour.
struct FreshnessSettings {
    Duration m_maxAgeForWorkspaces{std::chrono::milliseconds(4700)}; ///< Maximum age of the configuration for requests of workspaces.
    Duration m_maxAgeForRejection{std::chrono::milliseconds(1900)}; ///< Maximum age of the configuration for rejecting an unknown key or route.
    Duration m_leaderStaleAge{std::chrono::milliseconds(1000)}; ///< Age of its tables at which a leader appoints store readers among its followers.
    Duration m_staleAge{std::chrono::milliseconds(2400)}; ///< Age of the configuration or the servers at which a host watches the store itself.
    Duration m_staleHostsAge{std::chrono::milliseconds(8000)}; ///< Age of the table of hosts at which a host watches the store itself.
    Duration m_staleJitter{std::chrono::milliseconds(400)}; ///< Random delay added to both ages, so that hosts don't all call the store at the same time.
    Duration m_leaderFreshAge{std::chrono::milliseconds(1300)}; ///< Age of the leader's table below which a host stops watching the store itself.
    Duration m_minConfirmationGain{std::chrono::milliseconds(700)}; ///< Difference in age from which a newer confirmation is sent to the leader at once.
    std::size_t m_maxStoreReaders = 3; ///< Maximum number of store readers at a time.
    Duration m_storeReaderTimeout{std::chrono::milliseconds(250)}; ///< Time within which a store reader has to report a fresh table.
    Duration m_storeReaderSilenceTimeout{std::chrono::milliseconds(2200)}; ///< Time without a report of a fresh table after which a store reader is replaced.
    Duration m_storeReaderBackoff{std::chrono::seconds(4)}; ///< Time for which a store reader that couldn't read the store isn't appointed again.

    friend bool operator==(const FreshnessSettings &, const FreshnessSettings &) = default;
};

/// Settings of a host.
struct HostSettings {
    HostId m_host;
    FailureDomainId m_domain;
    std::string m_peerAddress; ///< `IP:PORT`; empty for a host that works alone.
    double m_capacity = 1.0; ///< Processor capacity relative to other hosts.
    std::vector<std::string> m_seeds; ///< `IP:PORT` of hosts that are contacted to find the others while the store can't be read.
    std::string m_secret; ///< Secret of the fleet; empty for a secret that the hosts agree on in the store.
    FreshnessSettings m_freshness;
    PlacementSettings m_placements;
    Fleet::LeadershipSettings m_leadership;
    Duration m_responseGrace{std::chrono::milliseconds(60)}; ///< Time after the deadline for which a response that is on its way is still awaited.
    Duration m_leftRunningTimeout{
        std::chrono::milliseconds(300)}; ///< Time after the deadline for which a request that may run only once is left running at its server.
    Duration m_balancerLag{std::chrono::milliseconds(2500)}; ///< Time for which a stopping host goes on serving, until load balancers have noticed.
    Duration m_stopLimit{std::chrono::milliseconds(5500)}; ///< Maximum time that a stopping host waits for requests in flight.
    Duration m_editLimit{std::chrono::seconds(20)}; ///< Maximum time for which an operator's edit is retried.
    bool m_storesServiceLevels = false; ///< Service levels are written to the store for reports on all hosts.
    Dispatch::ClaimSettings m_claims; ///< The owner is set by makeState().
    std::uint32_t m_maxUnsentAttempts = 4; ///< Maximum number of attempts of one request that reach no server.
    Scheduling::SchedulerSettings m_scheduling;
    std::chrono::milliseconds m_wait{900}; ///< Time that a call waits in the store for changes of the configuration or the servers.
    std::chrono::milliseconds m_hostsWait{3000}; ///< Time that a call waits in the store for changes of the hosts.
    Duration m_hostsInterval{std::chrono::milliseconds(250)}; ///< Minimum interval between two calls that watch the hosts.
    Duration m_serversInterval{std::chrono::milliseconds(100)}; ///< Minimum interval between two calls that watch the servers.

    friend bool operator==(const HostSettings &, const HostSettings &) = default;
};

}
