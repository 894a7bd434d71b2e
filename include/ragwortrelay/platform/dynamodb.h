#pragma once

#include <ragwortrelay/platform/table.h>

#include <string>

namespace RagwortRelay::Platform {

/// HTTP form of a call to the table service.
struct TableRequest {
    std::string m_target; ///< Value of the `X-Amz-Target` header.
    std::string m_body;

    friend bool operator==(const TableRequest &, const TableRequest &) = default;
};

/// Encodes a table call in the DynamoDB JSON 1.0 protocol.
/// Precondition: the call is GetItem, QueryItems or Transact. Thread-safe.
/// Source: Amazon DynamoDB API Reference, API version 2012-08-10.
TableRequest encodeTableCall(const Call &call, const std::string &tableName);

/// Decodes the answer to a table call; anything that isn't understood becomes Unavailable. Thread-safe.
Result decodeTableAnswer(const Call &call, long httpStatus, const std::string &body);

/// Decodes a list in the JSON form of Prometheus HTTP service discovery. Thread-safe.
/// Source: Prometheus documentation, "HTTP SD".
Result decodeTargets(long httpStatus, const std::string &body);

}
