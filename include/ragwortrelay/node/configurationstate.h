#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/configuration/edit.h>
#include <ragwortrelay/configuration/freshness.h>
#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RagwortRelay::Node {

/// How a host keeps its configuration up to date.
struct ConfigurationSettings {
    Duration m_isolationAfter{std::chrono::seconds(8)}; ///< Without a confirmed version, until the host may be isolated.
    Duration m_editLimit{std::chrono::seconds(20)}; ///< Longest time that an edit is tried.
    std::size_t m_hintPeers = 6; ///< Hosts that each host tells of a new version; 0 for none.
    std::size_t m_largestHint = 4096; ///< Bytes of a change that travels with its hint.
    std::uint32_t m_pollsPerSecond = 200; ///< Of the whole fleet; a larger fleet polls less often.
    std::uint64_t m_snapshotEvery = 64; ///< Versions between two snapshots.
    std::uint64_t m_logKept = 256; ///< Versions before the newest snapshot whose log items and change ids are kept.

    friend bool operator==(const ConfigurationSettings &, const ConfigurationSettings &) = default;
};

/// A change of late, kept for hosts that lack it.
struct RecentChange {
    std::uint64_t m_version = 0;
    std::string m_body;

    friend bool operator==(const RecentChange &, const RecentChange &) = default;
};

/// An edit that this host took from an operator.
struct QueuedEdit {
    std::uint64_t m_call = 0; ///< Number of the operator's command.
    Configuration::EditTable m_edit;
    TimePoint m_arrivedAt;
    bool m_mayBeWritten = false; ///< A write was sent whose answer is unknown.
    bool m_wasLookedUp = false; ///< The store has said that it doesn't know the change id, and the edit wasn't sent since.
    bool m_hasObject = false; ///< The object of a large change is written.

    friend bool operator==(const QueuedEdit &, const QueuedEdit &) = default;
};

/// Edits that aren't answered yet.
struct EditQueue {
    std::deque<QueuedEdit> m_edits; ///< Oldest first.
    std::vector<Configuration::EncodedChange> m_running; ///< Changes that the running write appends.
    std::string m_subject; ///< Id of the change that is being looked up, or whose object is being written.
    bool m_isBusy = false; ///< A call for one or more edits runs.
    std::optional<TimePoint> m_retryAt; ///< No write before this time.

    friend bool operator==(const EditQueue &, const EditQueue &) = default;
};

/// A table that is being fetched from other hosts.
struct PartialTable {
    std::uint64_t m_version = 0;
    std::string m_bytes;

    friend bool operator==(const PartialTable &, const PartialTable &) = default;
};

/// What a host knows about the configuration, beside the table itself.
struct ConfigurationState {
    Configuration::FreshnessState m_freshness;
    Configuration::Freshness m_mode = Configuration::Freshness::Isolated; ///< As of the last tick.
    std::map<HostId, Configuration::HostEntry> m_roster; ///< From membership, or from other hosts while membership has none.
    std::map<HostId, std::string> m_addresses; ///< Of hosts that asked and weren't in the roster.
    std::uint64_t m_rosterVersion = 0; ///< Of membership's roster when it was taken over.
    std::map<HostId, std::uint64_t> m_incarnations; ///< Of the hosts in m_freshness.
    std::string m_headChange; ///< Id of the change that made the version in force.
    bool m_isStoreBehind = false; ///< The store lacks the version in force, or has another in its place.
    std::deque<RecentChange> m_recent;
    std::size_t m_recentBytes = 0;
    std::map<std::string, std::uint64_t> m_versionOfChange; ///< Of late changes.
    std::deque<std::string> m_changeOrder; ///< Ids in m_versionOfChange, oldest first.
    EditQueue m_queue;
    bool m_pollAgain = false; ///< A newer version is known; poll once the running poll is over.
    std::optional<TimePoint> m_askedAt; ///< Last question of its own doubt.
    std::optional<TimePoint> m_watchAskedAt; ///< Last question for an operator who waits.
    std::optional<TimePoint> m_fetchedAt;
    std::uint64_t m_watchedVersion = 0; ///< An operator waits for it.
    std::optional<TimePoint> m_watchedUntil;
    PartialTable m_partial;
    PartialTable m_encoded; ///< Table that this host gives to others, encoded.
    bool m_snapshotRuns = false;
};

}
