#include <ragwortrelay/health/evidence.h>

#include <algorithm>
#include <cmath>

namespace RagwortRelay::Health {

namespace {

/// Time in which the suspicion of a host fades to one half.
constexpr Duration SuspicionHalfLife = std::chrono::seconds(5);

/// A host's own suspicion grows no further than this many times its threshold.
constexpr double MostThresholds = 3.0;

ServerEvidence *entryOf(EvidenceBook &book, const ServerId &server)
{
    const auto found = book.m_servers.find(server);
    if (found != book.m_servers.end()) {
        return &found->second;
    }
    if (book.m_servers.size() >= MostServersInReport) {
        return nullptr;
    }
    ServerEvidence &added = book.m_servers[server];
    added.m_server = server;
    return &added;
}

void addTime(ServerEvidence &evidence, Duration time)
{
    constexpr double MicrosecondsPerMillisecond = 1000.0;
    constexpr double LeastMilliseconds = 0.1;
    const double milliseconds = std::max(LeastMilliseconds, static_cast<double>(time.count()) / MicrosecondsPerMillisecond);
    const double logTime = std::log2(milliseconds);
    ++evidence.m_timed;
    evidence.m_logTimes += logTime;
    evidence.m_squaredLogTimes += logTime * logTime;
}

void addSample(ServerEvidence &evidence, const FailureSample &sample)
{
    if (evidence.m_samples.size() < MostSamplesOfServer) {
        evidence.m_samples.push_back(sample);
    }
}

void updateFailureRun(EvidenceBook &book, const Work &work, TimePoint now)
{
    constexpr std::uint32_t FailuresInRow = 5;
    constexpr Duration EjectionTime = std::chrono::seconds(30);
    if (work.m_outcome == WorkOutcome::Succeeded) {
        book.m_failureRuns.erase(work.m_server);
        return;
    }
    FailureRun &run = book.m_failureRuns[work.m_server];
    if (++run.m_failures >= FailuresInRow) {
        run = {0, now + EjectionTime};
    }
}

void updateSuspicion(EvidenceBook &book, const HealthSettings &settings, const Work &work, TimePoint now)
{
    const bool failed = work.m_outcome != WorkOutcome::Succeeded;
    const double change = failureEvidence(failed ? 1.0 : 0.0, failed ? 0.0 : 1.0, settings.m_usualFailureRate, settings.m_sickFailureRate);
    const double value = std::clamp(localSuspicion(book, work.m_server, now) + change, 0.0, MostThresholds * settings.m_avoidanceThreshold);
    if (value == 0.0) {
        book.m_suspicions.erase(work.m_server);
    } else {
        book.m_suspicions[work.m_server] = {value, now};
    }
}

}

double failureEvidence(double failed, double succeeded, double usualRate, double sickRate)
{
    return failed * std::log(sickRate / usualRate) + succeeded * std::log((1.0 - sickRate) / (1.0 - usualRate));
}

void noteWork(EvidenceBook &book, const HealthSettings &settings, const Work &work, TimePoint now)
{
    if (settings.m_policy == EjectionPolicy::OwnFailures) {
        return updateFailureRun(book, work, now);
    }
    updateSuspicion(book, settings, work, now);
    ServerEvidence *evidence = entryOf(book, work.m_server);
    if (evidence == nullptr) {
        return;
    }
    if (work.m_time) {
        addTime(*evidence, *work.m_time);
    }
    if (work.m_outcome == WorkOutcome::Succeeded) {
        ++evidence->m_succeeded;
        return;
    }
    ++evidence->m_failed;
    if (work.m_outcome == WorkOutcome::Unreachable) {
        ++evidence->m_unreachable;
    } else {
        addSample(*evidence, work.m_sample);
    }
}

void noteOverdue(EvidenceBook &book, const ServerId &server, Duration age)
{
    ServerEvidence *evidence = entryOf(book, server);
    if (evidence != nullptr) {
        addTime(*evidence, age);
    }
}

void noteSucceededElsewhere(EvidenceBook &book, const ServerId &server, FailureSample sample)
{
    sample.m_succeededElsewhere = true;
    ServerEvidence *evidence = entryOf(book, server);
    if (evidence == nullptr) {
        return;
    }
    const auto same = std::find_if(
        evidence->m_samples.begin(), evidence->m_samples.end(), [&sample](const FailureSample &known) { return known.m_request == sample.m_request; });
    if (same != evidence->m_samples.end()) {
        same->m_succeededElsewhere = true;
    } else {
        addSample(*evidence, sample);
    }
}

void noteDraining(EvidenceBook &book, const ServerId &server)
{
    ServerEvidence *evidence = entryOf(book, server);
    if (evidence != nullptr) {
        evidence->m_draining = true;
    }
}

double localSuspicion(const EvidenceBook &book, const ServerId &server, TimePoint now)
{
    const auto found = book.m_suspicions.find(server);
    if (found == book.m_suspicions.end()) {
        return 0.0;
    }
    const auto age = static_cast<double>((now - found->second.m_updatedAt).count());
    return found->second.m_value * std::exp2(-age / static_cast<double>(SuspicionHalfLife.count()));
}

std::vector<ServerEvidence> takeEvidence(EvidenceBook &book, const std::vector<ServerId> &servers)
{
    std::vector<ServerEvidence> taken;
    for (const ServerId &server : servers) {
        const auto found = book.m_servers.find(server);
        if (found != book.m_servers.end()) {
            taken.push_back(std::move(found->second));
            book.m_servers.erase(found);
        }
    }
    return taken;
}

}
