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

/// State of the single execution that an idempotency key allows.
enum class ClaimState : std::uint8_t {
    Running, ///< The owner of the attempt may execute the request at any time or has already done so.
    Done, ///< The request was executed and has a response.
    Unknown, ///< The request may have been executed; this will never be known.
    Released, ///< The owner has not executed the request and never will; the key is free.
};

/// Claim as stored in its row of the store.
struct ClaimRecord {
    ClaimState m_state = ClaimState::Running;
    std::string m_attempt; ///< Identifier that is unique to each attempt of any host to claim the key.
    std::string m_fingerprint; ///< Fingerprint of the request that the key identifies.
    std::uint64_t m_epoch = 0; ///< Epoch in which the record was written; determines its expiry.
    std::optional<StoredResponse> m_response; ///< Response of a claim in the state Done, unless it was too large to be stored.

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/// Table of the store that contains the claims.
inline constexpr const char *ClaimTable = "ragwortrelay-claims";

/// Part of the table that contains all claims. A single part lets one transaction write several claims.
inline constexpr const char *ClaimPart = "claims";

/// Returns the key of the row for an idempotency key of a workspace. Thread-safe.
Store::RowKey claimKey(const WorkspaceId &workspace, const std::string &idempotencyKey);

/// Returns a fingerprint that is equal for equal requests of a workspace and differs for all others. Thread-safe.
std::string fingerprintOf(const WorkspaceId &workspace, const std::string &method, const std::string &target, const std::string &bodyDigest);

/// Encodes a record as JSON. The headers and body of the response may contain any bytes. Thread-safe.
std::string encodeClaim(const ClaimRecord &record);

/// Decodes the output of encodeClaim(). Returns ErrorId::PlatformBadAnswer for any other text. Thread-safe.
tl::expected<ClaimRecord, Error> decodeClaim(const std::string &body);

}
