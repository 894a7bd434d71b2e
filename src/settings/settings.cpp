#include <ragwortrelay/detail/settings/sections.h>
#include <ragwortrelay/detail/settings/yamlreader.h>
#include <ragwortrelay/settings/settings.h>

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

HostSettings readHost(YamlReader reader)
{
    HostSettings settings;
    settings.m_name = HostId(reader.text("name", Presence::Required));
    settings.m_domain = FailureDomainId(reader.text("failure-domain", Presence::Required));
    settings.m_incarnation = reader.text("incarnation", Presence::Optional);
    reader.reportUnknownKeys();
    return settings;
}

OperatorSettings readOperators(YamlReader reader)
{
    OperatorSettings settings;
    settings.m_listen = reader.address("listen", Presence::Required);
    settings.m_token = reader.text("token", Presence::Required);
    if (reader.has("token") && settings.m_token.empty()) {
        reader.reportAt("token", ErrorId::SettingsOutOfRange, "the token must not be empty");
    }
    reader.reportUnknownKeys();
    return settings;
}

PlatformSettings readPlatform(YamlReader reader)
{
    PlatformSettings settings;
    settings.m_tableUrl = reader.url("table-url", Presence::Required);
    settings.m_tableName = reader.text("table-name", Presence::Optional, settings.m_tableName);
    settings.m_objectsUrl = reader.url("objects-url", Presence::Required);
    settings.m_targetsUrl = reader.url("targets-url", Presence::Required);
    settings.m_timeout = reader.duration("timeout", settings.m_timeout, milliseconds(10), minutes(1));
    settings.m_pollInterval = reader.duration("poll-interval", settings.m_pollInterval, milliseconds(50), minutes(1));
    reader.reportUnknownKeys();
    return settings;
}

/// @param pollInterval a host that polls less often than three times before it may be isolated would be so without need
ConfigurationSettings readConfiguration(YamlReader reader, Duration pollInterval)
{
    constexpr int PollsBeforeIsolation = 3;
    ConfigurationSettings settings;
    settings.m_isolationAfter = reader.duration("isolation-after", settings.m_isolationAfter, seconds(1), minutes(5));
    settings.m_editLimit = reader.duration("edit-limit", settings.m_editLimit, seconds(1), minutes(5));
    if (settings.m_isolationAfter < PollsBeforeIsolation * pollInterval) {
        reader.reportAt("isolation-after", ErrorId::SettingsCrossReference, "must be at least three times 'platform.poll-interval'");
    }
    reader.reportUnknownKeys();
    return settings;
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

HealthTuning readHealth(YamlReader reader)
{
    HealthTuning settings;
    settings.m_ejectionThreshold = reader.count("ejection-threshold", settings.m_ejectionThreshold, 4, 50);
    settings.m_slowFactor = reader.count("slow-factor", settings.m_slowFactor, 2, 50);
    settings.m_firstWait = reader.duration("first-wait", settings.m_firstWait, seconds(1), minutes(5));
    settings.m_longestWait = reader.duration("longest-wait", settings.m_longestWait, seconds(1), hours(1));
    settings.m_trialSuccesses = reader.count("trial-successes", settings.m_trialSuccesses, 1, 100);
    reader.reportUnknownKeys();
    return settings;
}

QueueTuning readQueue(YamlReader reader)
{
    constexpr std::uint64_t MostRequests = 10'000;
    QueueTuning settings;
    settings.m_perWorkspace = reader.count("per-workspace", settings.m_perWorkspace, 1, MostRequests);
    settings.m_perService = reader.count("per-service", settings.m_perService, 0, MostRequests);
    settings.m_longestWait = reader.duration("longest-wait", settings.m_longestWait, milliseconds(10), minutes(1));
    reader.reportUnknownKeys();
    return settings;
}

}

tl::expected<Settings, Findings> parseSettings(const std::string &text, const std::string &fileName, std::chrono::system_clock::time_point now)
{
    Findings findings;
    Settings settings;
    try {
        YamlReader root(YAML::Load(text), fileName, "", findings);
        settings.m_host = readHost(root.section("host", Presence::Required));
        settings.m_callers = detail::readCallers(root.section("callers", Presence::Required), now);
        settings.m_backends = detail::readBackends(root.section("backends", Presence::Optional), now);
        settings.m_operators = readOperators(root.section("operators", Presence::Required));
        settings.m_platform = readPlatform(root.section("platform", Presence::Required));
        settings.m_peers = detail::readPeers(root.section("peers", Presence::Required), now);
        settings.m_configuration = readConfiguration(root.section("configuration", Presence::Optional), settings.m_platform.m_pollInterval);
        settings.m_stop = readStop(root.section("stop", Presence::Optional));
        settings.m_log = detail::readLog(root.section("log", Presence::Optional));
        settings.m_health = readHealth(root.section("health", Presence::Optional));
        settings.m_queue = readQueue(root.section("queue", Presence::Optional));
        root.reportUnknownKeys();
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

tl::expected<Settings, Findings> loadSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Findings{{{fileName, 0, 0}, ErrorId::SettingsUnreadable, "the file can't be read"}});
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), fileName);
}

}
