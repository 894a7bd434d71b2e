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
constexpr auto SpreadInterval = std::chrono::milliseconds(200);

std::string describe(const Configuration::Cells &cells)
{
    std::string text;
    for (const auto &[column, value] : cells) {
        text += ' ' + column + '=' + value;
    }
    return text.empty() ? " (no cells)" : text;
}

std::string nameOf(const Configuration::RowKey &key)
{
    return toString(key.m_kind) + '/' + key.m_name;
}

void printConflict(const Operators::EditConflict &conflict, const Configuration::EditTable &edit)
{
    for (const Configuration::Row &stored : conflict.m_storedRows) {
        const auto wanted = std::find_if(edit.m_rows.begin(), edit.m_rows.end(), [&](const auto &row) { return row.m_key == stored.m_key; });
        printError({ErrorId::TableConflict, nameOf(stored.m_key) + " was changed since the version that the edit is based on"});
        if (wanted != edit.m_rows.end()) {
            std::cerr << "  wanted (based on version " << wanted->m_baseVersion << "):" << (wanted->m_erase ? " erased" : describe(wanted->m_cells)) << '\n';
        }
        std::cerr << "  stored (version " << stored.m_version << "):" << (stored.m_erased ? " erased" : describe(stored.m_cells)) << '\n';
    }
}

Json jsonOf(const RolloutShown &spread)
{
    return Json{{"version", spread.m_version},
                {"everywhere", spread.isFullyRolledOut()},
                {"slowest", spread.m_minConfigurationVersion},
                {"heard", spread.m_reachableHosts},
                {"hosts", spread.m_hosts}};
}

/// Shows the state of the spread on a terminal, on a line that the next call overwrites.
void showProgress(const RolloutShown &spread)
{
    if (isatty(STDERR_FILENO) != 0) {
        std::cerr << "\rversion " << spread.m_version << ": slowest of " << spread.m_reachableHosts << " hosts has " << spread.m_minConfigurationVersion << ' '
                  << std::flush;
    }
}

void endProgress()
{
    if (isatty(STDERR_FILENO) != 0) {
        std::cerr << '\n';
    }
}

/// Waits until the version is in force on all hosts, or until the time is over.
RolloutShown waitForSpread(EditArguments &arguments, std::uint64_t version)
{
    using Clock = std::chrono::steady_clock;
    const std::string path = "/ragwortrelay/spread/" + std::to_string(version);
    const Clock::time_point end = Clock::now() + std::chrono::seconds(arguments.waitSeconds());
    RolloutShown last;
    last.m_version = version;
    while (true) {
        const auto response = askAny(arguments.endpoints(), path, "");
        const auto spread = response ? Operators::decodeRollout(response->m_body) : tl::unexpected(response.error());
        if (spread) {
            last = *spread;
            showProgress(last);
        }
        if (last.isFullyRolledOut() || Clock::now() >= end) {
            endProgress();
            return last;
        }
        std::this_thread::sleep_for(SpreadInterval);
    }
}

void printSpread(const RolloutShown &spread)
{
    std::cout << "version " << spread.m_version << ": ";
    if (spread.isFullyRolledOut()) {
        std::cout << "in force on all " << spread.m_hosts << " hosts\n";
        return;
    }
    std::cout << "durable\n";
    std::cerr << "not known to be in force everywhere: " << spread.m_reachableHosts << " of " << spread.m_hosts << " hosts are heard, the slowest has version "
              << spread.m_minConfigurationVersion << "; a host that isn't heard stops serving workspaces before the revocation limit\n";
}

ExitCode finishEdit(EditArguments &arguments, const Configuration::EditTable &edit, std::uint64_t version, const std::string &key)
{
    const RolloutShown spread = waitForSpread(arguments, version);
    if (arguments.isJson()) {
        Json json = jsonOf(spread);
        json["change"] = edit.m_changeId;
        if (!key.empty()) {
            json["key"] = key;
        }
        std::cout << json.dump() << '\n';
    } else {
        printSpread(spread);
        std::cout << key << (key.empty() ? "" : "\n");
    }
    return ExitCode::Done;
}

