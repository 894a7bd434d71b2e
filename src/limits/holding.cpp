#include <ragwortrelay/limits/holding.h>

#include <algorithm>

namespace RagwortRelay::Limits {

namespace {

/// Returns the sum of the shares of all loans, given or taken.
template<typename Loans> Share sumOf(const Loans &loans)
{
    Share total;
    for (const auto &[key, loan] : loans) {
        total.m_rate += loan.m_share.m_rate;
        total.m_burst += loan.m_share.m_burst;
    }
    return total;
}

std::uint32_t difference(std::uint32_t left, std::uint32_t right)
{
    return left > right ? left - right : 0;
}

/// Makes the bucket follow the shares; tokens above its burst are lost.
void updateBucket(Holding &holding)
{
    const Share lent = sumOf(holding.m_lent);
    const Share borrowed = sumOf(holding.m_borrowed);
    TokenBucket &bucket = holding.m_bucket;
    bucket.m_share.m_rate = difference(holding.m_own.m_rate + borrowed.m_rate, lent.m_rate);
    bucket.m_share.m_burst = difference(holding.m_own.m_burst + borrowed.m_burst, lent.m_burst);
    bucket.m_microtokens = std::min(bucket.m_microtokens, bucket.m_share.m_burst * MicrotokensPerToken);
}

void endLapsed(Holding &holding, TimePoint now)
{
    while (true) {
        const auto first = std::min_element(holding.m_borrowed.begin(), holding.m_borrowed.end(), [](const auto &left, const auto &right) {
            return left.second.m_lapsesAt < right.second.m_lapsesAt;
        });
        if (first == holding.m_borrowed.end() || first->second.m_lapsesAt > now) {
            return;
        }
        refill(holding.m_bucket, first->second.m_lapsesAt);
        holding.m_borrowed.erase(first);
        updateBucket(holding);
    }
}

void endOwn(Holding &holding, TimePoint now)
{
    if (now < holding.m_ownEndsAt || holding.m_own == Share{}) {
        return;
    }
    refill(holding.m_bucket, holding.m_ownEndsAt);
    holding.m_own = {};
    updateBucket(holding);
}

}

void settle(Holding &holding, TimePoint now)
{
    // In the order of time: what lapsed before the own share ended, then the rest.
    endLapsed(holding, std::min(now, holding.m_ownEndsAt));
    endOwn(holding, now);
    endLapsed(holding, now);
    refill(holding.m_bucket, now);
    const auto ended = std::erase_if(holding.m_lent, [now](const auto &lent) { return lent.second.m_takenBackAt <= now; });
    if (ended > 0) {
        updateBucket(holding);
    }
}

void setOwn(Holding &holding, const Share &own, TimePoint now)
{
    settle(holding, now);
    holding.m_own = own;
    updateBucket(holding);
}

Share freeShare(const Holding &holding)
{
    const Share lent = sumOf(holding.m_lent);
    return {difference(holding.m_own.m_rate, lent.m_rate), difference(holding.m_own.m_burst, lent.m_burst)};
}

void lend(Holding &holding, const LoanKey &key, const Share &share, std::int64_t microtokens, TimePoint takenBackAt, TimePoint now)
{
    settle(holding, now);
    holding.m_lent.emplace(key, Lent{share, takenBackAt});
    holding.m_bucket.m_microtokens -= microtokens;
    updateBucket(holding);
}

void takeBack(Holding &holding, const LoanKey &key, std::int64_t microtokens, TimePoint now)
{
    settle(holding, now);
    const auto lent = holding.m_lent.find(key);
    if (lent == holding.m_lent.end()) {
        return;
    }
    const std::int64_t most = lent->second.m_share.m_burst * MicrotokensPerToken;
    holding.m_lent.erase(lent);
    holding.m_bucket.m_microtokens += std::clamp<std::int64_t>(microtokens, 0, most);
    updateBucket(holding);
}

void borrow(Holding &holding, LoanId loan, const Borrowed &borrowed, std::int64_t microtokens, TimePoint now)
{
    settle(holding, now);
    if (borrowed.m_lapsesAt <= now) {
        return;
    }
    holding.m_borrowed.emplace(loan, borrowed);
    const std::int64_t most = borrowed.m_share.m_burst * MicrotokensPerToken;
    holding.m_bucket.m_microtokens += std::clamp<std::int64_t>(microtokens, 0, most);
    updateBucket(holding);
}

std::int64_t giveBack(Holding &holding, LoanId loan, TimePoint now)
{
    settle(holding, now);
    const auto borrowed = holding.m_borrowed.find(loan);
    if (borrowed == holding.m_borrowed.end()) {
        return 0;
    }
    const std::int64_t most = borrowed->second.m_share.m_burst * MicrotokensPerToken;
    holding.m_borrowed.erase(borrowed);
    const std::int64_t microtokens = std::min(holding.m_bucket.m_microtokens, most);
    holding.m_bucket.m_microtokens -= microtokens;
    updateBucket(holding);
    return microtokens;
}

bool isVoid(const Holding &holding)
{
    return holding.m_own == Share{} && holding.m_lent.empty() && holding.m_borrowed.empty();
}

}
