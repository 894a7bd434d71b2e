// Measures dispatch in simulated time, ours beside naive versions in the same run: runs beyond once, outcomes with the table up and
// down, writes for each booking, amplification by retries, servers crashed by one request.
// Usage: ragwortrelay_measure_dispatch [SEEDS]

#include "claimworld.h"
#include "fakefleet.h"

#include <ragwortrelay/workspaces/authentication.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <set>
#include <vector>

using namespace RagwortRelay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Values of one figure over the seeds.
class Figure
{
public:
    void add(double value)
    {
        m_values.push_back(value);
    }

    /// Returns median, lowest and highest value as text.
    [[nodiscard]] std::string text(const char *format = "%.3f [%.3f..%.3f]") const
    {
        std::vector<double> sorted = m_values;
        std::sort(sorted.begin(), sorted.end());
        char line[96];
        std::snprintf(line, sizeof line, format, sorted[sorted.size() / 2], sorted.front(), sorted.back());
        return line;
    }

private:
    std::vector<double> m_values;
};

constexpr const char *Whole = "%.0f [%.0f..%.0f]";

// Bookings: callers that send again to other hosts while the table and the hosts fail.

/// What callers of bookings saw, and what ran.
struct BookingResult {
    int m_bookings = 0;
    int m_beyondOnce = 0;
    int m_answered = 0; ///< Booked and told so, in the first or a later copy.
    int m_toldNotRun = 0; ///< All copies were refused as not run.
    int m_unknown = 0;
    int m_wrongNotRun = 0; ///< Told not run in all copies, but it ran.
    double m_transactions = 0; ///< For each booking.
    double m_writes = 0; ///< For each booking.
};

struct BookingCase {
    Fakes::TableFault m_fault = Fakes::TableFault::None;
    bool m_killsHosts = false;
    double m_perSecond = 40;
    std::size_t m_batch = 25;
    int m_steps = 600; ///< Of 100 ms, with new bookings.
    int m_stepsAfter = 500;
};

constexpr int BookingHosts = 36;
constexpr int CopiesAtMost = 4;
constexpr Duration CopyInterval = seconds(11); ///< Between two copies of a caller that got no answer.

/// One caller that wants one booking.
struct Booker {
    std::string m_key;
    std::vector<std::uint64_t> m_copies;
};

bool hasFinalAnswer(const Fakes::ClaimCopy &copy)
{
    if (copy.m_ran) {
        return copy.m_runEnded;
    }
    return copy.m_answer && std::holds_alternative<Dispatch::StoredAnswer>(*copy.m_answer);
}

bool wasNotRun(const Fakes::ClaimCopy &copy)
{
    const auto *problem = copy.m_answer ? std::get_if<Dispatch::Problem>(&*copy.m_answer) : nullptr;
    return problem != nullptr && problem->m_outcome == Dispatch::Outcome::NotRun;
}

BookingResult judge(const Fakes::ClaimWorld &world, const std::vector<Booker> &bookers)
{
    BookingResult result;
    for (const Booker &booker : bookers) {
        bool answered = false;
        bool allNotRun = true;
        for (const std::uint64_t id : booker.m_copies) {
            const Fakes::ClaimCopy &copy = world.m_copies.at(id);
            answered = answered || hasFinalAnswer(copy);
            allNotRun = allNotRun && wasNotRun(copy);
        }
        const auto runs = world.m_runs.find(booker.m_key);
        result.m_beyondOnce += runs == world.m_runs.end() ? 0 : runs->second - 1;
        result.m_wrongNotRun += allNotRun && runs != world.m_runs.end() ? 1 : 0;
        result.m_answered += answered ? 1 : 0;
        result.m_toldNotRun += !answered && allNotRun ? 1 : 0;
        result.m_unknown += !answered && !allNotRun ? 1 : 0;
    }
    result.m_bookings = static_cast<int>(bookers.size());
    return result;
}

std::uint64_t claimCounter(const Fakes::ClaimWorld &world, const std::string &name)
{
    std::uint64_t sum = 0;
    for (int host = 0; host < BookingHosts; ++host) {
        const auto counter = world.ledger(host).m_counters.find(name);
        sum += counter == world.ledger(host).m_counters.end() ? 0 : counter->second;
    }
    return sum;
}

