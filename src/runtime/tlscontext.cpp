#include <ragwortrelay/detail/runtime/tlscontext.h>

#include <stdexcept>

namespace RagwortRelay::Runtime::detail {

namespace {

constexpr unsigned char AlpnHttp2[] = {2, 'h', '2'};

int selectHttp2(SSL * /*ssl*/, const unsigned char **out, unsigned char *outSize, const unsigned char *in, unsigned inSize, void * /*context*/)
{
    unsigned char *chosen = nullptr;
    const int result = SSL_select_next_proto(&chosen, outSize, AlpnHttp2, sizeof AlpnHttp2, in, inSize);
    *out = chosen;
    return result == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_ALERT_FATAL;
}

void require(bool isDone, const std::string &what)
{
    if (!isDone) {
        throw std::runtime_error("peer streams: " + what);
    }
}

}

TlsContext makePeerTlsContext(const Settings::PeerSettings &settings, ConnectionSide side)
{
    if (settings.m_security == Settings::PeerSecurity::None) {
        return nullptr;
    }
    TlsContext context(SSL_CTX_new(side == ConnectionSide::Server ? TLS_server_method() : TLS_client_method()));
    require(context != nullptr, "no TLS context");
    SSL_CTX_set_min_proto_version(context.get(), TLS1_3_VERSION);
    require(SSL_CTX_use_certificate_chain_file(context.get(), settings.m_certificate.c_str()) == 1, "can't use the certificate " + settings.m_certificate);
    require(SSL_CTX_use_PrivateKey_file(context.get(), settings.m_key.c_str(), SSL_FILETYPE_PEM) == 1, "can't use the key " + settings.m_key);
    require(SSL_CTX_check_private_key(context.get()) == 1, "the key doesn't belong to the certificate");
    require(SSL_CTX_load_verify_file(context.get(), settings.m_authority.c_str()) == 1, "can't use the authority " + settings.m_authority);
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    // Without resumption, each connection checks the certificate anew.
    SSL_CTX_set_session_cache_mode(context.get(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(context.get(), 0);
    if (side == ConnectionSide::Server) {
        SSL_CTX_set_alpn_select_cb(context.get(), selectHttp2, nullptr);
    } else {
        SSL_CTX_set_alpn_protos(context.get(), AlpnHttp2, sizeof AlpnHttp2);
    }
    return context;
}

}
