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
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += Digits[digest[i] >> 4U];
        hex += Digits[digest[i] & 15U];
    }
    return hex;
}

std::optional<WorkspaceId> authenticate(const Configuration::Catalogue &catalogue, const PresentedKey &key)
{
    static const Configuration::Key unknownKey{KeyId(), WorkspaceId(), std::string(48, '0'), std::string(64, '0'), true};
    const auto found = catalogue.m_keys.find(key.m_id);
    const Configuration::Key &stored = found == catalogue.m_keys.end() ? unknownKey : found->second;
    const std::string digest = digestOf(stored.m_salt, key.m_secret);
    const bool matches = digest.size() == stored.m_digest.size() && CRYPTO_memcmp(digest.data(), stored.m_digest.data(), digest.size()) == 0;
    if (!matches || stored.m_withdrawn) {
        return std::nullopt;
    }
    return stored.m_workspace;
}

bool isValid(const Configuration::Catalogue &catalogue, const KeyId &key, const WorkspaceId &workspace)
{
    const auto found = catalogue.m_keys.find(key);
    return found != catalogue.m_keys.end() && !found->second.m_withdrawn && found->second.m_workspace == workspace;
}

}