BookingResult runBookings(const BookingCase &kind, std::uint64_t seed)
{
    constexpr Duration Step = milliseconds(100);
    Fakes::ClaimWorld world(BookingHosts, seed);
    world.m_settings.m_batchAtMost = kind.m_batch;
    for (int host = 0; host < BookingHosts; ++host) {
        world.startHost(host);
    }
    world.run(seconds(2));
    world.m_fault = kind.m_fault;
    RandomGenerator random(seed + 1);
    std::vector<Booker> bookers;
    std::multimap<TimePoint, std::size_t> again;
    const auto send = [&](std::size_t index) {
        const int host = static_cast<int>(drawBelow(random, BookingHosts));
        bookers[index].m_copies.push_back(world.send(host, bookers[index].m_key, "body", Fakes::RunKind::Answered));
        again.emplace(world.m_now + CopyInterval, index);
    };
    double due = 0;
    for (int step = 0; step < kind.m_steps + kind.m_stepsAfter; ++step) {
        for (due += step < kind.m_steps ? kind.m_perSecond / 10 : 0; due >= 1; --due) {
            bookers.push_back({"k" + std::to_string(bookers.size()), {}});
            send(bookers.size() - 1);
        }
        if (kind.m_killsHosts && step < kind.m_steps && step % 10 == 0) {
            world.startHost(static_cast<int>(drawBelow(random, BookingHosts)));
        }
        while (!again.empty() && again.begin()->first <= world.m_now) {
            const std::size_t index = again.begin()->second;
            again.erase(again.begin());
            const Fakes::ClaimCopy &copy = world.m_copies.at(bookers[index].m_copies.back());
            if (!hasFinalAnswer(copy) && bookers[index].m_copies.size() < CopiesAtMost) {
                send(index);
            }
        }
        world.run(Step);
    }
    BookingResult result = judge(world, bookers);
    result.m_transactions = static_cast<double>(claimCounter(world, "claim_transactions")) / result.m_bookings;
    result.m_writes = static_cast<double>(claimCounter(world, "claim_writes")) / result.m_bookings;
    return result;
}

/// Runs beyond once when hosts run each copy that reaches them, knowing only the keys that they have run themselves.
int naiveRunsBeyondOnce(std::uint64_t seed, double lostAnswers)
{
    constexpr int Bookings = 2400;
    RandomGenerator random(seed);
    int beyond = 0;
    for (int booking = 0; booking < Bookings; ++booking) {
        std::set<std::uint64_t> ranOn;
        for (int copy = 0; copy < CopiesAtMost; ++copy) {
            ranOn.insert(drawBelow(random, BookingHosts));
            if (drawUnit(random) >= lostAnswers) {
                break; // The caller got its answer.
            }
        }
        beyond += static_cast<int>(ranOn.size()) - 1;
    }
    return beyond;
}

void measureBookings(int seeds)
{
    std::printf("\nbookings: 36 hosts, 60 s, callers send again up to 3 times to random hosts; median [lowest..highest] of %d seeds\n", seeds);
    std::printf("| table | bookings/s | beyond once | not-run said, but ran | answered | not run | unknown |\n|---|---|---|---|---|---|---|\n");
    struct Named {
        const char *m_name;
        BookingCase m_case;
    };
    using Fault = Fakes::TableFault;
    const std::vector<Named> cases{{"up", {Fault::None, false, 40, 25}},
                                   {"up, a host replaced each second", {Fault::None, true, 40, 25}},
                                   {"loses the answers to all writes", {Fault::LosesWriteAnswers, false, 40, 25}},
                                   {"the same, hosts replaced", {Fault::LosesWriteAnswers, true, 40, 25}},
                                   {"loses a tenth of the calls", {Fault::Flaky, false, 40, 25}},
                                   {"the same, hosts replaced", {Fault::Flaky, true, 40, 25}},
                                   {"loses all answers", {Fault::LosesAnswers, false, 40, 25}},
                                   {"late writes", {Fault::LateWrites, false, 40, 25}},
                                   {"the same, hosts replaced", {Fault::LateWrites, true, 40, 25}},
                                   {"duplicates", {Fault::Duplicates, false, 40, 25}},
                                   {"down", {Fault::Down, false, 40, 25}}};
    for (const Named &named : cases) {
        Figure beyond, wrong, answered, notRun, unknown;
        for (int seed = 1; seed <= seeds; ++seed) {
            const BookingResult result = runBookings(named.m_case, static_cast<std::uint64_t>(seed));
            beyond.add(result.m_beyondOnce);
            wrong.add(result.m_wrongNotRun);
            answered.add(static_cast<double>(result.m_answered) / result.m_bookings);
            notRun.add(static_cast<double>(result.m_toldNotRun) / result.m_bookings);
            unknown.add(static_cast<double>(result.m_unknown) / result.m_bookings);
        }
        std::printf("| %s | %.0f | %s | %s | %s | %s | %s |\n",
                    named.m_name,
                    named.m_case.m_perSecond,
                    beyond.text(Whole).c_str(),
                    wrong.text(Whole).c_str(),
                    answered.text().c_str(),
                    notRun.text().c_str(),
                    unknown.text().c_str());
    }
    for (const double lost : {0.01, 0.1}) {
        Figure naive;
        for (int seed = 1; seed <= seeds; ++seed) {
            naive.add(naiveRunsBeyondOnce(static_cast<std::uint64_t>(seed), lost));
        }
        std::printf("naive (each host knows its own keys only), %.0f %% of the answers lost: %s of 2400 bookings run beyond once\n",
                    100 * lost,
                    naive.text(Whole).c_str());
    }
}

