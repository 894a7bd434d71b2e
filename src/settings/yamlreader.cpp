#include <ragwortrelay/core/address.h>
#include <ragwortrelay/core/editdistance.h>
#include <ragwortrelay/detail/settings/yamlreader.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>

namespace RagwortRelay::Settings::detail {

namespace {

/// Formats a quantity in the largest unit that gives a whole number.
std::string formatQuantity(double amount, const std::map<std::string, double> &units)
{
    std::string text;
    double largest = 0.0;
    for (const auto &[name, size] : units) {
        if (size > largest && std::fmod(amount, size) == 0.0) {
            largest = size;
            text = std::to_string(static_cast<std::uint64_t>(amount / size)) + name;
        }
    }
    return text;
}

/// Formats a number in the shortest form that reads back as the same value.
std::string formatNumber(double number)
{
    std::array<char, 32> text{};
    const auto [end, code] = std::to_chars(text.data(), text.data() + text.size(), number);
    return {text.data(), end};
}

}

YamlReader::YamlReader(const YAML::Node &node, std::string fileName, std::string path, Findings &findings)
    : m_node(node), m_fileName(std::move(fileName)), m_path(std::move(path)), m_findings(findings)
{
}

void YamlReader::report(const YAML::Mark &mark, ErrorId id, const std::string &message)
{
    const bool hasPosition = mark.line >= 0 && mark.column >= 0;
    const std::uint32_t line = hasPosition ? static_cast<std::uint32_t>(mark.line) + 1 : 1;
    const std::uint32_t column = hasPosition ? static_cast<std::uint32_t>(mark.column) + 1 : 1;
    m_findings.push_back({{m_fileName, line, column}, id, message});
}

YamlReader YamlReader::section(const std::string &key, Presence presence)
{
    m_knownKeys.insert(key);
    const std::string path = m_path.empty() ? key : m_path + '.' + key;
    const YAML::Node value = m_node.IsMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
    if (value.IsDefined() && value.IsMap()) {
        return {value, m_fileName, path, m_findings};
    }
    if (value.IsDefined() && !value.IsNull()) {
        report(value.Mark(), ErrorId::SettingsWrongType, "'" + path + "' must be a mapping");
    } else if (presence == Presence::Required) {
        report(m_node.Mark(), ErrorId::SettingsMissingKey, "section '" + path + "' is missing");
    }
    return {YAML::Node(YAML::NodeType::Null), m_fileName, path, m_findings};
}

std::optional<YAML::Node> YamlReader::scalar(const std::string &key, Presence presence)
{
    m_knownKeys.insert(key);
    const YAML::Node value = m_node.IsMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
    const bool isPresent = value.IsDefined() && !value.IsNull();
    if (isPresent && !value.IsScalar()) {
        report(value.Mark(), ErrorId::SettingsWrongType, "'" + m_path + '.' + key + "' must be a single value");
        return std::nullopt;
    }
    if (!isPresent) {
        // A missing section has its own finding, so its missing keys are not reported.
        if (presence == Presence::Required && m_node.IsMap()) {
            report(m_node.Mark(), ErrorId::SettingsMissingKey, "'" + m_path + '.' + key + "' is missing");
        }
        return std::nullopt;
    }
    return value;
}

std::string YamlReader::text(const std::string &key, Presence presence, const std::string &fallback)
{
    const auto value = scalar(key, presence);
    return value ? value->Scalar() : fallback;
}

std::string YamlReader::choice(const std::string &key, const std::vector<std::string> &allowed, const std::string &fallback)
{
    const auto value = scalar(key, Presence::Optional);
    if (!value) {
        return fallback;
    }
    if (std::find(allowed.begin(), allowed.end(), value->Scalar()) != allowed.end()) {
        return value->Scalar();
    }
    std::string list;
    for (const std::string &name : allowed) {
        list += (list.empty() ? "" : ", ") + name;
    }
    report(value->Mark(), ErrorId::SettingsOutOfRange, "'" + value->Scalar() + "' is none of: " + list);
    return fallback;
}

std::string YamlReader::address(const std::string &key, Presence presence)
{
    const auto value = scalar(key, presence);
    if (!value) {
        return {};
    }
    if (!isAddress(value->Scalar())) {
        report(value->Mark(), ErrorId::SettingsBadAddress, "'" + value->Scalar() + "' is not of the form IP:PORT");
        return {};
    }
    return value->Scalar();
}

std::vector<std::string> YamlReader::addresses(const std::string &key)
{
    m_knownKeys.insert(key);
    const YAML::Node value = m_node.IsMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
    std::vector<std::string> addresses;
    if (!value.IsDefined() || value.IsNull()) {
        return addresses;
    }
    if (!value.IsSequence()) {
        report(value.Mark(), ErrorId::SettingsWrongType, "'" + m_path + '.' + key + "' must be a list");
        return addresses;
    }
    for (const YAML::Node &element : value) {
        if (!element.IsScalar() || !isAddress(element.Scalar())) {
            const std::string text = element.IsScalar() ? "'" + element.Scalar() + "'" : "the element";
            report(element.Mark(), ErrorId::SettingsBadAddress, text + " is not of the form IP:PORT");
            continue;
        }
        addresses.push_back(element.Scalar());
    }
    return addresses;
}

std::string YamlReader::file(const std::string &key, Presence presence)
{
    const auto value = scalar(key, presence);
    if (!value) {
        return {};
    }
    const std::filesystem::path path = std::filesystem::path(m_fileName).parent_path() / value->Scalar();
    if (!std::ifstream(path) || std::filesystem::is_directory(path)) {
        report(value->Mark(), ErrorId::SettingsMissingFile, "the file '" + path.string() + "' can't be read");
        return {};
    }
    return path.string();
}

std::uint64_t YamlReader::integer(const std::string &key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max)
{
    const auto value = scalar(key, Presence::Optional);
    if (!value) {
        return fallback;
    }
    const std::string &text = value->Scalar();
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code == std::errc::invalid_argument || end != text.data() + text.size()) {
        report(value->Mark(), ErrorId::SettingsWrongType, "'" + m_path + '.' + key + "' must be a whole number");
        return fallback;
    }
    if (code != std::errc() || number < min || number > max) {
        report(value->Mark(), ErrorId::SettingsOutOfRange, "'" + text + "' is out of the range " + std::to_string(min) + " to " + std::to_string(max));
        return fallback;
    }
    return number;
}

