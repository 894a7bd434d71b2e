#pragma once

#include <ragwortrelay/cli/commands.h>
#include <ragwortrelay/core/error.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace RagwortRelay::Cli::detail {

/// Arguments of one command, its name first.
using Arguments = std::vector<std::string>;

/// Function that parses the arguments of one command and runs it. parseArguments() ends the process on `--help` and on invalid arguments.
using Command = std::function<ExitCode(Arguments)>;

/// Commands by name. A name has one or two words.
using Commands = std::map<std::string, Command>;

inline constexpr const char *Version = "0.1.0";

/// Reads a table file that holds a whole table and returns its faults.
Findings checkTableFile(const std::string &name);

// Each function adds one group of commands and is defined in a file of its own.

void addServeCommands(Commands &commands);
void addCheckCommands(Commands &commands);
void addTableCommands(Commands &commands);
void addKeyCommands(Commands &commands);
void addStatusCommands(Commands &commands);
void addExplainCommands(Commands &commands);
void addReportCommands(Commands &commands);
void addRulesCommands(Commands &commands);

}
