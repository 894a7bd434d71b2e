// Decodes arbitrary bytes with a valid authentication tag as another host's datagram. Encoding the result and decoding it again must keep
// the number of messages.

#include <ragwortrelay/wire/datagram.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    constexpr std::size_t TagBytes = 8;
    const std::string secret = "secret";
    std::array<unsigned char, EVP_MAX_MD_SIZE> tag{};
    unsigned int tagSize = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data, size, tag.data(), &tagSize);
    std::string bytes(reinterpret_cast<const char *>(data), size);
    bytes.append(reinterpret_cast<const char *>(tag.data()), TagBytes);
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
