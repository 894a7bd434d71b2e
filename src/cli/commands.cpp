#include <ragwortrelay/cli/commands.h>
#include <ragwortrelay/cli/operatorclient.h>
#include <ragwortrelay/runtime/host.h>
#include <ragwortrelay/runtime/logging.h>
#include <ragwortrelay/runtime/operatorcodec.h>
#include <ragwortrelay/settings/settings.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <tclap/CmdLine.h>

#include <array>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>

namespace RagwortRelay::Cli {

namespace {

using Arguments = std::vector<std::string>;
using Json = nlohmann::json;

constexpr const char *Version = "0.1.0";

/// Arguments that all commands to a running host share.
class HostArguments
{
public:
    explicit HostArguments(TCLAP::CmdLine &commandLine)
        : m_host("", "host", "Address of a host for operators", true, "", "IP:PORT", commandLine)
        , m_token("", "token", "Operators' token of the fleet", true, "", "TOKEN", commandLine)
    {
    }

    [[nodiscard]] OperatorEndpoint endpoint()
    {
        return {m_host.getValue(), m_token.getValue()};
    }

private:
    TCLAP::ValueArg<std::string> m_host;
    TCLAP::ValueArg<std::string> m_token;
};

std::string randomHex(std::size_t bytes)
{
    constexpr const char *Digits = "0123456789abcdef";
    std::vector<unsigned char> random(bytes);
    RAND_bytes(random.data(), static_cast<int>(random.size()));
    std::string text;
    for (const unsigned char byte : random) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 15U];
    }
    return text;
}

void printFindings(const Findings &findings)
{
    for (const Finding &finding : findings) {
        std::cerr << toString(finding) << '\n';
    }
}

/// Prints the answer of a host; returns whether the command succeeded.
ExitCode report(const tl::expected<OperatorResponse, Error> &response)
{
    if (!response) {
        std::cerr << "error " << toString(response.error().m_id) << ": " << response.error().m_message << '\n';
        return ExitCode::Failed;
    }
    const bool done = response->m_status == 200;
    (done ? std::cout : std::cerr) << response->m_body << '\n';
    return done ? ExitCode::Done : ExitCode::Failed;
}

ExitCode serve(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Runs a host", ' ', Version);
    TCLAP::ValueArg<std::string> file("", "settings", "Settings file", true, "", "FILE", commandLine);
    commandLine.parse(arguments);
    const auto settings = Settings::loadSettings(file.getValue());
    if (!settings) {
        printFindings(settings.error());
        return ExitCode::WrongUsage;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): can't fail for this signal
    Runtime::configureLogging(settings->m_log);
    Runtime::Host host(*settings);
    host.start();
    std::cout << "listening callers=" << host.callerAddress() << " operators=" << host.operatorAddress() << " peers=" << host.peerAddress() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    host.askToStop();
    host.waitUntilStopped();
    return ExitCode::Done;
}

ExitCode check(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Checks a settings file", ' ', Version);
    TCLAP::UnlabeledValueArg<std::string> file("file", "Settings file", true, "", "FILE", commandLine);
    commandLine.parse(arguments);
    const auto settings = Settings::loadSettings(file.getValue());
    if (!settings) {
        printFindings(settings.error());
        return ExitCode::WrongUsage;
    }
    std::cout << file.getValue() << ": ok\n";
    return ExitCode::Done;
}

ExitCode tableShow(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Prints the operators' table", ' ', Version);
    HostArguments host(commandLine);
    commandLine.parse(arguments);
    return report(askHost(host.endpoint(), "/ragwortrelay/table", ""));
}

std::uint64_t storedVersion(const OperatorEndpoint &endpoint, const Configuration::RowKey &key)
{
    const auto response = askHost(endpoint, "/ragwortrelay/table", "");
    if (!response || response->m_status != 200) {
        return 0;
    }
    const Json table = Json::parse(response->m_body);
    for (const Json &row : table.at("rows")) {
        const bool isSame = row.at("kind") == Configuration::toString(key.m_kind) && row.at("name") == key.m_name;
        if (isSame && !row.at("erased").get<bool>()) {
            return row.at("version").get<std::uint64_t>();
        }
    }
    return 0;
}

