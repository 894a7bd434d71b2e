#include <ragwortrelay/reporting/burn.h>

#include <nlohmann/json.hpp>

namespace RagwortRelay::Reporting {

namespace {

using Json = nlohmann::json;

Json encodeHour(const HourRecord &hour)
{
    // Most minutes and bins are empty, so that only the non-empty ones are written, each as [index, ...].
    Json minutes = Json::array();
    for (std::size_t minute = 0; minute < MinutesPerHour; ++minute) {
        const MinuteCount count = minuteCount(hour, minute);
        if (count != MinuteCount{}) {
            minutes.push_back({minute, count.m_good, count.m_slow, count.m_failed});
        }
    }
    Json bins = Json::array();
    for (int bin = -1; bin <= hour.m_latency.axis(0).size(); ++bin) {
        const auto count = static_cast<std::uint64_t>(hour.m_latency.at(bin));
        if (count > 0) {
            bins.push_back({bin, count});
        }
    }
    return Json{{"minutes", minutes}, {"latency", bins}};
}

HourRecord decodeHour(const Json &json)
{
    HourRecord hour;
    for (const Json &entry : json.at("minutes")) {
        const int minute = entry.at(0).get<int>();
        for (int quality = 0; quality < 3; ++quality) {
            hour.m_quality.at(minute, quality) = entry.at(static_cast<std::size_t>(quality) + 1).get<double>();
        }
    }
    for (const Json &entry : json.at("latency")) {
        hour.m_latency.at(entry.at(0).get<int>()) = entry.at(1).get<double>();
    }
    return hour;
}

Json encodeWindow(const WindowBurn &window)
{
    return Json{{"name", window.m_name},
                {"minutes", window.m_minutes},
                {"requests", window.m_requests},
                {"slow", window.m_slow},
                {"failed", window.m_failed},
                {"burnRate", window.m_burnRate}};
}

WindowBurn decodeWindow(const Json &json)
{
    WindowBurn window;
    window.m_name = json.at("name").get<std::string>();
    window.m_minutes = json.at("minutes").get<std::int64_t>();
    window.m_requests = json.at("requests").get<std::uint64_t>();
    window.m_slow = json.at("slow").get<std::uint64_t>();
    window.m_failed = json.at("failed").get<std::uint64_t>();
    window.m_burnRate = json.at("burnRate").get<double>();
    return window;
}

Json encodeService(const ServiceBurn &burn)
{
    Json windows = Json::array();
    for (const WindowBurn &window : burn.m_windows) {
        windows.push_back(encodeWindow(window));
    }
    Json points = Json::array();
    for (const BurnPoint &point : burn.m_lastHour) {
        points.push_back({point.m_at, point.m_count.m_good, point.m_count.m_slow, point.m_count.m_failed});
    }
    return Json{{"service", burn.m_objective.m_service.text()},
                {"goodShare", burn.m_objective.m_goodShare},
                {"latencyMicroseconds", burn.m_objective.m_latency.count()},
                {"windows", windows},
                {"medianMicroseconds", burn.m_median.count()},
                {"p99Microseconds", burn.m_p99.count()},
                {"lastHour", points},
                {"fast", burn.m_isFastBurn},
                {"steady", burn.m_isSteadyBurn}};
}

ServiceBurn decodeService(const Json &json)
{
    ServiceBurn burn;
    burn.m_objective.m_service = ServiceId(json.at("service").get<std::string>());
    burn.m_objective.m_goodShare = json.at("goodShare").get<double>();
    burn.m_objective.m_latency = Duration(json.at("latencyMicroseconds").get<std::int64_t>());
    for (const Json &window : json.at("windows")) {
        burn.m_windows.push_back(decodeWindow(window));
    }
    burn.m_median = Duration(json.at("medianMicroseconds").get<std::int64_t>());
    burn.m_p99 = Duration(json.at("p99Microseconds").get<std::int64_t>());
    for (const Json &point : json.at("lastHour")) {
        const MinuteCount count{point.at(1).get<std::uint64_t>(), point.at(2).get<std::uint64_t>(), point.at(3).get<std::uint64_t>()};
        burn.m_lastHour.push_back({point.at(0).get<UnixSeconds>(), count});
    }
    burn.m_isFastBurn = json.at("fast").get<bool>();
    burn.m_isSteadyBurn = json.at("steady").get<bool>();
    return burn;
}

}

std::string encodeLevels(const ServiceLevels &levels)
{
    Json services = Json::object();
    for (const auto &[service, hours] : levels.m_hours) {
        Json encodedHours = Json::array();
        for (const auto &[hour, record] : hours) {
            encodedHours.push_back(Json{{"hour", hour}, {"record", encodeHour(record)}});
        }
        services[service.text()] = encodedHours;
    }
    return services.dump();
}

ServiceLevels decodeLevels(const std::string &body)
{
    ServiceLevels levels;
    try {
        const Json services = Json::parse(body);
        for (const auto &[service, hours] : services.items()) {
            for (const Json &entry : hours) {
                levels.m_hours[ServiceId(service)][entry.at("hour").get<std::int64_t>()] = decodeHour(entry.at("record"));
            }
        }
    } catch (const std::exception &) {
        // The hours decoded so far remain usable. A record written by another version of the program has no other reader.
    }
    return levels;
}

std::string encodeReport(const BurnReport &report)
{
    Json services = Json::array();
    for (const ServiceBurn &burn : report.m_services) {
        services.push_back(encodeService(burn));
    }
    return Json{{"at", report.m_at}, {"records", report.m_records}, {"complete", report.m_complete}, {"services", services}}.dump();
}

BurnReport decodeReport(const std::string &text)
{
    const Json json = Json::parse(text);
    BurnReport report;
    report.m_at = json.at("at").get<UnixSeconds>();
    report.m_records = json.at("records").get<std::size_t>();
    report.m_complete = json.at("complete").get<bool>();
    for (const Json &service : json.at("services")) {
        report.m_services.push_back(decodeService(service));
    }
    return report;
}

}
