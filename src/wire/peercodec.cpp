#include <ragwortrelay/detail/wire/fields.h>
#include <ragwortrelay/wire/peercodec.h>

namespace RagwortRelay::Wire {

namespace {

constexpr std::size_t BatchFields = 5;
constexpr std::size_t DeepestNesting = 16;

msgpack::unpack_limit unpackLimit()
{
    // No part of a batch can hold more elements than the batch has bytes.
    return {LargestBatch, LargestBatch, LargestBatch, LargestBatch, LargestBatch, DeepestNesting};
}

}

std::string encodeBatch(const Node::PeerBatch &batch)
{
    msgpack::sbuffer buffer;
    detail::Packer packer(buffer);
    packer.pack_array(BatchFields);
    detail::pack(packer, FormatVersion);
    detail::pack(packer, batch.m_from);
    detail::pack(packer, batch.m_incarnation);
    detail::pack(packer, batch.m_to);
    packer.pack_array(static_cast<std::uint32_t>(batch.m_messages.size()));
    for (const Node::PeerMessage &message : batch.m_messages) {
        detail::packVariant(packer, message);
    }
    return {buffer.data(), buffer.size()};
}

tl::expected<Node::PeerBatch, Error> decodeBatch(const std::string &bytes)
{
    try {
        if (bytes.size() > LargestBatch) {
            throw detail::MalformedMessage("the batch is too large");
        }
        std::size_t end = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, unpackLimit());
        const auto [fields, size] = detail::arrayOf(handle.get());
        if (size != BatchFields || end != bytes.size()) {
            throw detail::MalformedMessage("not a batch");
        }
        if (fields[0].as<std::uint32_t>() != FormatVersion) {
            throw detail::MalformedMessage("unknown version of the format");
        }
        Node::PeerBatch batch;
        detail::unpack(fields[1], batch.m_from);
        detail::unpack(fields[2], batch.m_incarnation);
        detail::unpack(fields[3], batch.m_to);
        const auto [messages, count] = detail::arrayOf(fields[4]);
        batch.m_messages.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            detail::unpackVariant(messages[i], batch.m_messages[i]);
        }
        return batch;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::PeerMalformedMessage, exception.what()});
    }
}

}
