#include <ragwortrelay/loop/eventloop.h>

namespace RagwortRelay::Loop {

void runEventLoop(asio::io_context &context, const std::function<void(const std::exception &)> &onException)
{
    bool isRunning = true;
    while (isRunning) {
        try {
            context.run();
            isRunning = false;
        } catch (const std::exception &exception) {
            onException(exception);
        }
    }
}

}
