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

/// Returns the workspace of a key that is given and not withdrawn. Compares digests in constant time.
std::optional<WorkspaceId> authenticate(const Configuration::Catalogue &catalogue, const PresentedKey &key);

}
