#pragma once

#include <ragwortrelay/node/node.h>

namespace RagwortRelay::Node::detail {

// Requests

void onRequestArrived(Node &node, const RequestArrived &request, TimePoint now, Actions &actions);
void onCallerGone(Node &node, const CallerGone &gone, Actions &actions);
void onAttemptAnswered(Node &node, const AttemptAnswered &answer, TimePoint now, Actions &actions);
void onAttemptFailed(Node &node, const AttemptFailed &failure, TimePoint now, Actions &actions);
void onAttemptEnded(Node &node, const AttemptEnded &ended);

// Configuration

/// Starts a read of the changes when the last one is old enough.
void pollConfiguration(Node &node, TimePoint now, Actions &actions);
void onChangesRead(Node &node, const Platform::Result &result, TimePoint now, Actions &actions);
void onChangeAppended(Node &node, const PendingCall &call, const Platform::Result &result, TimePoint now, Actions &actions);

/// Appends the change of an edit to the chain, or answers what stands against it.
void startEdit(Node &node, OperatorCallId call, const EditTable &edit, Actions &actions);

// Operators

void onOperatorAsked(Node &node, const OperatorAsked &asked, Actions &actions);

// Calls to the platform

/// Starts a call and remembers what it is for.
void callPlatform(Node &node, const Platform::Call &request, PendingCall pending, Actions &actions);

}
