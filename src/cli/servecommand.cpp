#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/runtime/host.h>
#include <ragwortrelay/runtime/logging.h>
#include <ragwortrelay/settings/settings.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace RagwortRelay::Cli::detail {

namespace {

ExitCode serve(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Runs a host", ' ', Version);
    TCLAP::ValueArg<std::string> file("", "settings", "Settings file", true, "", "FILE", commandLine);
    commandLine.parse(arguments);
    const auto settings = Settings::loadSettings(file.getValue());
    if (!settings) {
        printFindings(settings.error());
        return ExitCode::WrongUsage;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): can't fail for this signal
    Runtime::configureLogging(settings->m_log);
    Runtime::Host host(*settings);
    host.start();
    std::cout << "listening callers=" << host.callerAddress() << " operators=" << host.operatorAddress() << " peers=" << host.peerAddress() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    host.askToStop();
    host.waitUntilStopped();
    return ExitCode::Done;
}

}

void addServeCommands(Commands &commands)
{
    commands["serve"] = serve;
}

}
