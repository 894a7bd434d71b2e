#include <ragwortrelay/detail/settings/certificates.h>
#include <ragwortrelay/detail/settings/sections.h>

namespace RagwortRelay::Settings::detail {

namespace {

using std::chrono::milliseconds;

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

bool isLoopback(const std::string &address)
{
    return address.starts_with("127.") || hostOf(address) == "[::1]";
}

bool isUnspecified(const std::string &address)
{
    return hostOf(address) == "0.0.0.0" || hostOf(address) == "[::]";
}

void checkAdvertised(YamlReader &reader, const PeerSettings &settings)
{
    if (settings.m_listen.empty() || settings.m_advertise.empty()) {
        return;
    }
    const bool choosesPort = settings.m_listen.ends_with(":0");
    if (isUnspecified(settings.m_advertise)) {
        reader.reportAt("advertise", ErrorId::SettingsCrossReference, "'" + settings.m_advertise + "' is no address that other hosts can connect to");
    } else if (choosesPort && !settings.m_advertise.ends_with(":0")) {
        reader.reportAt("advertise", ErrorId::SettingsCrossReference, "the port must be 0 because 'peers.listen' lets the kernel choose one");
    } else if (!isUnspecified(settings.m_listen) && isLoopback(settings.m_listen) != isLoopback(settings.m_advertise)) {
        reader.reportAt("advertise", ErrorId::SettingsCrossReference, "other hosts can't reach 'peers.listen' by this address");
    }
}

void checkPlain(YamlReader &reader, const PeerSettings &settings)
{
    if (!settings.m_listen.empty() && !isLoopback(settings.m_listen)) {
        reader.reportAt("security", ErrorId::SettingsCrossReference, "'none' is only for loopback addresses, and 'peers.listen' is not one");
    }
}

void checkCertificates(YamlReader &reader, const PeerSettings &settings, std::chrono::system_clock::time_point now)
{
    const auto checkFile = [&](const std::string &key, const std::string &fileName) {
        const auto problem = fileName.empty() ? std::nullopt : checkCertificate(fileName, now);
        if (problem) {
            reader.reportAt(key, ErrorId::SettingsBadCertificate, *problem);
        }
        return !fileName.empty() && !problem;
    };
    const bool hasCertificate = checkFile("certificate", settings.m_certificate);
    const bool hasAuthority = checkFile("authority", settings.m_authority);
    const auto problem = hasCertificate && !settings.m_key.empty() ? checkKey(settings.m_key, settings.m_certificate) : std::nullopt;
    if (problem) {
        reader.reportAt("key", ErrorId::SettingsBadCertificate, *problem);
    }
    if (hasCertificate && hasAuthority && !isIssuedBy(settings.m_certificate, settings.m_authority, now)) {
        reader.reportAt("certificate", ErrorId::SettingsBadCertificate, "the certificate is not of the authority in 'peers.authority'");
    }
}

}

PeerSettings readPeers(YamlReader reader, std::chrono::system_clock::time_point now)
{
    constexpr std::uint64_t LeastQueue = 16;
    constexpr std::uint64_t MostQueue = 65536;
    PeerSettings settings;
    settings.m_listen = reader.address("listen", Presence::Required);
    settings.m_advertise = reader.address("advertise", Presence::Required);
    const bool isPlain = reader.choice("security", {"tls", "none"}, "tls") == "none";
    settings.m_security = isPlain ? PeerSecurity::None : PeerSecurity::Tls;
    const Presence filePresence = isPlain ? Presence::Optional : Presence::Required;
    settings.m_certificate = reader.file("certificate", filePresence);
    settings.m_key = reader.file("key", filePresence);
    settings.m_authority = reader.file("authority", filePresence);
    settings.m_seeds = reader.addresses("seeds");
    settings.m_batchInterval = reader.duration("batch-interval", settings.m_batchInterval, milliseconds(0), milliseconds(100));
    settings.m_queueLimit = reader.count("queue-limit", settings.m_queueLimit, LeastQueue, MostQueue);
    checkAdvertised(reader, settings);
    isPlain ? checkPlain(reader, settings) : checkCertificates(reader, settings, now);
    reader.reportUnknownKeys();
    return settings;
}

}
