#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace RagwortRelay::Http::detail {

/// Bytes of a body with the size that they can't exceed, beyond which no memory is reserved.
struct GrowingBytes {
    std::string m_bytes;
    std::uint64_t m_maxSize = std::numeric_limits<std::uint64_t>::max();
};

/// Body type for parsers of Boost.Beast that holds the received bytes in a string. Its memory grows with the bytes that arrive: a length that
/// a peer announces allocates nothing, unlike with boost::beast::http::string_body.
struct GrowingBody {
    using value_type = GrowingBytes; // NOLINT(readability-identifier-naming): Boost.Beast prescribes the name.

    /// Appends the parsed bytes to the body. Not thread-safe.
    class reader // NOLINT(readability-identifier-naming): Boost.Beast prescribes the name.
    {
    public:
        template<typename Header> reader(Header & /*header*/, value_type &body) : m_body(body)
        {
        }

        /// Accepts a body of any announced length. No preconditions.
        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &error)
        {
            m_body.m_maxSize = length ? std::min<std::uint64_t>(*length, m_body.m_maxSize) : m_body.m_maxSize;
            error = {};
        }

        /// Appends bytes and returns their number. No preconditions.
        template<typename Buffers> std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            error = {};
            std::size_t size = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                makeRoom(buffer.size());
                m_body.m_bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }

        /// Ends the body. No preconditions.
        static void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        /// Doubles the capacity when it is too small, but not beyond the largest size. std::string alone would take up to twice that.
        void makeRoom(std::size_t size)
        {
            std::string &bytes = m_body.m_bytes;
            const std::size_t needed = bytes.size() + size;
            if (needed <= bytes.capacity()) {
                return;
            }
            std::string grown;
            // From a quarter of the largest size on, that is reserved, so that no two nearly complete copies exist while the bytes are moved.
            const std::uint64_t doubled = 2 * bytes.capacity();
            grown.reserve(std::max<std::size_t>(needed, doubled > m_body.m_maxSize / 2 ? m_body.m_maxSize : doubled));
            grown.append(bytes);
            bytes.swap(grown);
        }

        value_type &m_body;
    };
};

}
