#pragma once

#include <string>
#include <vector>

namespace RagwortRelay::Cli {

/// Exit code of the program.
enum class ExitCode : int {
    Done = 0,
    Failed = 1, ///< The command was refused or failed.
    WrongUsage = 2, ///< Invalid arguments or settings.
};

/// Runs the command that the arguments name. The first argument is the program's name.
ExitCode run(const std::vector<std::string> &arguments);

}
