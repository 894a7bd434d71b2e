#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/crashsuspects.h>
#include <ragwortrelay/limits/tokenbucket.h>
#include <ragwortrelay/scheduling/placementqueue.h>
#include <ragwortrelay/scheduling/placementrequest.h>
#include <ragwortrelay/scheduling/retrybudget.h>
#include <ragwortrelay/scheduling/serverregistry.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Decides when and on which server each attempt runs, by workspace limits, retry budgets, server slots and queues.
namespace RagwortRelay::Scheduling {

/// Settings of a scheduler.
struct SchedulerSettings {
    ServerSelectionSettings m_selection;
    RetryLimit m_retries;
    Dispatch::CrashSuspectSettings m_suspects;
    std::size_t m_maxQueueLength = 512; ///< Bound on the placements queued for one service.
    Duration m_maxTokenWait{std::chrono::milliseconds(400)}; ///< Longest wait of a placement for a token of its workspace.
    Duration m_overdueCheckInterval{std::chrono::milliseconds(100)}; ///< Interval between checks for attempts that run for too long.

    friend bool operator==(const SchedulerSettings &, const SchedulerSettings &) = default;
};

/// Placement that was granted a server and runs.
struct GrantedPlacement {
    ServerId m_server;
    ServiceId m_service;
    TimePoint m_grantedAt;
    std::uint64_t m_fingerprint = 0; ///< Fingerprint of the request.
};

/// A crash that a scheduler has recorded.
struct RecordedCrash {
    Dispatch::Fingerprint m_fingerprint = 0;
    Dispatch::CrashId m_id;
    Dispatch::Crash m_crash;

    friend bool operator==(const RecordedCrash &, const RecordedCrash &) = default;
};

/// State of a scheduler. On the leader it covers the whole fleet; on a host without a leader, only the requests of that host.
struct Scheduler {
    SchedulerSettings m_settings;
    ServerRegistry m_registry;
    std::map<WorkspaceId, Limits::TokenBucket> m_buckets;
    std::map<WorkspaceId, double> m_weights; ///< Fair queueing weights of workspaces, where they differ from 1.
    Dispatch::CrashSuspects m_suspects;
    std::vector<RecordedCrash> m_newCrashes; ///< Crashes recorded since the last call of takeNewCrashes().
    TimePoint m_lastExpiryAt{}; ///< Last removal of expired crash suspects and idle connections.
    std::map<Dispatch::Fingerprint, TimePoint> m_quarantined; ///< Requests quarantined by another host, with the end of their quarantine.
    std::map<ServiceId, RetryBudget> m_budgets;
    std::map<WorkspaceId, std::deque<QueuedPlacement>> m_awaitingTokens; ///< Placements of workspaces without tokens, by priority and arrival.
    std::map<ServiceId, PlacementQueue> m_queues;
    std::set<PlacementId> m_waiting; ///< Placements in m_awaitingTokens and m_queues.
    std::uint64_t m_selections = 0; ///< Number of times that a server was selected or searched for.
    std::map<PlacementId, GrantedPlacement> m_granted;
    std::map<HostId, FailureDomainId> m_hostDomains; ///< Failure domains of the hosts that have sent placement requests or reports.
    std::uint64_t m_phaseSeed = 0; ///< Seed of the phases of the token buckets; differs between hosts.
    double m_share = 1.0; ///< Part of each limit and budget that this scheduler may grant, 0 to 1.
    TimePoint m_overdueCheckedAt{}; ///< Last check for attempts that run for too long.
    TimePoint m_nextTokenCheckAt{}; ///< Time of the next check of the placements that wait for tokens.
};

/// Applies the limits and weights of all workspaces and the policies of all services. Workspaces that the catalogue doesn't list are removed.
/// Not thread-safe on one scheduler, like all functions that change it.
void setCatalogue(Scheduler &scheduler, const Configuration::Catalogue &catalogue, TimePoint now);

/// Applies the limit and weight of one workspace, or removes them if the catalogue doesn't list it.
void setWorkspace(Scheduler &scheduler, const Configuration::Catalogue &catalogue, const WorkspaceId &id, TimePoint now);

/// Applies the policies of all services.
void setServices(Scheduler &scheduler, const Configuration::Catalogue &catalogue);

/// Sets the part of each limit and budget that this scheduler may grant, 0 to 1.
void setShare(Scheduler &scheduler, double share, TimePoint now);

/// Reply with the host that receives it.
struct AddressedReply {
    HostId m_host;
    PlacementReply m_response;

    friend bool operator==(const AddressedReply &, const AddressedReply &) = default;
};

/// Handles a placement request: grants, refuses or queues it.
/// @return the reply, or nothing if the placement was queued
std::optional<PlacementReply>
placement(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, RandomGenerator &random, TimePoint now);

/// Tells whether a placement takes a token of the limit of its workspace. Thread-safe on a scheduler that doesn't change.
bool isLimited(const Scheduler &scheduler, const PlacementRequest &placement);

/// Refuses a placement if its workspace has no token now.
/// @return the refusal, or nothing if there is a token or no limit
std::optional<PlacementReply> refuseIfOverLimit(Scheduler &scheduler, const PlacementRequest &placement, TimePoint now);

/// Removes a placement that waits for a token or a slot. Granted placements are not affected. Linear in the waiting placements if it is one of them.
void cancel(Scheduler &scheduler, const PlacementId &id);

/// Tells whether a placement waits for a token or a slot.
bool isQueued(const Scheduler &scheduler, const PlacementId &id);

/// Removes the placements granted to a host before a point in time that don't run there.
/// @param running numbers of the placements that run on the host
void reconcile(Scheduler &scheduler, const HostId &host, const std::vector<std::uint64_t> &running, TimePoint startedBefore);

/// Records a crash. One that is already recorded has no effect.
void recordCrash(Scheduler &scheduler, const RecordedCrash &crash);

/// Returns the crashes that were recorded since the last call.
std::vector<RecordedCrash> takeNewCrashes(Scheduler &scheduler);

/// Returns the requests that this scheduler has quarantined for crashing servers.
std::vector<Dispatch::Fingerprint> quarantinedRequests(const Scheduler &scheduler, TimePoint now);

/// Quarantines requests that another host has identified as the cause of crashes.
void quarantineRequests(Scheduler &scheduler, const std::vector<Dispatch::Fingerprint> &fingerprints, TimePoint now);

/// Processes the report that the attempt of a placement has ended, and frees its slot.
void finish(Scheduler &scheduler, const AttemptReport &report, const Requester &requester, TimePoint now);

/// Returns the replies to waiting placements that can be granted now or have to be refused.
std::vector<AddressedReply> serve(Scheduler &scheduler, RandomGenerator &random, TimePoint now);

/// Returns the usual latency of a service; zero for an unknown service.
Duration usualTimeOf(const Scheduler &scheduler, const ServiceId &service);

/// Returns the latest time at which serve() has to be called next.
TimePoint nextServeAt(const Scheduler &scheduler);

}
