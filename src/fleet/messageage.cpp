#include <ragwortrelay/fleet/messageage.h>

#include <algorithm>

namespace RagwortRelay::Fleet {

Duration recordMessage(MessageAge &age, Duration sentAt, TimePoint receivedAt)
{
    constexpr Duration Window = std::chrono::seconds(5);
    constexpr Duration MaxAge = std::chrono::seconds(5); // More than a queue of datagrams holds.
    const Duration offset = receivedAt.time_since_epoch() - sentAt;
    const bool isClockSetBack = age.m_minOffset && offset - std::min(*age.m_minOffset, age.m_lastMinOffset) > MaxAge;
    if (!age.m_minOffset || isClockSetBack) {
        age = {offset, offset, receivedAt};
    } else if (receivedAt - age.m_windowStart >= Window) {
        age = {offset, *age.m_minOffset, receivedAt};
    } else {
        age.m_minOffset = std::min(*age.m_minOffset, offset);
    }
    return offset - std::min(*age.m_minOffset, age.m_lastMinOffset);
}

}
