#pragma once

#include <ragwortrelay/loop/asio.h>

#include <exception>
#include <functional>

namespace RagwortRelay::Loop {

/// Runs the event loop until it is stopped or has no work. An exception that leaves a handler is reported and the loop goes on, so that one
/// connection or datagram can't end the process. Call on the thread that uses the connections of the context.
/// @param onException must not throw
void runEventLoop(asio::io_context &context, const std::function<void(const std::exception &)> &onException);

}
