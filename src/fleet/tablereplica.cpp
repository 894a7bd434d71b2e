#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/fleet/tablereplica.h>

#include <nlohmann/json.hpp>
#include <zlib.h>

#include <algorithm>
#include <tuple>

namespace RagwortRelay::Fleet {

namespace {

/// Maximum size of one part of a delta in bytes. Together with the rest of its datagram it stays below the size that any network transmits
/// unfragmented.
constexpr std::size_t MaxPartBytes = 1100;

/// Maximum size of an uncompressed delta in bytes. Hosts read larger changes from the store.
constexpr std::size_t MaxDeltaBytes = 4U << 20U;

/// Maximum number of parts of a delta, with room for what compression adds to bytes that can't be made smaller.
constexpr std::uint32_t MaxParts = 2 * MaxDeltaBytes / MaxPartBytes;

/// Maximum number of erased rows that are retained.
constexpr std::size_t MaxErasedRows = 512;

std::string compressBytes(const std::string &bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string result(size, '\0');
    const auto *input = reinterpret_cast<const Bytef *>(bytes.data());
    compress2(reinterpret_cast<Bytef *>(result.data()), &size, input, bytes.size(), Z_BEST_SPEED);
    result.resize(size);
    return result;
}

std::optional<std::string> decompressBytes(const std::string &bytes, std::size_t size)
{
    std::string result(size, '\0');
    uLongf written = size;
    const auto *input = reinterpret_cast<const Bytef *>(bytes.data());
    const int code = uncompress(reinterpret_cast<Bytef *>(result.data()), &written, input, bytes.size());
    return code == Z_OK && written == size ? std::optional(result) : std::nullopt;
}

/// Serializes rows for another host, each as name, version and value. An erased row has no value.
std::string packRows(const std::vector<const Store::Row *> &rows)
{
    auto list = nlohmann::json::array();
    for (const Store::Row *row : rows) {
        auto entry = nlohmann::json::array({row->m_key.m_name, row->m_version});
        if (!row->m_erased) {
            entry.push_back(nlohmann::json::binary({row->m_value.begin(), row->m_value.end()}));
        }
        list.push_back(std::move(entry));
    }
    const auto bytes = nlohmann::json::to_msgpack(list);
    return {bytes.begin(), bytes.end()};
}

std::vector<Store::Row> unpackRows(const std::string &bytes)
{
    std::vector<Store::Row> rows;
    for (const auto &entry : nlohmann::json::from_msgpack(bytes)) {
        Store::Row row;
        row.m_key.m_name = entry.at(0).get<std::string>();
        row.m_version = entry.at(1).get<std::uint64_t>();
        row.m_erased = entry.size() < 3;
        if (!row.m_erased) {
            const auto &value = entry.at(2).get_binary();
            row.m_value.assign(value.begin(), value.end());
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

/// Returns what a row contributes to the digest of its table. The version is hashed as text: with short names, seeds that differ by little give the same hash.
std::uint64_t digestOf(const Store::Row &row)
{
    return row.m_erased ? 0 : hashOf(row.m_key.m_name + '\n' + std::to_string(row.m_version));
}

/// Removes a row from the replica and its indexes. No effect if there is none.
void removeRow(TableReplica &table, const std::string &name)
{
    const auto known = table.m_rows.find(name);
    if (known == table.m_rows.end()) {
        return;
    }
    table.m_digest ^= digestOf(known->second);
    table.m_byVersion.erase({known->second.m_version, name});
    table.m_erased.erase({known->second.m_version, name});
    table.m_rows.erase(known);
}

void replaceRow(TableReplica &table, Store::Row row)
{
    const std::string name = row.m_key.m_name;
    removeRow(table, name);
    table.m_digest ^= digestOf(row);
    table.m_byVersion.emplace(row.m_version, name);
    if (row.m_erased) {
        table.m_erased.emplace(row.m_version, name);
    }
    table.m_unapplied.insert(name);
    table.m_droppedRows.erase(name);
    table.m_rows.emplace(name, std::move(row));
}

/// Marks the rows as erased that are missing from a full copy of the table. Returns whether there were any.
bool eraseMissingRows(TableReplica &table, const std::set<std::string> &presentNames, std::uint64_t version)
{
    std::vector<Store::Row> missing;
    for (const auto &[name, row] : table.m_rows) {
        if (!row.m_erased && !presentNames.contains(name) && row.m_version <= version) {
            missing.push_back({row.m_key, {}, version, true});
        }
    }
    for (Store::Row &row : missing) {
        replaceRow(table, std::move(row));
    }
    return !missing.empty();
}

/// Removes all but the latest erased rows if there are too many. Those of which the consumer doesn't know yet are kept for it. Linear in the number of
/// removed rows.
void compactErasedRows(TableReplica &table)
{
    if (table.m_erased.size() <= MaxErasedRows) {
        return;
    }
    const std::uint64_t dropped = std::prev(table.m_erased.end(), MaxErasedRows / 2)->first;
    table.m_compactedVersion = std::max(table.m_compactedVersion, dropped);
    while (!table.m_erased.empty() && table.m_erased.begin()->first <= dropped) {
        const std::string name = table.m_erased.begin()->second;
        if (table.m_unapplied.contains(name)) {
            table.m_droppedRows[name] = table.m_rows.at(name);
        }
        removeRow(table, name);
    }
}

/// Raises the version of the last change. Rows of a paged read may be newer than the table's version, and count when the table has reached theirs.
void recordChange(TableReplica &table, std::uint64_t version)
{
    table.m_changed = std::max(table.m_changed, std::min(version, table.m_version));
}

/// Applies rows from the store or from another host, after which the table is known up to a version. Returns whether any row or the version of the last change
/// has changed. A whole table of a later era counts as a change even without rows, so that hosts with rows of the earlier era learn that those are gone.
bool applyRows(TableReplica &table, const std::vector<Store::Row> &rows, bool isFullTable, std::uint64_t version)
{
    const bool isLaterEra = isFullTable && Store::eraOf(version) > Store::eraOf(table.m_version);
    const std::uint64_t changedBefore = table.m_changed;
    table.m_version = version;
    bool changed = isLaterEra;
    std::set<std::string> names;
    for (const Store::Row &row : rows) {
        changed = applyRow(table, row) || changed;
        recordChange(table, row.m_version);
        names.insert(row.m_key.m_name);
    }
    if (isFullTable) {
        const bool hasErased = eraseMissingRows(table, names, version);
        changed = changed || hasErased;
        if (hasErased || isLaterEra) {
            recordChange(table, version);
        }
        table.m_compactedVersion = std::max(table.m_compactedVersion, version); // Rows that this host never knew may have been erased before.
    }
    compactErasedRows(table);
    return changed || table.m_changed > changedBefore;
}

std::optional<std::string> joinParts(const PartialDelta &partial)
{
    std::string bytes;
    for (const auto &part : partial.m_parts) {
        if (!part) {
            return std::nullopt;
        }
        bytes += *part;
    }
    return bytes;
}

/// Returns the rows of a complete delta. Its first four bytes hold the size of the rest when uncompressed.
std::optional<std::vector<Store::Row>> decodeDelta(const std::string &bytes)
{
    constexpr std::size_t SizeBytes = 4;
    constexpr unsigned BitsPerByte = 8;
    if (bytes.size() < SizeBytes) {
        return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t i = 0; i < SizeBytes; ++i) {
        size = (size << BitsPerByte) | static_cast<unsigned char>(bytes[i]);
    }
    const auto packed = size <= MaxDeltaBytes ? decompressBytes(bytes.substr(SizeBytes), size) : std::nullopt;
    if (!packed) {
        return std::nullopt;
    }
    try {
        return unpackRows(*packed);
    } catch (const std::exception &) {
        return std::nullopt; // No host of this release sends such bytes.
    }
}

std::string encodeDelta(const std::string &packed)
{
    constexpr unsigned BitsPerByte = 8;
    std::string bytes;
    for (const unsigned shift : {3U, 2U, 1U, 0U}) {
        bytes += static_cast<char>((packed.size() >> (shift * BitsPerByte)) & 0xFFU);
    }
    return bytes + compressBytes(packed);
}

}

std::vector<const Store::Row *> changedSince(const TableReplica &table, std::uint64_t version)
{
    std::vector<const Store::Row *> rows;
    for (auto entry = table.m_byVersion.lower_bound({version + 1, {}}); entry != table.m_byVersion.end(); ++entry) {
        rows.push_back(&table.m_rows.at(entry->second));
    }
    return rows;
}

TableChanges takeChanges(TableReplica &table)
{
    TableChanges changes;
    for (const auto &[name, row] : std::exchange(table.m_droppedRows, {})) {
        changes.m_dropped.push_back(row);
    }
    for (const Store::Row &row : changes.m_dropped) {
        changes.m_rows.push_back(&row);
    }
    for (const std::string &name : std::exchange(table.m_unapplied, {})) {
        const auto row = table.m_rows.find(name);
        if (row != table.m_rows.end()) {
            changes.m_rows.push_back(&row->second);
        }
    }
    std::ranges::sort(changes.m_rows, {}, [](const Store::Row *row) { return std::tie(row->m_version, row->m_key.m_name); });
    return changes;
}

bool applyStoreUpdate(TableReplica &table, const Store::TableWatcher &watcher, Store::WatchOutcome outcome)
{
    const bool isOutdated = watcher.m_needsFullRead || watcher.m_version < table.m_version; // A delta from another host brought newer changes meanwhile.
    if (isOutdated || outcome == Store::WatchOutcome::Failed) {
        return false;
    }
    const bool changed = applyRows(table, watcher.m_changedRows, watcher.m_isFullRead, watcher.m_version);
    if (watcher.m_confirmedAt) {
        table.m_confirmedAt = std::max(table.m_confirmedAt.value_or(*watcher.m_confirmedAt), *watcher.m_confirmedAt);
    }
    return changed;
}

bool applyRow(TableReplica &table, const Store::Row &row)
{
    const auto known = table.m_rows.find(row.m_key.m_name);
    if (known != table.m_rows.end() && known->second.m_version >= row.m_version) {
        return false;
    }
    replaceRow(table, row);
    return true;
}

void resume(Store::TableWatcher &watcher, const TableReplica &table)
{
    if (watcher.m_isRunning || table.m_version <= watcher.m_version) {
        return;
    }
    watcher.m_version = table.m_version;
    watcher.m_needsFullRead = false;
    watcher.m_fullReadRows.clear();
}

ReplicaPosition replicaPosition(const TableReplica &table, TimePoint now)
{
    const Duration age = table.m_confirmedAt ? now - *table.m_confirmedAt : Duration(0);
    return {table.m_version, table.m_changed, age, table.m_compactedVersion, table.m_digest};
}

bool holdsSameRows(const TableReplica &table, const ReplicaPosition &remote)
{
    const bool isSameEra = Store::eraOf(remote.m_version) == Store::eraOf(table.m_version);
    return isSameEra && remote.m_version > 0 && table.m_version > 0 && remote.m_digest == table.m_digest;
}

bool needsWholeTable(const TableReplica &table, const ReplicaPosition &remote)
{
    // A host of an earlier era may have rows that this host never knew and that the store has lost.
    return Store::eraOf(remote.m_version) < Store::eraOf(table.m_version) || remote.m_version < table.m_compactedVersion;
}

void applyConfirmation(TableReplica &table, const ReplicaPosition &remote, TimePoint confirmedAt)
{
    if (!holdsSameRows(table, remote)) {
        return;
    }
    const bool mayLackErasures = table.m_version < std::max(remote.m_changed, remote.m_compactedVersion);
    table.m_version = std::max(table.m_version, remote.m_version);
    recordChange(table, remote.m_changed);
    if (mayLackErasures) { // A row may have come and gone between the two versions, and another host may still have it.
        table.m_compactedVersion = std::max(table.m_compactedVersion, remote.m_version);
    }
    table.m_confirmedAt = std::max(table.m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

std::vector<DeltaPart> deltaFor(const TableReplica &table, TableKind kind, const ReplicaPosition &remote)
{
    if (remote.m_version >= table.m_version) {
        return {};
    }
    const std::uint64_t since = needsWholeTable(table, remote) ? 0 : remote.m_version;
    std::vector<const Store::Row *> rows = changedSince(table, since);
    if (since == 0) {
        std::erase_if(rows, [](const Store::Row *row) { return row->m_erased; });
    } else if (rows.empty()) {
        return {};
    }
    const std::string packed = packRows(rows);
    if (packed.size() > MaxDeltaBytes) {
        return {};
    }
    const std::string bytes = encodeDelta(packed);
    const std::size_t count = (bytes.size() + MaxPartBytes - 1) / MaxPartBytes;
    std::vector<DeltaPart> parts;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string piece = bytes.substr(i * MaxPartBytes, MaxPartBytes);
        parts.push_back({kind, since, table.m_version, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(count), piece});
    }
    return parts;
}

bool applyDelta(TableReplica &table, const DeltaPart &part)
{
    const bool isSameEra = Store::eraOf(part.m_since) == Store::eraOf(table.m_version) && Store::eraOf(part.m_since) == Store::eraOf(part.m_version);
    const bool isApplicable = part.m_since == 0 || (isSameEra && part.m_since <= table.m_version);
    const bool isValid = part.m_count <= MaxParts && part.m_index < part.m_count;
    if (part.m_version <= table.m_version || !isApplicable || !isValid) {
        return false;
    }
    PartialDelta &partial = table.m_partialDelta;
    const bool isOtherDelta = partial.m_since != part.m_since || partial.m_version != part.m_version || partial.m_parts.size() != part.m_count;
    if (isOtherDelta) {
        partial = {part.m_since, part.m_version, std::vector<std::optional<std::string>>(part.m_count)};
    }
    partial.m_parts[part.m_index] = part.m_bytes;
    const auto bytes = joinParts(partial);
    const auto rows = bytes ? decodeDelta(*bytes) : std::nullopt;
    if (!rows) {
        return false;
    }
    partial = {};
    return applyRows(table, *rows, part.m_since == 0, part.m_version);
}

}
