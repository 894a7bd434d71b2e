#pragma once

#include <ragwortrelay/http/message.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace RagwortRelay::Http {

/// How far an answer has been read.
enum class ResponseState : std::uint8_t {
    Head,
    Body,
    Whole,
    Broken, ///< The bytes are no answer, or it ended before its end.
};

/// Whether the request that an answer is for lets the answer have a body.
enum class ResponseBody : std::uint8_t {
    Expected,
    None, ///< The request was HEAD.
};

/// Reads one HTTP/1 answer from the bytes of a connection; interim answers are passed over. Not thread-safe.
class ResponseReader
{
public:
    explicit ResponseReader(ResponseBody body);
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;

    /// Takes bytes in; those that were not used have to be offered again with more behind them, or lie behind the answer.
    /// @return how many bytes were used
    /// Precondition: the state is Head or Body.
    std::size_t put(std::string_view bytes);

    /// Takes in that the server closed the connection in good order. Precondition: the state is Head or Body.
    void putEof();

    /// Returns how far the answer was read. No preconditions.
    [[nodiscard]] ResponseState state() const;

    /// Returns the head. Precondition: the state is Body or Whole.
    [[nodiscard]] const ResponseHead &head() const;

    /// Tells whether the answer ends with its connection, having no length of its own. Precondition: the state is Body or Whole.
    [[nodiscard]] bool endsWithConnection() const;

    /// Takes out the part of the body that came since the last call. No preconditions.
    [[nodiscard]] std::string takeBody();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
