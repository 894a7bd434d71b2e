#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/http/message.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace RagwortRelay::Http {

/// Size limits of a caller's request.
struct RequestLimits {
    std::uint64_t m_maxHeaderBytes = 16U << 10U; ///< Size of the request line and all headers in bytes.
    std::uint64_t m_maxBodyBytes = 1U << 20U; ///< Size of the body in bytes.
    std::size_t m_maxHeaderFields = 4096; ///< Number of header fields.

    friend bool operator==(const RequestLimits &, const RequestLimits &) = default;
};

/// Reason for which a request can't be accepted. Its connection can't be used any further.
struct RequestReadError {
    std::uint16_t m_status = 400; ///< Status code of the response.
    ErrorId m_id = ErrorId::RequestMalformed;
    std::string m_detail; ///< Explanation for the caller.

    friend bool operator==(const RequestReadError &, const RequestReadError &) = default;
};

/// Progress in reading a request.
enum class ReadState : std::uint8_t {
    Head, ///< The head is incomplete.
    Body, ///< The head is complete, the body is not.
    Complete, ///< The whole request was read.
    Refused, ///< The request can't be accepted.
};

/// Incremental parser of one HTTP/1 request from the bytes of a connection. Not thread-safe.
class RequestReader
{
public:
    explicit RequestReader(const RequestLimits &limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /// Parses bytes. Unconsumed bytes have to be passed again together with further ones; those that remain at the end belong to the next
    /// request.
    /// @return number of consumed bytes
    /// Precondition: the state is Head or Body.
    std::size_t put(std::string_view bytes);

    /// Returns the progress in reading the request. No preconditions.
    [[nodiscard]] ReadState state() const;

    /// Returns the reason of the refusal. Precondition: the state is Refused.
    [[nodiscard]] const RequestReadError &refusal() const;

    /// Returns the head. Precondition: the state is Body or Complete.
    [[nodiscard]] const RequestHead &head() const;

    /// Moves the body out. Precondition: the state is Complete, and the body wasn't taken before.
    [[nodiscard]] std::string takeBody();

    /// Returns whether the caller waits for an interim response before it sends the body. Precondition: the state is Body.
    [[nodiscard]] bool expectsContinue() const;

    /// Returns the memory that the reader holds, in bytes. Complexity: constant.
    [[nodiscard]] std::size_t memorySize() const;

    /// Returns whether the caller wants its connection kept alive. Precondition: the state is Body or Complete.
    [[nodiscard]] bool keepsConnection() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
