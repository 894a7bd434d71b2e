#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/operators/command.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace RagwortRelay::Operators {

/// HTTP form of an answer to an operator.
struct EncodedReply {
    std::uint16_t m_status = 200;
    std::string m_body; ///< JSON

    friend bool operator==(const EncodedReply &, const EncodedReply &) = default;
};

/// Reads the command of an operator's request. Thread-safe, like all functions here.
tl::expected<Command, Error> decodeCommand(const std::string &method, const std::string &path, const std::string &body);

/// Writes the body of a request that edits the table.
std::string encodeEdit(const EditTable &edit);

/// Reads the answer to a request that shows the table.
tl::expected<Configuration::Table, Error> decodeTable(const std::string &body);

/// Reads the answer to a request that edits the table.
tl::expected<Reply, Error> decodeEditReply(const EncodedReply &response);

/// Reads the answer to a request that shows how far a version has spread.
tl::expected<RolloutShown, Error> decodeRollout(const std::string &body);

/// Writes the answer to a command.
EncodedReply encodeReply(const Reply &reply);

}
