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

/// Reads all sections, also after findings, so that they are reported together.
Settings readSections(YamlReader &root, std::chrono::system_clock::time_point now)
{
    Settings settings;
    settings.m_host = detail::readHost(root.section("host", Presence::Required));
    settings.m_callers = detail::readCallers(root.section("callers", Presence::Required), now);
    settings.m_backends = detail::readBackends(root.section("backends", Presence::Optional), now);
    settings.m_operators = detail::readOperators(root.section("operators", Presence::Optional));
    settings.m_readiness = detail::readEndpoint(root.section("readiness", Presence::Optional), "/ragwortrelay/ready");
    settings.m_metrics = detail::readEndpoint(root.section("metrics", Presence::Optional), "/ragwortrelay/metrics");
    settings.m_store = detail::readStore(root.section("store", Presence::Required));
    settings.m_peers = detail::readPeers(root.section("peers", Presence::Optional));
    settings.m_configuration = detail::readConfiguration(root.section("configuration", Presence::Optional));
    settings.m_reports = detail::readReports(root.section("reports", Presence::Optional));
    settings.m_retries = detail::readRetries(root.section("retries", Presence::Optional));
    settings.m_health = detail::readHealth(root.section("health", Presence::Optional));
    if (root.has("warmup")) {
        settings.m_warmup = detail::readWarmup(root.section("warmup", Presence::Optional));
    }
    settings.m_balancing = detail::readBalancing(root.section("balancing", Presence::Optional));
    settings.m_queue = detail::readQueue(root.section("queue", Presence::Optional));
    settings.m_stop = detail::readStop(root.section("stop", Presence::Optional));
    settings.m_log = detail::readLog(root.section("log", Presence::Optional));
    if (!root.has("operators") && !root.has("readiness")) {
        root.reportAt("readiness", ErrorId::SettingsMissingKey, "the balancer needs the section 'readiness' or 'operators'");
    }
    if (settings.m_host.m_memory > 0 && settings.m_callers.m_memoryLimit.value_or(0) >= settings.m_host.m_memory) {
        root.reportAt("callers", ErrorId::SettingsCrossReference, "'callers.memory-limit' must be below 'host.memory'");
    }
    root.reportUnknownKeys();
    return settings;
}

}

tl::expected<Settings, Findings> parseSettings(const std::string &text, const std::string &fileName, std::chrono::system_clock::time_point now)
{
    Findings findings;
    Settings settings;
    try {
        YamlReader root(YAML::Load(text), fileName, "", findings);
        settings = readSections(root, now);
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