ExitCode editRow(const OperatorEndpoint &endpoint, const Configuration::RowKey &key, const Configuration::Cells &cells)
{
    Node::EditTable edit;
    edit.m_changeId = randomHex(16);
    edit.m_author = "operator";
    edit.m_rows.push_back({key, storedVersion(endpoint, key), cells, false});
    return report(askHost(endpoint, "/ragwortrelay/table", Runtime::encodeEdit(edit)));
}

ExitCode tableSet(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Sets a row of the operators' table", ' ', Version);
    HostArguments host(commandLine);
    TCLAP::UnlabeledValueArg<std::string> row("row", "Kind and name of the row", true, "", "KIND/NAME", commandLine);
    TCLAP::UnlabeledMultiArg<std::string> assignments("cells", "Cells of the row", false, "COLUMN=VALUE", commandLine);
    commandLine.parse(arguments);
    const std::size_t slash = row.getValue().find('/');
    const auto [kind, known] = Configuration::rowKindFrom(row.getValue().substr(0, slash));
    if (!known || slash == std::string::npos) {
        std::cerr << "error " << toString(ErrorId::TableUnknownRow) << ": '" << row.getValue() << "' is not KIND/NAME\n";
        return ExitCode::WrongUsage;
    }
    Configuration::Cells cells;
    for (const std::string &assignment : assignments.getValue()) {
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos) {
            std::cerr << "error " << toString(ErrorId::TableBadCell) << ": '" << assignment << "' is not COLUMN=VALUE\n";
            return ExitCode::WrongUsage;
        }
        cells[assignment.substr(0, equals)] = assignment.substr(equals + 1);
    }
    return editRow(host.endpoint(), {kind, row.getValue().substr(slash + 1)}, cells);
}

ExitCode keyGive(Arguments arguments)
{
    constexpr std::size_t IdBytes = 6;
    constexpr std::size_t SecretBytes = 24;
    TCLAP::CmdLine commandLine("Gives a key to a workspace", ' ', Version);
    HostArguments host(commandLine);
    TCLAP::UnlabeledValueArg<std::string> workspace("workspace", "Workspace", true, "", "WORKSPACE", commandLine);
    commandLine.parse(arguments);
    const std::string id = randomHex(IdBytes);
    const std::string secret = randomHex(SecretBytes);
    const std::string salt = randomHex(SecretBytes);
    const Configuration::Cells cells{{"workspace", workspace.getValue()}, {"salt", salt}, {"digest", Workspaces::digestOf(salt, secret)}};
    const ExitCode code = editRow(host.endpoint(), {Configuration::RowKind::Key, id}, cells);
    if (code == ExitCode::Done) {
        std::cout << id << '.' << secret << '\n';
    }
    return code;
}

ExitCode status(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Prints the state of a host", ' ', Version);
    HostArguments host(commandLine);
    commandLine.parse(arguments);
    return report(askHost(host.endpoint(), "/ragwortrelay/status", ""));
}

using Command = std::function<ExitCode(Arguments)>;

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> all{
        {"serve", serve}, {"check", check}, {"table show", tableShow}, {"table set", tableSet}, {"key give", keyGive}, {"status", status}};
    return all;
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
        std::cout << "ragwortrelay " << Version << '\n';
        return ExitCode::Done;
    }
    if (arguments.size() == 2 && arguments[1] == "--help") {
        printUsage(std::cout);
        return ExitCode::Done;
    }
    for (const std::size_t words : {2U, 1U}) {
        if (arguments.size() <= words) {
            continue;
        }
        const std::string name = words == 2 ? arguments[1] + ' ' + arguments[2] : arguments[1];
        const auto command = commands().find(name);
        if (command == commands().end()) {
            continue;
        }
        Arguments rest{"ragwortrelay " + name};
        rest.insert(rest.end(), arguments.begin() + static_cast<std::ptrdiff_t>(words) + 1, arguments.end());
        try {
            return command->second(rest);
        } catch (const std::exception &exception) {
            std::cerr << "ragwortrelay: " << exception.what() << '\n';
            return ExitCode::Failed;
        }
    }
    printUsage(std::cerr);
    return ExitCode::WrongUsage;
}

}
