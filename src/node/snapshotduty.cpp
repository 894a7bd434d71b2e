#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/detail/node/duties.h>

namespace RagwortRelay::Node::detail {

namespace {

void startStep(Node &node, const Platform::Call &request, PlatformPurpose purpose, std::uint64_t version, TimePoint now, Actions &actions)
{
    callPlatform(node, request, {purpose, 0, now, version}, actions);
}

void writeName(Node &node, std::uint64_t version, const Platform::ItemRead &read, TimePoint now, Actions &actions)
{
    const std::uint64_t stored = read.m_item ? read.m_item->m_version : 0;
    if (stored >= version) {
        node.m_configuration.m_snapshotRuns = false;
        return;
    }
    Platform::Write write;
    write.m_key = Configuration::snapshotKey();
    write.m_expectedVersion = stored;
    write.m_version = version;
    write.m_body = Configuration::snapshotObject(version);
    startStep(node, Platform::Transact{{write}}, PlatformPurpose::WriteSnapshotName, version, now, actions);
}

void readOldChanges(Node &node, std::uint64_t version, TimePoint now, Actions &actions)
{
    const std::uint64_t kept = node.m_settings.m_configuration.m_logKept;
    if (version <= kept) {
        node.m_configuration.m_snapshotRuns = false;
        return;
    }
    startStep(node, Configuration::changesBefore(version - kept), PlatformPurpose::ReadOldChanges, version, now, actions);
}

void trim(Node &node, std::uint64_t version, const Platform::ItemsRead &read, TimePoint now, Actions &actions)
{
    const Platform::Transact transact = Configuration::trimTransaction(read);
    if (transact.m_writes.empty()) {
        node.m_configuration.m_snapshotRuns = false;
        return;
    }
    startStep(node, transact, PlatformPurpose::TrimChanges, version, now, actions);
}

}

void writeSnapshot(Node &node, std::uint64_t firstVersion, TimePoint now, Actions &actions)
{
    const std::uint64_t every = node.m_settings.m_configuration.m_snapshotEvery;
    const std::uint64_t version = node.m_table.m_version;
    const bool isDue = version / every > (firstVersion - 1) / every;
    if (!isDue || node.m_configuration.m_snapshotRuns) {
        return;
    }
    node.m_configuration.m_snapshotRuns = true;
    const std::string content = Configuration::encodeSnapshot({node.m_table, node.m_configuration.m_headChange});
    startStep(node, Platform::PutObject{Configuration::snapshotObject(version), content}, PlatformPurpose::WriteSnapshot, version, now, actions);
}

void onSnapshotStep(Node &node, const PendingCall &call, const Platform::Result &result, TimePoint now, Actions &actions)
{
    const bool isWritten = std::holds_alternative<Platform::Written>(result);
    if (call.m_purpose == PlatformPurpose::WriteSnapshot && isWritten) {
        return startStep(node, Platform::GetItem{Configuration::snapshotKey()}, PlatformPurpose::CheckSnapshotName, call.m_version, now, actions);
    }
    if (const auto *item = std::get_if<Platform::ItemRead>(&result)) {
        return writeName(node, call.m_version, *item, now, actions);
    }
    if (const auto *changes = std::get_if<Platform::ItemsRead>(&result)) {
        return trim(node, call.m_version, *changes, now, actions);
    }
    if (isWritten) {
        return readOldChanges(node, call.m_version, now, actions);
    }
    // The next snapshot tries again.
    node.m_configuration.m_snapshotRuns = false;
}

}
