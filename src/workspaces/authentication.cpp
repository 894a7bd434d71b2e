#include <ragwortrelay/workspaces/authentication.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace RagwortRelay::Workspaces {

std::optional<PresentedKey> parseBearer(const std::string &headerValue)
{
    const std::string scheme = "Bearer ";
    if (!headerValue.starts_with(scheme)) {
        return std::nullopt;
    }
    const std::size_t dot = headerValue.find('.', scheme.size());
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    return PresentedKey{KeyId(headerValue.substr(scheme.size(), dot - scheme.size())), headerValue.substr(dot + 1)};
}

std::string digestOf(const std::string &salt, const std::string &secret)
{
    constexpr const char *Digits = "0123456789abcdef";
    const std::string input = salt + ':' + secret;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(input.data(), input.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string text;
    for (unsigned int i = 0; i < size; ++i) {
        text += Digits[digest[i] >> 4U];
        text += Digits[digest[i] & 15U];
    }
    return text;
}

std::optional<WorkspaceId> authenticate(const Configuration::Catalogue &catalogue, const PresentedKey &key)
{
    const auto stored = catalogue.m_keys.find(key.m_id);
    if (stored == catalogue.m_keys.end() || stored->second.m_withdrawn) {
        return std::nullopt;
    }
    const std::string digest = digestOf(stored->second.m_salt, key.m_secret);
    const std::string &expected = stored->second.m_digest;
    if (digest.size() != expected.size() || CRYPTO_memcmp(digest.data(), expected.data(), digest.size()) != 0) {
        return std::nullopt;
    }
    return stored->second.m_workspace;
}

}
