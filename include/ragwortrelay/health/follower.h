#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/health/messages.h>
#include <ragwortrelay/health/settings.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace RagwortRelay::Health {

/// How one host goes by the verdicts of the deciding host of one service.
struct Following {
    HostId m_decider;
    std::uint64_t m_incarnation = 0; ///< Life of the deciding host.
    std::optional<TimePoint> m_reportedAt; ///< To this deciding host.
    TimePoint m_boundUntil; ///< Until then this host reports to no other deciding host.
    Duration m_echo{}; ///< Sending time of the last verdicts, by the deciding host's clock; 0 for none.
    TimePoint m_receivedAt;
    TimePoint m_validUntil; ///< End of the ejections.
    std::vector<ServerVerdict> m_verdicts;
    std::vector<HostId> m_observers;
    std::map<ServerId, TimePoint> m_triedAt; ///< Last trial request of this host.
};

/// Chooses the deciding host of a service by rendezvous hashing, or none for an empty list. Thread-safe.
std::optional<HostId> decidingHost(const ServiceId &service, const std::vector<HostId> &hosts);

/// Turns to a deciding host, unless another one still may count on this host.
/// @param startedAt when this life of this host began; an earlier one may have supported some host
/// @return whether this host may report to the deciding host now
/// Not thread-safe on one state, like all functions on it.
bool follow(Following &following, const HealthSettings &settings, const HostId &decider, std::uint64_t incarnation, TimePoint startedAt, TimePoint now);

/// Binds this host to the deciding host from a report that is sent now. Precondition: follow() allowed the report.
void noteReported(Following &following, const HealthSettings &settings, TimePoint now);

/// Takes in verdicts; returns false when they are not of the deciding host that this host follows, or older than others.
bool takeVerdicts(Following &following, const HostId &from, std::uint64_t incarnation, const ServiceVerdicts &verdicts, TimePoint now);

/// Returns the verdicts to go by: ejections while they are valid, the rest while it is fresh.
std::vector<ServerVerdict> verdictsInForce(const Following &following, const HealthSettings &settings, TimePoint now);

/// Returns a server to which this host should send its next idempotent request as a trial, and takes note of that.
std::optional<ServerId> takeTrial(Following &following, const HealthSettings &settings, const HostId &self, TimePoint now);

/// Ends the trial of a server by this host after one of its requests failed there.
void noteTrialFailed(Following &following, const HealthSettings &settings, const ServerId &server, TimePoint now);

}
