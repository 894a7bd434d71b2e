#include <ragwortrelay/limits/layout.h>
#include <ragwortrelay/limits/limits.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <variant>

using namespace RagwortRelay;
using namespace RagwortRelay::Limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Hosts = 4;
constexpr Duration LeaseMargin = seconds(15);

/// A message under way.
struct Letter {
    std::size_t m_from = 0;
    Party m_sender;
    std::size_t m_to = 0;
    std::variant<LoanRequest, LoanAnswer> m_message;
};

enum class StepKind { Request, ShortTime, LongTime, Deliver, Repeat, Lose, Pause, Cut, GiveBack, HandOver, Replace };

/// One step of a run: what is done, to whom, and how much of it.
struct Step {
    StepKind m_kind{};
    std::size_t m_first = 0;
    std::size_t m_second = 0;
    std::uint32_t m_amount = 0;
};

void showValue(const Step &step, std::ostream &stream)
{
    stream << '{' << static_cast<int>(step.m_kind) << ", " << step.m_first << ", " << step.m_second << ", " << step.m_amount << '}';
}

/// Hosts that share one limit over a network that loses, repeats, delays and reorders, beside one perfect central bucket.
class LendingRun
{
public:
    LendingRun(const Share &limit, bool clocksDrift) : m_limit(limit), m_clocksDrift(clocksDrift), m_random(1)
    {
        m_central = {limit, limit.m_burst * MicrotokensPerToken, m_now};
        for (std::uint32_t part = 0; part < spreadOf(limit); ++part) {
            m_holders.push_back(part % Hosts);
        }
        for (std::size_t host = 0; host < Hosts; ++host) {
            startHost(host);
        }
    }

    void apply(const Step &step)
    {
        const std::size_t host = step.m_first % Hosts;
        const std::size_t other = step.m_second % Hosts;
        switch (step.m_kind) {
        case StepKind::Request:
            return request(host, step.m_amount % 8 + 1);
        case StepKind::ShortTime:
            m_now += milliseconds(step.m_amount % 10);
            return control(host);
        case StepKind::LongTime:
            // Often close to the lapse of a lease.
            m_now += milliseconds(step.m_amount % 2 == 0 ? step.m_amount % 6000 : 4900 + step.m_amount % 200);
            return control(host);
        case StepKind::Deliver:
            return deliver(step.m_amount, false);
        case StepKind::Repeat:
            return deliver(step.m_amount, true);
        case StepKind::Lose:
            return lose(step.m_amount);
        case StepKind::Pause:
            m_paused[host] = step.m_amount % 3 == 0;
            return;
        case StepKind::Cut:
            m_cuts[host][other] = step.m_amount % 3 == 0;
            return;
        case StepKind::GiveBack:
            return giveBack(host);
        case StepKind::HandOver:
            return handOver(host, other, step.m_amount);
        case StepKind::Replace:
            return replace(host);
        }
    }

    /// Returns what all hosts hold at this instant.
    [[nodiscard]] Share total() const
    {
        Share total;
        for (std::size_t host = 0; host < Hosts; ++host) {
            const auto limit = m_hosts[host].m_workspaces.find(m_workspace);
            if (limit != m_hosts[host].m_workspaces.end()) {
                Holding holding = limit->second.m_holding;
                settle(holding, clockOf(host));
                total.m_rate += holding.m_bucket.m_share.m_rate;
                total.m_burst += holding.m_bucket.m_share.m_burst;
            }
        }
        return total;
    }

    std::uint64_t m_admitted = 0;
    bool m_exceeded = false; ///< A request was admitted that the central bucket would have refused.

private:
    /// Clocks of two hosts differ in their readings and, with drift, by up to 1 % in their speed.
    [[nodiscard]] TimePoint clockOf(std::size_t host) const
    {
        const std::int64_t elapsed = m_now.time_since_epoch().count();
        const std::int64_t drift = m_clocksDrift ? (static_cast<std::int64_t>(host) - 2) * elapsed / 200 : 0;
        return m_now + seconds(1000 * host) + Duration(drift);
    }

    void startHost(std::size_t host)
    {
        LimitsState state;
        state.m_self = {HostId(std::to_string(host)), ++m_lives};
        // Long, so that answers also count that come after their lease.
        state.m_settings.m_answerTimeout = seconds(6);
        m_hosts[host] = state;
        m_paused[host] = false;
        update(host);
    }

    void update(std::size_t host)
    {
        Share own;
        for (std::uint32_t part = 0; part < m_holders.size(); ++part) {
            if (m_holders[part] == host) {
                own.m_rate += partOf(m_limit, part).m_rate;
                own.m_burst += partOf(m_limit, part).m_burst;
            }
        }
        std::vector<HostId> lenders;
        for (std::size_t other = 0; other < Hosts; ++other) {
            if (other != host) {
                lenders.emplace_back(std::to_string(other));
            }
        }
        setLimit(m_hosts[host], m_workspace, m_limit, own, lenders, TimePoint::max(), clockOf(host));
    }

