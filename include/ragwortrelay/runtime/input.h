#pragma once

#include <ragwortrelay/node/event.h>
#include <ragwortrelay/runtime/message.h>
#include <ragwortrelay/runtime/ring.h>

#include <memory>

namespace RagwortRelay::Runtime {

/// What other duties hand to the decision duty.
struct DecisionInput {
    Node::Event m_event;
    std::shared_ptr<const CallerRequest> m_request; ///< Of RequestArrived.
};

using DecisionRing = Ring<DecisionInput>;

/// Adds an event that must not be lost; waits while the ring is full. Thread-safe.
/// Precondition: not called by the decision duty, which drains the ring.
void pushWaiting(DecisionRing &ring, const Node::Event &event);

}
