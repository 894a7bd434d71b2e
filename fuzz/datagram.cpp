// Reads any bytes, properly sealed, as a datagram of another host; what is read reads back the same.

#include <ragwortrelay/wire/datagram.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    constexpr std::size_t SealBytes = 8;
    const std::string secret = "secret";
    std::array<unsigned char, EVP_MAX_MD_SIZE> seal{};
    unsigned int sealSize = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data, size, seal.data(), &sealSize);
    std::string bytes(reinterpret_cast<const char *>(data), size);
    bytes.append(reinterpret_cast<const char *>(seal.data()), SealBytes);
    const auto datagram = RagwortRelay::Wire::decodeDatagram(bytes, secret);
    if (!datagram) {
        return 0;
    }
    std::size_t messages = 0;
    for (const std::string &piece : RagwortRelay::Wire::encodeDatagrams(*datagram, secret)) {
        const auto again = RagwortRelay::Wire::decodeDatagram(piece, secret);
        if (!again) {
            std::abort();
        }
        messages += again->m_messages.size();
    }
    if (messages != datagram->m_messages.size()) {
        std::abort();
    }
    return 0;
}