/// Sends the edit to the hosts in order until one knows what became of it.
tl::expected<Operators::Reply, Error> sendEdit(const std::vector<OperatorEndpoint> &endpoints, const Configuration::EditTable &edit)
{
    const std::string body = Operators::encodeEdit(edit);
    tl::expected<Operators::Reply, Error> last = Operators::EditOutcomeUnknown{"no host was asked", false};
    bool mayBeWritten = false;
    for (const OperatorEndpoint &endpoint : endpoints) {
        const auto response = askHost(endpoint, "/ragwortrelay/table", body);
        if (!response) {
            // The host may have taken the edit before it went away.
            mayBeWritten = true;
            last = tl::unexpected(response.error());
            continue;
        }
        last = Operators::decodeEditReply({static_cast<std::uint16_t>(response->m_status), response->m_body});
        if (last && !std::holds_alternative<Operators::EditOutcomeUnknown>(*last)) {
            return last;
        }
    }
    if (last && mayBeWritten) {
        std::get<Operators::EditOutcomeUnknown>(*last).m_mayBeCommitted = true;
    }
    return last;
}

/// Sends an edit again while the hosts are looking for one another and nothing was written.
tl::expected<Operators::Reply, Error>
sendPatiently(const std::vector<OperatorEndpoint> &endpoints, const Configuration::EditTable &edit, std::uint32_t waitSeconds)
{
    constexpr auto Pause = std::chrono::milliseconds(250);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(waitSeconds);
    while (true) {
        auto reply = sendEdit(endpoints, edit);
        const auto *unresolved = reply ? std::get_if<Operators::EditOutcomeUnknown>(&*reply) : nullptr;
        if (unresolved == nullptr || unresolved->m_mayBeCommitted || std::chrono::steady_clock::now() + Pause > deadline) {
            return reply;
        }
        std::this_thread::sleep_for(Pause);
    }
}

/// Parts of an edit that may be made in any order.
using Round = std::vector<Configuration::EditTable>;

/// Splits an edit into rounds that are made one after the other, such that no row comes before those that it refers to. Each part of a round
/// is one transaction of the store. An edit that fits into one transaction stays whole.
std::vector<Round> roundsOf(const Configuration::EditTable &edit)
{
    if (edit.m_rows.size() <= Configuration::MaxRowsPerEdit) {
        return {{edit}};
    }
    std::map<Configuration::RowKind, std::vector<Configuration::RowEdit>> byKind;
    for (const Configuration::RowEdit &row : edit.m_rows) {
        byKind[row.m_key.m_kind].push_back(row);
    }
    std::vector<Round> rounds;
    for (const auto &[kind, rows] : byKind) {
        Round &round = rounds.emplace_back();
        for (std::size_t start = 0; start < rows.size(); start += Configuration::MaxRowsPerEdit) {
            const std::size_t end = std::min(rows.size(), start + Configuration::MaxRowsPerEdit);
            const auto first = rows.begin() + static_cast<std::ptrdiff_t>(start);
            round.push_back({edit.m_changeId, edit.m_author, {first, rows.begin() + static_cast<std::ptrdiff_t>(end)}});
        }
    }
    return rounds;
}

/// How far an edit has come.
struct EditProgress {
    std::uint64_t m_version = 0; ///< The highest one that was made.
    std::size_t m_rows = 0; ///< Written.
    std::optional<Configuration::EditTable> m_failed; ///< First part that failed.
    tl::expected<Operators::Reply, Error> m_reply; ///< To that part.
};

