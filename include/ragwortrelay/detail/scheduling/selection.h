#pragma once

#include <ragwortrelay/scheduling/explanation.h>
#include <ragwortrelay/scheduling/serverregistry.h>

/// Internal steps of the selection of a server, which explanations share. Thread-safe on a registry that doesn't change.
namespace RagwortRelay::Scheduling::detail {

/// Server that could be selected.
struct Candidate {
    const ServerState *m_state = nullptr;
    double m_unhealthyProbability = 0.0;
    bool m_isConnected = false; ///< Whether the requesting host is likely to have a usable connection to the server.
    bool m_canStart = false; ///< The server has a free slot, and its warm-up or its return from an evacuation allows a start now.
};

/// Steps of one selection, for explanations.
struct SelectionTrace {
    std::vector<Candidate> m_candidates;
    std::vector<Candidate> m_avoided; ///< Those of the candidates that look unhealthy.
    SelectionStep m_step = SelectionStep::None;
};

/// Tells whether the limit of starts at cold servers allows one more at a server.
bool allowsColdStart(
    const ServerRegistry &registry, const ServerSelectionSettings &settings, const ServiceState &service, const ServerState &state, TimePoint now);

/// Returns the servers to which a host is likely to have an idle connection that the request may use.
std::vector<ServerId>
connectedServers(const ServerSelectionSettings &settings, const ServiceState &service, const PlacementRequest &placement, const HostId &host, TimePoint now);

/// Returns the components of the cost of a candidate.
CostComponents
costOf(const ServerSelectionSettings &settings, const Candidate &candidate, const PlacementRequest &placement, const Requester &requester, TimePoint now);

/// Selects a server as the public function does.
/// @param trace receives the steps if it isn't null
tl::expected<ServerId, SelectionFailure> selectServer(const ServerRegistry &registry,
                                                      const ServerSelectionSettings &settings,
                                                      const PlacementRequest &placement,
                                                      const Requester &requester,
                                                      RandomGenerator &random,
                                                      TimePoint now,
                                                      const std::vector<ServerId> &freed,
                                                      SelectionTrace *trace);

}
