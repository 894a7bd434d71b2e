#pragma once

#include <ragwortrelay/membership/membership.h>

namespace RagwortRelay::Membership::detail {

/// Returns the next change of the roster that this host should write, or nothing.
std::optional<RosterChange> planChange(const MembershipState &state, TimePoint now);

/// Builds the transaction of a change, with what it does to the confirmations.
Platform::Transact transactionOf(const MembershipState &state, const RosterChange &change, std::uint64_t configurationVersion);

/// Tells whether this host should read the platform's list now: to see itself in it or because a seat is silent.
bool needsList(const MembershipState &state, TimePoint now);

/// Notes which seats are gone by the platform's list.
void noteList(MembershipState &state, const Platform::TargetsRead &list, TimePoint now);

/// Tells whether the roster has the seat of this very process.
bool isSeated(const MembershipState &state);

}
