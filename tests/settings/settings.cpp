#include <ragwortrelay/settings/settings.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Settings;

namespace {

constexpr const char *ValidSettings = R"(host:
  name: h1
  failure-domain: d1
callers:
  listen: 127.0.0.1:0
operators:
  listen: 127.0.0.1:0
  token: secret
store:
  address: 127.0.0.1:9000
peers:
  listen: 127.0.0.1:0
)";

}

TEST_CASE("settings")
{
    SECTION("valid settings are accepted")
    {
        const auto settings = parseSettings(ValidSettings, "host.yaml");
        REQUIRE(settings);
        CHECK(settings->m_host.m_name == HostId("h1"));
        CHECK(settings->m_store.m_address == "127.0.0.1:9000");
        CHECK(settings->m_configuration.m_origin == ConfigurationOrigin::Table);
    }

    SECTION("the sections health and queue are read and validated")
    {
        const std::string good = std::string(ValidSettings) + "health:\n  avoid-above: 0.4\nqueue:\n  per-service: 20\n";
        const auto settings = parseSettings(good, "host.yaml");
        REQUIRE(settings);
        CHECK(settings->m_health.m_avoidAbove == 0.4);
        CHECK(settings->m_queue.m_perService == 20);
        const std::string bad = std::string(ValidSettings) + "health:\n  avoid-above: 1\n  trial-interval: 3 apples\nqueue:\n  per-servce: 3\n";
        const auto refused = parseSettings(bad, "host.yaml");
        REQUIRE_FALSE(refused);
        CHECK(refused.error().size() == 3);
    }

    SECTION("cold servers have a limit only if the section warmup is present, and its values are validated")
    {
        CHECK_FALSE(parseSettings(ValidSettings, "host.yaml")->m_warmup);
        const auto settings = parseSettings(std::string(ValidSettings) + "warmup:\n  overage: 1.25\n  slack: 0\n", "host.yaml");
        REQUIRE(settings);
        CHECK(settings->m_warmup == WarmupSettings{1.25, 0.0});
        const auto refused = parseSettings(std::string(ValidSettings) + "warmup:\n  overage: -1\n  slack: many\n  slak: 1\n", "host.yaml");
        REQUIRE_FALSE(refused);
        CHECK(refused.error().size() == 3);
    }

    SECTION("the section balancing is read and validated, and sets no price by default")
    {
        CHECK(parseSettings(ValidSettings, "host.yaml")->m_balancing == BalancingSettings());
        const auto settings = parseSettings(std::string(ValidSettings) + "balancing:\n  cross-domain-price-per-kib: 0.0083\n", "host.yaml");
        REQUIRE(settings);
        CHECK(settings->m_balancing.m_crossDomainPricePerKib == 0.0083);
        CHECK(settings->m_balancing.m_crossDomainPricePerMs == 0.0);
        const std::string bad = std::string(ValidSettings) + "balancing:\n  cross-domain-price-per-kib: -1\n  cross-domain-price-per-ms: x\n  price: 1\n";
        const auto refused = parseSettings(bad, "host.yaml");
        REQUIRE_FALSE(refused);
        CHECK(refused.error().size() == 3);
    }

    SECTION("the memory of the machine bounds the memory for callers")
    {
        const std::string host = "host:\n  memory: 160MiB\n  name: h1\n  failure-domain: d1\n";
        const std::string rest = std::string(ValidSettings).substr(std::string(ValidSettings).find("callers:"));
        const auto settings = parseSettings(host + rest, "host.yaml");
        REQUIRE(settings);
        CHECK(settings->m_host.m_memory == 160U << 20U);
        CHECK_FALSE(settings->m_callers.m_memoryLimit);
        std::string tooLarge = host + rest;
        tooLarge.replace(tooLarge.find("callers:\n"), 9, "callers:\n  memory-limit: 160MiB\n  header-field-limit: 1\n");
        const auto refused = parseSettings(tooLarge, "host.yaml");
        REQUIRE_FALSE(refused);
        CHECK(refused.error().size() == 2);
    }

    SECTION("all findings are reported together, each with its line and column")
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
        std::vector<std::string> messages;
        for (const Finding &finding : settings.error()) {
            messages.push_back(toString(finding));
        }
        CHECK(messages
              == std::vector<std::string>{
                  "host.yaml:1:1: error RW0107: section 'store' is missing",
                  "host.yaml:1:1: error RW0107: the balancer needs the section 'readiness' or 'operators'",
                  "host.yaml:2:3: error RW0107: 'host.failure-domain' is missing",
                  "host.yaml:3:3: error RW0102: unknown key 'failure-domian'; did you mean 'failure-domain'?",
                  "host.yaml:5:11: error RW0106: 'localhost:80' is not of the form IP:PORT",
                  "host.yaml:6:15: error RW0105: '3 apples' has no unit of size; use B, KiB, MiB or GiB",
              });
    }

    SECTION("findings of each kind are reported")
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
store:
  address: 127.0.0.1:9000
  timeout: 250
