#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/limits/messages.h>
#include <ragwortrelay/limits/tokenbucket.h>

#include <compare>
#include <cstdint>
#include <map>

namespace RagwortRelay::Limits {

/// One life of a host, as limits name it.
struct Party {
    HostId m_host;
    std::uint64_t m_incarnation = 0;

    friend auto operator<=>(const Party &, const Party &) = default;
    friend bool operator==(const Party &, const Party &) = default;
};

/// Identity of a loan with its lender.
struct LoanKey {
    Party m_borrower;
    LoanId m_loan = 0;

    friend auto operator<=>(const LoanKey &, const LoanKey &) = default;
    friend bool operator==(const LoanKey &, const LoanKey &) = default;
};

/// A loan as its lender has it.
struct Lent {
    Share m_share;
    TimePoint m_takenBackAt; ///< The borrower has surely stopped by then.

    friend bool operator==(const Lent &, const Lent &) = default;
};

/// A loan as its borrower has it.
struct Borrowed {
    Share m_share;
    HostId m_lender;
    TimePoint m_takenAt;
    TimePoint m_lapsesAt;

    friend bool operator==(const Borrowed &, const Borrowed &) = default;
};

/// What one host holds of one workspace's limit. At each instant the tokens in hand are those of one bucket with the host's own
/// share, less what is lent, plus what is borrowed.
struct Holding {
    TokenBucket m_bucket;
    Share m_own; ///< Of the shards that the host holds.
    TimePoint m_ownEndsAt = TimePoint::max(); ///< The own share must not be used from then on.
    std::map<LoanKey, Lent> m_lent;
    std::map<LoanId, Borrowed> m_borrowed;

    friend bool operator==(const Holding &, const Holding &) = default;
};

/// Takes in what time did: loans that lapsed end at their lapse, loans whose time is over come back without tokens, and the own share
/// ends. Precondition for this and all below: `now` doesn't run backwards. Not thread-safe on one holding.
void settle(Holding &holding, TimePoint now);

/// Sets the own share. What is added comes without tokens: whoever held it before may have used them.
void setOwn(Holding &holding, const Share &own, TimePoint now);

/// Returns what the host could lend: its own share less what is lent.
Share freeShare(const Holding &holding);

/// Lends a part of the free share with tokens in hand.
/// Precondition: the part is at most the free share, the tokens are at most its burst and at most those in hand, and the key is new.
void lend(Holding &holding, const LoanKey &key, const Share &share, std::int64_t microtokens, TimePoint takenBackAt, TimePoint now);

/// Takes back a loan that its borrower returned; one that isn't known (any more) changes nothing.
void takeBack(Holding &holding, const LoanKey &key, std::int64_t microtokens, TimePoint now);

/// Takes in a loan that was granted; one that has lapsed already changes nothing.
/// Precondition: the loan was not taken in before.
void borrow(Holding &holding, LoanId loan, const Borrowed &borrowed, std::int64_t microtokens, TimePoint now);

/// Gives up a borrowed part and returns the tokens that go back with it; nothing when the loan has lapsed.
std::int64_t giveBack(Holding &holding, LoanId loan, TimePoint now);

/// Tells whether nothing is held, lent or borrowed.
bool isVoid(const Holding &holding);

}
