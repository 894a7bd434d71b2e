#pragma once

#include <ragwortrelay/cli/commands.h>
#include <ragwortrelay/configuration/tablefile.h>
#include <ragwortrelay/detail/cli/hostarguments.h>

#include <tclap/CmdLine.h>
#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace RagwortRelay::Cli::detail {

/// Arguments shared by all commands that write the table. Not thread-safe.
class EditArguments
{
public:
    /// Adds the arguments to a command line, which must outlive this object.
    explicit EditArguments(TCLAP::CmdLine &commandLine);

    /// Returns the endpoints of the hosts in the order of the arguments. Precondition: the command line was parsed.
    [[nodiscard]] std::vector<OperatorEndpoint> endpoints();

    /// Returns the longest time to wait until the change is in force, in seconds. Precondition: the command line was parsed.
    [[nodiscard]] std::uint32_t waitSeconds();

    /// Returns whether the result is printed as JSON. Precondition: the command line was parsed.
    [[nodiscard]] bool isJson();

    /// Returns an edit with the author and the change id from the arguments, or with a random change id if none is given. Precondition: the
    /// command line was parsed.
    [[nodiscard]] Configuration::EditTable makeEdit(std::vector<Configuration::RowEdit> rows);

private:
    HostArguments m_hosts;
    TCLAP::ValueArg<std::uint32_t> m_wait;
    TCLAP::SwitchArg m_json;
    TCLAP::ValueArg<std::string> m_author;
    TCLAP::ValueArg<std::string> m_change;
};

/// Returns random bytes as lower-case hexadecimal digits.
std::string randomHex(std::size_t bytes);

/// Parses a row key of the form `KIND/NAME`. Fails with ErrorId::TableUnknownRow.
tl::expected<Configuration::RowKey, Error> parseRowKey(const std::string &text);

/// Sends a request to the hosts in order until one responds.
tl::expected<OperatorResponse, Error> sendToFirstReachable(const std::vector<OperatorEndpoint> &endpoints, const std::string &path, const std::string &body);

/// Reads the table from the first host that can be reached.
tl::expected<Configuration::Table, Error> readTable(const std::vector<OperatorEndpoint> &endpoints);

/// Sends an edit, waits until the change is in force on all hosts or the wait time is over, and prints the result. If a host doesn't respond,
/// the edit is sent to the next host.
/// @param file table file that the edit comes from; findings are reported with their positions in it
/// @param key new workspace key, printed once the change is durable; empty for none
ExitCode submitEdit(EditArguments &arguments, const Configuration::EditTable &edit, const Configuration::TableFile &file = {}, const std::string &key = {});

}
