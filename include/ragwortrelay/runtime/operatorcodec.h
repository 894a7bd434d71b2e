#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/node/action.h>
#include <ragwortrelay/node/event.h>

#include <tl/expected.hpp>

#include <string>

namespace RagwortRelay::Runtime {

/// Path of the metrics in the Prometheus text format, which need no token.
inline constexpr const char *MetricsPath = "/ragwortrelay/metrics";

/// HTTP form of an answer to an operator.
struct OperatorAnswer {
    std::uint16_t m_status = 200;
    std::string m_body; ///< JSON

    friend bool operator==(const OperatorAnswer &, const OperatorAnswer &) = default;
};

/// Reads the command of an operator's request. Thread-safe.
tl::expected<Node::OperatorCommand, Error> decodeCommand(const std::string &method, const std::string &path, const std::string &body);

/// Writes the body of a request that edits the table. Thread-safe.
std::string encodeEdit(const Node::EditTable &edit);

/// Reads the answer to a request that shows the table. Thread-safe.
tl::expected<Configuration::Table, Error> decodeTable(const std::string &body);

/// Reads the answer to a request that edits the table. Thread-safe.
tl::expected<Node::OperatorReply, Error> decodeEditReply(const OperatorAnswer &answer);

/// Reads the answer to a request that shows where a version is in force. Thread-safe.
tl::expected<Node::SpreadShown, Error> decodeSpread(const std::string &body);

/// Writes the answer to a command. Thread-safe.
OperatorAnswer encodeReply(const Node::OperatorReply &reply);

}
