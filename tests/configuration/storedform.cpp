#include "../fakes/faketable.h"

#include <ragwortrelay/configuration/storedform.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Configuration;

namespace {

EncodedChange makeChange(std::uint64_t version)
{
    const Row row{{RowKind::Workspace, "w"}, version, {{"rate", std::to_string(version)}}, false};
    EncodedChange change{{version, "c" + std::to_string(version), "o", {row}}, {}};
    change.m_body = encodeChange(change.m_change);
    return change;
}

ChainRead readAfter(Fakes::FakePlatform &platform, std::uint64_t version)
{
    return readChain(std::get<Platform::ItemsRead>(Fakes::apply(platform, changesAfter(version))), version);
}

}

TEST_CASE("stored form")
{
    Fakes::FakePlatform platform;
    REQUIRE(Fakes::apply(platform, appendTransaction({makeChange(1), makeChange(2)})) == Platform::Result(Platform::Written{}));
    REQUIRE(Fakes::apply(platform, appendTransaction({makeChange(3)})) == Platform::Result(Platform::Written{}));

    SECTION("a poll reads the mark of its version and the changes after it")
    {
        const ChainRead chain = readAfter(platform, 1);
        CHECK(chain.m_markOfBase == "c1");
        REQUIRE(chain.m_entries.size() == 2);
        CHECK(decodeChange(chain.m_entries[0].m_change, 2) == makeChange(2).m_change);
        CHECK(readAfter(platform, 3) == ChainRead{"c3", {}});
        CHECK(readAfter(platform, 4) == ChainRead{});
    }

    SECTION("a change id is appended once")
    {
        EncodedChange again = makeChange(2);
        again.m_change.m_version = 4;
        CHECK(Fakes::apply(platform, appendTransaction({again})) == Platform::Result(Platform::Refused{{3}}));
    }

    SECTION("trimming leaves the versions that are kept")
    {
        const auto old = std::get<Platform::ItemsRead>(Fakes::apply(platform, changesBefore(3)));
        CHECK(Fakes::apply(platform, trimTransaction(old)) == Platform::Result(Platform::Written{}));
        CHECK(readAfter(platform, 0).m_entries.front().m_version == 3);
        CHECK_FALSE(platform.m_items.contains(changeKey("c1")));
        CHECK(platform.m_items.contains(changeKey("c3")));
    }

    SECTION("a large change goes into an object, and its item names it")
    {
        EncodedChange large = makeChange(4);
        large.m_body = std::string(LargestInlineChange + 1, 'x');
        Fakes::apply(platform, appendTransaction({large}));
        CHECK(readAfter(platform, 3).m_entries == std::vector<LogEntry>{{4, {}, changeObject("c4")}});
    }

    SECTION("a snapshot is read as it was written; other text is refused")
    {
        Snapshot snapshot;
        snapshot.m_changeId = "c3";
        snapshot.m_table.m_version = 3;
        snapshot.m_table.m_rows[{RowKind::Service, "s"}] = {{RowKind::Service, "s"}, 2, {}, true};
        CHECK(decodeSnapshot(encodeSnapshot(snapshot)) == snapshot);
        CHECK_FALSE(decodeSnapshot("{}"));
        CHECK_FALSE(decodeChange("[1", 1));
    }
}
