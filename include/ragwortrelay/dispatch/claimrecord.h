#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/dispatch/storedresponse.h>
#include <ragwortrelay/store/store.h>

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

/// Value of a claim's row in the store.
struct ClaimRecord {
    ClaimState m_state = ClaimState::Running;
    std::string m_attempt; ///< Differs for each time that any host wants the key.
    std::string m_fingerprint; ///< Of the request that the key stands for.
    std::uint64_t m_epoch = 0; ///< Epoch of the fleet in which the record was written, for its expiry.
    std::optional<StoredResponse> m_response; ///< Of a done claim, unless it was too large to be kept.

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/// Table of the store that claims lie in. They all have one part, so that one transaction can write several.
inline constexpr const char *ClaimTable = "ragwortrelay-claims";
inline constexpr const char *ClaimPart = "claims";

/// Returns the key of the row that stands for an idempotency key of a workspace. Thread-safe.
Store::RowKey claimKey(const WorkspaceId &workspace, const std::string &idempotencyKey);

/// Returns a text that is equal for equal requests of a workspace and differs for all others. Thread-safe.
std::string fingerprintOf(const WorkspaceId &workspace, const std::string &method, const std::string &target, const std::string &bodyDigest);

/// Encodes a record in JSON; headers and body of the answer may hold any bytes. Thread-safe.
std::string encodeClaim(const ClaimRecord &record);

/// Decodes what encodeClaim() made. Thread-safe.
tl::expected<ClaimRecord, Error> decodeClaim(const std::string &body);

}
