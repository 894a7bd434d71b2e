#include "certificates.h"
#include "rawsocket.h"

#include <ragwortrelay/runtime/peerstreams.h>
#include <ragwortrelay/wire/peercodec.h>

#include <catch2/catch.hpp>
#include <openssl/ssl.h>

#include <functional>
#include <thread>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;

namespace {

/// One host's peer streams with the ring that they fill.
struct PeerHost {
    PeerHost(const Settings::PeerSettings &settings, const std::string &name, std::size_t ringCapacity = 1024)
        : m_ring(ringCapacity, [] {}), m_listener(settings), m_streams(settings, m_listener, HostId(name), 7, m_ring)
    {
        m_streams.start();
    }

    void send(const std::string &host, const std::string &address, std::uint64_t sequence)
    {
        m_streams.orders().push({HostId(host), address, Membership::Heartbeat{sequence, 0, {}, false}});
    }

    std::uint64_t counter(const std::string &name) const
    {
        const Reporting::Counters counters = m_streams.counters();
        const auto found = counters.find(name);
        return found == counters.end() ? 0 : found->second;
    }

    Runtime::DecisionRing m_ring;
    Runtime::PeerListener m_listener;
    Runtime::PeerStreams m_streams;
};

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 2000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

std::vector<std::uint64_t> sequencesIn(Runtime::DecisionRing &ring, std::size_t count)
{
    std::vector<std::uint64_t> sequences;
    eventually([&] {
        ring.drain([&](Runtime::DecisionInput &&input) {
            const auto &spoke = std::get<Node::PeerSpoke>(input.m_event);
            sequences.push_back(std::get<Membership::Heartbeat>(spoke.m_message).m_sequence);
        });
        return sequences.size() >= count;
    });
    return sequences;
}

Settings::PeerSettings plainSettings()
{
    Settings::PeerSettings settings;
    settings.m_listen = "127.0.0.1:0";
    settings.m_advertise = "127.0.0.1:0";
    settings.m_security = Settings::PeerSecurity::None;
    return settings;
}

Settings::PeerSettings secureSettings(const TemporaryFolder &folder, const std::string &name, const std::string &authority)
{
    Settings::PeerSettings settings = plainSettings();
    settings.m_security = Settings::PeerSecurity::Tls;
    settings.m_certificate = folder.file(name + ".crt");
    settings.m_key = folder.file(name + ".key");
    settings.m_authority = folder.file(authority + ".crt");
    return settings;
}

/// Speaks HTTP/2 by hand: a request with the bytes as its body. Header names and values stand uncompressed.
std::string http2Request(const std::string &body)
{
    const auto frame = [](char type, char flags, char stream, const std::string &payload) {
        const auto size = payload.size();
        const std::string head{static_cast<char>(size >> 16U), static_cast<char>(size >> 8U), static_cast<char>(size), type, flags, 0, 0, 0, stream};
        return head + payload;
    };
    // Indexed fields of the static table: `:method POST`, `:scheme https`, `:path /`; then a literal `:authority`.
    const std::string headers = "\x83\x87\x84\x01\x01p";
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "") + frame(1, 4, 1, headers) + frame(0, 1, 1, body);
}

/// Sends bytes over TLS as a client with the given certificate, or none; returns whether the other side answered anything.
bool sendOverTls(const std::string &address, const std::string &bytes, const std::string &certificate, const std::string &key)
{
    SSL_CTX *context = SSL_CTX_new(TLS_client_method());
    SSL_CTX_set_alpn_protos(context, reinterpret_cast<const unsigned char *>("\x02h2"), 3);
    if (!certificate.empty()) {
        SSL_CTX_use_certificate_chain_file(context, certificate.c_str());
        SSL_CTX_use_PrivateKey_file(context, key.c_str(), SSL_FILETYPE_PEM);
    }
    const RawSocket socket(address);
    SSL *ssl = SSL_new(context);
    SSL_set_fd(ssl, socket.descriptor());
    char answer = 0;
    const bool wasAnswered = SSL_connect(ssl) == 1 && SSL_write(ssl, bytes.data(), static_cast<int>(bytes.size())) > 0 && SSL_read(ssl, &answer, 1) > 0;
    SSL_free(ssl);
    SSL_CTX_free(context);
    return wasAnswered;
}

