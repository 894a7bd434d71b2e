#include <ragwortrelay/detail/http/secret.h>
#include <ragwortrelay/detail/http/target.h>

#include <string>

namespace RagwortRelay::Http::detail {

std::string_view extractSecret(std::string_view key)
{
    constexpr std::size_t MinSecretLength = 16; // Length in characters. A shorter text could match by chance.
    const std::string_view text = key.substr(key.find(' ') == std::string_view::npos ? 0 : key.find(' ') + 1);
    const std::size_t dot = text.rfind('.');
    const std::string_view secret = dot == std::string_view::npos ? text : text.substr(dot + 1);
    const std::string_view candidate = secret.size() >= MinSecretLength ? secret : text;
    return candidate.size() >= MinSecretLength ? candidate : std::string_view();
}

namespace {

/// Returns whether a text contains the secret once its percent escapes are decoded. The text may be a body of the largest size that is permitted, so that
/// it is decoded piece by piece.
bool containsDecoded(std::string_view text, std::string_view secret)
{
    constexpr std::size_t PieceBytes = 64U << 10U;
    const std::size_t overlap = secret.size() - 1; // A secret may begin in one piece and end in the next.
    std::string piece;
    piece.reserve(overlap + PieceBytes);
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = unescape(text, i);
        piece += byte.value_or(text[i]);
        i += byte ? 2 : 0;
        if (piece.size() == overlap + PieceBytes) {
            if (piece.find(secret) != std::string::npos) {
                return true;
            }
            piece.erase(0, PieceBytes);
        }
    }
    return piece.find(secret) != std::string::npos;
}

}

bool containsSecret(std::string_view text, std::string_view secret)
{
    if (secret.empty() || text.empty()) {
        return false;
    }
    if (text.find(secret) != std::string_view::npos) {
        return true;
    }
    if (text.find('%') == std::string_view::npos) {
        return false;
    }
    return containsDecoded(text, secret);
}

}