/// Sends the parts of a round, several at a time; after a failure no further ones.
void sendRound(const std::vector<OperatorEndpoint> &endpoints, const Round &round, std::uint32_t waitSeconds, EditProgress &progress)
{
    constexpr std::size_t PartsAtATime = 8;
    std::mutex mutex;
    std::size_t next = 0;
    const auto take = [&]() -> const Configuration::EditTable * {
        const std::lock_guard lock(mutex);
        return progress.m_failed || next == round.size() ? nullptr : &round[next++];
    };
    const auto work = [&] {
        while (const Configuration::EditTable *part = take()) {
            auto reply = sendPatiently(endpoints, *part, waitSeconds);
            const auto *done = reply ? std::get_if<Operators::EditCommitted>(&*reply) : nullptr;
            const std::lock_guard lock(mutex);
            if (done != nullptr) {
                progress.m_version = std::max(progress.m_version, done->m_version);
                progress.m_rows += part->m_rows.size();
            } else if (!progress.m_failed) {
                progress.m_failed = *part;
                progress.m_reply = std::move(reply);
            }
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(PartsAtATime, round.size()); ++i) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

ExitCode printUnresolved(const Configuration::EditTable &edit, const std::string &reason, bool mayBeWritten)
{
    printError({ErrorId::PlatformUnreachable, reason});
    if (mayBeWritten) {
        std::cerr << "the change may have been written; the same command with --change " << edit.m_changeId << " tells, and writes it at most once\n";
    } else {
        std::cerr << "nothing was written\n";
    }
    return ExitCode::Failed;
}

/// Prints why an edit wasn't made.
ExitCode printFailure(const Configuration::EditTable &edit, const tl::expected<Operators::Reply, Error> &reply, const Configuration::TableFile &file)
{
    if (!reply) {
        return printUnresolved(edit, reply.error().m_message, true);
    }
    if (const auto *conflict = std::get_if<Operators::EditConflict>(&*reply)) {
        printConflict(*conflict, edit);
        return ExitCode::Failed;
    }
    if (const auto *refused = std::get_if<Operators::EditRejected>(&*reply)) {
        printFindings(Configuration::placeFindings(refused->m_findings, file));
        return ExitCode::Failed;
    }
    const auto &unresolved = std::get<Operators::EditOutcomeUnknown>(*reply);
    return printUnresolved(edit, unresolved.m_reason, unresolved.m_mayBeCommitted);
}

}

EditArguments::EditArguments(TCLAP::CmdLine &commandLine)
    : m_hosts(commandLine)
    , m_wait("", "wait", "Longest time to wait until the change is in force", false, DefaultWaitSeconds, "SECONDS", commandLine)
    , m_json("", "json", "Prints the result as JSON", commandLine)
    , m_author("", "author", "Name that is kept with the change", false, "operator", "NAME", commandLine)
    , m_change("", "change", "Id of a change that was sent before and may have been written", false, "", "ID", commandLine)
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

tl::expected<OperatorResponse, Error> askAny(const std::vector<OperatorEndpoint> &endpoints, const std::string &path, const std::string &body)
{
    tl::expected<OperatorResponse, Error> response = tl::unexpected(Error{ErrorId::OperatorUnreachable, "no host given"});
    for (const OperatorEndpoint &endpoint : endpoints) {
        response = askHost(endpoint, path, body);
        if (response) {
            break;
        }
    }
    return response;
}

tl::expected<Configuration::Table, Error> readTable(const std::vector<OperatorEndpoint> &endpoints)
{
    const auto response = askAny(endpoints, "/ragwortrelay/table", "");
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->m_status != Http::Status::Ok) {
        return tl::unexpected(Error{ErrorId::OperatorUnauthorized, "the host answered " + std::to_string(response->m_status) + ' ' + response->m_body});
    }
    return Operators::decodeTable(response->m_body);
}

ExitCode submitEdit(EditArguments &arguments, const Configuration::EditTable &edit, const Configuration::TableFile &file, const std::string &key)
{
    EditProgress progress;
    for (const Round &round : roundsOf(edit)) {
        sendRound(arguments.endpoints(), round, arguments.waitSeconds(), progress);
        if (progress.m_failed) {
            if (progress.m_rows > 0) {
                std::cerr << progress.m_rows << " of " << edit.m_rows.size() << " rows were written; the same command goes on with the others\n";
            }
            return printFailure(*progress.m_failed, progress.m_reply, file);
        }
    }
    return finishEdit(arguments, edit, progress.m_version, key);
}

}
