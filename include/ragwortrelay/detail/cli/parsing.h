#pragma once

#include <ragwortrelay/detail/cli/commandgroups.h>

#include <tclap/CmdLine.h>

namespace RagwortRelay::Cli::detail {

/// Parses the arguments of a command. Ends the process with ExitCode::Done after `--help` and with ExitCode::WrongUsage on invalid arguments. Not thread-safe.
void parseArguments(TCLAP::CmdLine &commandLine, Arguments &arguments);

}
