#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/operators/command.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace RagwortRelay::Operators {

/// HTTP response to an operator.
struct EncodedReply {
    std::uint16_t m_status = 200;
    std::string m_body; ///< Body in JSON.

    friend bool operator==(const EncodedReply &, const EncodedReply &) = default;
};

/// Decodes the command of an operator's request. Thread-safe, like all functions here.
tl::expected<Command, Error> decodeCommand(const std::string &method, const std::string &path, const std::string &body);

/// Encodes the body of a request that edits the table.
std::string encodeEdit(const EditTable &edit);

/// Decodes the response to a request for the table.
tl::expected<Configuration::Table, Error> decodeTable(const std::string &body);

/// Decodes the response to a request that edits the table.
tl::expected<Reply, Error> decodeEditReply(const EncodedReply &response);

/// Decodes the response to a request for the rollout of a version.
tl::expected<RolloutShown, Error> decodeRollout(const std::string &body);

/// Encodes the reply to a command.
EncodedReply encodeReply(const Reply &reply);

}
