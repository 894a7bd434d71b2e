#pragma once

#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>
#include <ragwortrelay/platform/table.h>

#include <tl/expected.hpp>

#include <string>

namespace RagwortRelay::Configuration {

/// Partition of the platform's table that holds the version chain.
inline constexpr const char *Partition = "configuration";

/// Key of the item whose version is the version of the configuration.
Platform::ItemKey headKey();

/// Key of the log item of one version; sorts in the order of versions.
Platform::ItemKey logKey(std::uint64_t version);

/// Encodes a change as the body of its log item.
std::string encodeChange(const Change &change);

/// Decodes the body of a log item.
tl::expected<Change, Error> decodeChange(const std::string &body);

/// Builds the transaction that appends a change; it is refused when another change took that version.
Platform::Transact appendTransaction(const Change &change);

/// Builds the query for the log items after a version.
Platform::QueryItems changesAfter(std::uint64_t version);

}
