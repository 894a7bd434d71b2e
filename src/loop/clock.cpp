#include <ragwortrelay/loop/clock.h>

#include <ctime>

namespace RagwortRelay::Loop {

TimePoint currentTime()
{
    constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
    constexpr std::int64_t NanosecondsPerMicrosecond = 1'000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(Duration(time.tv_sec * MicrosecondsPerSecond + time.tv_nsec / NanosecondsPerMicrosecond));
}

}
