#pragma once

#include <ragwortrelay/http/message.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace RagwortRelay::Http {

/// Progress in reading a response.
enum class ResponseState : std::uint8_t {
    Head, ///< The head is incomplete.
    Body, ///< The head is complete, the body is not.
    Whole, ///< The whole response was read.
    Broken, ///< The bytes are no valid response, or the response was truncated.
};

/// Tells whether the request method permits a response body.
enum class ResponseBody : std::uint8_t {
    Expected, ///< The response may have a body.
    None, ///< The request method was HEAD.
};

/// Incremental parser of one HTTP/1 response from the bytes of a connection. It skips interim responses. Not thread-safe.
class ResponseReader
{
public:
    explicit ResponseReader(ResponseBody body);
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;

    /// Parses bytes. Unconsumed bytes have to be passed again together with further ones; those that remain at the end follow the response.
    /// @return number of consumed bytes
    /// Precondition: the state is Head or Body.
    std::size_t put(std::string_view bytes);

    /// Signals that the server closed the connection without an error. Precondition: the state is Head or Body.
    void putEof();

    /// Returns the progress in reading the response. No preconditions.
    [[nodiscard]] ResponseState state() const;

    /// Returns the head. Precondition: the state is Body or Whole.
    [[nodiscard]] const ResponseHead &head() const;

    /// Returns whether the response has no length of its own and ends when the connection is closed. Precondition: the state is Body or
    /// Whole.
    [[nodiscard]] bool isCloseDelimited() const;

    /// Moves out the part of the body that arrived since the last call. No preconditions.
    [[nodiscard]] std::string takeBody();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
