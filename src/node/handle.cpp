#include <ragwortrelay/detail/node/duties.h>

#include <type_traits>

namespace RagwortRelay::Node {

namespace detail {

void callPlatform(Node &node, const Platform::Call &request, const PendingCall &pending, Actions &actions)
{
    const PlatformCallId id = ++node.m_lastCall;
    node.m_calls.emplace(id, pending);
    actions.push_back(CallPlatform{id, request});
}

namespace {

void onPlatformAnswered(Node &node, const PlatformAnswered &answer, TimePoint now, Actions &actions)
{
    const auto found = node.m_calls.find(answer.m_call);
    if (found == node.m_calls.end()) {
        return;
    }
    const PendingCall call = found->second;
    node.m_calls.erase(found);
    switch (call.m_purpose) {
    case PlatformPurpose::PollChanges:
    case PlatformPurpose::ReadChangeObject:
    case PlatformPurpose::ReadSnapshotName:
    case PlatformPurpose::ReadSnapshot:
    case PlatformPurpose::LookUpChange:
    case PlatformPurpose::WriteChangeObject:
    case PlatformPurpose::AppendChanges:
    case PlatformPurpose::WriteSnapshot:
    case PlatformPurpose::CheckSnapshotName:
    case PlatformPurpose::WriteSnapshotName:
    case PlatformPurpose::ReadOldChanges:
    case PlatformPurpose::TrimChanges:
        return onConfigurationAnswered(node, call, answer.m_result, now, actions);
    case PlatformPurpose::ListTargets:
        return onTargetsListed(node, answer.m_result);
    case PlatformPurpose::StoreServiceLevels:
        return onServiceLevelsStored(node, answer.m_result);
    case PlatformPurpose::ReadServiceLevels:
        return onServiceLevelsRead(node, call, answer.m_result, actions);
    case PlatformPurpose::Membership:
        return onMembershipAnswered(node, call.m_membershipCall, answer.m_result, now, actions);
    case PlatformPurpose::Claim:
        return onClaimAnswered(node, call, answer.m_result, now, actions);
    }
}

void setReadiness(Node &node, bool ready, Actions &actions)
{
    if (node.m_ready == ready) {
        return;
    }
    node.m_ready = ready;
    actions.push_back(SetReadiness{ready});
    actions.push_back(LogChange{ready ? "host is ready" : "host is not ready"});
}

void onStopAsked(Node &node, TimePoint now, Actions &actions)
{
    if (!node.m_stopAskedAt) {
        node.m_stopAskedAt = now;
        Membership::startLeaving(node.m_membership, now);
        actions.push_back(LogChange{"graceful shutdown started"});
    }
}

/// Given to giving up the seat while the platform answers; a seat that is left behind is reclaimed by others.
constexpr Duration LongestWaitToLeave = std::chrono::seconds(5);

void stopWhenIdle(Node &node, TimePoint now, Actions &actions)
{
    if (!node.m_stopAskedAt || node.m_exited) {
        return;
    }
    const Duration stoppingFor = now - *node.m_stopAskedAt;
    const bool isIdle = stoppingFor >= node.m_settings.m_balancerLag && node.m_exchanges.empty() && node.m_claims.m_claims.empty();
    if (isIdle && giveUpLimits(node, now, actions)) {
        Membership::allowLeave(node.m_membership);
    }
    const bool hasLeft = Membership::isWithoutSeat(node.m_membership) || stoppingFor >= node.m_settings.m_balancerLag + LongestWaitToLeave;
    if ((isIdle && hasLeft) || stoppingFor >= node.m_settings.m_stopLimit) {
        node.m_exited = true;
        actions.push_back(Exit{});
    }
}

void onTicked(Node &node, TimePoint now, Actions &actions)
{
    tickConfiguration(node, now, actions);
    tickMembership(node, now, actions);
    tickHealth(node, now, actions);
    tickLimits(node, now, actions);
    storeServiceLevels(node, now, actions);
    tickClaims(node, now, actions);
    tickSuspects(node, now);
    advanceWaiting(node, now, actions);
    setReadiness(node, mayServeWorkspaces(node, now) && node.m_table.m_version > 0 && !node.m_stopAskedAt, actions);
    stopWhenIdle(node, now, actions);
}

}

}

Node makeNode(const NodeSettings &settings, std::uint64_t seed)
{
    Node node;
    node.m_settings = settings;
    node.m_random.seed(seed);
    node.m_membership = Membership::makeMembership(detail::membershipSettingsOf(settings), node.m_random);
    node.m_claims.m_settings = settings.m_claims;
    node.m_claims.m_settings.m_owner = settings.m_host.text() + '/' + std::to_string(settings.m_incarnation) + '/' + std::to_string(node.m_random());
    node.m_limits.m_settings = settings.m_limits;
    node.m_limits.m_self = {settings.m_host, settings.m_incarnation};
    return node;
}

Actions handle(Node &node, const Event &event, TimePoint now)
{
    Actions actions;
    detail::observeEvent(node, event, now);
    std::visit(
        [&](const auto &typed) {
            using Type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Type, RequestArrived>) {
                detail::onRequestArrived(node, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, CallerGone>) {
                detail::onCallerGone(node, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptAnswered>) {
                detail::onAttemptAnswered(node, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptFailed>) {
                detail::onAttemptFailed(node, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptEnded>) {
                detail::onAttemptEnded(node, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, PlatformAnswered>) {
                detail::onPlatformAnswered(node, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, PeerSpoke>) {
                detail::onPeerSpoke(node, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, OperatorAsked>) {
                detail::onOperatorAsked(node, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, StopAsked>) {
                detail::onStopAsked(node, now, actions);
            } else {
                detail::onTicked(node, now, actions);
            }
        },
        event);
    detail::serveQueues(node, now, actions);
    detail::performClaimVerdicts(node, now, actions);
    detail::observeActions(node, actions, now);
    return actions;
}

}
