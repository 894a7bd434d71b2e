#include <ragwortrelay/detail/wire/fields.h>
#include <ragwortrelay/wire/datagram.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace RagwortRelay::Wire {

namespace {

constexpr std::uint32_t DatagramFormat = 3; ///< Version of the format, raised when a release can't read datagrams of earlier ones.
constexpr std::size_t DatagramFieldCount = 4;
constexpr std::size_t TagBytes = 8;
constexpr std::size_t MaxDatagramBytes = 65536;

/// Returns the tag that authenticates bytes: an HMAC with SHA-256, truncated to its first TagBytes bytes. Source: RFC 2104.
std::string authenticationTag(std::string_view bytes, const std::string &secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()),
         bytes.size(),
         digest.data(),
         &size);
    return {reinterpret_cast<const char *>(digest.data()), TagBytes};
}

std::string packMessage(const Fleet::Message &message)
{
    msgpack::sbuffer buffer;
    detail::Packer packer(buffer);
    detail::packVariant(packer, message);
    return {buffer.data(), buffer.size()};
}

std::string assembleDatagram(const Fleet::Datagram &datagram, const std::vector<std::string> &messages, const std::string &secret)
{
    msgpack::sbuffer buffer;
    detail::Packer packer(buffer);
    packer.pack_array(DatagramFieldCount);
    detail::pack(packer, DatagramFormat);
    detail::pack(packer, datagram.m_from);
    detail::pack(packer, datagram.m_incarnation);
    packer.pack_array(static_cast<std::uint32_t>(messages.size()));
    std::string bytes(buffer.data(), buffer.size());
    for (const std::string &message : messages) {
        bytes += message;
    }
    return bytes + authenticationTag(bytes, secret);
}

msgpack::unpack_limit unpackLimit()
{
    constexpr std::size_t MaxNestingDepth = 16;
    // No element of a datagram can hold more elements than the datagram has bytes.
    return {MaxDatagramBytes, MaxDatagramBytes, MaxDatagramBytes, MaxDatagramBytes, MaxDatagramBytes, MaxNestingDepth};
}

Fleet::Datagram unpackDatagram(std::string_view bytes)
{
    std::size_t end = 0;
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, unpackLimit());
    const auto [fields, size] = detail::elementsOf(handle.get());
    if (size != DatagramFieldCount || end != bytes.size()) {
        throw detail::MalformedMessage("not a datagram of the fleet");
    }
    if (fields[0].as<std::uint32_t>() != DatagramFormat) {
        throw detail::MalformedMessage("unknown version of the datagram format");
    }
    Fleet::Datagram datagram;
    detail::unpack(fields[1], datagram.m_from);
    detail::unpack(fields[2], datagram.m_incarnation);
    const auto [messages, count] = detail::elementsOf(fields[3]);
    datagram.m_messages.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        detail::unpackVariant(messages[i], datagram.m_messages[i]);
    }
    return datagram;
}

}

std::vector<std::string> encodeDatagrams(const Fleet::Datagram &datagram, const std::string &secret)
{
    std::vector<std::string> result;
    std::vector<std::string> messages;
    std::size_t size = 0;
    for (const Fleet::Message &message : datagram.m_messages) {
        std::string packed = packMessage(message);
        if (!messages.empty() && size + packed.size() > TargetDatagramBytes) {
            result.push_back(assembleDatagram(datagram, messages, secret));
            messages.clear();
            size = 0;
        }
        size += packed.size();
        messages.push_back(std::move(packed));
    }
    if (!messages.empty()) {
        result.push_back(assembleDatagram(datagram, messages, secret));
    }
    return result;
}

tl::expected<Fleet::Datagram, Error> decodeDatagram(std::string_view bytes, const std::string &secret)
{
    if (bytes.size() <= TagBytes) {
        return tl::unexpected(Error{ErrorId::PeerMalformedMessage, "the datagram is too short"});
    }
    const std::string_view content = bytes.substr(0, bytes.size() - TagBytes);
    const std::string_view tag = bytes.substr(content.size());
    if (CRYPTO_memcmp(authenticationTag(content, secret).data(), tag.data(), TagBytes) != 0) {
        return tl::unexpected(Error{ErrorId::PeerMalformedMessage, "the datagram is not authenticated with the fleet's secret"});
    }
    try {
        return unpackDatagram(content);
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::PeerMalformedMessage, exception.what()});
    }
}

}
