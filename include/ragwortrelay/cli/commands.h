#pragma once

#include <string>
#include <vector>

namespace RagwortRelay::Cli {

/// Result of a command.
enum class ExitCode : int {
    Done = 0,
    Failed = 1, ///< Refused, or it didn't succeed.
    WrongUsage = 2, ///< Wrong arguments or settings.
};

/// Runs the program with its arguments, the program's name first.
ExitCode run(const std::vector<std::string> &arguments);

}
