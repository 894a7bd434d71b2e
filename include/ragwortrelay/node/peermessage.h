#pragma once

#include <ragwortrelay/configuration/messages.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/dispatch/messages.h>
#include <ragwortrelay/health/messages.h>
#include <ragwortrelay/limits/messages.h>
#include <ragwortrelay/membership/messages.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace RagwortRelay::Node {

/// What hosts tell one another. The position of a type is its number on the wire: new ones go to the end.
using PeerMessage = std::variant<Membership::Heartbeat,
                                 Health::EvidenceReport,
                                 Health::ServiceVerdicts,
                                 Dispatch::CrashReport,
                                 Limits::LoanRequest,
                                 Limits::LoanAnswer,
                                 Configuration::Hint,
                                 Configuration::Ask,
                                 Configuration::Attest,
                                 Configuration::Fetch,
                                 Configuration::RecentChanges,
                                 Configuration::TablePart>;

/// Messages of one host to another that travel together.
struct PeerBatch {
    HostId m_from;
    Membership::Incarnation m_incarnation = 0;
    HostId m_to;
    std::vector<PeerMessage> m_messages;

    friend bool operator==(const PeerBatch &, const PeerBatch &) = default;
};

}
