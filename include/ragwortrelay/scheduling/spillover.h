#pragma once

#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <string>

/// Decides which requests leave the failure domain of their host, by the load of its servers, the size of the request and a price.
namespace RagwortRelay::Scheduling {

/// Settings of requests to other failure domains. Prices are relative to the value of one request; without any, the module has no effect.
struct SpilloverSettings {
    double m_pricePerKib = 0.0; ///< Price of a KiB that crosses between failure domains.
    double m_pricePerMs = 0.0; ///< Price of a millisecond of latency between failure domains.
    Duration m_latency{std::chrono::milliseconds(2)}; ///< Latency that another failure domain adds to a request, there and back.
    Duration m_fastAveragingTime{std::chrono::milliseconds(500)}; ///< Averaging time of the present rate.
    Duration m_slowAveragingTime{std::chrono::milliseconds(1500)}; ///< Averaging time of the earlier rate, which gives the slope.
    Duration m_horizon{std::chrono::milliseconds(300)}; ///< How far ahead the rate is extrapolated.
    Duration m_capacityCheckInterval{std::chrono::milliseconds(100)}; ///< Interval between counts of the slots of a failure domain.
    double m_startAbove = 0.95; ///< Expected utilization of a failure domain's own servers from which requests leave it.
    double m_stopBelow = 0.85; ///< Lower utilization at which that ends, so that small changes of the rate don't switch it.
    double m_maxSpillPrice = 0.5; ///< Price above which no request leaves in order to keep the queue short.

    friend bool operator==(const SpilloverSettings &, const SpilloverSettings &) = default;
};

/// Demand of one failure domain for one service.
struct DomainDemand {
    double m_fastRate = 0.0; ///< Requests per second, averaged over m_fastAveragingTime.
    double m_slowRate = 0.0; ///< Requests per second, averaged over m_slowAveragingTime.
    TimePoint m_updatedAt{};
    double m_capacity = 0.0; ///< Requests per second that the failure domain's own healthy servers can take.
    double m_receivedRate = 0.0; ///< Requests per second from other failure domains, averaged over m_fastAveragingTime.
    TimePoint m_receivedAt{};
    bool m_isSpilling = false; ///< Whether a share of the requests leaves the failure domain.
    double m_spillShare = 0.0; ///< Share of the requests that is to leave, 0 to 1.
    double m_maxSpillKib = 0.0; ///< Size up to which requests leave, such that they make up the share.

    friend bool operator==(const DomainDemand &, const DomainDemand &) = default;
};

/// Reason why a request is sent to another failure domain.
enum class SpilloverReason : std::uint8_t {
    OwnServersFull, ///< The failure domain's own servers are full or are expected to be.
    OwnServersSick, ///< No healthy server of the failure domain itself is usable.
    PriceBelowBenefit, ///< Waiting for a server of its own would cost the request more than the price.
    UnusedServer, ///< A server without recent requests has to be used.
    Last = UnusedServer,
};

/// Returns the name of a reason for metrics. Thread-safe, like all functions in this file.
std::string toString(SpilloverReason reason);

/// Tells whether a price is set.
bool isEnabled(const SpilloverSettings &settings);

/// Returns the price of sending a request of a size to another failure domain.
double spilloverPrice(const SpilloverSettings &settings, double kib);

/// Returns the rate that is expected at the horizon, in requests per second.
double expectedRate(const DomainDemand &demand, const SpilloverSettings &settings, TimePoint now);

/// Returns the expected utilization of the failure domain's own servers; above 1 they can't take all requests.
double expectedUtilization(const DomainDemand &demand, const SpilloverSettings &settings, TimePoint now);

/// Returns the demand after the arrival of a request.
/// @param kib size of the request
DomainDemand afterArrival(const DomainDemand &demand, const SpilloverSettings &settings, double kib, TimePoint now);

/// Returns the demand of a failure domain after its servers got a request of another one.
DomainDemand afterReceipt(const DomainDemand &demand, const SpilloverSettings &settings, TimePoint now);

/// Tells whether a request is among those that leave its failure domain before the queue grows. Small ones go first.
bool shouldLeave(const DomainDemand &demand, const SpilloverSettings &settings, double kib);

/// Tells whether requests of a failure domain may go to another one: never to one that spills itself or is as full.
bool mayReceive(const DomainDemand &target, const DomainDemand &source, const SpilloverSettings &settings, TimePoint now);

/// Returns how long a request waits for a slot of its own failure domain when all are taken: until the next one is free, plus the time that
/// the excess of one second takes.
Duration expectedWait(const DomainDemand &demand, const SpilloverSettings &settings, TimePoint now);

/// Returns what waiting costs a request: the part of the time to its latency objective that the wait takes up, at most 1.
/// @param spare time to the latency objective beyond the usual latency; not positive when the objective is missed anyway
double waitingCost(Duration wait, Duration spare);

}
