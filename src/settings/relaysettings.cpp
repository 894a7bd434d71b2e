#include <ragwortrelay/detail/settings/sections.h>
#include <ragwortrelay/settings/relaysettings.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace RagwortRelay::Settings {

namespace {

using detail::Presence;
using detail::YamlReader;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

HostSettings readHost(YamlReader reader, double &capacity)
{
    constexpr double LeastCapacity = 0.001;
    constexpr double MostCapacity = 1000.0;
    HostSettings settings;
    capacity = reader.fraction("capacity", capacity, LeastCapacity, MostCapacity);
    settings.m_name = HostId(reader.text("name", Presence::Required));
    settings.m_domain = FailureDomainId(reader.text("failure-domain", Presence::Required));
    reader.reportUnknownKeys();
    return settings;
}

EndpointSettings readEndpoint(YamlReader reader, Presence presence, const std::string &path)
{
    EndpointSettings settings;
    settings.m_listen = reader.address("listen", presence);
    settings.m_path = reader.text("path", Presence::Optional, path);
    if (!settings.m_path.starts_with('/')) {
        reader.reportAt("path", ErrorId::SettingsOutOfRange, "the path must begin with a slash");
    }
    reader.reportUnknownKeys();
    return settings;
}

StoreSettings readStore(YamlReader reader)
{
    StoreSettings settings;
    settings.m_address = reader.address("address", Presence::Required);
    settings.m_connectTimeout = reader.duration("connect-timeout", settings.m_connectTimeout, milliseconds(10), minutes(1));
    settings.m_timeout = reader.duration("timeout", settings.m_timeout, milliseconds(10), minutes(1));
    reader.reportUnknownKeys();
    return settings;
}

PeerEndpoint readPeers(YamlReader reader)
{
    PeerEndpoint settings;
    settings.m_listen = reader.address("listen", Presence::Optional);
    reader.reportUnknownKeys();
    return settings;
}

OriginSettings readOrigin(YamlReader reader)
{
    OriginSettings settings;
    const std::string origin = reader.choice("origin", {"table", "platform"}, "table");
    settings.m_origin = origin == "platform" ? ConfigurationOrigin::Platform : ConfigurationOrigin::Table;
    settings.m_revocationLimit = reader.duration("revocation-limit", settings.m_revocationLimit, seconds(1), hours(24));
    reader.reportUnknownKeys();
    return settings;
}

RetrySettings readRetries(YamlReader reader)
{
    constexpr double MostRatio = 10.0;
    constexpr std::uint64_t MostReserve = 1'000'000;
    RetrySettings settings;
    settings.m_ratio = reader.fraction("ratio", settings.m_ratio, 0.0, MostRatio);
    settings.m_reserve = reader.count("reserve", settings.m_reserve, 0, MostReserve);
    reader.reportUnknownKeys();
    return settings;
}

double readFloor(YamlReader reader, double fallback)
{
    const double floor = reader.fraction("floor", fallback, 0.0, 1.0);
    reader.reportUnknownKeys();
    return floor;
}

StopSettings readStop(YamlReader reader)
{
    StopSettings settings;
    settings.m_balancerLag = reader.duration("balancer-lag", settings.m_balancerLag, milliseconds(0), minutes(10));
    settings.m_limit = reader.duration("limit", settings.m_limit, seconds(1), hours(1));
    if (settings.m_limit <= settings.m_balancerLag) {
        reader.reportAt("limit", ErrorId::SettingsCrossReference, "requests in flight need time after 'stop.balancer-lag'");
    }
    reader.reportUnknownKeys();
    return settings;
}

RelaySettings readAll(YamlReader &root, std::chrono::system_clock::time_point now)
{
    RelaySettings settings;
    settings.m_host = readHost(root.section("host", Presence::Required), settings.m_capacity);
    settings.m_callers = detail::readCallers(root.section("callers", Presence::Required), now);
    settings.m_backends = detail::readBackends(root.section("backends", Presence::Optional), now);
    settings.m_readiness = readEndpoint(root.section("readiness", Presence::Required), Presence::Required, "/ragwortrelay/ready");
    settings.m_metrics = readEndpoint(root.section("metrics", Presence::Optional), Presence::Optional, "/ragwortrelay/metrics");
    settings.m_store = readStore(root.section("store", Presence::Required));
    settings.m_peers = readPeers(root.section("peers", Presence::Optional));
    settings.m_configuration = readOrigin(root.section("configuration", Presence::Optional));
    settings.m_retries = readRetries(root.section("retries", Presence::Optional));
    settings.m_floor = readFloor(root.section("health", Presence::Optional), settings.m_floor);
    settings.m_stop = readStop(root.section("stop", Presence::Optional));
    settings.m_log = detail::readLog(root.section("log", Presence::Optional));
    root.reportUnknownKeys();
    return settings;
}

}

tl::expected<RelaySettings, Findings> parseRelaySettings(const std::string &text, const std::string &fileName, std::chrono::system_clock::time_point now)
{
    Findings findings;
    RelaySettings settings;
    try {
        YamlReader root(YAML::Load(text), fileName, "", findings);
        settings = readAll(root, now);
    } catch (const YAML::Exception &exception) {
        const auto line = static_cast<std::uint32_t>(exception.mark.line + 1);
        const auto column = static_cast<std::uint32_t>(exception.mark.column + 1);
        findings.push_back({{fileName, line, column}, ErrorId::SettingsUnreadable, exception.msg});
    }
    if (findings.empty()) {
        return settings;
    }
    std::stable_sort(findings.begin(), findings.end(), [](const Finding &left, const Finding &right) { return left.m_place < right.m_place; });
    return tl::unexpected(findings);
}

tl::expected<RelaySettings, Findings> loadRelaySettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Findings{{{fileName, 0, 0}, ErrorId::SettingsUnreadable, "the file can't be read"}});
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseRelaySettings(text.str(), fileName);
}

}
