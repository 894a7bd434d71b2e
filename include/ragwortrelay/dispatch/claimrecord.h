#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/dispatch/answer.h>
#include <ragwortrelay/platform/table.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace RagwortRelay::Dispatch {

/// What is known of the one run that an idempotency key allows.
enum class ClaimState : std::uint8_t {
    Running, ///< The owner of the attempt may run it at any time, or has run it.
    Done, ///< It was run and answered.
    Unknown, ///< It may have been run; nobody will learn more.
    Released, ///< The owner has not run it and never will; the key is free.
};

/// Body of a claim's item in the platform's table.
struct ClaimRecord {
    ClaimState m_state = ClaimState::Running;
    std::string m_attempt; ///< Differs for each time that any host wants the key.
    std::string m_fingerprint; ///< Of the request that the key stands for.
    std::uint64_t m_epoch = 0; ///< Epoch of the fleet in which the record was written, for its expiry.
    std::optional<StoredAnswer> m_answer; ///< Of a done claim, unless it was too large to be kept.

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/// Number of partitions over which claims are spread.
inline constexpr std::uint64_t ClaimPartitions = 64;

/// Returns the name of a partition of claims. Precondition: `number` is below ClaimPartitions.
std::string claimPartition(std::uint64_t number);

/// Returns the key of the item that stands for an idempotency key of a workspace. Thread-safe.
Platform::ItemKey claimKey(const WorkspaceId &workspace, const std::string &idempotencyKey);

/// Returns a text that is equal for equal requests of a workspace and differs for all others. Thread-safe.
std::string fingerprintOf(const WorkspaceId &workspace, const std::string &method, const std::string &target, const std::string &bodyDigest);

/// Encodes a record in JSON; headers and body of the answer may hold any bytes. Thread-safe.
std::string encodeClaim(const ClaimRecord &record);

/// Decodes what encodeClaim() made. Thread-safe.
tl::expected<ClaimRecord, Error> decodeClaim(const std::string &body);

}
