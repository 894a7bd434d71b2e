#include "relay.h"

#include <catch2/catch.hpp>

#include <future>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using namespace std::chrono_literals;

// Guards against stalled callers that keep ordinary ones out, and against memory without a bound.
TEST_CASE("over the budget, connections that hold the most and progress the least are released")
{
    Loop::CallerBudget budget({1000, UINT64_MAX});
    std::vector<std::string> released;
    const TimePoint start{};
    const auto add = [&](const std::string &name, const std::string &address, TimePoint now, std::uint64_t bytes) {
        const auto id = std::make_shared<Loop::CallerBudget::Id>(0);
        *id = budget.add(&budget, address, now, [&, name, id](Loop::ReleaseReason /*reason*/) {
            released.push_back(name);
            budget.remove(*id);
        });
        budget.setHeld(*id, bytes);
        return *id;
    };
    add("large", "10.0.0.1", start, 600);
    add("small", "10.0.0.1", start, 100);

    SECTION("the newest caller isn't among them")
    {
        add("newest", "10.0.0.1", start + 1s, 900);
        budget.enforce(start + 1s);
        CHECK(released == std::vector<std::string>{"large"});
        CHECK(budget.held() == 1000);
        CHECK(budget.released(Loop::ReleaseReason::Memory) == 1);
    }
    SECTION("progress protects a connection")
    {
        const auto active = add("active", "10.0.0.1", start, 700);
        budget.setProgress(active, start + 1s);
        budget.enforce(start + 1s);
        CHECK(released == std::vector<std::string>{"large"});
    }
    SECTION("the address that holds the most pays first")
    {
        add("other", "10.0.0.2", start, 550);
        budget.enforce(start + 1s);
        CHECK(released == std::vector<std::string>{"large"});
    }
    SECTION("a single request that the configuration allows fits")
    {
        budget.setLargestRequest(5000);
        add("largest", "10.0.0.1", start, 4000);
        budget.enforce(start + 1s);
        CHECK(released.empty());
    }
    SECTION("a listener with too many connections releases one of its own")
    {
        CHECK(budget.releaseOneOf(&budget, start + 1s));
        CHECK(released == std::vector<std::string>{"large"});
        CHECK_FALSE(budget.releaseOneOf(&released, start + 1s));
    }
}

TEST_CASE("a body larger than the budget is served when nothing else is going on, and a stalled one is refused as not run")
{
    const RawListener server;
    Loop::CallerListenerSettings settings = Relay::callerSettings();
    constexpr std::size_t BodySize = 3U << 20U;
    settings.m_limits.m_maxBodyBytes = BodySize;
    settings.m_budget = std::make_shared<Loop::CallerBudget>(Loop::CallerBudgetSettings{1U << 20U, UINT64_MAX});
    Relay relay(settings, server.address());
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(BodySize) + "\r\n\r\n";
    std::vector<std::unique_ptr<RawSocket>> stalled;
    for (int i = 0; i < 6; ++i) {
        stalled.push_back(std::make_unique<RawSocket>(relay.address()));
        stalled.back()->send(head + std::string(BodySize - 1, 'x'));
    }
    CHECK(stalled.front()->receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
    const RawSocket caller(relay.address());
    std::thread sender([&] { caller.send(head + std::string(BodySize, 'x')); });
    const RawSocket connection(server.accept());
    std::size_t received = 0;
    while (received < BodySize) {
        const std::string part = connection.receiveSome();
        REQUIRE_FALSE(part.empty());
        received += part.size();
    }
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    sender.join();
    CHECK(caller.receiveAll().ends_with("ok"));
}

namespace {

/// Returns the memory that a budget counts, read on the thread of the event loop.
std::uint64_t heldBy(Relay &relay, const std::shared_ptr<Loop::CallerBudget> &budget)
{
    std::promise<std::uint64_t> held;
    relay.post([&](Loop::CallerListener &) { held.set_value(budget->held()); });
    return held.get_future().get();
}

/// Sends a request with a body whose attempt goes on after its caller has got a 504.
void sendAndGiveUp(Relay &relay, std::size_t bodySize)
{
    const std::uint64_t exchange = relay.m_requests + 1;
    const RawSocket caller(relay.address());
    caller.send("POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n" + std::string(bodySize, 'x'));
    while (relay.m_requests < exchange) {
        std::this_thread::sleep_for(1ms);
    }
    relay.post([exchange](Loop::CallerListener &listener) {
        listener.refuse(exchange, {504, ErrorId::RequestDeadlineExceeded, Dispatch::Outcome::Unknown, "the deadline is over", {}});
    });
    CHECK(caller.receiveAll().starts_with("HTTP/1.1 504"));
}

}

// Guards against bodies beyond the bound on memory, 137 MiB in a trial: they weren't counted once their callers had their 504.
TEST_CASE("regression: over the budget, only the latest of two attempts with the same body was ended")
{
    // A hedge replaced the function that ends the first attempt, so the body stayed in memory and counted nowhere.
    const auto budget = std::make_shared<Loop::CallerBudget>(Loop::CallerBudgetSettings{1000, UINT64_MAX});
    auto body = std::make_shared<Loop::HeldBody>(std::string(2000, 'x'), budget, "10.0.0.1", TimePoint{});
    std::vector<std::shared_ptr<const std::string>> attempts(2, Loop::HeldBody::bytesOf(body));
    for (auto &attempt : attempts) {
        body->addRelease([&attempt] { attempt.reset(); });
    }
    const std::weak_ptr<const std::string> bytes = attempts.front();
    Loop::HeldBody::letGo(std::move(body));
    CHECK(budget->held() >= 2000);
    budget->enforce(TimePoint(1s));
    CHECK(budget->held() == 0);
    CHECK(bytes.expired());
}

TEST_CASE("regression: the body of an attempt that goes on after its caller has got a 504 wasn't counted")
{
    constexpr std::size_t BodySize = 12U << 20U; // More than the kernel takes for a server that doesn't read.
    const RawListener server;
    Loop::CallerListenerSettings settings = Relay::callerSettings();
    settings.m_limits.m_maxBodyBytes = BodySize;
    settings.m_budget = std::make_shared<Loop::CallerBudget>(Loop::CallerBudgetSettings{30U << 20U, UINT64_MAX});
    Relay relay(settings, server.address());
    sendAndGiveUp(relay, BodySize);
    const RawSocket first(server.accept());
    CHECK(heldBy(relay, settings.m_budget) >= BodySize);

    SECTION("it is counted until the server has it")
    {
        for (std::size_t received = 0; received < BodySize;) {
            received += first.receiveSome().size();
        }
        for (int i = 0; i < 1000 && heldBy(relay, settings.m_budget) > 0; ++i) {
            std::this_thread::sleep_for(1ms);
        }
        CHECK(heldBy(relay, settings.m_budget) < BodySize);
    }
    SECTION("beyond the limit the attempt whose caller came first is ended")
    {
        sendAndGiveUp(relay, BodySize);
        sendAndGiveUp(relay, BodySize);
        CHECK(heldBy(relay, settings.m_budget) <= 30U << 20U);
        CHECK(settings.m_budget->released(Loop::ReleaseReason::Memory) >= 1);
    }
}
