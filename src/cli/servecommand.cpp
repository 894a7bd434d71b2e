#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/parsing.h>
#include <ragwortrelay/host/operatortablesource.h>
#include <ragwortrelay/loop/relay.h>
#include <ragwortrelay/settings/settings.h>

#include <platform/adapter.h>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>

namespace RagwortRelay::Cli::detail {

namespace {

/// Margin subtracted from the time within which a withdrawn key must stop working, for requests that are on their way to a backend server.
constexpr Duration RevocationMargin = std::chrono::milliseconds(300);

Reporting::Severity parseSeverity(const std::string &level)
{
    if (level == "error") {
        return Reporting::Severity::Error;
    }
    if (level == "warning") {
        return Reporting::Severity::Warning;
    }
    return level == "debug" ? Reporting::Severity::Debug : Reporting::Severity::Info;
}

Host::HostSettings hostSettingsFrom(const Settings::Settings &settings)
{
    Host::HostSettings host;
    host.m_host = settings.m_host.m_name;
    host.m_domain = settings.m_host.m_domain;
    host.m_peerAddress = settings.m_peers.m_listen;
    host.m_seeds = settings.m_peers.m_seeds;
    host.m_secret = settings.m_peers.m_secret;
    host.m_capacity = settings.m_host.m_capacity;
    host.m_freshness.m_maxAgeForWorkspaces = settings.m_configuration.m_revocationLimit - RevocationMargin;
    host.m_balancerLag = settings.m_stop.m_balancerLag;
    host.m_stopLimit = settings.m_stop.m_limit;
    host.m_scheduling.m_retries.m_ratio = settings.m_retries.m_ratio;
    host.m_scheduling.m_retries.m_reserve = static_cast<double>(settings.m_retries.m_reserve);
    host.m_scheduling.m_selection.m_floor = settings.m_health.m_floor;
    host.m_scheduling.m_selection.m_avoidAbove = settings.m_health.m_avoidAbove;
    host.m_scheduling.m_selection.m_trialInterval = settings.m_health.m_trialInterval;
    if (settings.m_warmup) {
        host.m_scheduling.m_selection.m_warmupBounds = Scheduling::WarmupBounds{settings.m_warmup->m_overage, settings.m_warmup->m_slack};
    }
    host.m_scheduling.m_selection.m_spillover.m_pricePerKib = settings.m_balancing.m_crossDomainPricePerKib;
    host.m_scheduling.m_selection.m_spillover.m_pricePerMs = settings.m_balancing.m_crossDomainPricePerMs;
    host.m_scheduling.m_maxQueueLength = settings.m_queue.m_perService;
    host.m_editLimit = settings.m_configuration.m_editLimit;
    host.m_storesServiceLevels = settings.m_reports.m_storesRecords;
    return host;
}

/// Size of the kernel's receive and send buffer of a caller's connection on a machine whose memory is bounded. At 1 ms, it still allows 32 MB/s.
constexpr int KernelBufferBytes = 32 << 10;

/// Returns the number of connections of callers for which the process has descriptors, up to the configured one.
std::uint64_t connectionLimitFor(const Settings::Settings &settings)
{
    constexpr std::uint64_t OtherDescriptors = 256; // Listeners, log, store, and connections to backend servers that carry a request.
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return settings.m_callers.m_connectionLimit;
    }
    const std::uint64_t reserved = std::min<std::uint64_t>(settings.m_backends.m_idleConnections + OtherDescriptors, limit.rlim_cur / 2);
    return std::min<std::uint64_t>(settings.m_callers.m_connectionLimit, limit.rlim_cur - reserved);
}

/// Returns the budget for callers: as set, or three tenths of the memory of the machine. The rest is for the process itself, the kernel's buffers and
/// the gaps between allocations. A single large request may use all but what the process needs.
Loop::CallerBudgetSettings callerBudgetFor(const Settings::Settings &settings)
{
    constexpr std::uint64_t ProcessBytes = 64ULL << 20U;
    const std::uint64_t memory = settings.m_host.m_memory;
    Loop::CallerBudgetSettings budget;
    if (memory > 0) {
        budget.m_limit = memory * 3 / 10;
        budget.m_maxLimit = memory - std::min(memory / 2, ProcessBytes);
    }
    budget.m_limit = settings.m_callers.m_memoryLimit.value_or(budget.m_limit);
    return budget;
}

Loop::RelaySettings relaySettingsFrom(const Settings::Settings &settings)
{
    Loop::RelaySettings relay;
    relay.m_host = hostSettingsFrom(settings);
    relay.m_callers.m_listen = settings.m_callers.m_listen;
    relay.m_callers.m_certificate = settings.m_callers.m_certificate;
    relay.m_callers.m_key = settings.m_callers.m_key;
    relay.m_callers.m_limits = {
        settings.m_callers.m_headerLimit, settings.m_callers.m_bodyLimit, settings.m_callers.m_headerTimeout, settings.m_callers.m_idleTimeout};
    relay.m_callers.m_bodyTimeout = settings.m_callers.m_bodyTimeout;
    relay.m_callers.m_responseTimeout = settings.m_callers.m_responseTimeout;
    relay.m_callers.m_maxHeaderFields = settings.m_callers.m_headerFieldLimit;
    relay.m_callers.m_maxConnections = connectionLimitFor(settings);
    relay.m_callers.m_kernelBufferBytes = settings.m_host.m_memory > 0 ? KernelBufferBytes : 0;
    relay.m_callerBudget = callerBudgetFor(settings);
    relay.m_backends.m_authority = settings.m_backends.m_authority;
    relay.m_backends.m_maxIdleConnections = settings.m_backends.m_idleConnections;
    relay.m_backends.m_connectTimeout = settings.m_backends.m_connectTimeout;
    relay.m_store.m_address = settings.m_store.m_address;
    relay.m_store.m_connectTimeout = settings.m_store.m_connectTimeout;
    relay.m_store.m_timeout = settings.m_store.m_timeout;
    relay.m_status = {settings.m_readiness.m_listen, settings.m_readiness.m_path, settings.m_metrics.m_listen, settings.m_metrics.m_path};
    relay.m_operators = {settings.m_operators.m_listen, settings.m_operators.m_token, nullptr};
    return relay;
}

/// Returns the adapter for the operators' own table, which is kept in the store of the platform.
Loop::PlatformAdapter operatorTableAdapter()
{
    return {Host::operatorTableSource(), Http::defaultHeaderScheme(), Platform::storeFormat()};
}

Loop::PlatformAdapter adapterFor(Settings::ConfigurationOrigin origin)
{
    return origin == Settings::ConfigurationOrigin::Platform ? Platform::platformAdapter() : operatorTableAdapter();
}

Loop::SettingsFile settingsFile(const std::string &name)
{
    return {name, [name](Loop::LogWriter &log) -> std::optional<Host::HostSettings> {
                const auto settings = Settings::loadSettings(name);
                if (settings) {
                    return hostSettingsFrom(*settings);
                }
                for (const Finding &finding : settings.error()) {
                    log.log(Reporting::LogLine("settings-refused", Reporting::Severity::Error).with("finding", toString(finding)));
                }
                return std::nullopt;
            }};
}

ExitCode serve(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Runs a host until it is told to stop", ' ', Version);
    TCLAP::ValueArg<std::string> file("", "settings", "Settings file", true, "", "FILE", commandLine);
    parseArguments(commandLine, arguments);
    const auto settings = Settings::loadSettings(file.getValue());
    if (!settings) {
        printFindings(settings.error());
        return ExitCode::WrongUsage;
    }
    // With a fixed threshold, large bodies go back to the system when they are freed; glibc would raise it to the size of the largest one.
    constexpr int MmapThreshold = 128 << 10; // bytes
    ::mallopt(M_MMAP_THRESHOLD, MmapThreshold);
    Loop::LogWriter log(settings->m_host.m_name.text(), parseSeverity(settings->m_log.m_level));
    log.start();
    Loop::Relay relay(relaySettingsFrom(*settings), settingsFile(file.getValue()), adapterFor(settings->m_configuration.m_origin), log);
    relay.run();
    log.stop();
    return ExitCode::Done;
}

}

void addServeCommands(Commands &commands)
{
    commands["serve"] = serve;
}

}
