#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/scheduling/explanation.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Explanation of where a request would go: the command of an operator and its reply.
namespace RagwortRelay::Operators {

/// Requests where a request would go now and why. The request isn't sent.
struct ExplainRequest {
    std::string m_method = "GET";
    std::string m_host; ///< Value of the `Host` header; empty for none.
    std::string m_target; ///< Path, with or without a query.
    WorkspaceId m_workspace; ///< Workspace of the caller; empty if m_key tells it or there is none.
    std::string m_key; ///< Workspace key, with or without the prefix `Bearer`; empty for none.
    std::uint64_t m_bodyBytes = 0;
    FailureDomainId m_domain; ///< Failure domain of the host that takes the request; empty for that of the host that is asked.
    std::vector<ServerId> m_tried; ///< Servers that earlier attempts have tried. If there are any, the next attempt is a retry.

    friend bool operator==(const ExplainRequest &, const ExplainRequest &) = default;
};

/// Decision about a request for one of the services of its route.
struct ServiceExplained {
    ServiceId m_service;
    double m_share = 1.0; ///< Share of the route's requests that go to the service, 0 to 1.
    Scheduling::PlacementExplanation m_placement;

    friend bool operator==(const ServiceExplained &, const ServiceExplained &) = default;
};

/// Replies with the view of one host on a request.
struct RequestExplained {
    HostId m_host; ///< Host that replies.
    FailureDomainId m_domain; ///< Failure domain of the host that takes the request.
    HostId m_leader; ///< Leader that the host follows; empty if it follows none.
    bool m_asksLeader = false; ///< The leader would decide about the request. Otherwise the host would.
    double m_throttleProbability = 0.0; ///< Probability that the host refuses the request as over the limit without asking the leader.
    Configuration::Route m_route;
    WorkspaceId m_workspace; ///< Empty on a route without authentication.
    bool m_isRetry = false;
    std::vector<ServiceExplained> m_services;

    friend bool operator==(const RequestExplained &, const RequestExplained &) = default;
};

/// Reports that a command was refused.
struct CommandRefused {
    Error m_error;

    friend bool operator==(const CommandRefused &, const CommandRefused &) = default;
};

/// Encodes the body of a request for an explanation. Thread-safe, like all functions here.
std::string encodeExplainRequest(const ExplainRequest &request);

/// Decodes the body of a request for an explanation.
tl::expected<ExplainRequest, Error> decodeExplainRequest(const std::string &body);

/// Encodes an explanation in JSON.
std::string encodeExplanation(const RequestExplained &explained);

/// Formats an explanation in JSON as text with a table of the servers of each service.
tl::expected<std::string, Error> formatExplanation(const std::string &body);

/// Decodes the error of a refused command; another body becomes the message.
Error decodeRefusal(const std::string &body);

}
