#pragma once

#include <ragwortrelay/host/state.h>

namespace RagwortRelay::Host::detail {

// Requests

void onRequestArrived(State &state, const RequestArrived &request, TimePoint now, Actions &actions);
void onCallerGone(State &state, const CallerGone &gone, TimePoint now, Actions &actions);

/// Answers the caller with a refusal, and forgets the request. A request that may have run is never told that it was not run.
void refuse(State &state, ExchangeId id, const Dispatch::Problem &problem, TimePoint now, Actions &actions);

/// Forgets a request; attempts of it that run are cancelled.
void endExchange(State &state, ExchangeId id, TimePoint now, Actions &actions);

/// Does what is due for a request by time.
void onDeadline(State &state, ExchangeId id, TimePoint now, Actions &actions);
void onHedgeDue(State &state, ExchangeId id, TimePoint now, Actions &actions);

// Attempts

/// Asks for a server for the next attempt of a request.
void drawServer(State &state, ExchangeId id, Scheduling::DrawPurpose purpose, TimePoint now, Actions &actions);

/// Takes in the answer to a draw.
void onDrawAnswered(State &state, const Scheduling::DrawAnswer &answer, TimePoint now, Actions &actions);

void onAttemptAnswered(State &state, const AttemptAnswered &answer, TimePoint now, Actions &actions);
void onAttemptFailed(State &state, const AttemptFailed &failure, TimePoint now, Actions &actions);
void onAttemptEnded(State &state, const AttemptEnded &ended, TimePoint now, Actions &actions);
void onServerCloses(State &state, const ServerCloses &closes, TimePoint now);

/// Tells the scheduler that an attempt has ended and forgets it; returns it, or nothing when it is unknown.
std::optional<Attempt> finishAttempt(State &state, AttemptId id, Scheduling::AttemptEnd end, const std::optional<Http::LoadReport> &load, TimePoint now);

// Configuration and servers

void onStoreAnswered(State &state, const StoreAnswered &answer, TimePoint now, Actions &actions);

/// Starts the calls to the store that are due.
void callStore(State &state, TimePoint now, Actions &actions);

/// Returns how old the configuration may be at most; nothing before the first one.
std::optional<Duration> configurationAge(const State &state, TimePoint now);

/// Tells whether the configuration is recent enough for requests of workspaces.
bool mayServeWorkspaces(const State &state, TimePoint now);

/// Adds a line to the log.
void log(Actions &actions, Reporting::LogLine line);

}
