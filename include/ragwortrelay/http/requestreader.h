#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/http/message.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace RagwortRelay::Http {

/// Bounds of what a caller may send.
struct RequestLimits {
    std::uint64_t m_maxHeaderBytes = 16U << 10U; ///< Request line and all headers.
    std::uint64_t m_maxBodyBytes = 1U << 20U;

    friend bool operator==(const RequestLimits &, const RequestLimits &) = default;
};

/// Why a request can't be taken. Its connection can't be used any further.
struct RequestReadError {
    std::uint16_t m_status = 400;
    ErrorId m_id = ErrorId::RequestMalformed;
    std::string m_detail;

    friend bool operator==(const RequestReadError &, const RequestReadError &) = default;
};

/// How far a request has been read.
enum class ReadState : std::uint8_t {
    Head,
    Body,
    Complete,
    Refused,
};

/// Reads one HTTP/1 request from the bytes of a connection. Not thread-safe.
class RequestReader
{
public:
    explicit RequestReader(const RequestLimits &limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /// Takes bytes in; those that were not used have to be offered again with more behind them, or belong to the next request.
    /// @return how many bytes were used
    /// Precondition: the state is Head or Body.
    std::size_t put(std::string_view bytes);

    /// Returns how far the request was read. No preconditions.
    [[nodiscard]] ReadState state() const;

    /// Returns why the request was refused. Precondition: the state is Refused.
    [[nodiscard]] const RequestReadError &refusal() const;

    /// Returns the head. Precondition: the state is Body or Complete.
    [[nodiscard]] const RequestHead &head() const;

    /// Takes the body out. Precondition: the state is Complete; called once.
    [[nodiscard]] std::string takeBody();

    /// Tells whether the caller waits for an interim answer before it sends the body. Precondition: the state is Body.
    [[nodiscard]] bool expectsContinue() const;

    /// Tells whether the caller wants to keep its connection. Precondition: the state is Body or Complete.
    [[nodiscard]] bool keepsConnection() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
