#pragma once

#include <ragwortrelay/configuration/catalogue.h>

#include <optional>
#include <string>

namespace RagwortRelay::Workspaces {

/// Workspace key in the form `ID.SECRET`, as a caller presents it.
struct PresentedKey {
    KeyId m_id;
    std::string m_secret;

    friend bool operator==(const PresentedKey &, const PresentedKey &) = default;
};

/// Parses the value of an `Authorization: Bearer` header; empty if it has another form. Thread-safe.
std::optional<PresentedKey> parseBearer(const std::string &headerValue);

/// Returns the SHA-256 digest of salt and secret in lower-case hexadecimal. Thread-safe.
std::string digestOf(const std::string &salt, const std::string &secret);

/// Returns the workspace of a valid key; empty if the key is unknown or withdrawn, or its secret is wrong. Thread-safe.
///
/// An unknown or withdrawn key takes the same steps as a wrong secret: one digest and one constant-time comparison. The response time
/// therefore does not reveal which key ids exist.
std::optional<WorkspaceId> authenticate(const Configuration::Catalogue &catalogue, const PresentedKey &key);

/// Returns whether a previously authenticated key still belongs to the workspace and is not withdrawn. Takes logarithmic time and computes
/// no digest. Thread-safe.
bool isValid(const Configuration::Catalogue &catalogue, const KeyId &key, const WorkspaceId &workspace);

}
