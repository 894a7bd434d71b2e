#include "rows.h"

#include <algorithm>

namespace StandIn {

std::uint64_t Rows::versionOf(const RowName &name) const
{
    const auto row = m_rows.find(name);
    return row == m_rows.end() || row->second.m_isDeleted ? 0 : row->second.m_version;
}

bool Rows::holds(const std::vector<Condition> &conditions) const
{
    return std::ranges::all_of(conditions, [this](const Condition &condition) { return versionOf(condition.m_name) == condition.m_version; });
}

std::uint64_t Rows::apply(const std::vector<std::pair<RowName, std::string>> &writes, const std::vector<RowName> &deletions)
{
    ++m_version;
    for (const auto &[name, value] : writes) {
        set(name, value, false);
    }
    for (const RowName &name : deletions) {
        set(name, {}, true);
    }
    return m_version;
}

void Rows::set(const RowName &name, const std::string &value, bool isDeleted)
{
    auto &namesByVersion = m_namesByVersion[std::get<0>(name)];
    StoredRow &row = m_rows[name];
    namesByVersion.erase({row.m_version, name});
    namesByVersion.emplace(m_version, name);
    row = {name, value, m_version, isDeleted};
}

std::optional<StoredRow> Rows::find(const RowName &name) const
{
    const auto row = m_rows.find(name);
    return row == m_rows.end() || row->second.m_isDeleted ? std::nullopt : std::optional(row->second);
}

std::vector<StoredRow>
Rows::range(const std::string &table, const std::string &part, const std::string &from, const std::string &below, std::size_t limit) const
{
    std::vector<StoredRow> rows;
    for (auto row = m_rows.lower_bound({table, part, from}); row != m_rows.end() && rows.size() < limit; ++row) {
        const auto &[rowTable, rowPart, key] = row->first;
        if (rowTable != table || rowPart != part || (!below.empty() && key >= below)) {
            break;
        }
        if (!row->second.m_isDeleted) {
            rows.push_back(row->second);
        }
    }
    return rows;
}

std::optional<std::vector<StoredRow>> Rows::changes(const std::string &table, std::uint64_t after) const
{
    if (after < m_discardedVersion) {
        return std::nullopt;
    }
    std::vector<StoredRow> rows;
    const auto namesByVersion = m_namesByVersion.find(table);
    if (namesByVersion != m_namesByVersion.end()) {
        for (auto changed = namesByVersion->second.lower_bound({after + 1, {}}); changed != namesByVersion->second.end(); ++changed) {
            rows.push_back(m_rows.at(changed->second));
        }
    }
    return rows;
}

std::set<std::string> Rows::partsOf(const std::string &table) const
{
    std::set<std::string> parts;
    for (const auto &[name, row] : m_rows) {
        if (std::get<0>(name) == table && !row.m_isDeleted) {
            parts.insert(std::get<1>(name));
        }
    }
    return parts;
}

void Rows::discardHistory()
{
    m_discardedVersion = m_version;
}

std::uint64_t Rows::version() const
{
    return m_version;
}

}