    void request(std::size_t host, std::uint32_t count)
    {
        if (m_paused[host]) {
            return;
        }
        for (std::uint32_t i = 0; i < count; ++i) {
            AdmissionTry attempt;
            note(admit(m_hosts[host], m_workspace, attempt, m_random, clockOf(host)));
            if (attempt.m_waits) {
                m_waiting[host].push_back(attempt);
            }
        }
        send(host);
    }

    void note(Admission admission)
    {
        if (admission == Admission::Admitted) {
            ++m_admitted;
            // Where clocks run fast, so does the accrual; the bound is that of the fastest clock.
            const std::int64_t elapsed = m_now.time_since_epoch().count();
            const TimePoint now = m_now + Duration(m_clocksDrift ? elapsed / 200 + 1 : 0);
            m_exceeded = !takeToken(m_central, now) || m_exceeded;
        }
    }

    void retryWaiting(std::size_t host)
    {
        std::vector<AdmissionTry> waiting = std::move(m_waiting[host]);
        m_waiting[host].clear();
        for (AdmissionTry &attempt : waiting) {
            note(admit(m_hosts[host], m_workspace, attempt, m_random, clockOf(host)));
            if (attempt.m_waits) {
                m_waiting[host].push_back(attempt);
            }
        }
    }

    void control(std::size_t host)
    {
        if (!m_paused[host]) {
            Limits::control(m_hosts[host], m_random, clockOf(host));
            retryWaiting(host);
            send(host);
        }
    }

    void giveBack(std::size_t host)
    {
        if (!m_paused[host]) {
            giveBackAll(m_hosts[host], clockOf(host));
            send(host);
        }
    }

    void send(std::size_t host)
    {
        for (const LoanMessage &message : takeOutbox(m_hosts[host])) {
            m_letters.push_back({host, m_hosts[host].m_self, std::stoul(message.m_host.text()), message.m_request});
        }
    }

    void deliver(std::size_t index, bool keepCopy)
    {
        if (m_letters.empty()) {
            return;
        }
        const auto found = m_letters.begin() + static_cast<std::ptrdiff_t>(index % m_letters.size());
        const Letter letter = *found;
        if (m_paused[letter.m_to]) {
            return;
        }
        if (!keepCopy) {
            m_letters.erase(found);
        }
        if (m_cuts[letter.m_from][letter.m_to]) {
            return;
        }
        LimitsState &state = m_hosts[letter.m_to];
        if (const auto *request = std::get_if<LoanRequest>(&letter.m_message)) {
            const LoanAnswer answer = onLoanRequest(state, letter.m_sender, *request, clockOf(letter.m_to));
            m_letters.push_back({letter.m_to, state.m_self, letter.m_from, answer});
        } else {
            onLoanAnswer(state, letter.m_sender.m_host, std::get<LoanAnswer>(letter.m_message), clockOf(letter.m_to));
            retryWaiting(letter.m_to);
        }
        send(letter.m_to);
    }

    void lose(std::size_t index)
    {
        if (!m_letters.empty()) {
            m_letters.erase(m_letters.begin() + static_cast<std::ptrdiff_t>(index % m_letters.size()));
        }
    }

    /// A host dies; after the lease margin its parts are given to the next one, as membership does.
    void replace(std::size_t host)
    {
        for (std::size_t &holder : m_holders) {
            holder = holder == host ? Hosts : holder;
        }
        m_waiting[host].clear();
        startHost(host);
        m_now += LeaseMargin;
        for (std::size_t &holder : m_holders) {
            holder = holder == Hosts ? (host + 1) % Hosts : holder;
        }
        update((host + 1) % Hosts);
    }

    /// A host gives one part up if it is not lent; the other one may learn of it later, but not before.
    void handOver(std::size_t host, std::size_t other, std::size_t index)
    {
        const auto part = static_cast<std::uint32_t>(index % m_holders.size());
        const bool mayGiveUp = m_holders[part] == host && !m_paused[host] && canGiveUp(m_hosts[host], m_workspace, partOf(m_limit, part), clockOf(host));
        if (mayGiveUp) {
            m_holders[part] = other;
            update(host);
            update(other);
        }
    }

    WorkspaceId m_workspace{"w"};
    Share m_limit;
    bool m_clocksDrift = false;
    RandomGenerator m_random;
    TimePoint m_now{seconds(1000)};
    TokenBucket m_central;
    std::array<LimitsState, Hosts> m_hosts;
    std::array<bool, Hosts> m_paused{};
    std::array<std::array<bool, Hosts>, Hosts> m_cuts{};
    std::array<std::vector<AdmissionTry>, Hosts> m_waiting;
    std::vector<std::size_t> m_holders;
    std::vector<Letter> m_letters;
    std::uint64_t m_lives = 0;
};

