#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace RagwortRelay {

/// Stable number of a kind of error. Each has an entry in `docs/errors.md`.
enum class ErrorId : std::uint16_t {
    // 01xx: settings
    SettingsUnreadable = 101,
    SettingsUnknownKey = 102,
    SettingsWrongType = 103,
    SettingsOutOfRange = 104,
    SettingsBadUnit = 105,
    SettingsBadAddress = 106,
    SettingsMissingKey = 107,
    SettingsMissingFile = 108,
    SettingsCrossReference = 109,
    SettingsBadCertificate = 110,
    // 02xx: table
    TableUnreadable = 201,
    TableBadCell = 202,
    TableUnknownColumn = 203,
    TableBrokenReference = 204,
    TableConflict = 205,
    TableUnknownRow = 206,
    // 03xx: requests
    RequestMalformed = 301,
    RequestUnauthenticated = 302,
    RequestNoRoute = 303,
    RequestOverLimit = 304,
    RequestNoServer = 305,
    RequestDeadlineExceeded = 306,
    RequestIdempotencyKeyReused = 308,
    RequestQuarantined = 309,
    RequestOutcomeUnknown = 310,
    RequestTooLarge = 312,
    RequestOverload = 313,
    RequestUpstreamFailed = 314,
    RequestHostIsolated = 315,
    RequestClaimUnavailable = 316,
    RequestAlreadyRunning = 317,
    RequestAnswerNotKept = 330,
    // 04xx: platform
    PlatformUnreachable = 401,
    PlatformBadAnswer = 402,
    // 05xx: peers
    PeerMalformedMessage = 501,
    // 06xx: alert rules
    RulesUnreadable = 601,
    RulesNotCarriedOver = 602,
    // 07xx: operators
    OperatorUnauthorized = 701,
    OperatorUnreachable = 702,
};

/// Returns the printed form of an error id, such as "RW0102".
std::string toString(ErrorId id);

/// Error that ends one operation.
struct Error {
    ErrorId m_id{};
    std::string m_message;

    friend bool operator==(const Error &, const Error &) = default;
};

/// Position in a file; lines and columns count from 1, 0 means the whole file.
struct Place {
    std::string m_file;
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;

    friend auto operator<=>(const Place &, const Place &) = default;
    friend bool operator==(const Place &, const Place &) = default;
};

/// One thing that a check found, with its place. A check collects all findings and reports them together.
struct Finding {
    Place m_place;
    ErrorId m_id{};
    std::string m_message;

    friend bool operator==(const Finding &, const Finding &) = default;
};

using Findings = std::vector<Finding>;

/// Formats a finding as `FILE:LINE:COLUMN: error RWxxxx: message`.
std::string toString(const Finding &finding);

}