peers:
  listen: 0.0.0.0:7000
backends:
  security: tls
  authority: /nonexistent/authority.crt
readiness:
  listen: 127.0.0.1:0
  path: ready
retries:
  ratio: -1
stop:
  balancer-lag: 5s
  limit: 2s
  kill-after: 2s
log:
  level: loud
)",
                                            "host.yaml");
        REQUIRE_FALSE(settings);
        std::vector<std::string> messages;
        for (const Finding &finding : settings.error()) {
            messages.push_back(toString(finding));
        }
        CHECK(messages
              == std::vector<std::string>{
                  "host.yaml:3:19: error RW0103: 'host.failure-domain' must be a single value",
                  "host.yaml:5:11: error RW0106: '127.0.0.1:70000' is not of the form IP:PORT",
                  "host.yaml:6:17: error RW0104: '1KiB' is out of the range 2KiB to 256KiB",
                  "host.yaml:7:3: error RW0102: unknown key 'idle-timeuot'; did you mean 'idle-timeout'?",
                  "host.yaml:10:10: error RW0104: the token must not be empty",
                  "host.yaml:13:12: error RW0105: '250' has no unit of time; use us, ms, s, min or h",
                  "host.yaml:15:11: error RW0104: '0.0.0.0:7000' is no address that other hosts can send to",
                  "host.yaml:18:14: error RW0108: the file '/nonexistent/authority.crt' can't be read",
                  "host.yaml:21:9: error RW0104: the path must begin with a slash",
                  "host.yaml:23:10: error RW0104: '-1' is out of the range 0 to 10",
                  "host.yaml:26:10: error RW0109: the platform kills the process before 'stop.limit' is over",
                  "host.yaml:26:10: error RW0109: requests in flight need time after 'stop.balancer-lag'",
                  "host.yaml:29:10: error RW0104: 'loud' is none of: error, warning, info, debug",
              });
    }

    SECTION("malformed YAML is reported with its line")
    {
        const auto settings = parseSettings("host:\n  name: [h1\n", "host.yaml");
        REQUIRE_FALSE(settings);
        REQUIRE(settings.error().size() == 1);
        CHECK(settings.error()[0].m_id == ErrorId::SettingsUnreadable);
        CHECK(settings.error()[0].m_place.m_line == 3);
    }

    SECTION("the section operators is optional if readiness has a listener")
    {
        std::string text = ValidSettings;
        const std::string operators = "operators:\n  listen: 127.0.0.1:0\n  token: secret\n";
        text.replace(text.find(operators), operators.size(), "readiness:\n  listen: 127.0.0.1:0\nconfiguration:\n  origin: platform\n");
        const auto settings = parseSettings(text, "host.yaml");
        REQUIRE(settings);
        CHECK(settings->m_configuration.m_origin == ConfigurationOrigin::Platform);
        CHECK(settings->m_operators.m_listen.empty());
        CHECK(settings->m_readiness.m_path == "/ragwortrelay/ready");
    }
}
