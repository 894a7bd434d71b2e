#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace RagwortRelay::Dispatch {

/// Largest answer that is stored for a replay: bytes of all header names and values and of the body.
inline constexpr std::size_t LargestStoredAnswer = 32U << 10U;

/// One header of a stored answer.
struct AnswerHeader {
    std::string m_name;
    std::string m_value;

    friend bool operator==(const AnswerHeader &, const AnswerHeader &) = default;
};

/// Whole answer of a backend server, as it is given to the caller and to each later caller with the same idempotency key.
struct StoredAnswer {
    std::uint16_t m_status = 0;
    std::vector<AnswerHeader> m_headers;
    std::string m_body;

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

}
