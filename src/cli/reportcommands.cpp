#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/hostarguments.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/parsing.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/reporting/burn.h>

#include <fstream>
#include <iostream>

namespace RagwortRelay::Cli::detail {

namespace {

ExitCode writeFile(const std::string &name, const std::string &content)
{
    std::ofstream file(name);
    file << content;
    file.close();
    if (!file) {
        std::cerr << name << ": can't be written\n";
        return ExitCode::Failed;
    }
    return ExitCode::Done;
}

ExitCode reportBurn(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Prints the service-level burn over all hosts", ' ', Version);
    HostArguments host(commandLine);
    TCLAP::ValueArg<std::string> page("", "html", "Write a page with plots to this file", false, "", "FILE", commandLine);
    TCLAP::SwitchArg json("", "json", "Print JSON", commandLine);
    parseArguments(commandLine, arguments);
    const auto response = sendToHost(host.endpoint(), "/ragwortrelay/burn", "");
    if (!response || response->m_status != Http::Status::Ok || json.getValue()) {
        return printResponse(response);
    }
    const Reporting::BurnReport report = Reporting::decodeReport(response->m_body);
    std::cout << Reporting::formatReport(report);
    return page.getValue().empty() ? ExitCode::Done : writeFile(page.getValue(), Reporting::formatReportPage(report));
}

}

void addReportCommands(Commands &commands)
{
    commands["report burn"] = reportBurn;
}

}