double YamlReader::number(const std::string &key, double fallback, double min, double max)
{
    const auto value = scalar(key, Presence::Optional);
    if (!value) {
        return fallback;
    }
    const std::string &text = value->Scalar();
    double number = 0.0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size()) {
        report(value->Mark(), ErrorId::SettingsWrongType, "'" + m_path + '.' + key + "' must be a number");
        return fallback;
    }
    if (!(number >= min && number <= max)) {
        report(value->Mark(), ErrorId::SettingsOutOfRange, "'" + text + "' is out of the range " + formatNumber(min) + " to " + formatNumber(max));
        return fallback;
    }
    return number;
}

bool YamlReader::has(const std::string &key) const
{
    return m_node.IsMap() && m_node[key].IsDefined() && !m_node[key].IsNull();
}

void YamlReader::reportAt(const std::string &key, ErrorId id, const std::string &message)
{
    const YAML::Node value = m_node.IsMap() ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
    report(value.IsDefined() ? value.Mark() : m_node.Mark(), id, message);
}

std::optional<YamlReader::Quantity> YamlReader::parseQuantity(const YAML::Node &value, const std::string &key, const std::string &example)
{
    const std::string &text = value.Scalar();
    Quantity quantity;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), quantity.m_number);
    if (code != std::errc()) {
        report(value.Mark(), ErrorId::SettingsWrongType, "'" + m_path + '.' + key + "' must be a number with a unit, such as " + example);
        return std::nullopt;
    }
    quantity.m_unit = std::string(end, text.data() + text.size());
    return quantity;
}

Duration YamlReader::duration(const std::string &key, Duration fallback, Duration min, Duration max)
{
    static const std::map<std::string, double> microsecondsOfUnit{{"us", 1.0}, {"ms", 1e3}, {"s", 1e6}, {"min", 6e7}, {"h", 3.6e9}};
    const auto value = scalar(key, Presence::Optional);
    const auto parsed = value ? parseQuantity(*value, key, "250ms") : std::nullopt;
    if (!parsed) {
        return fallback;
    }
    const auto unit = microsecondsOfUnit.find(parsed->m_unit);
    if (unit == microsecondsOfUnit.end()) {
        report(value->Mark(), ErrorId::SettingsBadUnit, "'" + value->Scalar() + "' has no unit of time; use us, ms, s, min or h");
        return fallback;
    }
    const double microseconds = parsed->m_number * unit->second;
    if (!(microseconds >= static_cast<double>(min.count()) && microseconds <= static_cast<double>(max.count()))) {
        const std::string range = formatQuantity(static_cast<double>(min.count()), microsecondsOfUnit) + " to "
            + formatQuantity(static_cast<double>(max.count()), microsecondsOfUnit);
        report(value->Mark(), ErrorId::SettingsOutOfRange, "'" + value->Scalar() + "' is out of the range " + range);
        return fallback;
    }
    return Duration(static_cast<std::int64_t>(microseconds));
}

std::uint64_t YamlReader::byteSize(const std::string &key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max)
{
    static const std::map<std::string, double> bytesOfUnit{{"B", 1.0}, {"KiB", 1024.0}, {"MiB", 1048576.0}, {"GiB", 1073741824.0}};
    const auto value = scalar(key, Presence::Optional);
    const auto parsed = value ? parseQuantity(*value, key, "64KiB") : std::nullopt;
    if (!parsed) {
        return fallback;
    }
    const auto unit = bytesOfUnit.find(parsed->m_unit);
    if (unit == bytesOfUnit.end()) {
        report(value->Mark(), ErrorId::SettingsBadUnit, "'" + value->Scalar() + "' has no unit of size; use B, KiB, MiB or GiB");
        return fallback;
    }
    const double bytes = parsed->m_number * unit->second;
    if (!(bytes >= static_cast<double>(min) && bytes <= static_cast<double>(max))) {
        const std::string range = formatQuantity(static_cast<double>(min), bytesOfUnit) + " to " + formatQuantity(static_cast<double>(max), bytesOfUnit);
        report(value->Mark(), ErrorId::SettingsOutOfRange, "'" + value->Scalar() + "' is out of the range " + range);
        return fallback;
    }
    return static_cast<std::uint64_t>(bytes);
}

void YamlReader::reportUnknownKeys()
{
    if (!m_node.IsMap()) {
        return;
    }
    std::set<std::string> seenKeys;
    for (const auto &entry : m_node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        if (!seenKeys.insert(key).second) {
            report(entry.first.Mark(), ErrorId::SettingsUnknownKey, "key '" + key + "' appears more than once");
        }
        if (m_knownKeys.contains(key)) {
            continue;
        }
        const std::string nearest = nearestText(key, m_knownKeys);
        const std::string suggestion = nearest.empty() ? "" : "; did you mean '" + nearest + "'?";
        report(entry.first.Mark(), ErrorId::SettingsUnknownKey, "unknown key '" + key + "'" + suggestion);
    }
}

}
