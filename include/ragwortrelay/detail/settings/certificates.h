#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace RagwortRelay::Settings::detail {

/// Returns why a PEM file of certificates isn't valid at the given time; empty if it is valid. Thread-safe.
std::optional<std::string> checkCertificate(const std::string &fileName, std::chrono::system_clock::time_point now);

/// Returns why a PEM file isn't the private key of a certificate; empty if it is. Thread-safe.
///
/// Precondition: checkCertificate() accepted the certificate. A key that needs a passphrase is rejected.
std::optional<std::string> checkPrivateKey(const std::string &fileName, const std::string &certificateFileName);

}
