#pragma once

#include <ragwortrelay/configuration/catalogue.h>

#include <optional>
#include <string>

namespace RagwortRelay::Workspaces {

/// A key as its holder sends it: `ID.SECRET`.
struct PresentedKey {
    KeyId m_id;
    std::string m_secret;

    friend bool operator==(const PresentedKey &, const PresentedKey &) = default;
};

/// Splits the value of an `Authorization: Bearer` header; empty when it has another form.
std::optional<PresentedKey> parseBearer(const std::string &headerValue);

/// Returns the lower-case hexadecimal SHA-256 of salt and secret.
std::string digestOf(const std::string &salt, const std::string &secret);

/// Returns the workspace of a key that is given and not withdrawn.
///
/// An unknown or withdrawn key takes the same steps as a wrong secret: one digest and one comparison in constant time. So the time
/// of an answer doesn't tell which key ids exist.
std::optional<WorkspaceId> authenticate(const Configuration::Catalogue &catalogue, const PresentedKey &key);

/// Tells whether a key that was authenticated before is still given to the workspace. Takes logarithmic time, without a digest.
bool isValid(const Configuration::Catalogue &catalogue, const KeyId &key, const WorkspaceId &workspace);

}