rc::Gen<std::vector<Step>> steps()
{
    constexpr std::size_t StepsAtMost = 1000;
    const auto kind = rc::gen::weightedElement<StepKind>({{16, StepKind::Request},
                                                          {10, StepKind::ShortTime},
                                                          {1, StepKind::LongTime},
                                                          {40, StepKind::Deliver},
                                                          {6, StepKind::Repeat},
                                                          {1, StepKind::Lose},
                                                          {1, StepKind::Pause},
                                                          {1, StepKind::Cut},
                                                          {3, StepKind::GiveBack},
                                                          {1, StepKind::HandOver},
                                                          {1, StepKind::Replace}});
    const auto host = rc::gen::inRange<std::size_t>(0, Hosts);
    const auto amount = rc::gen::inRange<std::uint32_t>(0, 10'000);
    const auto step = rc::gen::build<Step>(
        rc::gen::set(&Step::m_kind, kind), rc::gen::set(&Step::m_first, host), rc::gen::set(&Step::m_second, host), rc::gen::set(&Step::m_amount, amount));
    return rc::gen::resize(StepsAtMost, rc::gen::container<std::vector<Step>>(step));
}

/// Runs the steps and checks after each that neither the whole nor the central bucket is exceeded. Returns the admitted requests.
std::uint64_t checkRun(const Share &limit, bool clocksDrift, const std::vector<Step> &steps)
{
    LendingRun run(limit, clocksDrift);
    for (const Step &step : steps) {
        run.apply(step);
        const Share total = run.total();
        RC_ASSERT(total.m_rate <= limit.m_rate);
        RC_ASSERT(total.m_burst <= limit.m_burst);
        RC_ASSERT(!run.m_exceeded);
    }
    return run.m_admitted;
}

}

TEST_CASE("lending")
{
    SECTION("shares add up to no more than the whole and admit no more than one central bucket, whatever the network does")
    {
        std::uint64_t admitted = 0;
        CHECK(rc::check([&admitted] {
            const Share limit{*rc::gen::inRange<std::uint32_t>(0, 200), *rc::gen::inRange<std::uint32_t>(0, 200)};
            admitted += checkRun(limit, false, *steps());
        }));
        CHECK(admitted > 1000);
    }

    SECTION("the same with clocks that drift")
    {
        CHECK(rc::check([] {
            const Share limit{*rc::gen::inRange<std::uint32_t>(1, 200), *rc::gen::inRange<std::uint32_t>(1, 200)};
            checkRun(limit, true, *steps());
        }));
    }
}

TEST_CASE("layout of a limit")
{
    SECTION("the parts add up to the limit")
    {
        CHECK(rc::check([](std::uint16_t rate, std::uint16_t burst) {
            const Share limit{rate, burst};
            Share total;
            for (std::uint32_t position = 0; position < spreadOf(limit); ++position) {
                total.m_rate += partOf(limit, position).m_rate;
                total.m_burst += partOf(limit, position).m_burst;
            }
            RC_ASSERT(total == limit);
        }));
    }

    SECTION("with the same spread no part shrinks when the limit grows")
    {
        CHECK(rc::check([] {
            const Share small{*rc::gen::inRange<std::uint32_t>(0, 3000), *rc::gen::inRange<std::uint32_t>(0, 3000)};
            const Share large{small.m_rate + *rc::gen::inRange<std::uint32_t>(0, 50), small.m_burst + *rc::gen::inRange<std::uint32_t>(0, 50)};
            RC_PRE(spreadOf(small) == spreadOf(large));
            for (std::uint32_t position = 0; position < spreadOf(small); ++position) {
                RC_ASSERT(partOf(small, position).m_rate <= partOf(large, position).m_rate);
                RC_ASSERT(partOf(small, position).m_burst <= partOf(large, position).m_burst);
            }
        }));
    }
}

TEST_CASE("a loan")
{
    const TimePoint start{seconds(100)};
    Holding lender;
    setOwn(lender, {10, 10}, start);
    settle(lender, start + seconds(1));
    const LoanKey key{{HostId("b"), 1}, 7};
    lend(lender, key, {4, 4}, 4 * MicrotokensPerToken, start + seconds(6), start + seconds(1));

    SECTION("is debited before it is sent")
    {
        CHECK(lender.m_bucket.m_share == Share{6, 6});
        CHECK(lender.m_bucket.m_microtokens == 6 * MicrotokensPerToken);
    }

    SECTION("comes back without tokens when it was not returned")
    {
        while (takeToken(lender.m_bucket, start + seconds(1))) {
        }
        settle(lender, start + seconds(6));
        CHECK(lender.m_bucket.m_share == Share{10, 10});
        CHECK(lender.m_bucket.m_microtokens == 6 * MicrotokensPerToken);
    }

    SECTION("that was returned twice counts once")
    {
        takeBack(lender, key, 3 * MicrotokensPerToken, start + seconds(1));
        takeBack(lender, key, 3 * MicrotokensPerToken, start + seconds(1));
        CHECK(lender.m_bucket.m_microtokens == 9 * MicrotokensPerToken);
    }

    SECTION("accrues nothing after its lapse, also when the borrower was paused over it")
    {
        Holding borrower;
        borrower.m_bucket.m_refilledAt = start;
        borrow(borrower, 7, {{4, 4}, HostId("a"), start, start + seconds(5)}, 4 * MicrotokensPerToken, start);
        settle(borrower, start + seconds(60));
        CHECK(borrower.m_bucket.m_microtokens == 0);
        CHECK_FALSE(takeToken(borrower.m_bucket, start + seconds(60)));
    }
}
