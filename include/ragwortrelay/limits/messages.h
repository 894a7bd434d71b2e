#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace RagwortRelay::Limits {

/// Number of a loan, given by the borrower; never used again by its process.
using LoanId = std::uint64_t;

/// What a borrower asks of a lender for one workspace.
struct LoanWanted {
    LoanId m_loan = 0;
    WorkspaceId m_workspace;
    std::uint32_t m_rate = 0; ///< Tokens a second.
    std::uint32_t m_tokens = 0; ///< In hand, with as much burst.

    friend bool operator==(const LoanWanted &, const LoanWanted &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_loan, self.m_workspace, self.m_rate, self.m_tokens);
    }
};

/// A loan that the borrower gives back before it lapses, with the tokens that are left of it.
struct LoanReturned {
    LoanId m_loan = 0;
    WorkspaceId m_workspace;
    std::int64_t m_microtokens = 0;

    friend bool operator==(const LoanReturned &, const LoanReturned &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_loan, self.m_workspace, self.m_microtokens);
    }
};

/// Sent by a borrower; the returns are taken in before the wishes.
struct LoanRequest {
    std::vector<LoanReturned> m_returned;
    std::vector<LoanWanted> m_wanted;

    friend bool operator==(const LoanRequest &, const LoanRequest &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_returned, self.m_wanted);
    }
};

/// Answer to one wish. The lender has given up what stands here before it was sent; all zero when it had nothing to spare.
struct LoanGranted {
    LoanId m_loan = 0;
    WorkspaceId m_workspace;
    std::uint32_t m_rate = 0;
    std::uint32_t m_burst = 0;
    std::int64_t m_microtokens = 0;
    Duration m_lease{}; ///< Counted by the borrower from when it asked.
    std::uint32_t m_tokensLeft = 0; ///< That the lender could still lend.
    Duration m_nextToken{}; ///< Until the lender can lend a token again, if none is left.

    friend bool operator==(const LoanGranted &, const LoanGranted &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_loan, self.m_workspace, self.m_rate, self.m_burst, self.m_microtokens, self.m_lease, self.m_tokensLeft, self.m_nextToken);
    }
};

/// Sent by a lender in answer to a LoanRequest.
struct LoanAnswer {
    std::uint64_t m_incarnation = 0; ///< Of the borrower: a later process of its host must not take what an earlier one asked for.
    std::vector<LoanGranted> m_granted;

    friend bool operator==(const LoanAnswer &, const LoanAnswer &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_incarnation, self.m_granted);
    }
};

}
