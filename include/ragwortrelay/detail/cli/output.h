#pragma once

#include <ragwortrelay/cli/commands.h>
#include <ragwortrelay/cli/operatorclient.h>
#include <ragwortrelay/core/error.h>

#include <tl/expected.hpp>

namespace RagwortRelay::Cli::detail {

/// Prints all findings to standard error, one a line.
void printFindings(const Findings &findings);

/// Prints an error to standard error.
void printError(const Error &error);

/// Prints the answer of a host; returns whether the command succeeded.
ExitCode printAnswer(const tl::expected<OperatorResponse, Error> &response);

}
