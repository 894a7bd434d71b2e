#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace RagwortRelay {

/// Strongly typed name. The tag keeps names of different kinds from being mixed up. Constant identifiers are thread-safe.
template<typename Tag> class Identifier
{
public:
    Identifier() = default;

    explicit Identifier(std::string text) : m_text(std::move(text))
    {
    }

    /// Returns the name as text. Thread-safe.
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

    /// Returns whether the name is empty. Thread-safe.
    [[nodiscard]] bool isEmpty() const
    {
        return m_text.empty();
    }

    friend auto operator<=>(const Identifier &, const Identifier &) = default;
    friend bool operator==(const Identifier &, const Identifier &) = default;

    friend std::ostream &operator<<(std::ostream &stream, const Identifier &identifier)
    {
        return stream << identifier.m_text;
    }

private:
    std::string m_text;
};

using HostId = Identifier<struct HostTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using WorkspaceId = Identifier<struct WorkspaceTag>;
using ServiceId = Identifier<struct ServiceTag>;
using ServerId = Identifier<struct ServerTag>;
using KeyId = Identifier<struct KeyTag>;
using ChangeId = Identifier<struct ChangeTag>;

}

template<typename Tag> struct std::hash<RagwortRelay::Identifier<Tag>> {
    std::size_t operator()(const RagwortRelay::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>{}(identifier.text());
    }
};
