#pragma once

#include <ragwortrelay/configuration/row.h>

#include <cstdint>
#include <map>
#include <vector>

namespace RagwortRelay::Configuration {

/// All rows of the operators' table at one version.
struct Table {
    std::uint64_t m_version = 0;
    std::map<RowKey, Row> m_rows;

    friend bool operator==(const Table &, const Table &) = default;
};

/// One accepted edit, with the rows that it wrote and the version that it made.
struct Change {
    std::uint64_t m_version = 0;
    std::string m_changeId;
    std::string m_author;
    std::vector<Row> m_rows;

    friend bool operator==(const Change &, const Change &) = default;
};

}
