#include <ragwortrelay/wire/peercodec.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;

TEST_CASE("peer codec")
{
    const Node::PeerBatch batch{HostId("h1"), 7, HostId("h2"), {Membership::Heartbeat{1, 2, {HostId("h3"), HostId("h4")}, true}}};
    const std::string bytes = Wire::encodeBatch(batch);

    SECTION("a batch survives the way there and back")
    {
        const auto decoded = Wire::decodeBatch(bytes);
        REQUIRE(decoded);
        CHECK(*decoded == batch);
    }

    SECTION("a batch cut anywhere is refused")
    {
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            CHECK_FALSE(Wire::decodeBatch(bytes.substr(0, size)));
        }
    }

    SECTION("bytes behind a batch are refused")
    {
        CHECK_FALSE(Wire::decodeBatch(bytes + 'x'));
    }
}
