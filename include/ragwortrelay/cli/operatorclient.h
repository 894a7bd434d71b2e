#pragma once

#include <ragwortrelay/core/error.h>

#include <tl/expected.hpp>

#include <string>

namespace RagwortRelay::Cli {

/// Address and token for requests to a host's listener for operators.
struct OperatorEndpoint {
    std::string m_address; ///< `IP:PORT`
    std::string m_token; ///< Operators' token of the fleet.

    friend bool operator==(const OperatorEndpoint &, const OperatorEndpoint &) = default;
};

/// HTTP response of a host.
struct OperatorResponse {
    long m_status = 0;
    std::string m_body;

    friend bool operator==(const OperatorResponse &, const OperatorResponse &) = default;
};

/// Sends a request to a host and blocks until the response is complete. The method is GET for an empty body and POST otherwise. Fails with
/// ErrorId::OperatorUnreachable when no complete response arrives within 30 s. Thread-safe.
tl::expected<OperatorResponse, Error> sendToHost(const OperatorEndpoint &endpoint, const std::string &path, const std::string &body);

}
