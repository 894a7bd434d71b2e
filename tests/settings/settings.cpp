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

    SECTION("mistakes of every kind are all reported")
    {
        const auto settings = parseSettings(R"(host:
  name: h1
  failure-domain: [d1]
callers:
  listen: 127.0.0.1:70000
  header-limit: 1KiB
  idle-timeuot: 5s
operators:
  listen: 127.0.0.1:0
  token: ""
platform:
  table-url: ftp://127.0.0.1/table
  objects-url: http://127.0.0.1:9000/objects
  targets-url: http://127.0.0.1:9000/targets
  timeout: 250
peers:
  listen: 10.0.0.1:7000
  advertise: 0.0.0.0:7000
  certificate: /nonexistent/host.crt
  key: /nonexistent/host.key
  authority: /dev/null
stop:
  balancer-lag: 5s
  limit: 2s
log:
  level: loud
)",
                                            "host.yaml");
        REQUIRE_FALSE(settings);
        std::vector<std::string> texts;
        for (const Finding &finding : settings.error()) {
            texts.push_back(toString(finding));
        }
        CHECK(texts
              == std::vector<std::string>{
                  "host.yaml:3:19: error RW0103: 'host.failure-domain' must be a single value",
                  "host.yaml:5:11: error RW0106: '127.0.0.1:70000' is not of the form IP:PORT",
                  "host.yaml:6:17: error RW0104: '1KiB' is out of the range 2KiB to 256KiB",
                  "host.yaml:7:3: error RW0102: unknown key 'idle-timeuot'; did you mean 'idle-timeout'?",
                  "host.yaml:10:10: error RW0104: the token must not be empty",
                  "host.yaml:12:14: error RW0106: 'ftp://127.0.0.1/table' is not an http or https URL",
                  "host.yaml:15:12: error RW0105: '250' has no unit of time; use us, ms, s, min or h",
                  "host.yaml:18:14: error RW0109: '0.0.0.0:7000' is no address that other hosts can connect to",
                  "host.yaml:19:16: error RW0108: the file '/nonexistent/host.crt' can't be read",
                  "host.yaml:20:8: error RW0108: the file '/nonexistent/host.key' can't be read",
                  "host.yaml:21:14: error RW0110: the file '/dev/null' holds no certificate in PEM form",
                  "host.yaml:24:10: error RW0109: requests in flight need time after 'stop.balancer-lag'",
                  "host.yaml:26:10: error RW0104: 'loud' is none of: error, warning, info, debug",
              });
    }

    SECTION("text that is no YAML is reported at its place")
    {
        const auto settings = parseSettings("host:\n  name: [h1\n", "host.yaml");
        REQUIRE_FALSE(settings);
        REQUIRE(settings.error().size() == 1);
        CHECK(settings.error()[0].m_id == ErrorId::SettingsUnreadable);
        CHECK(settings.error()[0].m_place.m_line == 3);
    }

    SECTION("peers without TLS are taken on loopback addresses only")
    {
        std::string text = Complete;
        const std::string loopback = "listen: 127.0.0.1:0\n  advertise: 127.0.0.1:0";
        text.replace(text.find(loopback), loopback.size(), "listen: 10.0.0.1:7000\n  advertise: 10.0.0.1:7000");
        const auto settings = parseSettings(text, "host.yaml");
        REQUIRE_FALSE(settings);
        REQUIRE(settings.error().size() == 1);
        CHECK(settings.error()[0].m_id == ErrorId::SettingsCrossReference);
    }
}
