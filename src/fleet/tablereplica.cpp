#include <ragwortrelay/fleet/tablereplica.h>

#include <nlohmann/json.hpp>
#include <zlib.h>

#include <algorithm>

namespace RagwortRelay::Fleet {

namespace {

/// Bytes of one part; with the rest of the datagram below what passes any network in one piece.
constexpr std::size_t PartBytes = 1100;

/// Bytes of one table's changes when they are unpacked; more are read from the store.
constexpr std::size_t MaxDeltaPartBytes = 4U << 20U;

/// Erased rows that are remembered.
constexpr std::size_t MostErased = 512;

std::string compressed(const std::string &bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string result(size, '\0');
    const auto *input = reinterpret_cast<const Bytef *>(bytes.data());
    compress2(reinterpret_cast<Bytef *>(result.data()), &size, input, bytes.size(), Z_BEST_SPEED);
    result.resize(size);
    return result;
}

std::optional<std::string> decompressed(const std::string &bytes, std::size_t size)
{
    std::string result(size, '\0');
    uLongf written = size;
    const auto *input = reinterpret_cast<const Bytef *>(bytes.data());
    const int code = uncompress(reinterpret_cast<Bytef *>(result.data()), &written, input, bytes.size());
    return code == Z_OK && written == size ? std::optional(result) : std::nullopt;
}

/// Rows of a table on their way to another host: name, version, value; an erased one has no value.
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

void put(TableReplica &table, Store::Row row)
{
    const std::string name = row.m_key.m_name;
    Store::Row &known = table.m_rows[name];
    table.m_byVersion.erase({known.m_version, name});
    table.m_erased.erase({known.m_version, name});
    table.m_byVersion.emplace(row.m_version, name);
    if (row.m_erased) {
        table.m_erased.emplace(row.m_version, name);
    }
    table.m_changed = std::max(table.m_changed, row.m_version);
    known = std::move(row);
}

/// Marks the rows as erased that a whole table doesn't have.
bool eraseOthers(TableReplica &table, const std::set<std::string> &whole, std::uint64_t version)
{
    std::vector<Store::Row> gone;
    for (const auto &[name, row] : table.m_rows) {
        if (!row.m_erased && !whole.contains(name) && row.m_version <= version) {
            gone.push_back({row.m_key, {}, version, true});
        }
    }
    for (Store::Row &row : gone) {
        put(table, std::move(row));
    }
    return !gone.empty();
}

/// Forgets the older half of the erased rows when there are too many. Linear in what is forgotten.
void forgetErased(TableReplica &table)
{
    if (table.m_erased.size() <= MostErased) {
        return;
    }
    table.m_forgotten = std::next(table.m_erased.begin(), MostErased / 2)->first;
    while (!table.m_erased.empty() && table.m_erased.begin()->first <= table.m_forgotten) {
        const auto oldest = table.m_erased.begin();
        table.m_byVersion.erase(*oldest);
        table.m_rows.erase(oldest->second);
        table.m_erased.erase(oldest);
    }
}

/// Takes in rows that were read or told. Returns whether any is new.
bool applyRows(TableReplica &table, const std::vector<Store::Row> &rows, bool isWhole, std::uint64_t version)
{
    bool changed = false;
    std::set<std::string> names;
    for (const Store::Row &row : rows) {
        changed = applyRow(table, row) || changed;
        names.insert(row.m_key.m_name);
    }
    return (isWhole && eraseOthers(table, names, version)) || changed;
}

std::optional<std::string> joined(const PartialDelta &partial)
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

/// Returns the rows in a complete set of parts; the first four bytes tell the size of the rest when unpacked.
std::optional<std::vector<Store::Row>> rowsIn(const std::string &bytes)
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
    const auto plain = size <= MaxDeltaPartBytes ? decompressed(bytes.substr(SizeBytes), size) : std::nullopt;
    if (!plain) {
        return std::nullopt;
    }
    try {
        return unpackRows(*plain);
    } catch (const std::exception &) {
        return std::nullopt; // Not what a host of this release sends.
    }
}

std::string withSize(const std::string &plain)
{
    constexpr unsigned BitsPerByte = 8;
    std::string bytes;
    for (const unsigned shift : {3U, 2U, 1U, 0U}) {
        bytes += static_cast<char>((plain.size() >> (shift * BitsPerByte)) & 0xFFU);
    }
    return bytes + compressed(plain);
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

bool applyStoreUpdate(TableReplica &table, const Store::TableWatcher &watcher, Store::WatchOutcome outcome)
{
    const bool isOld = watcher.m_mustRead || watcher.m_version < table.m_version; // Another host told of newer changes meanwhile.
    if (isOld || outcome == Store::WatchOutcome::Failed) {
        return false;
    }
    const bool changed = applyRows(table, watcher.m_changedRows, watcher.m_isFullRead, watcher.m_version);
    table.m_version = watcher.m_version;
    if (watcher.m_confirmedAt) {
        table.m_confirmedAt = std::max(table.m_confirmedAt.value_or(*watcher.m_confirmedAt), *watcher.m_confirmedAt);
    }
    forgetErased(table);
    return changed;
}

bool applyRow(TableReplica &table, const Store::Row &row)
{
    const auto known = table.m_rows.find(row.m_key.m_name);
    if (known != table.m_rows.end() && known->second.m_version >= row.m_version) {
        return false;
    }
    put(table, row);
    return true;
}

void resume(Store::TableWatcher &watcher, const TableReplica &table)
{
    if (watcher.m_isRunning || table.m_version <= watcher.m_version) {
        return;
    }
    watcher.m_version = table.m_version;
    watcher.m_mustRead = false;
    watcher.m_reading.clear();
}

ReplicaPosition replicaPosition(const TableReplica &table, TimePoint now)
{
    return {table.m_version, table.m_changed, table.m_confirmedAt ? now - *table.m_confirmedAt : Duration(0)};
}

void applyConfirmation(TableReplica &table, const ReplicaPosition &theirs, TimePoint confirmedAt)
{
    const bool isSameState = theirs.m_version > 0 && table.m_version >= theirs.m_changed && table.m_version > 0;
    if (!isSameState) {
        return;
    }
    table.m_version = std::max(table.m_version, theirs.m_version);
    table.m_confirmedAt = std::max(table.m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

std::vector<DeltaPart> deltaFor(const TableReplica &table, TableKind kind, const ReplicaPosition &theirs)
{
    if (table.m_version == 0 || theirs.m_version >= table.m_changed) {
        return {};
    }
    const std::uint64_t since = theirs.m_version < table.m_forgotten ? 0 : theirs.m_version;
    std::vector<const Store::Row *> rows = changedSince(table, since);
    if (since == 0) {
        std::erase_if(rows, [](const Store::Row *row) { return row->m_erased; });
    }
    const std::string plain = packRows(rows);
    if (plain.size() > MaxDeltaPartBytes) {
        return {};
    }
    const std::string bytes = withSize(plain);
    const std::size_t count = (bytes.size() + PartBytes - 1) / PartBytes;
    std::vector<DeltaPart> parts;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string piece = bytes.substr(i * PartBytes, PartBytes);
        parts.push_back({kind, since, table.m_version, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(count), piece});
    }
    return parts;
}

bool applyDelta(TableReplica &table, const DeltaPart &part)
{
    const bool follows = part.m_since == 0 || part.m_since <= table.m_version;
    if (part.m_version <= table.m_version || !follows || part.m_index >= part.m_count) {
        return false;
    }
    PartialDelta &partial = table.m_partial;
    const bool isOther = partial.m_since != part.m_since || partial.m_version != part.m_version || partial.m_parts.size() != part.m_count;
    if (isOther) {
        partial = {part.m_since, part.m_version, std::vector<std::optional<std::string>>(part.m_count)};
    }
    partial.m_parts[part.m_index] = part.m_bytes;
    const auto bytes = joined(partial);
    const auto rows = bytes ? rowsIn(*bytes) : std::nullopt;
    if (!rows) {
        return false;
    }
    partial = {};
    const bool changed = applyRows(table, *rows, part.m_since == 0, part.m_version);
    table.m_version = part.m_version;
    forgetErased(table);
    return changed;
}

}
