#pragma once

#include <utility>

namespace RagwortRelay::Loop::detail {

/// Runs a task of one connection. An exception closes that connection before it passes on to runEventLoop(), which reports it. Not
/// thread-safe. Precondition: `onException` doesn't throw for a connection that is closed already.
template<typename Task, typename Cleanup> void runGuarded(Task &&task, Cleanup &&onException)
{
    try {
        std::forward<Task>(task)();
    } catch (...) {
        std::forward<Cleanup>(onException)();
        throw;
    }
}

}
