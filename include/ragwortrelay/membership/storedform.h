#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/membership/roster.h>
#include <ragwortrelay/platform/table.h>

#include <tl/expected.hpp>

#include <string>

namespace RagwortRelay::Membership {

/// Partition of the platform's table that holds the chain of the roster.
inline constexpr const char *RosterPartition = "roster";

/// Partition of the platform's table that holds one item for each seat, written again and again by its host.
inline constexpr const char *ConfirmationPartition = "confirmations";

/// Versions between two snapshots of the roster; log items older than two snapshots are erased.
inline constexpr std::uint64_t SnapshotInterval = 32;

/// Stands for the name of a life that the platform's list doesn't name.
inline constexpr const char *AnyLife = "*";

/// What a host writes about its own seat at a steady interval.
struct Confirmation {
    std::uint64_t m_configurationVersion = 0; ///< In force on the host.
    std::string m_listedAs; ///< How the platform's list names this life; AnyLife when it doesn't tell lives apart, empty before it was listed.

    friend bool operator==(const Confirmation &, const Confirmation &) = default;
};

/// Key of the item that holds a recent state of the roster as a whole.
Platform::ItemKey snapshotKey();

/// Key of the confirmation of a seat.
Platform::ItemKey confirmationKey(const SeatKey &key);

/// Returns the seat of a confirmation's sort key, or nothing. Thread-safe.
std::optional<SeatKey> seatFrom(const std::string &sort);

/// Builds the query for the changes after a version.
Platform::QueryItems rosterChangesAfter(std::uint64_t version);

/// Builds the transaction that appends a change to the chain; it is refused when another change took that version.
/// @param next the roster with the change applied; stored as a snapshot when one is due
Platform::Transact appendTransaction(const RosterChange &change, const Roster &next);

/// Builds the write of a confirmation.
/// @param version that is stored at present, 0 for none
Platform::Write confirmationWrite(const SeatKey &key, const Confirmation &confirmation, std::uint64_t version);

std::string encodeRoster(const Roster &roster);
tl::expected<Roster, Error> decodeRoster(const std::string &body);
std::string encodeChange(const RosterChange &change);
tl::expected<RosterChange, Error> decodeChange(const std::string &body);
std::string encodeConfirmation(const Confirmation &confirmation);
tl::expected<Confirmation, Error> decodeConfirmation(const std::string &body);

}
