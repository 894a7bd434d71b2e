#include "certificates.h"
#include "relay.h"

#include <catch2/catch.hpp>
#include <openssl/ssl.h>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;

namespace {

/// TLS connection over a raw socket, by OpenSSL.
class TlsSocket
{
public:
    /// Connects as a client that accepts only certificates of the authority.
    TlsSocket(const std::string &address, const std::string &authority) : m_socket(address), m_context(SSL_CTX_new(TLS_client_method()))
    {
        SSL_CTX_load_verify_file(m_context, authority.c_str());
        SSL_CTX_set_verify(m_context, SSL_VERIFY_PEER, nullptr);
        createSession();
        m_isOpen = SSL_connect(m_ssl) == 1;
    }

    /// Takes ownership of an accepted connection and serves TLS on it.
    TlsSocket(int descriptor, const std::string &certificate, const std::string &key) : m_socket(descriptor), m_context(SSL_CTX_new(TLS_server_method()))
    {
        SSL_CTX_use_certificate_chain_file(m_context, certificate.c_str());
        SSL_CTX_use_PrivateKey_file(m_context, key.c_str(), SSL_FILETYPE_PEM);
        createSession();
        m_isOpen = SSL_accept(m_ssl) == 1;
    }

    ~TlsSocket()
    {
        SSL_free(m_ssl);
        SSL_CTX_free(m_context);
    }

    TlsSocket(const TlsSocket &) = delete;
    TlsSocket &operator=(const TlsSocket &) = delete;

    void send(const std::string &bytes)
    {
        SSL_write(m_ssl, bytes.data(), static_cast<int>(bytes.size()));
    }

    std::string receiveUntil(const std::string &text)
    {
        std::string all;
        std::array<char, 4096> buffer{};
        int size = 0;
        while (all.find(text) == std::string::npos && (size = SSL_read(m_ssl, buffer.data(), static_cast<int>(buffer.size()))) > 0) {
            all.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return all;
    }

    [[nodiscard]] bool isOpen() const
    {
        return m_isOpen;
    }

private:
    void createSession()
    {
        m_ssl = SSL_new(m_context);
        SSL_set_fd(m_ssl, m_socket.descriptor());
    }

    RawSocket m_socket;
    SSL_CTX *m_context;
    SSL *m_ssl = nullptr;
    bool m_isOpen = false;
};

const std::string Request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}

TEST_CASE("TLS protects the connections of callers and of backend servers")
{
    const TemporaryFolder folder;
    const FakeAuthority authority(folder, "authority");
    const FakeAuthority otherAuthority(folder, "stranger");
    authority.issue("host");
    otherAuthority.issue("other");
    const RawListener server;

    SECTION("callers are served over TLS and refused without it")
    {
        Loop::CallerListenerSettings settings = Relay::callerSettings();
        settings.m_certificate = folder.file("host.crt");
        settings.m_key = folder.file("host.key");
        Relay relay(settings, server.address());
        TlsSocket caller(relay.address(), folder.file("authority.crt"));
        REQUIRE(caller.isOpen());
        for (int i = 0; i < 2; ++i) {
            caller.send(Request);
            const RawSocket connection(server.accept());
            connection.receiveUntil("\r\n\r\n");
            connection.send(Ok);
            CHECK(caller.receiveUntil("ok").ends_with("ok"));
            shutdown(connection.descriptor(), SHUT_RDWR);
        }
        const RawSocket plain(relay.address());
        plain.send(Request);
        CHECK(plain.receiveAll().find("HTTP/1.1 200") == std::string::npos);
        CHECK(relay.m_requests == 2);
    }

    SECTION("a backend server is accepted only with a certificate of the configured authority")
    {
        Loop::BackendSettings settings = Relay::backendSettings();
        settings.m_authority = folder.file("authority.crt");
        Relay relay(Relay::callerSettings(), server.address(), settings);
        {
            const RawSocket caller(relay.address());
            caller.send(Request);
            TlsSocket connection(server.accept(), folder.file("host.crt"), folder.file("host.key"));
            REQUIRE(connection.isOpen());
            CHECK(connection.receiveUntil("\r\n\r\n").starts_with("GET /a HTTP/1.1\r\n"));
            connection.send(Ok);
            CHECK(caller.receiveUntil("ok").ends_with("ok"));
        }
        const RawSocket caller(relay.address());
        caller.send(Request);
        TlsSocket connection(server.accept(), folder.file("other.crt"), folder.file("other.key"));
        CHECK(connection.receiveUntil("\r\n\r\n").empty());
        CHECK(caller.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    }
}
