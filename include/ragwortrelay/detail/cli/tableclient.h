#pragma once

#include <ragwortrelay/cli/commands.h>
#include <ragwortrelay/cli/operatorclient.h>
#include <ragwortrelay/configuration/row.h>

#include <string>

namespace RagwortRelay::Cli::detail {

/// Returns random bytes as lower-case hexadecimal digits.
std::string randomHex(std::size_t bytes);

/// Writes one row, based on the version that is stored now, and prints the answer.
ExitCode editRow(const OperatorEndpoint &endpoint, const Configuration::RowKey &key, const Configuration::Cells &cells);

}
