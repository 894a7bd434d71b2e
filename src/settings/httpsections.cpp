#include <ragwortrelay/detail/settings/certificates.h>
#include <ragwortrelay/detail/settings/sections.h>

namespace RagwortRelay::Settings::detail {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Reports a certificate or private key that callers' connections can't use.
void checkCallerCertificate(YamlReader &reader, const CallerSettings &settings, std::chrono::system_clock::time_point now)
{
    if (settings.m_certificate.empty()) {
        return;
    }
    const auto certificateProblem = checkCertificate(settings.m_certificate, now);
    if (certificateProblem) {
        return reader.reportAt("certificate", ErrorId::SettingsBadCertificate, *certificateProblem);
    }
    const auto keyProblem = settings.m_key.empty() ? std::nullopt : checkPrivateKey(settings.m_key, settings.m_certificate);
    if (keyProblem) {
        reader.reportAt("key", ErrorId::SettingsBadCertificate, *keyProblem);
    }
}

}

CallerSettings readCallers(YamlReader reader, std::chrono::system_clock::time_point now)
{
    constexpr std::uint64_t MinBodyLimit = 1024;
    constexpr std::uint64_t MaxBodyLimit = 64ULL << 20U;
    constexpr std::uint64_t MinHeaderLimit = 2048;
    constexpr std::uint64_t MaxHeaderLimit = 256ULL << 10U;
    constexpr std::uint64_t MaxConnectionLimit = 65536;
    constexpr std::uint64_t MinHeaderFieldLimit = 32;
    constexpr std::uint64_t MaxHeaderFieldLimit = 65536;
    constexpr std::uint64_t MinMemoryLimit = 4ULL << 20U;
    constexpr std::uint64_t MaxMemoryLimit = 64ULL << 30U;
    CallerSettings settings;
    settings.m_listen = reader.address("listen", Presence::Required);
    settings.m_bodyLimit = reader.byteSize("body-limit", settings.m_bodyLimit, MinBodyLimit, MaxBodyLimit);
    settings.m_headerLimit = reader.byteSize("header-limit", settings.m_headerLimit, MinHeaderLimit, MaxHeaderLimit);
    settings.m_headerFieldLimit = reader.integer("header-field-limit", settings.m_headerFieldLimit, MinHeaderFieldLimit, MaxHeaderFieldLimit);
    if (reader.has("memory-limit")) {
        settings.m_memoryLimit = reader.byteSize("memory-limit", 0, MinMemoryLimit, MaxMemoryLimit);
    }
    settings.m_connectionLimit = reader.integer("connection-limit", settings.m_connectionLimit, 1, MaxConnectionLimit);
    settings.m_headerTimeout = reader.duration("header-timeout", settings.m_headerTimeout, milliseconds(100), minutes(5));
    settings.m_bodyTimeout = reader.duration("body-timeout", settings.m_bodyTimeout, milliseconds(100), minutes(10));
    settings.m_idleTimeout = reader.duration("idle-timeout", settings.m_idleTimeout, seconds(1), hours(1));
    settings.m_responseTimeout = reader.duration("answer-timeout", settings.m_responseTimeout, seconds(1), hours(1));
    const bool hasCertificate = reader.has("certificate");
    const bool hasKey = reader.has("key");
    settings.m_certificate = reader.file("certificate", hasKey ? Presence::Required : Presence::Optional);
    settings.m_key = reader.file("key", hasCertificate ? Presence::Required : Presence::Optional);
    checkCallerCertificate(reader, settings, now);
    reader.reportUnknownKeys();
    return settings;
}

BackendSettings readBackends(YamlReader reader, std::chrono::system_clock::time_point now)
{
    constexpr std::uint64_t MaxIdleConnections = 65536;
    BackendSettings settings;
    settings.m_usesTls = reader.choice("security", {"none", "tls"}, "none") == "tls";
    settings.m_authority = reader.file("authority", settings.m_usesTls ? Presence::Required : Presence::Optional);
    settings.m_connectTimeout = reader.duration("connect-timeout", settings.m_connectTimeout, milliseconds(10), seconds(30));
    settings.m_idleConnections = reader.integer("idle-connections", settings.m_idleConnections, 1, MaxIdleConnections);
    const auto problem = settings.m_authority.empty() ? std::nullopt : checkCertificate(settings.m_authority, now);
    if (problem) {
        reader.reportAt("authority", ErrorId::SettingsBadCertificate, *problem);
    } else if (!settings.m_usesTls && !settings.m_authority.empty()) {
        reader.reportAt("authority", ErrorId::SettingsCrossReference, "the authority has no effect without 'backends.security: tls'");
    }
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

EndpointSettings readEndpoint(YamlReader reader, const std::string &defaultPath)
{
    EndpointSettings settings;
    settings.m_listen = reader.address("listen", Presence::Required);
    settings.m_path = reader.text("path", Presence::Optional, defaultPath);
    if (!settings.m_path.starts_with('/')) {
        reader.reportAt("path", ErrorId::SettingsOutOfRange, "the path must begin with a slash");
    }
    reader.reportUnknownKeys();
    return settings;
}

}
