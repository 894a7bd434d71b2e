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

/// Where the balancer asks for readiness, and the metrics are read.
struct StatusListenerSettings {
    std::string m_readinessListen; ///< `IP:PORT`; empty for nowhere but at the operators' address.
    std::string m_readinessPath;
    std::string m_metricsListen; ///< `IP:PORT`; empty for nowhere but at the operators' address.
    std::string m_metricsPath;
};

/// All that a host needs to run.
struct RelaySettings {
    Host::HostSettings m_host;
    CallerListenerSettings m_callers;
    BackendSettings m_backends;
    StoreClientSettings m_store;
    StatusListenerSettings m_status;
    OperatorListenerSettings m_operators;
};

/// The settings file, which may change while the host runs.
struct SettingsFile {
    std::string m_name; ///< Empty for none.
    /// Reads it; reports what is wrong with it to the log and returns nothing then.
    std::function<std::optional<Host::HostSettings>(LogWriter &log)> m_read;
};

/// What the host speaks with its surroundings.
struct PlatformAdapter {
    Host::ConfigurationSource m_source;
    Http::HeaderScheme m_headerScheme;
    StoreFormat m_storeFormat;
};

/// One host: owns its state, and all connections, on the thread that calls run().
class Relay
{
public:
    /// Opens the port for other hosts. Throws boost::system::system_error when it can't be had, or a file of certificates can't be used.
    /// @param log must outlive the relay
    Relay(const RelaySettings &settings, const SettingsFile &file, const PlatformAdapter &adapter, LogWriter &log);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Opens the other ports and serves until the host has stopped gracefully. Throws boost::system::system_error when a port can't be had.
    void run();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
