#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/parsing.h>
#include <ragwortrelay/rules/alertrules.h>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace RagwortRelay::Cli::detail {

namespace {

ExitCode importRulesFile(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Reads alert rules and prints rows for 'table apply'; reports the lines that it can't convert", ' ', Version);
    TCLAP::UnlabeledValueArg<std::string> name("file", "Rule file in the YAML form of Prometheus", true, "", "FILE", commandLine);
    parseArguments(commandLine, arguments);
    std::ifstream file(name.getValue());
    if (!file) {
        printFindings({{{name.getValue(), 0, 0}, ErrorId::RulesUnreadable, "the file can't be read"}});
        return ExitCode::WrongUsage;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const Rules::ImportedRules rules = Rules::importRules(text.str(), name.getValue());
    printFindings(rules.m_findings);
    const bool isUnreadable =
        std::any_of(rules.m_findings.begin(), rules.m_findings.end(), [](const Finding &finding) { return finding.m_id == ErrorId::RulesUnreadable; });
    if (isUnreadable) {
        return ExitCode::Failed;
    }
    std::cout << Rules::formatRows(rules);
    return ExitCode::Done;
}

}

void addRulesCommands(Commands &commands)
{
    commands["import-rules"] = importRulesFile;
}

}
