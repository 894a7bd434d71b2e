#include <ragwortrelay/runtime/wakeup.h>

#include <cerrno>
#include <cstdint>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace RagwortRelay::Runtime {

Wakeup::Wakeup() : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

Wakeup::~Wakeup()
{
    close(m_descriptor);
}

void Wakeup::notify() const
{
    const std::uint64_t one = 1;
    // The only failure is a full counter, and then the descriptor is readable already.
    [[maybe_unused]] const ssize_t written = write(m_descriptor, &one, sizeof one);
}

void Wakeup::clear() const
{
    std::uint64_t count = 0;
    // The only failure is an empty counter, and then there is nothing to clear.
    [[maybe_unused]] const ssize_t got = read(m_descriptor, &count, sizeof count);
}

}