void measureWrites(int seeds)
{
    std::printf("\nwrites to the table for each booking, 36 hosts, 10 s, table up\n| bookings/s | batching | transactions | writes |\n|---|---|---|---|\n");
    for (const double rate : {40.0, 400.0, 2000.0}) {
        for (const std::size_t batch : {std::size_t(1), std::size_t(25)}) {
            Figure transactions, writes;
            for (int seed = 1; seed <= seeds; ++seed) {
                const BookingResult result = runBookings({Fakes::TableFault::None, false, rate, batch, 100, 20}, static_cast<std::uint64_t>(seed));
                transactions.add(result.m_transactions);
                writes.add(result.m_writes);
            }
            std::printf("| %.0f | %s | %s | %s |\n", rate, batch == 1 ? "no" : "yes", transactions.text().c_str(), writes.text().c_str());
        }
    }
}

// Retries and crashing requests: one service of ten servers behind hosts.

std::vector<Node::RowEdit> serviceRows()
{
    using Configuration::RowKind;
    std::vector<Node::RowEdit> rows;
    rows.push_back(Fakes::rowEdit(RowKind::Service, "lookup", {}));
    for (int i = 0; i < 10; ++i) {
        rows.push_back(
            Fakes::rowEdit(RowKind::Server, "s" + std::to_string(i), {{"service", "lookup"}, {"address", "127.0.0.1:1"}, {"domain", "d1"}, {"slots", "100"}}));
    }
    rows.push_back(Fakes::rowEdit(RowKind::Route, "lookup", {{"method", "GET"}, {"path", "/"}, {"service", "lookup"}}));
    rows.push_back(Fakes::rowEdit(RowKind::Workspace, "w1", {{"rate", "100000"}, {"burst", "100000"}}));
    rows.push_back(Fakes::rowEdit(RowKind::Key, "k1", {{"workspace", "w1"}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "secret")}}));
    return rows;
}

constexpr int LookupHosts = 6;

void startFleet(Fakes::FakeFleet &fleet)
{
    for (int host = 0; host < LookupHosts; ++host) {
        fleet.startHost("h" + std::to_string(host), "d1");
    }
    fleet.run(seconds(10));
    fleet.command("h0", Node::EditTable{"c1", "operator", serviceRows()});
    fleet.run(seconds(10));
}

Node::RequestArrived lookup(const std::string &target)
{
    Node::RequestArrived request;
    request.m_method = "GET";
    request.m_path = target;
    request.m_target = target;
    request.m_authorization = "Bearer k1.secret";
    return request;
}

/// Attempts for each request, and the share of requests that were answered without failure.
std::pair<double, double> runFailing(double failing, bool naive, std::uint64_t seed)
{
    constexpr int Requests = 6000;
    Fakes::FakeFleet fleet(seed);
    RandomGenerator random(seed + 1);
    std::set<Node::ExchangeId> good;
    std::map<std::pair<HostId, Node::AttemptId>, bool> failed;
    fleet.m_tune = [naive](Node::NodeSettings &settings) {
        if (naive) {
            settings.m_retries = {1e9, 1e9, 1.0, 0.05};
        }
    };
    fleet.m_backend = [&](const HostId &host, const Node::StartAttempt &start, TimePoint) {
        const bool fails = drawUnit(random) < failing;
        failed[{host, start.m_attempt}] = fails;
        Node::AttemptAnswered answer;
        answer.m_attempt = start.m_attempt;
        answer.m_status = fails ? 500 : 200;
        answer.m_whole = true;
        return std::pair<Duration, Node::Event>(milliseconds(20), answer);
    };
    startFleet(fleet);
    for (int i = 0; i < Requests; ++i) {
        fleet.request("h" + std::to_string(i % LookupHosts), lookup("/" + std::to_string(i)));
        fleet.run(milliseconds(5));
    }
    fleet.run(seconds(5));
    int answered = 0;
    for (const Fakes::CallerAnswer &answer : fleet.m_answers) {
        answered += answer.m_forwarded && !failed.at({answer.m_host, answer.m_attempt}) ? 1 : 0;
    }
    return {static_cast<double>(fleet.m_attempts.size()) / Requests, static_cast<double>(answered) / Requests};
}

