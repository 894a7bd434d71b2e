#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/time.h>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace RagwortRelay::Settings::detail {

/// Whether a key must be present.
enum class Presence : std::uint8_t {
    Required,
    Optional,
};

/// Reads one mapping of a YAML file and collects findings. Not thread-safe.
///
/// A value that is missing or invalid is replaced by the fallback; if it is invalid or was required, a finding is added.
/// The findings must outlive the reader.
class YamlReader
{
public:
    YamlReader(const YAML::Node &node, std::string fileName, std::string path, Findings &findings);

    /// Returns a reader of the mapping at a key; the reader has no keys if there is no such mapping.
    [[nodiscard]] YamlReader section(const std::string &key, Presence presence);

    /// Returns a string, or `fallback`.
    [[nodiscard]] std::string text(const std::string &key, Presence presence, const std::string &fallback = {});

    /// Returns one of the allowed strings, or `fallback`.
    [[nodiscard]] std::string choice(const std::string &key, const std::vector<std::string> &allowed, const std::string &fallback);

    /// Returns an address of the form `IP:PORT`; empty if there is none.
    [[nodiscard]] std::string address(const std::string &key, Presence presence);

    /// Returns a list of addresses of the form `IP:PORT`; empty if there is none.
    [[nodiscard]] std::vector<std::string> addresses(const std::string &key);

    /// Returns the path of a readable file, resolved against the folder of the settings file; empty if there is none.
    [[nodiscard]] std::string file(const std::string &key, Presence presence);

    /// Returns a whole number within [min, max].
    [[nodiscard]] std::uint64_t integer(const std::string &key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max);

    /// Returns a number within [min, max] that may have a fractional part.
    [[nodiscard]] double number(const std::string &key, double fallback, double min, double max);

    /// Returns whether a key has a value.
    [[nodiscard]] bool has(const std::string &key) const;

    /// Adds a finding at the value of a key, or at the section if the key is absent.
    void reportAt(const std::string &key, ErrorId id, const std::string &message);

    /// Returns a duration such as `250ms` within [min, max].
    [[nodiscard]] Duration duration(const std::string &key, Duration fallback, Duration min, Duration max);

    /// Returns the number of bytes of a byteSize such as `64KiB`, within [min, max].
    [[nodiscard]] std::uint64_t byteSize(const std::string &key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max);

    /// Adds a finding for each duplicate key and for each key that no call has read.
    ///
    /// Precondition: all keys of the mapping have been read.
    void reportUnknownKeys();

private:
    /// Number with its unit.
    struct Quantity {
        double m_number = 0.0;
        std::string m_unit; ///< Text after the number; may be empty.
    };

    void report(const YAML::Mark &mark, ErrorId id, const std::string &message);
    [[nodiscard]] std::optional<YAML::Node> scalar(const std::string &key, Presence presence);
    [[nodiscard]] std::optional<Quantity> parseQuantity(const YAML::Node &value, const std::string &key, const std::string &example);

    YAML::Node m_node;
    std::string m_fileName;
    std::string m_path; ///< Keys that lead to the mapping, joined by dots; empty for the root.
    Findings &m_findings;
    std::set<std::string> m_knownKeys; ///< Keys that have been read.
};

}
