#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace RagwortRelay {

/// Stable identifier of a kind of error. Each one is described in `docs/errors.md`.
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
    RequestHostStopping = 318,
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

/// Returns the textual form of an error identifier, such as "RW0102". Thread-safe.
std::string toString(ErrorId id);

/// Error that made one operation fail.
struct Error {
    ErrorId m_id{};
    std::string m_message;

    friend bool operator==(const Error &, const Error &) = default;
};

/// Position in a file. Lines and columns count from 1; line 0 denotes the whole file.
struct Place {
    std::string m_file;
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;

    friend auto operator<=>(const Place &, const Place &) = default;
    friend bool operator==(const Place &, const Place &) = default;
};

/// Problem that a validation found, with its position. A validation collects all findings and reports them together.
struct Finding {
    Place m_place; ///< Position of the problem.
    ErrorId m_id{};
    std::string m_message;

    friend bool operator==(const Finding &, const Finding &) = default;
};

using Findings = std::vector<Finding>;

/// Formats a finding as `FILE:LINE:COLUMN: error RWxxxx: message`. Thread-safe.
std::string toString(const Finding &finding);

}