void measureRetries(int seeds)
{
    std::printf("\nretries: 6 hosts, 10 servers that each fail a share of the attempts with 500, 6000 idempotent requests\n"
                "| failing | attempts a request | answered well | naive: attempts a request | naive: answered well |\n|---|---|---|---|---|\n");
    for (const double failing : {0.01, 0.1, 0.5, 1.0}) {
        Figure attempts, answered, naiveAttempts, naiveAnswered;
        for (int seed = 1; seed <= seeds; ++seed) {
            const auto ours = runFailing(failing, false, static_cast<std::uint64_t>(seed));
            const auto naive = runFailing(failing, true, static_cast<std::uint64_t>(seed));
            attempts.add(ours.first);
            answered.add(ours.second);
            naiveAttempts.add(naive.first);
            naiveAnswered.add(naive.second);
        }
        std::printf("| %.0f %% | %s | %s | %s | %s |\n",
                    100 * failing,
                    attempts.text().c_str(),
                    answered.text().c_str(),
                    naiveAttempts.text().c_str(),
                    naiveAnswered.text().c_str());
    }
}

/// What one crashing request did that its caller sent 50 times, with innocent requests all around it.
struct CrashResult {
    int m_crashes = 0;
    int m_innocentRefused = 0; ///< By quarantine.
    int m_innocentFailed = 0;
};

CrashResult runCrashing(bool naive, std::uint64_t seed)
{
    constexpr int Sends = 50;
    constexpr int InnocentsASend = 40;
    Fakes::FakeFleet fleet(seed);
    RandomGenerator random(seed + 1);
    CrashResult result;
    std::map<ServerId, std::set<std::pair<HostId, Node::AttemptId>>> running;
    std::set<Node::ExchangeId> crashing;
    fleet.m_tune = [naive](Node::NodeSettings &settings) {
        if (naive) {
            settings.m_suspects.m_refusedAtMost = 0;
        }
    };
    fleet.m_backend = [&](const HostId &host, const Node::StartAttempt &start, TimePoint) {
        running[start.m_server].emplace(host, start.m_attempt);
        if (crashing.contains(start.m_exchange)) {
            fleet.at(milliseconds(5), [&, server = start.m_server] {
                ++result.m_crashes;
                for (const auto &[on, attempt] : std::exchange(running[server], {})) {
                    fleet.deliver(on, Node::AttemptFailed{attempt, Dispatch::AttemptFailure::Broken, true});
                }
            });
            return std::pair<Duration, Node::Event>(seconds(60), Node::AttemptFailed{start.m_attempt, Dispatch::AttemptFailure::TimedOut, true});
        }
        fleet.at(milliseconds(30), [&, server = start.m_server, host, attempt = start.m_attempt] { running[server].erase({host, attempt}); });
        Node::AttemptAnswered answer;
        answer.m_attempt = start.m_attempt;
        answer.m_status = 200;
        answer.m_whole = true;
        return std::pair<Duration, Node::Event>(milliseconds(30), answer);
    };
    startFleet(fleet);
    Node::ExchangeId next = 0;
    const auto send = [&](const std::string &target) { next = fleet.request("h" + std::to_string(drawBelow(random, LookupHosts)), lookup(target)); };
    for (int i = 0; i < Sends; ++i) {
        crashing.insert(next + InnocentsASend / 2 + 1);
        for (int innocent = 0; innocent < InnocentsASend; ++innocent) {
            if (innocent == InnocentsASend / 2) {
                send("/crash");
            }
            send("/" + std::to_string(drawBelow(random, 200)));
            fleet.run(milliseconds(2));
        }
        fleet.run(seconds(1));
    }
    fleet.run(seconds(20));
    for (const Fakes::CallerAnswer &answer : fleet.m_answers) {
        const bool isInnocent = !crashing.contains(answer.m_exchange);
        result.m_innocentRefused += isInnocent && answer.m_problem.m_id == ErrorId::RequestQuarantined ? 1 : 0;
        result.m_innocentFailed += isInnocent && !answer.m_forwarded ? 1 : 0;
    }
    return result;
}

void measureCrashes(int seeds)
{
    std::printf("\ncrashing request: sent 50 times to random ones of 6 hosts before 10 servers, 2000 innocent requests around it\n"
                "| | servers crashed | innocent requests quarantined | innocent requests failed |\n|---|---|---|---|\n");
    for (const bool naive : {false, true}) {
        Figure crashes, refused, failed;
        for (int seed = 1; seed <= seeds; ++seed) {
            const CrashResult result = runCrashing(naive, static_cast<std::uint64_t>(seed));
            crashes.add(result.m_crashes);
            refused.add(result.m_innocentRefused);
            failed.add(result.m_innocentFailed);
        }
        std::printf("| %s | %s | %s | %s |\n",
                    naive ? "naive: no quarantine" : "ours",
                    crashes.text(Whole).c_str(),
                    refused.text(Whole).c_str(),
                    failed.text(Whole).c_str());
    }
}

}

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 5;
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    measureBookings(seeds);
    measureWrites(seeds);
    measureRetries(seeds);
    measureCrashes(seeds);
    return 0;
}
