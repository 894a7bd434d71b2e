#include <ragwortrelay/configuration/storedtable.h>
#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Configuration::RowKind;
using Fleet::TableKind;
using Reporting::LogLine;
using Reporting::Severity;

/// Time for which hosts that were registered in the previous era count as registered, so that the shares of the limits don't grow while they
/// register again. The leader waits as long before it erases the record of a silent host.
constexpr Duration MembershipGrace = std::chrono::seconds(10);

constexpr std::size_t MaxWithdrawnKeys = 10'000; ///< Bounds their memory.

std::string textOf(const Configuration::Cells &cells)
{
    std::string text;
    for (const auto &[column, value] : cells) {
        text += (text.empty() ? "" : " ") + column + '=' + value;
    }
    return text;
}

/// Logs a row of the operators' table that the restored store has with another content than this host.
void reportLostRow(State &state, const Configuration::RowKey &key, const Configuration::Row *known, Actions &actions)
{
    Reporting::count(state.m_counters, "table_rows_reverted");
    LogLine line("table-row-reverted", Severity::Error);
    line = std::move(line).with("row", Configuration::toString(key.m_kind) + '/' + key.m_name).with("was_present", known != nullptr ? "yes" : "no");
    if (known != nullptr && key.m_kind != RowKind::Key) { // Digests of keys aren't logged.
        line = std::move(line).with("lost_cells", textOf(known->m_cells));
    }
    log(actions, std::move(line));
}

}

bool isOfStoreEra(const State &state, Store::Version version)
{
    return Store::eraOf(version) == state.m_storeEra.value_or(0);
}

void observeStoreEra(State &state, Store::Era era, TimePoint now, Actions &actions)
{
    if (state.m_storeEra && era <= *state.m_storeEra) {
        return;
    }
    const std::optional<Store::Era> before = std::exchange(state.m_storeEra, era);
    recoverClaims(state, era, now, actions);
    if (!before) {
        return;
    }
    state.m_unconfirmedMembers = state.m_membership;
    state.m_unconfirmedUntil = now + MembershipGrace;
    Reporting::count(state.m_counters, "store_era_changes");
    log(actions,
        LogLine("store-era-changed", Severity::Warning)
            .with("era", static_cast<std::int64_t>(era))
            .with("before", static_cast<std::int64_t>(*before))
            .with("configuration_version", configurationVersion(state)));
}

void reportLostRows(State &state, const ChangedRows &rows, Actions &actions)
{
    for (const Store::Row *stored : rows) {
        const auto key = Configuration::readStoredName(stored->m_key.m_name);
        const auto row = Configuration::readStoredRow(*stored);
        if (!key || !row) {
            continue;
        }
        const auto known = state.m_operatorTable.m_rows.find(*key);
        const Configuration::Row *knownRow = known == state.m_operatorTable.m_rows.end() ? nullptr : &known->second;
        const bool isSame = row->m_erased ? knownRow == nullptr : knownRow != nullptr && knownRow->m_cells == row->m_cells;
        if (!isSame) {
            reportLostRow(state, *key, knownRow, actions);
        }
    }
}

void dropWithdrawnKeys(State &state, ChangedRows &rows, bool isEraChanged, Actions &actions)
{
    std::erase_if(rows, [&](const Store::Row *stored) {
        const std::string &name = stored->m_key.m_name;
        const auto key = Configuration::readStoredName(name);
        if (!key || key->m_kind != RowKind::Key) {
            return false;
        }
        const auto row = Configuration::readStoredRow(*stored);
        const bool isCellSet = row && row->m_cells.contains("withdrawn") && row->m_cells.at("withdrawn") == "yes";
        if (stored->m_erased || isCellSet) {
            if (state.m_withdrawnKeys.size() < MaxWithdrawnKeys) {
                state.m_withdrawnKeys.insert(name);
            }
            return false;
        }
        if (!isEraChanged) {
            state.m_withdrawnKeys.erase(name);
            return false;
        }
        const bool isWithdrawn = state.m_withdrawnKeys.contains(name);
        if (isWithdrawn) {
            log(actions, LogLine("withdrawn-key-refused", Severity::Error).with("row", name));
        }
        return isWithdrawn;
    });
}

}
