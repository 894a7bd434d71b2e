#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace RagwortRelay::Dispatch {

/// Maximum size of a response that is stored for replay: the bytes of all header names and values and of the body.
inline constexpr std::size_t MaxStoredResponseBytes = 32U << 10U;

/// Header field of a stored response.
struct ResponseHeader {
    std::string m_name;
    std::string m_value;

    friend bool operator==(const ResponseHeader &, const ResponseHeader &) = default;
};

/// Complete response of a backend server, as sent to the caller and replayed to each later caller with the same idempotency key.
struct StoredResponse {
    std::uint16_t m_status = 0;
    std::vector<ResponseHeader> m_headers;
    std::string m_body;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

}
