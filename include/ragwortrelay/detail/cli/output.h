#pragma once

#include <ragwortrelay/cli/commands.h>
#include <ragwortrelay/cli/operatorclient.h>
#include <ragwortrelay/core/error.h>

#include <tl/expected.hpp>

namespace RagwortRelay::Cli::detail {

/// Prints all findings to standard error, one per line.
void printFindings(const Findings &findings);

/// Prints an error to standard error.
void printError(const Error &error);

/// Prints the response of a host and returns the exit code. The body goes to standard output for status 200 and to standard error otherwise.
ExitCode printResponse(const tl::expected<OperatorResponse, Error> &response);

}