std::string batchBytes(const std::string &from, std::uint64_t incarnation, const std::string &to)
{
    return Wire::encodeBatch({HostId(from), incarnation, HostId(to), {Membership::Heartbeat{99, 0, {}, false}}});
}

}

TEST_CASE("peer streams")
{
    const TemporaryFolder folder;
    const FakeAuthority authority(folder, "fleet");
    authority.issue("h1");
    authority.issue("h2");

    SECTION("messages arrive whole and in order over one connection")
    {
        PeerHost first(secureSettings(folder, "h1", "fleet"), "h1");
        PeerHost second(secureSettings(folder, "h2", "fleet"), "h2");
        std::vector<std::uint64_t> expected;
        for (std::uint64_t i = 0; i < 300; ++i) {
            first.send("h2", second.m_listener.advertisedAddress(), i);
            expected.push_back(i);
        }
        CHECK(sequencesIn(second.m_ring, expected.size()) == expected);
        CHECK(first.counter("peer_connections_started") == 1);
        CHECK(first.counter("peer_batches_sent") < expected.size());
    }

    SECTION("a host that came back on its address is reached again")
    {
        PeerHost first(secureSettings(folder, "h1", "fleet"), "h1");
        auto second = std::make_unique<PeerHost>(secureSettings(folder, "h2", "fleet"), "h2");
        const std::string address = second->m_listener.advertisedAddress();
        first.send("h2", address, 1);
        REQUIRE(sequencesIn(second->m_ring, 1) == std::vector<std::uint64_t>{1});
        second.reset();
        Settings::PeerSettings again = secureSettings(folder, "h2", "fleet");
        again.m_listen = address;
        second = std::make_unique<PeerHost>(again, "h2");
        CHECK(eventually([&] {
            first.send("h2", address, 2);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            bool hasArrived = false;
            second->m_ring.drain([&](Runtime::DecisionInput &&) { hasArrived = true; });
            return hasArrived;
        }));
    }

    SECTION("what waits is sent before the duty stops")
    {
        PeerHost second(plainSettings(), "h2");
        {
            PeerHost first(plainSettings(), "h1");
            first.send("h2", second.m_listener.advertisedAddress(), 5);
            first.m_streams.stop();
        }
        CHECK(sequencesIn(second.m_ring, 1) == std::vector<std::uint64_t>{5});
    }

    SECTION("a full queue drops the oldest heartbeats")
    {
        Settings::PeerSettings settings = plainSettings();
        settings.m_queueLimit = 16;
        PeerHost first(settings, "h1");
        const RawListener silent; // Accepts connections, says nothing.
        for (std::uint64_t i = 0; i < 40; ++i) {
            first.send("h2", silent.address(), i);
        }
        CHECK(eventually([&] { return first.counter("peer_messages_dropped{reason=\"queue-full\"}") == 24; }));
    }

    SECTION("a full decision ring drops messages and counts them")
    {
        PeerHost first(plainSettings(), "h1");
        PeerHost second(plainSettings(), "h2", 2);
        for (std::uint64_t i = 0; i < 10; ++i) {
            first.send("h2", second.m_listener.advertisedAddress(), i);
        }
        CHECK(eventually([&] { return second.counter("peer_messages_dropped{reason=\"decision-ring-full\"}") >= 7; }));
    }
}

