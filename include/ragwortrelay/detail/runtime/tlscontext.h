#pragma once

#include <ragwortrelay/settings/settings.h>

#include <openssl/ssl.h>

#include <memory>

namespace RagwortRelay::Runtime::detail {

/// Which end of a connection this process is.
enum class ConnectionSide : std::uint8_t {
    Client,
    Server,
};

/// Frees an OpenSSL context.
struct TlsContextDeleter {
    void operator()(SSL_CTX *context) const
    {
        SSL_CTX_free(context);
    }
};

using TlsContext = std::unique_ptr<SSL_CTX, TlsContextDeleter>;

/// Makes the context of connections between hosts: TLS 1.3, both sides show a certificate of the fleet's authority.
/// Throws std::runtime_error when a file can't be used. Returns nothing when the settings turn security off. Thread-safe.
TlsContext makePeerTlsContext(const Settings::PeerSettings &settings, ConnectionSide side);

}
