#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/address.h>
#include <ragwortrelay/core/editdistance.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>

namespace RagwortRelay::Configuration {

namespace {

/// Reads typed cells of one row and collects findings about invalid ones.
class CellReader
{
public:
    CellReader(const Row &row, Findings &findings) : m_row(row), m_findings(findings), m_initialFindingCount(findings.size())
    {
    }

    [[nodiscard]] std::string text(const std::string &column, const std::string &fallback = {})
    {
        m_columns.insert(column);
        const auto cell = m_row.m_cells.find(column);
        return cell == m_row.m_cells.end() || cell->second.empty() ? fallback : cell->second;
    }

    [[nodiscard]] std::string required(const std::string &column)
    {
        std::string value = text(column);
        if (value.empty()) {
            report(column, "must not be empty");
        }
        return value;
    }

    [[nodiscard]] std::string address(const std::string &column)
    {
        std::string value = required(column);
        if (!value.empty() && !isRemoteAddress(value)) {
            report(column, "'" + value + "' is not of the form IP:PORT");
        }
        return value;
    }

    [[nodiscard]] double number(const std::string &column, double fallback, double minimum, double maximum)
    {
        const std::string value = text(column);
        if (value.empty()) {
            return fallback;
        }
        double result = 0.0;
        const auto [end, code] = std::from_chars(value.data(), value.data() + value.size(), result);
        if (code != std::errc() || end != value.data() + value.size()) {
            report(column, "'" + value + "' is not a number");
            return fallback;
        }
        if (!(result >= minimum && result <= maximum)) {
            report(column, "'" + value + "' is out of range");
            return fallback;
        }
        return result;
    }

    [[nodiscard]] bool flag(const std::string &column, bool fallback)
    {
        const std::string value = text(column);
        if (value.empty()) {
            return fallback;
        }
        if (value != "yes" && value != "no") {
            report(column, "'" + value + "' is neither yes nor no");
        }
        return value == "yes";
    }

    [[nodiscard]] Duration milliseconds(const std::string &column, Duration fallback)
    {
        constexpr double MaxMilliseconds = 3'600'000.0;
        const double fallbackMilliseconds = std::chrono::duration<double, std::milli>(fallback).count();
        const double value = number(column, fallbackMilliseconds, 1.0, MaxMilliseconds);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
    }

    [[nodiscard]] bool hasNoFindings() const
    {
        return m_findings.size() == m_initialFindingCount;
    }

    /// Reports every cell whose column no call has read. Precondition: all other cells were read.
    /// The row is kept, so that hosts of an older release don't lose a row with a newer column.
    void reportUnknownColumns()
    {
        for (const auto &[column, value] : m_row.m_cells) {
            if (!m_columns.contains(column)) {
                const std::string place = toString(m_row.m_key.m_kind) + '/' + m_row.m_key.m_name;
                m_findings.push_back({{place, 0, 0}, ErrorId::TableUnknownColumn, unknownColumn(column, m_columns)});
            }
        }
    }

    /// Returns the columns that were read so far.
    [[nodiscard]] const std::set<std::string> &columns() const
    {
        return m_columns;
    }

