#pragma once

#include <ragwortrelay/core/error.h>

#include <tl/expected.hpp>

#include <string>

namespace RagwortRelay::Cli {

/// Where a command finds a host.
struct OperatorEndpoint {
    std::string m_address; ///< `IP:PORT`
    std::string m_token;

    friend bool operator==(const OperatorEndpoint &, const OperatorEndpoint &) = default;
};

/// HTTP answer of a host.
struct OperatorResponse {
    long m_status = 0;
    std::string m_body;

    friend bool operator==(const OperatorResponse &, const OperatorResponse &) = default;
};

/// Sends a request to a host; GET when the body is empty, POST otherwise. Thread-safe.
tl::expected<OperatorResponse, Error> askHost(const OperatorEndpoint &endpoint, const std::string &path, const std::string &body);

}
