#include <ragwortrelay/settings/settings.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Settings;

namespace {

constexpr const char *Complete = R"(host:
  name: h1
  failure-domain: d1
callers:
  listen: 127.0.0.1:0
operators:
  listen: 127.0.0.1:0
  token: secret
platform:
  table-url: http://127.0.0.1:9000/table
  objects-url: http://127.0.0.1:9000/objects
  targets-url: http://127.0.0.1:9000/targets
peers:
  listen: 127.0.0.1:0
  advertise: 127.0.0.1:0
  security: none
)";

}

TEST_CASE("settings")
{
    SECTION("complete ones are taken")
    {
        const auto settings = parseSettings(Complete, "host.yaml");
        REQUIRE(settings);
        CHECK(settings->m_host.m_name == HostId("h1"));
        CHECK(settings->m_platform.m_pollInterval == std::chrono::seconds(1));
    }

    SECTION("health and queue are checked")
    {
        const std::string good = std::string(Complete) + "health:\n  ejection-threshold: 14\nqueue:\n  longest-wait: 2s\n";
        const auto settings = parseSettings(good, "host.yaml");
        REQUIRE(settings);
        CHECK(settings->m_health.m_ejectionThreshold == 14);
        CHECK(settings->m_queue.m_longestWait == std::chrono::seconds(2));
        const std::string bad = std::string(Complete) + "health:\n  ejection-threshold: 1\n  first-wait: 3 apples\nqueue:\n  per-workspce: 3\n";
        const auto refused = parseSettings(bad, "host.yaml");
        REQUIRE_FALSE(refused);
        CHECK(refused.error().size() == 3);
    }

    SECTION("all findings are reported together, each with its place")
    {
        const auto settings = parseSettings(R"(host:
  name: h1
  failure-domian: d1
callers:
  listen: localhost:80
  body-limit: 3 apples
)",
                                            "host.yaml");
        REQUIRE_FALSE(settings);
        std::vector<std::string> texts;
        for (const Finding &finding : settings.error()) {
            texts.push_back(toString(finding));
        }
        CHECK(texts
              == std::vector<std::string>{
                  "host.yaml:1:1: error RW0107: section 'operators' is missing",
                  "host.yaml:1:1: error RW0107: section 'platform' is missing",
                  "host.yaml:1:1: error RW0107: section 'peers' is missing",
                  "host.yaml:2:3: error RW0107: 'host.failure-domain' is missing",
                  "host.yaml:3:3: error RW0102: unknown key 'failure-domian'; did you mean 'failure-domain'?",
                  "host.yaml:5:11: error RW0106: 'localhost:80' is not of the form IP:PORT",
                  "host.yaml:6:15: error RW0105: '3 apples' has no unit of size; use B, KiB, MiB or GiB",
              });
    }
}