    void report(const std::string &column, const std::string &message)
    {
        const std::string place = toString(m_row.m_key.m_kind) + '/' + m_row.m_key.m_name;
        m_findings.push_back({{place, 0, 0}, ErrorId::TableBadCell, "column " + column + ": " + message});
    }

private:
    const Row &m_row;
    Findings &m_findings;
    std::size_t m_initialFindingCount;
    std::set<std::string> m_columns;
};

void addService(Catalogue &catalogue, const Row &row, CellReader &cells)
{
    Service service;
    service.m_id = ServiceId(row.m_key.m_name);
    if (!cells.text("floor").empty()) {
        service.m_floor = cells.number("floor", 0.0, 0.0, 1.0);
    }
    service.m_objective = cells.number("objective", service.m_objective, 0.0, 0.999999);
    service.m_latencyObjective = cells.milliseconds("latency_ms", service.m_latencyObjective);
    service.m_detectFailures = cells.number("detect_failures", service.m_detectFailures, 0.0, 1.0);
    service.m_detectAfter = cells.milliseconds("detect_after_ms", service.m_detectAfter);
    if (cells.hasNoFindings()) {
        catalogue.m_services[service.m_id] = service;
    }
}

void addServer(Catalogue &catalogue, const Row &row, CellReader &cells)
{
    constexpr double MaxSlots = 10'000.0;
    constexpr double MaxWeight = 1'000.0;
    Server server;
    server.m_id = ServerId(row.m_key.m_name);
    server.m_service = ServiceId(cells.required("service"));
    server.m_address = cells.address("address");
    server.m_domain = FailureDomainId(cells.required("domain"));
    server.m_weight = cells.number("weight", 1.0, 0.0, MaxWeight);
    server.m_slots = static_cast<std::uint32_t>(cells.number("slots", 1.0, 1.0, MaxSlots));
    server.m_use = cells.flag("leaving", false) ? ServerUse::Draining : ServerUse::Active;
    if (cells.hasNoFindings()) {
        std::vector<ServerId> &servers = catalogue.m_serversOf[server.m_service];
        servers.insert(std::upper_bound(servers.begin(), servers.end(), server.m_id), server.m_id);
        catalogue.m_servers[server.m_id] = server;
    }
}

void addRoute(Catalogue &catalogue, const Row &row, CellReader &cells)
{
    Route route;
    route.m_name = row.m_key.m_name;
    route.m_method = cells.text("method");
    route.m_pathPrefix = cells.required("path");
    route.m_service = ServiceId(cells.required("service"));
    route.m_shares = {{route.m_service, 1.0}};
    route.m_host = cells.text("host");
    route.m_idempotent = cells.flag("idempotent", true);
    route.m_allowsAnonymous = cells.flag("open", false);
    route.m_deadline = cells.milliseconds("deadline_ms", route.m_deadline);
    if (cells.hasNoFindings()) {
        catalogue.m_routes.push_back(route);
    }
}

void addWorkspace(Catalogue &catalogue, const Row &row, CellReader &cells)
{
    constexpr double MaxRate = 1'000'000.0;
    Workspace workspace;
    workspace.m_id = WorkspaceId(row.m_key.m_name);
    workspace.m_rate = static_cast<std::uint32_t>(cells.number("rate", workspace.m_rate, 0.0, MaxRate));
    workspace.m_burst = static_cast<std::uint32_t>(cells.number("burst", workspace.m_burst, 0.0, MaxRate));
    workspace.m_weight = cells.number("weight", 1.0, 0.001, 1'000.0);
    if (cells.hasNoFindings()) {
        catalogue.m_workspaces[workspace.m_id] = workspace;
    }
}

void addKey(Catalogue &catalogue, const Row &row, CellReader &cells)
{
    Key key;
    key.m_id = KeyId(row.m_key.m_name);
    key.m_workspace = WorkspaceId(cells.required("workspace"));
    key.m_salt = cells.required("salt");
    key.m_digest = cells.required("digest");
    key.m_withdrawn = cells.flag("withdrawn", false);
    if (cells.hasNoFindings()) {
        catalogue.m_keys[key.m_id] = key;
    }
}

void addRow(Catalogue &catalogue, const Row &row, CellReader &cells)
{
    switch (row.m_key.m_kind) {
    case RowKind::Service:
        return addService(catalogue, row, cells);
    case RowKind::Server:
        return addServer(catalogue, row, cells);
    case RowKind::Route:
        return addRoute(catalogue, row, cells);
    case RowKind::Workspace:
        return addWorkspace(catalogue, row, cells);
    case RowKind::Key:
        return addKey(catalogue, row, cells);
    case RowKind::Evacuation: // Hosts apply it whatever its cells are.
        static_cast<void>(cells.text("reason"));
        return;
    }
}

/// Tells whether a byte is an unreserved character of a URI. Source: RFC 3986, section 2.3.
bool isUnreserved(unsigned byte)
{
    const auto character = static_cast<char>(byte);
    return byte < 0x80 && (std::isalnum(static_cast<int>(byte)) != 0 || std::string_view("-._~").find(character) != std::string_view::npos);
}

/// Decodes escaped unreserved characters, so that no alternative spelling of a path bypasses a route.
std::string decodeUnreservedEscapes(const std::string &path)
{
    constexpr int HexadecimalBase = 16;
    std::string decodedPath;
    for (std::size_t i = 0; i < path.size(); ++i) {
        unsigned byte = 0;
        const char *digits = path.data() + i + 1;
        const bool isEscape = path[i] == '%' && i + 2 < path.size() && std::from_chars(digits, digits + 2, byte, HexadecimalBase).ptr == digits + 2;
        if (isEscape && isUnreserved(byte)) {
            decodedPath += static_cast<char>(byte);
            i += 2;
        } else {
            decodedPath += path[i];
        }
    }
    return decodedPath;
}

bool isMatchedBefore(const Route &left, const Route &right)
{
    const std::size_t leftSize = left.m_pathPrefix.size();
    const std::size_t rightSize = right.m_pathPrefix.size();
    return leftSize != rightSize ? leftSize > rightSize : left.m_name < right.m_name;
}

void removeServer(Catalogue &catalogue, const ServerId &id)
{
    const auto server = catalogue.m_servers.find(id);
    if (server == catalogue.m_servers.end()) {
        return;
    }
    const auto servers = catalogue.m_serversOf.find(server->second.m_service);
    std::erase(servers->second, id);
    if (servers->second.empty()) {
        catalogue.m_serversOf.erase(servers);
    }
    catalogue.m_servers.erase(server);
}

void removeRow(Catalogue &catalogue, const RowKey &key)
{
    switch (key.m_kind) {
    case RowKind::Service:
        catalogue.m_services.erase(ServiceId(key.m_name));
        return;
    case RowKind::Server:
        return removeServer(catalogue, ServerId(key.m_name));
    case RowKind::Route:
        std::erase_if(catalogue.m_routes, [&](const Route &route) { return route.m_name == key.m_name; });
        return;
    case RowKind::Workspace:
        catalogue.m_workspaces.erase(WorkspaceId(key.m_name));
        return;
    case RowKind::Key:
        catalogue.m_keys.erase(KeyId(key.m_name));
        return;
    case RowKind::Evacuation:
        return;
    }
}

}

Catalogue buildCatalogue(const Table &table, Findings &findings)
{
    Catalogue catalogue;
    catalogue.m_version = table.m_version;
    for (const auto &[key, row] : table.m_rows) {
        if (!row.m_erased) {
            CellReader cells(row, findings);
            addRow(catalogue, row, cells);
            cells.reportUnknownColumns();
        }
    }
    sortRoutes(catalogue.m_routes);
    return catalogue;
}

void updateCatalogue(Catalogue &catalogue, const Change &change)
{
    Findings findings;
    const bool writesRoutes = std::any_of(change.m_rows.begin(), change.m_rows.end(), [](const Row &row) { return row.m_key.m_kind == RowKind::Route; });
    for (const Row &row : change.m_rows) {
        removeRow(catalogue, row.m_key);
        if (!row.m_erased) {
            CellReader cells(row, findings);
            addRow(catalogue, row, cells);
        }
    }
    if (writesRoutes) {
        sortRoutes(catalogue.m_routes);
    }
    catalogue.m_version = change.m_version;
}

void sortRoutes(std::vector<Route> &routes)
{
    std::sort(routes.begin(), routes.end(), isMatchedBefore);
}

std::set<std::string> columnsOf(RowKind kind)
{
    const Row row{{kind, "name"}, 0, {}, false};
    Findings findings;
    Catalogue catalogue;
    CellReader cells(row, findings);
    addRow(catalogue, row, cells);
    return cells.columns();
}

std::string unknownColumn(const std::string &column, const std::set<std::string> &columns)
{
    const std::string nearest = nearestText(column, columns);
    return "unknown column '" + column + "'" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?");
}

const Route *findRoute(const Catalogue &catalogue, const std::string &host, const std::string &method, const std::string &path)
{
    const std::string decodedPath = decodeUnreservedEscapes(path);
    for (const Route &route : catalogue.m_routes) {
        const bool hostMatches = route.m_host.empty() || route.m_host == host;
        const bool methodMatches = route.m_method.empty() || route.m_method == method;
        if (hostMatches && methodMatches && decodedPath.starts_with(route.m_pathPrefix)) {
            return &route;
        }
    }
    return nullptr;
}

const Route *findRoute(const Catalogue &catalogue, const std::string &method, const std::string &path)
{
    for (const Route &route : catalogue.m_routes) {
        const bool methodMatches = route.m_method.empty() || route.m_method == method;
        if (methodMatches && path.starts_with(route.m_pathPrefix)) {
            return &route;
        }
    }
    return nullptr;
}

}
