#include <ragwortrelay/fleet/messageage.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Sends messages from a host whose clock differs by a fixed time.
struct Sender {
    Duration m_offset;
    MessageAge m_age;

    /// Returns the age of a message that is read after a delay.
    Duration ageOf(Duration sentAt, Duration delay)
    {
        return recordMessage(m_age, sentAt + m_offset, TimePoint(sentAt + delay));
    }
};

}

// Guards against a leader that drops all requests of a host: because of its clock, after a restart of its machine, or since its path is slow.
TEST_CASE("the age of messages is counted from the fastest one of the last seconds")
{
    Sender sender{GENERATE(Duration(0), Duration(seconds(1000)), Duration(seconds(-1000))), {}};
    CHECK(sender.ageOf(seconds(1), milliseconds(2)) == Duration(0));
    CHECK(sender.ageOf(seconds(2), milliseconds(1)) == Duration(0));
    CHECK(sender.ageOf(seconds(3), milliseconds(301)) == Duration(milliseconds(300)));

    SECTION("a path that has become slower counts as slow for two windows at most")
    {
        CHECK(sender.ageOf(seconds(4), milliseconds(21)) == Duration(milliseconds(20)));
        CHECK(sender.ageOf(seconds(7), milliseconds(21)) == Duration(milliseconds(20)));
        CHECK(sender.ageOf(seconds(13), milliseconds(21)) == Duration(0));
    }
    SECTION("a pause doesn't hide a backlog")
    {
        CHECK(sender.ageOf(seconds(30), milliseconds(301)) == Duration(milliseconds(300)));
    }
    SECTION("a clock that is set back or forward makes no message look old for longer than a message may be")
    {
        sender.m_offset -= seconds(100);
        CHECK(sender.ageOf(seconds(4), milliseconds(1)) == Duration(0));
        CHECK(sender.ageOf(seconds(5), milliseconds(11)) == Duration(milliseconds(10)));
        sender.m_offset += seconds(200);
        CHECK(sender.ageOf(seconds(6), milliseconds(1)) == Duration(0));
    }
}
