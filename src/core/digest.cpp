#include <ragwortrelay/core/digest.h>

#include <array>
#include <openssl/evp.h>

namespace RagwortRelay {

std::string sha256(std::string_view text)
{
    constexpr const char *Digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += Digits[digest[i] >> 4U];
        hex += Digits[digest[i] & 15U];
    }
    return hex;
}

}
