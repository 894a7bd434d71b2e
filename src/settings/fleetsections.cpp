#include <ragwortrelay/detail/settings/sections.h>

namespace RagwortRelay::Settings::detail {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Returns whether an address `IP:PORT` has the wildcard IP address, which no other host can send to.
bool isWildcardAddress(const std::string &address)
{
    const std::string ip = address.substr(0, address.rfind(':'));
    return ip == "0.0.0.0" || ip == "[::]";
}

}

HostSettings readHost(YamlReader reader)
{
    constexpr double MinCapacity = 0.001;
    constexpr double MaxCapacity = 1000.0;
    constexpr std::uint64_t MinMemory = 64ULL << 20U;
    constexpr std::uint64_t MaxMemory = 1ULL << 40U;
    HostSettings settings;
    settings.m_name = HostId(reader.text("name", Presence::Required));
    settings.m_domain = FailureDomainId(reader.text("failure-domain", Presence::Required));
    settings.m_capacity = reader.number("capacity", settings.m_capacity, MinCapacity, MaxCapacity);
    settings.m_memory = reader.has("memory") ? reader.byteSize("memory", 0, MinMemory, MaxMemory) : 0;
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

PeerSettings readPeers(YamlReader reader)
{
    constexpr std::size_t MinSecretLength = 16; // characters
    PeerSettings settings;
    settings.m_listen = reader.address("listen", Presence::Optional);
    settings.m_seeds = reader.addresses("seeds");
    settings.m_secret = reader.text("secret", Presence::Optional);
    if (!settings.m_seeds.empty() && settings.m_secret.empty()) {
        reader.reportAt("seeds", ErrorId::SettingsCrossReference, "a host that can't reach the store needs 'peers.secret' to talk to the seeds");
    }
    if (!settings.m_secret.empty() && settings.m_secret.size() < MinSecretLength) {
        reader.reportAt("secret", ErrorId::SettingsOutOfRange, "the secret must have at least " + std::to_string(MinSecretLength) + " characters");
    }
    if (isWildcardAddress(settings.m_listen)) {
        reader.reportAt("listen", ErrorId::SettingsOutOfRange, "'" + settings.m_listen + "' is no address that other hosts can send to");
    }
    reader.reportUnknownKeys();
    return settings;
}

ConfigurationSettings readConfiguration(YamlReader reader)
{
    ConfigurationSettings settings;
    const bool isPlatform = reader.choice("origin", {"table", "platform"}, "table") == "platform";
    settings.m_origin = isPlatform ? ConfigurationOrigin::Platform : ConfigurationOrigin::Table;
    settings.m_revocationLimit = reader.duration("revocation-limit", settings.m_revocationLimit, seconds(1), hours(24));
    settings.m_editLimit = reader.duration("edit-limit", settings.m_editLimit, seconds(1), minutes(5));
    reader.reportUnknownKeys();
    return settings;
}

ReportSettings readReports(YamlReader reader)
{
    ReportSettings settings;
    settings.m_storesRecords = reader.choice("records", {"store", "none"}, "store") == "store";
    reader.reportUnknownKeys();
    return settings;
}

StopSettings readStop(YamlReader reader)
{
    constexpr Duration ExitMargin = milliseconds(500); // Time to exit before the platform kills the process.
    StopSettings settings;
    settings.m_balancerLag = reader.duration("balancer-lag", settings.m_balancerLag, milliseconds(0), minutes(10));
    if (reader.has("kill-after")) {
        settings.m_killAfter = reader.duration("kill-after", seconds(0), seconds(1), hours(1));
        settings.m_limit = *settings.m_killAfter - ExitMargin;
    }
    settings.m_limit = reader.duration("limit", settings.m_limit, seconds(1), hours(1));
    if (settings.m_killAfter && settings.m_limit >= *settings.m_killAfter) {
        reader.reportAt("limit", ErrorId::SettingsCrossReference, "the platform kills the process before 'stop.limit' is over");
    }
    if (settings.m_limit <= settings.m_balancerLag) {
        reader.reportAt("limit", ErrorId::SettingsCrossReference, "requests in flight need time after 'stop.balancer-lag'");
    }
    reader.reportUnknownKeys();
    return settings;
}

LogSettings readLog(YamlReader reader)
{
    LogSettings settings;
    settings.m_level = reader.choice("level", {"error", "warning", "info", "debug"}, settings.m_level);
    reader.reportUnknownKeys();
    return settings;
}

}
