#include <ragwortrelay/configuration/storedtable.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/tableclient.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/operators/codec.h>

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unistd.h>

namespace RagwortRelay::Cli::detail {

namespace {

using Json = nlohmann::json;
using Operators::RolloutShown;

constexpr std::uint32_t DefaultWaitSeconds = 18;
constexpr std::size_t ChangeIdBytes = 16;
constexpr auto RolloutPollInterval = std::chrono::milliseconds(200);

std::string formatCells(const Configuration::Cells &cells)
{
    std::string text;
    for (const auto &[column, value] : cells) {
        text += ' ' + column + '=' + value;
    }
    return text.empty() ? " (no cells)" : text;
}

std::string formatRowKey(const Configuration::RowKey &key)
{
    return toString(key.m_kind) + '/' + key.m_name;
}

void printConflict(const Operators::EditConflict &conflict, const Configuration::EditTable &edit)
{
    for (const Configuration::Row &stored : conflict.m_storedRows) {
        const auto editedRow = std::find_if(edit.m_rows.begin(), edit.m_rows.end(), [&](const auto &row) { return row.m_key == stored.m_key; });
        printError({ErrorId::TableConflict, formatRowKey(stored.m_key) + " was changed since the version that the edit is based on"});
        if (editedRow != edit.m_rows.end()) {
            std::cerr << "  wanted (based on version " << editedRow->m_baseVersion << "):" << (editedRow->m_erase ? " erased" : formatCells(editedRow->m_cells))
                      << '\n';
        }
        std::cerr << "  stored (version " << stored.m_version << "):" << (stored.m_erased ? " erased" : formatCells(stored.m_cells)) << '\n';
    }
}

Json rolloutJson(const RolloutShown &rollout)
{
    return Json{{"version", rollout.m_version},
                {"everywhere", rollout.isFullyRolledOut()},
                {"slowest", rollout.m_minConfigurationVersion},
                {"heard", rollout.m_reachableHosts},
                {"hosts", rollout.m_hosts}};
}

/// Prints the state of the rollout on a terminal, on a line that the next call overwrites.
void showProgress(const RolloutShown &rollout)
{
    if (isatty(STDERR_FILENO) != 0) {
        std::cerr << "\rversion " << rollout.m_version << ": slowest of " << rollout.m_reachableHosts << " hosts has " << rollout.m_minConfigurationVersion
                  << ' ' << std::flush;
    }
}

void endProgress()
{
    if (isatty(STDERR_FILENO) != 0) {
        std::cerr << '\n';
    }
}

/// Waits until the version is in force on all hosts or the wait time is over, and returns the last known state.
RolloutShown waitForRollout(EditArguments &arguments, std::uint64_t version)
{
    using Clock = std::chrono::steady_clock;
    const std::string path = "/ragwortrelay/spread/" + std::to_string(version);
    const Clock::time_point deadline = Clock::now() + std::chrono::seconds(arguments.waitSeconds());
    RolloutShown latestRollout;
    latestRollout.m_version = version;
    while (true) {
        const auto response = sendToFirstReachable(arguments.endpoints(), path, "");
        const auto rollout = response ? Operators::decodeRollout(response->m_body) : tl::unexpected(response.error());
        if (rollout) {
            latestRollout = *rollout;
            showProgress(latestRollout);
        }
        if (latestRollout.isFullyRolledOut() || Clock::now() >= deadline) {
            endProgress();
            return latestRollout;
        }
        std::this_thread::sleep_for(RolloutPollInterval);
    }
}

void printRollout(const RolloutShown &rollout)
{
    std::cout << "version " << rollout.m_version << ": ";
    if (rollout.isFullyRolledOut()) {
        std::cout << "in force on all " << rollout.m_hosts << " hosts\n";
        return;
    }
    std::cout << "durable\n";
    std::cerr << "not known to be in force everywhere: " << rollout.m_reachableHosts << " of " << rollout.m_hosts
              << " hosts can be reached, the slowest has version " << rollout.m_minConfigurationVersion
              << "; a host that can't be reached stops serving workspaces before the revocation limit\n";
}

ExitCode finishEdit(EditArguments &arguments, const Configuration::EditTable &edit, std::uint64_t version, const std::string &key)
{
    const RolloutShown rollout = waitForRollout(arguments, version);
    if (arguments.isJson()) {
        Json json = rolloutJson(rollout);
        json["change"] = edit.m_changeId;
        if (!key.empty()) {
            json["key"] = key;
        }
        std::cout << json.dump() << '\n';
    } else {
        printRollout(rollout);
        std::cout << key << (key.empty() ? "" : "\n");
    }
    return ExitCode::Done;
}

/// Sends the edit to the hosts in order until one knows its outcome.
tl::expected<Operators::Reply, Error> sendEdit(const std::vector<OperatorEndpoint> &endpoints, const Configuration::EditTable &edit)
{
    const std::string body = Operators::encodeEdit(edit);
    tl::expected<Operators::Reply, Error> lastReply = Operators::EditOutcomeUnknown{"no host was tried", false};
    bool mayBeCommitted = false;
    for (const OperatorEndpoint &endpoint : endpoints) {
        const auto response = sendToHost(endpoint, "/ragwortrelay/table", body);
        if (!response) {
            // The host may have committed the edit before the connection failed.
            mayBeCommitted = true;
            lastReply = tl::unexpected(response.error());
            continue;
        }
        lastReply = Operators::decodeEditReply({static_cast<std::uint16_t>(response->m_status), response->m_body});
        if (lastReply && !std::holds_alternative<Operators::EditOutcomeUnknown>(*lastReply)) {
            return lastReply;
        }
    }
    if (lastReply && mayBeCommitted) {
        std::get<Operators::EditOutcomeUnknown>(*lastReply).m_mayBeCommitted = true;
    }
    return lastReply;
}

/// Sends an edit, and repeats it while the hosts are still discovering one another and nothing was written.
tl::expected<Operators::Reply, Error>
sendWithRetries(const std::vector<OperatorEndpoint> &endpoints, const Configuration::EditTable &edit, std::uint32_t waitSeconds)
{
    constexpr auto RetryInterval = std::chrono::milliseconds(250);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(waitSeconds);
    while (true) {
        auto reply = sendEdit(endpoints, edit);
        const auto *unknownOutcome = reply ? std::get_if<Operators::EditOutcomeUnknown>(&*reply) : nullptr;
        if (unknownOutcome == nullptr || unknownOutcome->m_mayBeCommitted || std::chrono::steady_clock::now() + RetryInterval > deadline) {
            return reply;
        }
        std::this_thread::sleep_for(RetryInterval);
    }
}

/// Transactions of an edit that may be committed in any order.
using EditPhase = std::vector<Configuration::EditTable>;

/// Splits an edit into phases that are committed one after the other, such that no row precedes the rows that it refers to. Each element of
/// a phase is one transaction of the store. An edit that fits into one transaction is not split.
std::vector<EditPhase> splitIntoPhases(const Configuration::EditTable &edit)
{
    if (edit.m_rows.size() <= Configuration::MaxRowsPerEdit) {
        return {{edit}};
    }
    std::map<Configuration::RowKind, std::vector<Configuration::RowEdit>> byKind;
    for (const Configuration::RowEdit &row : edit.m_rows) {
        byKind[row.m_key.m_kind].push_back(row);
    }
    std::vector<EditPhase> phases;
    for (const auto &[kind, rows] : byKind) {
        EditPhase &phase = phases.emplace_back();
        for (std::size_t start = 0; start < rows.size(); start += Configuration::MaxRowsPerEdit) {
            const std::size_t end = std::min(rows.size(), start + Configuration::MaxRowsPerEdit);
            const auto first = rows.begin() + static_cast<std::ptrdiff_t>(start);
            phase.push_back({edit.m_changeId, edit.m_author, {first, rows.begin() + static_cast<std::ptrdiff_t>(end)}});
        }
    }
    return phases;
}

/// Progress of an edit that is committed in several transactions.
struct EditProgress {
    std::uint64_t m_version = 0; ///< Highest committed version of the table.
    std::size_t m_committedRows = 0; ///< Number of committed rows.
    std::optional<Configuration::EditTable> m_failedEdit; ///< First transaction that failed.
    tl::expected<Operators::Reply, Error> m_failureReply; ///< Reply to the first transaction that failed.
};

/// Sends the transactions of a phase, several at a time. After a failure no further transaction is started.
void sendPhase(const std::vector<OperatorEndpoint> &endpoints, const EditPhase &phase, std::uint32_t waitSeconds, EditProgress &progress)
{
    constexpr std::size_t MaxConcurrentTransactions = 8;
    std::mutex mutex;
    std::size_t next = 0;
    const auto takeNext = [&]() -> const Configuration::EditTable * {
        const std::lock_guard lock(mutex);
        return progress.m_failedEdit || next == phase.size() ? nullptr : &phase[next++];
    };
    const auto sendTransactions = [&] {
        while (const Configuration::EditTable *transaction = takeNext()) {
            auto reply = sendWithRetries(endpoints, *transaction, waitSeconds);
            const auto *committed = reply ? std::get_if<Operators::EditCommitted>(&*reply) : nullptr;
            const std::lock_guard lock(mutex);
            if (committed != nullptr) {
                progress.m_version = std::max(progress.m_version, committed->m_version);
                progress.m_committedRows += transaction->m_rows.size();
            } else if (!progress.m_failedEdit) {
                progress.m_failedEdit = *transaction;
                progress.m_failureReply = std::move(reply);
            }
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(MaxConcurrentTransactions, phase.size()); ++i) {
        threads.emplace_back(sendTransactions);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

ExitCode printUnknownOutcome(const Configuration::EditTable &edit, const std::string &reason, bool mayBeCommitted)
{
    printError({ErrorId::PlatformUnreachable, reason});
    if (mayBeCommitted) {
        std::cerr << "the change may have been written; the same command with --change " << edit.m_changeId
                  << " tells whether it was, and writes it at most once\n";
    } else {
        std::cerr << "nothing was written\n";
    }
    return ExitCode::Failed;
}

/// Prints why an edit was not committed.
ExitCode printEditFailure(const Configuration::EditTable &edit, const tl::expected<Operators::Reply, Error> &reply, const Configuration::TableFile &file)
{
    if (!reply) {
        return printUnknownOutcome(edit, reply.error().m_message, true);
    }
    if (const auto *conflict = std::get_if<Operators::EditConflict>(&*reply)) {
        printConflict(*conflict, edit);
        return ExitCode::Failed;
    }
    if (const auto *rejection = std::get_if<Operators::EditRejected>(&*reply)) {
        printFindings(Configuration::placeFindings(rejection->m_findings, file));
        return ExitCode::Failed;
    }
    const auto &unknownOutcome = std::get<Operators::EditOutcomeUnknown>(*reply);
    return printUnknownOutcome(edit, unknownOutcome.m_reason, unknownOutcome.m_mayBeCommitted);
}

}

EditArguments::EditArguments(TCLAP::CmdLine &commandLine)
    : m_hosts(commandLine)
    , m_wait("", "wait", "Longest time to wait until the change is in force", false, DefaultWaitSeconds, "SECONDS", commandLine)
    , m_json("", "json", "Prints the result as JSON", commandLine)
    , m_author("", "author", "Name that is stored with the change", false, "operator", "NAME", commandLine)
    , m_change("", "change", "Id of an earlier change that may have been written", false, "", "ID", commandLine)
{
}

std::vector<OperatorEndpoint> EditArguments::endpoints()
{
    return m_hosts.endpoints();
}

std::uint32_t EditArguments::waitSeconds()
{
    return m_wait.getValue();
}

bool EditArguments::isJson()
{
    return m_json.getValue();
}

Configuration::EditTable EditArguments::makeEdit(std::vector<Configuration::RowEdit> rows)
{
    const std::string id = m_change.getValue().empty() ? randomHex(ChangeIdBytes) : m_change.getValue();
    return {id, m_author.getValue(), std::move(rows)};
}

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

tl::expected<Configuration::RowKey, Error> parseRowKey(const std::string &text)
{
    const std::size_t slash = text.find('/');
    const auto [kind, known] = Configuration::rowKindFrom(text.substr(0, slash));
    if (!known || slash == std::string::npos || slash + 1 == text.size()) {
        return tl::unexpected(Error{ErrorId::TableUnknownRow, "'" + text + "' is not KIND/NAME"});
    }
    return Configuration::RowKey{kind, text.substr(slash + 1)};
}

tl::expected<OperatorResponse, Error> sendToFirstReachable(const std::vector<OperatorEndpoint> &endpoints, const std::string &path, const std::string &body)
{
    tl::expected<OperatorResponse, Error> response = tl::unexpected(Error{ErrorId::OperatorUnreachable, "no host given"});
    for (const OperatorEndpoint &endpoint : endpoints) {
        response = sendToHost(endpoint, path, body);
        if (response) {
            break;
        }
    }
    return response;
}

tl::expected<Configuration::Table, Error> readTable(const std::vector<OperatorEndpoint> &endpoints)
{
    const auto response = sendToFirstReachable(endpoints, "/ragwortrelay/table", "");
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->m_status != Http::Status::Ok) {
        return tl::unexpected(Error{ErrorId::OperatorUnauthorized, "the host responded " + std::to_string(response->m_status) + ' ' + response->m_body});
    }
    return Operators::decodeTable(response->m_body);
}

ExitCode submitEdit(EditArguments &arguments, const Configuration::EditTable &edit, const Configuration::TableFile &file, const std::string &key)
{
    EditProgress progress;
    for (const EditPhase &phase : splitIntoPhases(edit)) {
        sendPhase(arguments.endpoints(), phase, arguments.waitSeconds(), progress);
        if (progress.m_failedEdit) {
            if (progress.m_committedRows > 0) {
                std::cerr << progress.m_committedRows << " of " << edit.m_rows.size() << " rows were written; repeat the command to write the others\n";
            }
            return printEditFailure(*progress.m_failedEdit, progress.m_failureReply, file);
        }
    }
    return finishEdit(arguments, edit, progress.m_version, key);
}

}
