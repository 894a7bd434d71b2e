#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/crashsuspects.h>
#include <ragwortrelay/limits/tokenbucket.h>
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

/// Decides when and where each attempt runs: limits of workspaces, retry budgets, slots of servers, queues.
namespace RagwortRelay::Scheduling {

/// How a scheduler works.
struct SchedulerSettings {
    ServerSelectionSettings m_selection;
    RetryLimit m_retries;
    Dispatch::CrashSuspectSettings m_suspects;
    std::size_t m_maxQueueLength = 512; ///< Placements that wait for one service.
    Duration m_tokenWaitAtMost{std::chrono::milliseconds(400)}; ///< A placement waits for a token of its workspace for no longer than this.
    Duration m_overdueInterval{std::chrono::milliseconds(100)}; ///< Between two looks at requests that run for long.

    friend bool operator==(const SchedulerSettings &, const SchedulerSettings &) = default;
};

/// A placement that waits for a slot.
struct QueuedPlacement {
    PlacementRequest m_placement;
    Requester m_requester;
    TimePoint m_arrivedAt;
    TimePoint m_answerBy; ///< It can't be answered in time when it starts so late that it ends after this.
    TimePoint m_objectiveAt;
    double m_turn = 0.0; ///< Virtual time at which it starts.
};

/// Placements that wait for one service. Workspaces of one priority take turns by their weights.
/// Source: P. Goyal, H. Vin, H. Cheng, Start-time fair queueing, IEEE/ACM Transactions on Networking 5 (1997).
struct PlacementQueue {
    std::deque<QueuedPlacement> m_placements; ///< By priority, those of one priority by their turns.
    std::map<WorkspaceId, double> m_nextTurns; ///< Earliest turn of the next placement of a workspace.
    double m_turn = 0.0; ///< Of the last placement that was served.
    TimePoint m_nextCheckAt{}; ///< Nothing that the queue waits for happens before.
};

/// A placement that was answered with a server and runs.
struct GrantedPlacement {
    ServerId m_server;
    ServiceId m_service;
    TimePoint m_at;
    std::uint64_t m_fingerprint = 0; ///< Of its request.
};

/// State of a scheduler: of the whole fleet on the host that leads, of one host's requests on a host that has no leader.
struct Scheduler {
    SchedulerSettings m_settings;
    ServerRegistry m_registry;
    std::map<WorkspaceId, Limits::TokenBucket> m_buckets;
    std::map<WorkspaceId, double> m_weights; ///< Turns of workspaces, where they are others than 1.
    Dispatch::CrashSuspects m_suspects;
    TimePoint m_expiredAt{}; ///< Last time that old suspects and connections were forgotten.
    std::map<Dispatch::Fingerprint, TimePoint> m_quarantined; ///< Requests that another host has found guilty of crashes, until when.
    std::map<ServiceId, RetryBudget> m_budgets;
    std::map<WorkspaceId, std::deque<QueuedPlacement>> m_awaitingTokens; ///< Placements of workspaces that have no token left, in the order in which they came.
    std::map<ServiceId, PlacementQueue> m_queues;
    std::map<PlacementId, GrantedPlacement> m_granted;
    std::map<HostId, FailureDomainId> m_domains; ///< Of the hosts that have asked.
    double m_share = 1.0; ///< Part of each limit and budget that this scheduler hands out.
    TimePoint m_overdueAt{}; ///< Last look at requests that run for long.
    TimePoint m_tokensAt{}; ///< Placements that wait for tokens are looked at then.
};

/// Takes over the limits and weights of workspaces, and what is configured about services. Not thread-safe on one scheduler, like all functions that change it.
void setCatalogue(Scheduler &scheduler, const Configuration::Catalogue &catalogue, TimePoint now);

/// Takes over the limit and weight of one workspace, or forgets it.
void setWorkspace(Scheduler &scheduler, const Configuration::Catalogue &catalogue, const WorkspaceId &id, TimePoint now);

/// Takes over what is configured about services.
void setServices(Scheduler &scheduler, const Configuration::Catalogue &catalogue);

/// Sets the part of each limit and budget that this scheduler hands out, 0 to 1.
void setShare(Scheduler &scheduler, double share, TimePoint now);

/// An answer to a placement of a host.
struct AddressedReply {
    HostId m_host;
    PlacementReply m_response;

    friend bool operator==(const AddressedReply &, const AddressedReply &) = default;
};

/// Takes a placement: answers it, or queues it.
/// @return the answer, or nothing for a placement that waits
std::optional<PlacementReply>
placement(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, RandomGenerator &random, TimePoint now);

/// Forgets a placement that waits, or one that was granted and not used.
void cancel(Scheduler &scheduler, const PlacementId &id);

/// Tells whether a placement waits, for a token or for a slot. Linear in the placements that wait for its service or for tokens.
bool isQueued(const Scheduler &scheduler, const ServiceId &service, const PlacementId &id);

/// Forgets what was granted to a host before some time and doesn't run there.
void reconcile(Scheduler &scheduler, const HostId &host, const std::vector<std::uint64_t> &running, TimePoint startedBefore);

/// Returns the requests that are refused since they crash servers.
std::vector<Dispatch::Fingerprint> quarantinedRequests(const Scheduler &scheduler, TimePoint now);

/// Bars requests that another host has found guilty of crashes.
void quarantineRequests(Scheduler &scheduler, const std::vector<Dispatch::Fingerprint> &fingerprints, TimePoint now);

/// Takes in that the attempt of a placement has ended.
void finish(Scheduler &scheduler, const AttemptReport &done, const Requester &requester, TimePoint now);

/// Answers placements that wait and can be answered now.
std::vector<AddressedReply> serve(Scheduler &scheduler, RandomGenerator &random, TimePoint now);

/// Returns when serve() has to be called at the latest.
TimePoint nextServeAt(const Scheduler &scheduler);

}
