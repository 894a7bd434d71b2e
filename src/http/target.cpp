#include <ragwortrelay/detail/http/target.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace RagwortRelay::Http::detail {

namespace {

constexpr char Delete = 0x7F;

bool isTargetCharacter(char character)
{
    return character > ' ' && character < Delete && std::string_view("\"#<>\\^`{|}").find(character) == std::string_view::npos;
}

/// Returns whether a byte must not occur escaped in a path.
bool isForbiddenByte(char byte)
{
    return byte == '/' || byte == '\\' || static_cast<unsigned char>(byte) < ' ' || byte == Delete;
}

bool hasOnlySafeEscapes(std::string_view path)
{
    for (std::size_t i = path.find('%'); i != std::string_view::npos; i = path.find('%', i + 1)) {
        const auto byte = unescape(path, i);
        if (!byte || isForbiddenByte(*byte)) {
            return false;
        }
    }
    return true;
}

bool isDotSegment(std::string_view name)
{
    std::size_t dots = 0;
    while (!name.empty()) {
        const bool isEscaped = unescape(name, 0) == '.' && name.front() == '%';
        if (name.front() != '.' && !isEscaped) {
            return false;
        }
        ++dots;
        name.remove_prefix(isEscaped ? 3 : 1);
    }
    return dots == 1 || dots == 2;
}

/// Returns whether a server would resolve or merge a segment. Parameters after `;` are ignored.
bool isAmbiguousSegment(std::string_view segment, bool isLast)
{
    const std::string_view name = segment.substr(0, segment.find(';'));
    return isDotSegment(name) || (name.empty() && (!isLast || !segment.empty()));
}

bool hasAmbiguousSegment(std::string_view path)
{
    std::size_t start = 1;
    while (start <= path.size()) {
        const std::size_t slash = path.find('/', start);
        const bool isLast = slash == std::string_view::npos;
        if (isAmbiguousSegment(path.substr(start, isLast ? slash : slash - start), isLast)) {
            return true;
        }
        if (isLast) {
            return false;
        }
        start = slash + 1;
    }
    return false;
}

}

std::optional<char> unescape(std::string_view text, std::size_t position)
{
    constexpr std::size_t EscapeSize = 3;
    constexpr int Hexadecimal = 16;
    const std::string_view escape = text.substr(std::min(position, text.size()), EscapeSize);
    unsigned byte = 0;
    const char *end = escape.data() + escape.size();
    const bool isEscape = escape.size() == EscapeSize && escape.front() == '%' && std::isxdigit(static_cast<unsigned char>(escape[1])) != 0;
    if (!isEscape || std::from_chars(escape.data() + 1, end, byte, Hexadecimal).ptr != end) {
        return std::nullopt;
    }
    return static_cast<char>(byte);
}

bool isClearTarget(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    return path.starts_with('/') && std::ranges::all_of(target, isTargetCharacter) && hasOnlySafeEscapes(path) && !hasAmbiguousSegment(path);
}

}