TEST_CASE("peer streams drop what is not meant for them")
{
    PeerHost host(plainSettings(), "h1");
    const std::string address = host.m_listener.advertisedAddress();

    SECTION("a batch by hand arrives")
    {
        const RawSocket socket(address);
        REQUIRE(socket.send(http2Request(batchBytes("h2", 7, "h1"))));
        CHECK(sequencesIn(host.m_ring, 1) == std::vector<std::uint64_t>{99});
    }

    const auto isDropped = [&](const std::string &body, const std::string &reason) {
        const RawSocket socket(address);
        socket.send(http2Request(body));
        const bool wasCounted = eventually([&] { return host.counter("peer_batches_dropped{reason=\"" + reason + "\"}") == 1; });
        bool hasArrived = false;
        host.m_ring.drain([&](Runtime::DecisionInput &&) { hasArrived = true; });
        return wasCounted && !hasArrived;
    };
    SECTION("a malformed batch")
    {
        CHECK(isDropped("no batch", "malformed"));
    }
    SECTION("a batch for another host")
    {
        CHECK(isDropped(batchBytes("h2", 7, "h3"), "addressee"));
    }
    SECTION("a batch that this host is said to have sent")
    {
        CHECK(isDropped(batchBytes("h1", 7, "h1"), "sender"));
    }
    SECTION("a batch without incarnation")
    {
        CHECK(isDropped(batchBytes("h2", 0, "h1"), "sender"));
    }
    SECTION("a batch of another life of a host on the same connection")
    {
        const std::string one = http2Request(batchBytes("h2", 7, "h1"));
        std::string other = http2Request(batchBytes("h2", 8, "h1")).substr(33); // Without preface and settings.
        other[8] = 3; // Another stream, in both frames.
        other[9 + 6 + 8] = 3;
        const RawSocket socket(address);
        REQUIRE(socket.send(one + other));
        CHECK(eventually([&] { return host.counter("peer_batches_dropped{reason=\"incarnation\"}") == 1; }));
        CHECK(sequencesIn(host.m_ring, 1).size() == 1);
    }
}

TEST_CASE("a stranger can't inject anything into peer streams")
{
    const TemporaryFolder folder;
    const FakeAuthority authority(folder, "fleet");
    const FakeAuthority stranger(folder, "stranger");
    authority.issue("h1");
    authority.issue("h2");
    authority.issue("expired", std::chrono::seconds(-60));
    stranger.issue("h3");
    PeerHost host(secureSettings(folder, "h1", "fleet"), "h1");
    const std::string address = host.m_listener.advertisedAddress();
    const std::string request = http2Request(batchBytes("h2", 7, "h1"));

    SECTION("a certificate of the authority lets a batch in")
    {
        CHECK(sendOverTls(address, request, folder.file("h2.crt"), folder.file("h2.key")));
        CHECK(sequencesIn(host.m_ring, 1).size() == 1);
    }

    SECTION("others do not get in")
    {
        CHECK_FALSE(sendOverTls(address, request, "", ""));
        CHECK_FALSE(sendOverTls(address, request, folder.file("h3.crt"), folder.file("h3.key")));
        CHECK_FALSE(sendOverTls(address, request, folder.file("expired.crt"), folder.file("expired.key")));
        {
            const RawSocket plain(address);
            plain.send(request);
            const std::string answer = plain.receiveAll(); // At most an alert of TLS.
            CHECK((answer.empty() || answer[0] == 0x15));
        }
        CHECK(host.counter("peer_connections_broken{reason=\"handshake\"}") == 4);
        sendOverTls(address, "GET / HTTP/1.1\r\n\r\n", folder.file("h2.crt"), folder.file("h2.key"));
        CHECK(eventually([&] { return host.counter("peer_connections_broken{reason=\"protocol\"}") == 1; }));
        // The host still serves its peers, and nothing of the above got through.
        CHECK(sendOverTls(address, request, folder.file("h2.crt"), folder.file("h2.key")));
        CHECK(sequencesIn(host.m_ring, 1).size() == 1);
        CHECK(host.counter("peer_batches_received") == 1);
    }

    SECTION("a host doesn't talk to a server with a certificate of another authority")
    {
        PeerHost impostor(secureSettings(folder, "h3", "stranger"), "h2");
        host.send("h2", impostor.m_listener.advertisedAddress(), 1);
        CHECK(eventually([&] { return host.counter("peer_connections_broken{reason=\"handshake\"}") >= 1; }));
        CHECK(host.counter("peer_messages_sent") == 0);
    }
}
