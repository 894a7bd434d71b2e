#include <ragwortrelay/cli/commands.h>
#include <ragwortrelay/detail/cli/commandgroups.h>

#include <iostream>

namespace RagwortRelay::Cli {

namespace {

const detail::Commands &commands()
{
    static const detail::Commands allCommands = [] {
        detail::Commands commands;
        detail::addServeCommands(commands);
        detail::addCheckCommands(commands);
        detail::addTableCommands(commands);
        detail::addKeyCommands(commands);
        detail::addStatusCommands(commands);
        detail::addExplainCommands(commands);
        detail::addReportCommands(commands);
        detail::addRulesCommands(commands);
        return commands;
    }();
    return allCommands;
}

void printUsage(std::ostream &stream)
{
    stream << "usage: ragwortrelay COMMAND [--help] ...\n";
    for (const auto &[name, command] : commands()) {
        stream << "  " << name << '\n';
    }
}

}

ExitCode run(const std::vector<std::string> &arguments)
{
    if (arguments.size() == 2 && arguments[1] == "--version") {
        std::cout << "ragwortrelay " << detail::Version << '\n';
        return ExitCode::Done;
    }
    if (arguments.size() == 2 && arguments[1] == "--help") {
        printUsage(std::cout);
        return ExitCode::Done;
    }
    for (const std::size_t wordCount : {2U, 1U}) {
        if (arguments.size() <= wordCount) {
            continue;
        }
        const std::string name = wordCount == 2 ? arguments[1] + ' ' + arguments[2] : arguments[1];
        const auto command = commands().find(name);
        if (command == commands().end()) {
            continue;
        }
        detail::Arguments commandArguments{"ragwortrelay " + name};
        commandArguments.insert(commandArguments.end(), arguments.begin() + static_cast<std::ptrdiff_t>(wordCount) + 1, arguments.end());
        try {
            return command->second(commandArguments);
        } catch (const std::exception &exception) {
            std::cerr << "ragwortrelay: " << exception.what() << '\n';
            return ExitCode::Failed;
        }
    }
    printUsage(std::cerr);
    return ExitCode::WrongUsage;
}

}
