#pragma once

#include <ragwortrelay/host/configurationsource.h>
#include <ragwortrelay/host/state.h>
#include <ragwortrelay/http/headerscheme.h>
#include <ragwortrelay/loop/backendpool.h>
#include <ragwortrelay/loop/callerlistener.h>
#include <ragwortrelay/loop/log.h>
#include <ragwortrelay/loop/operatorlistener.h>
#include <ragwortrelay/loop/storeclient.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace RagwortRelay::Loop {

/// Addresses and paths of the readiness page, which the load balancer polls, and of the metrics page.
struct StatusListenerSettings {
    std::string m_readinessListen; ///< `IP:PORT`; empty if only the operator listener serves the readiness page.
    std::string m_readinessPath; ///< URL path of the readiness page.
    std::string m_metricsListen; ///< `IP:PORT`; empty if only the operator listener serves the metrics page.
    std::string m_metricsPath; ///< URL path of the metrics page.
};

/// All settings of a host process.
struct RelaySettings {
    Host::HostSettings m_host;
    CallerListenerSettings m_callers;
    CallerBudgetSettings m_callerBudget; ///< Budget of the callers', status and operators' listeners together.
    BackendSettings m_backends;
    StoreClientSettings m_store;
    StatusListenerSettings m_status;
    OperatorListenerSettings m_operators;
};

/// Settings file of a host. It may change while the host runs.
struct SettingsFile {
    std::string m_name; ///< Path of the file; empty if there is none.
    /// Reads the file. Returns nothing if it is invalid, after writing the errors to the log.
    std::function<std::optional<Host::HostSettings>(LogWriter &log)> m_read;
};

/// Formats and protocols that a host uses towards the platform: configuration, HTTP headers and the store.
struct PlatformAdapter {
    Host::ConfigurationSource m_source;
    Http::HeaderScheme m_headerScheme;
    StoreFormat m_storeFormat;
};

/// One host of the fleet. Owns the state and all connections of the host; all work happens on the thread that calls run().
class Relay
{
public:
    /// Opens the port for other hosts. Throws boost::system::system_error if the port can't be opened or a certificate file can't be used.
    /// @param log must outlive the relay
    Relay(const RelaySettings &settings, const SettingsFile &file, const PlatformAdapter &adapter, LogWriter &log);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Opens the other ports and serves until the graceful stop has ended. Throws boost::system::system_error if a port can't be opened.
    void run();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
