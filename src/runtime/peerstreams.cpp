#include <ragwortrelay/core/random.h>
#include <ragwortrelay/detail/runtime/peerconnection.h>
#include <ragwortrelay/detail/runtime/socketaddress.h>
#include <ragwortrelay/runtime/decisionduty.h>
#include <ragwortrelay/runtime/peerstreams.h>
#include <ragwortrelay/runtime/sharedcounters.h>
#include <ragwortrelay/wire/peercodec.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <pthread.h>
#include <random>
#include <stdexcept>
#include <sys/epoll.h>
#include <thread>
#include <unistd.h>

namespace RagwortRelay::Runtime {

namespace {

using detail::ConnectionSide;
using detail::PeerConnection;

constexpr Duration TimerInterval = std::chrono::milliseconds(100);
constexpr Duration ConnectTimeout = std::chrono::seconds(2);
constexpr Duration ShortestRetryDelay = std::chrono::milliseconds(100);
constexpr Duration LongestRetryDelay = std::chrono::seconds(5);
constexpr Duration UnusedTimeout = std::chrono::minutes(1); ///< A connection without messages for so long is closed.
constexpr Duration DrainLimit = std::chrono::milliseconds(500); ///< Longest wait for the last batches on stopping.
constexpr std::size_t MostBatchesUnderWay = 8; ///< Not yet answered, to one host.
constexpr std::size_t MostMessagesInBatch = 256;
constexpr std::size_t MostIncomingConnections = 2048;
constexpr std::size_t MostHandshakes = 256; ///< Incoming connections that have shown no certificate yet.

/// Another host, as the place where messages go.
struct Peer {
    HostId m_host;
    std::string m_address;
    std::deque<Node::PeerMessage> m_queue;
    std::unique_ptr<PeerConnection> m_connection;
    std::optional<TimePoint> m_sendAt; ///< When the messages that wait are due.
    TimePoint m_connectAt; ///< Earliest time of the next attempt to connect.
    TimePoint m_connectedAt; ///< When the last attempt to connect began.
    TimePoint m_usedAt;
    std::uint32_t m_failures = 0; ///< Attempts to connect in a row that failed.
};

/// Tells whether a later message of the same kind replaces this one.
bool isSuperseded(const Node::PeerMessage &message)
{
    return std::holds_alternative<Membership::Heartbeat>(message);
}

std::string named(const char *reason)
{
    return "peer_messages_dropped{reason=\"" + std::string(reason) + "\"}";
}

}

PeerListener::PeerListener(const Settings::PeerSettings &settings) : m_descriptor(detail::openListener(settings.m_listen))
{
    const bool takesChosenPort = settings.m_advertise.ends_with(":0");
    m_advertised = takesChosenPort ? detail::withPort(settings.m_advertise, detail::localPort(m_descriptor)) : settings.m_advertise;
}

PeerListener::~PeerListener()
{
    close(m_descriptor);
}

class PeerStreams::Implementation
{
public:
    Implementation(
        const Settings::PeerSettings &settings, const PeerListener &listener, const HostId &self, Membership::Incarnation incarnation, DecisionRing &decisions)
        : m_settings(settings)
        , m_listener(listener)
        , m_self(self)
        , m_incarnation(incarnation)
        , m_decisions(decisions)
        , m_clientTls(detail::makePeerTlsContext(settings, ConnectionSide::Client))
        , m_serverTls(detail::makePeerTlsContext(settings, ConnectionSide::Server))
        , m_epoll(epoll_create1(EPOLL_CLOEXEC))
        , m_orders(OrderCapacity, [this] { m_wakeup.notify(); })
    {
        m_random.seed(std::random_device{}());
        m_callbacks.m_onBatch = [this](PeerConnection &connection, const std::string &bytes) { takeBatch(connection, bytes); };
        m_callbacks.m_onDropped = [this](const char *reason) { m_counters.count("peer_connections_broken{reason=\"" + std::string(reason) + "\"}"); };
        watchForReading(m_listener.descriptor());
        watchForReading(m_wakeup.descriptor());
    }

    ~Implementation()
    {
        stop();
        close(m_epoll);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void start()
    {
        m_thread = std::thread([this] { run(); });
        pthread_setname_np(m_thread.native_handle(), "peer-streams");
    }

    void stop()
    {
        m_stopping.store(true);
        m_wakeup.notify();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    Ring<Node::SendPeer> &orders()
    {
        return m_orders;
    }

    [[nodiscard]] Reporting::Counters counters() const
    {
        Reporting::Counters counters = m_counters.snapshot();
        Reporting::count(counters, "ring_refused{ring=\"peer-streams\"}", m_orders.refused());
        return counters;
    }

private:
    static constexpr std::size_t OrderCapacity = 16384;

    void watchForReading(int descriptor) const
    {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
    }

    void run()
    {
        std::optional<TimePoint> drainUntil;
        TimePoint nextTimer = currentTime();
        for (;;) {
            waitForEvents(nextTimer);
            const TimePoint now = currentTime();
            m_orders.drain([&](Node::SendPeer &&order) { enqueue(std::move(order), now); });
            sendDue(now);
            if (now >= nextTimer) {
                runTimers(now);
                nextTimer = now + TimerInterval;
            }
            if (!m_stopping.load()) {
                continue;
            }
            drainUntil = drainUntil.value_or(now + DrainLimit);
            if (isDrained() || now >= *drainUntil) {
                return;
            }
        }
    }

    void waitForEvents(TimePoint nextTimer)
    {
        const TimePoint now = currentTime();
        TimePoint until = nextTimer;
        for (const auto &[host, peer] : m_peers) {
            const bool canSend = peer.m_connection && peer.m_connection->isOpen() && peer.m_connection->batchesUnderWay() < MostBatchesUnderWay;
            if (canSend && peer.m_sendAt) {
                until = std::min(until, *peer.m_sendAt);
            }
        }
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(std::max(until - now, Duration(0)));
        std::array<epoll_event, 64> events{};
        const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), static_cast<int>(wait.count()));
        for (int i = 0; i < count; ++i) {
            handleEvent(events.at(static_cast<std::size_t>(i)), currentTime());
        }
    }

    void handleEvent(const epoll_event &event, TimePoint now)
    {
        if (event.data.fd == m_listener.descriptor()) {
            return acceptAll(now);
        }
        if (event.data.fd == m_wakeup.descriptor()) {
            return m_wakeup.clear();
        }
        PeerConnection *connection = findConnection(event.data.fd);
        if (connection == nullptr) {
            return;
        }
        bool isAlive = (event.events & EPOLLOUT) == 0 || connection->onWritable();
        if (isAlive && (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
            isAlive = connection->onReadable(now);
        }
        isAlive ? watch(*connection) : drop(event.data.fd, now);
    }

    PeerConnection *findConnection(int descriptor)
    {
        const auto incoming = m_incoming.find(descriptor);
        if (incoming != m_incoming.end()) {
            return incoming->second.get();
        }
        const auto outgoing = m_outgoing.find(descriptor);
        return outgoing == m_outgoing.end() ? nullptr : m_peers.at(outgoing->second).m_connection.get();
    }

    /// Tells epoll what the connection waits for.
    void watch(PeerConnection &connection) const
    {
        const std::uint32_t wanted = EPOLLIN | (connection.wantsWrite() ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
        if (wanted == connection.m_watchedEvents) {
            return;
        }
        epoll_event event{};
        event.events = wanted;
        event.data.fd = connection.descriptor();
        const int operation = connection.m_watchedEvents == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        epoll_ctl(m_epoll, operation, connection.descriptor(), &event);
        connection.m_watchedEvents = wanted;
    }

    void drop(int descriptor, TimePoint now)
    {
        m_incoming.erase(descriptor);
        const auto outgoing = m_outgoing.find(descriptor);
        if (outgoing == m_outgoing.end()) {
            return;
        }
        Peer &peer = m_peers.at(outgoing->second);
        m_outgoing.erase(outgoing);
        if (peer.m_connection->isOpen()) {
            peer.m_failures = 0;
            m_counters.count(named("connection-lost"), peer.m_connection->batchesUnderWay());
        }
        peer.m_connection.reset();
        peer.m_connectAt = now + retryDelay(peer.m_failures);
        ++peer.m_failures;
    }

    /// Exponential, with jitter so that hosts don't connect all at once to one that comes back.
    Duration retryDelay(std::uint32_t failures)
    {
        constexpr std::uint32_t MostDoublings = 10;
        const Duration full = std::min(LongestRetryDelay, ShortestRetryDelay * (1U << std::min(failures, MostDoublings)));
        const Duration half = full / 2;
        return half + Duration(static_cast<std::int64_t>(drawUnit(m_random) * static_cast<double>(half.count())));
    }

    void acceptAll(TimePoint now)
    {
        for (;;) {
            const int descriptor = accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const auto handshakes = std::count_if(m_incoming.begin(), m_incoming.end(), [](const auto &entry) { return !entry.second->isAuthenticated(); });
            if (m_incoming.size() >= MostIncomingConnections || static_cast<std::size_t>(handshakes) >= MostHandshakes) {
                m_counters.count("peer_connections_refused");
                close(descriptor);
                continue;
            }
            detail::prepareStreamSocket(descriptor);
            auto connection = std::make_unique<PeerConnection>(descriptor, ConnectionSide::Server, m_serverTls.get(), m_callbacks, m_timeouts, now);
            watch(*connection);
            m_incoming.emplace(descriptor, std::move(connection));
        }
    }

    void enqueue(Node::SendPeer order, TimePoint now)
    {
        // A host that is known by its address alone is a seed.
        const std::string name = order.m_host.isEmpty() ? order.m_address : order.m_host.text();
        Peer &peer = m_peers[name];
        peer.m_host = order.m_host;
        if (peer.m_address != order.m_address) {
            disconnect(peer);
            peer.m_address = order.m_address;
            peer.m_failures = 0;
            peer.m_connectAt = now;
        }
        peer.m_usedAt = now;
        if (peer.m_queue.size() >= m_settings.m_queueLimit) {
            const auto superseded = std::find_if(peer.m_queue.begin(), peer.m_queue.end(), isSuperseded);
            peer.m_queue.erase(superseded == peer.m_queue.end() ? peer.m_queue.begin() : superseded);
            m_counters.count(named("queue-full"));
        }
        peer.m_queue.push_back(std::move(order.m_message));
        peer.m_sendAt = peer.m_sendAt.value_or(now + m_settings.m_batchInterval);
    }

    void sendDue(TimePoint now)
    {
        for (auto &[name, peer] : m_peers) {
            if (!peer.m_sendAt) {
                continue;
            }
            if (!peer.m_connection) {
                connect(name, peer, now);
            } else if (now >= *peer.m_sendAt && peer.m_connection->isOpen() && !sendBatches(peer)) {
                drop(peer.m_connection->descriptor(), now);
            }
        }
    }

    void connect(const std::string &name, Peer &peer, TimePoint now)
    {
        if (now < peer.m_connectAt) {
            return;
        }
        const auto address = detail::parseSocketAddress(peer.m_address);
        const int descriptor = address ? socket(address->family(), SOCK_STREAM | SOCK_CLOEXEC, 0) : -1;
        peer.m_connectAt = now + retryDelay(peer.m_failures);
        if (descriptor < 0) {
            ++peer.m_failures;
            return;
        }
        detail::prepareStreamSocket(descriptor);
        // The outcome shows when the socket becomes writable.
        static_cast<void>(::connect(descriptor, reinterpret_cast<const sockaddr *>(&address->m_storage), address->m_size));
        peer.m_connectedAt = now;
        peer.m_connection = std::make_unique<PeerConnection>(descriptor, ConnectionSide::Client, m_clientTls.get(), m_callbacks, m_timeouts, now);
        m_outgoing.emplace(descriptor, name);
        watch(*peer.m_connection);
        m_counters.count("peer_connections_started");
    }

    bool sendBatches(Peer &peer)
    {
        peer.m_failures = 0;
        while (!peer.m_queue.empty() && peer.m_connection->batchesUnderWay() < MostBatchesUnderWay) {
            const std::size_t count = std::min(peer.m_queue.size(), MostMessagesInBatch);
            const auto end = peer.m_queue.begin() + static_cast<std::ptrdiff_t>(count);
            Node::PeerBatch batch{m_self, m_incarnation, peer.m_host, {std::make_move_iterator(peer.m_queue.begin()), std::make_move_iterator(end)}};
            peer.m_queue.erase(peer.m_queue.begin(), end);
            if (!submit(*peer.m_connection, std::move(batch))) {
                return false;
            }
        }
        if (peer.m_queue.empty()) {
            peer.m_sendAt.reset();
        }
        if (!peer.m_connection->flush()) {
            return false;
        }
        watch(*peer.m_connection);
        return true;
    }

    /// Sends a batch, in parts when it is too large.
    bool submit(PeerConnection &connection, Node::PeerBatch batch)
    {
        std::string bytes = Wire::encodeBatch(batch);
        if (bytes.size() <= Wire::LargestBatch) {
            m_counters.count("peer_messages_sent", batch.m_messages.size());
            m_counters.count("peer_bytes_sent", bytes.size());
            m_counters.count("peer_batches_sent");
            return connection.submit(std::move(bytes));
        }
        if (batch.m_messages.size() == 1) {
            m_counters.count(named("too-large"));
            return true;
        }
        Node::PeerBatch rest{batch.m_from, batch.m_incarnation, batch.m_to, {}};
        const auto middle = batch.m_messages.begin() + static_cast<std::ptrdiff_t>(batch.m_messages.size() / 2);
        rest.m_messages.assign(std::make_move_iterator(middle), std::make_move_iterator(batch.m_messages.end()));
        batch.m_messages.erase(middle, batch.m_messages.end());
        return submit(connection, std::move(batch)) && submit(connection, std::move(rest));
    }

    void takeBatch(PeerConnection &connection, const std::string &bytes)
    {
        auto batch = Wire::decodeBatch(bytes);
        if (!batch) {
            m_counters.count("peer_batches_dropped{reason=\"malformed\"}");
            return;
        }
        if (batch->m_from == m_self || batch->m_from.isEmpty() || batch->m_incarnation == 0) {
            m_counters.count("peer_batches_dropped{reason=\"sender\"}");
            return;
        }
        if (batch->m_to != m_self && !batch->m_to.isEmpty()) {
            m_counters.count("peer_batches_dropped{reason=\"addressee\"}");
            return;
        }
        // One connection carries the batches of one life of one host.
        const std::string sender = batch->m_from.text() + '/' + std::to_string(batch->m_incarnation);
        if (connection.m_boundSender.empty()) {
            connection.m_boundSender = sender;
        }
        if (connection.m_boundSender != sender) {
            m_counters.count("peer_batches_dropped{reason=\"incarnation\"}");
            return;
        }
        m_counters.count("peer_batches_received");
        m_counters.count("peer_bytes_received", bytes.size());
        for (Node::PeerMessage &message : batch->m_messages) {
            if (!m_decisions.push({Node::PeerSpoke{batch->m_from, batch->m_incarnation, std::move(message)}, nullptr})) {
                m_counters.count(named("decision-ring-full"));
            }
        }
    }

    void runTimers(TimePoint now)
    {
        std::vector<int> dead;
        for (auto &[descriptor, connection] : m_incoming) {
            if (!connection->onTimer(now)) {
                dead.push_back(descriptor);
            }
        }
        for (auto &[name, peer] : m_peers) {
            if (!peer.m_connection) {
                continue;
            }
            const bool isTooSlow = !peer.m_connection->isOpen() && now - peer.m_connectedAt >= ConnectTimeout;
            const bool isUnused = peer.m_queue.empty() && now - peer.m_usedAt >= UnusedTimeout;
            if (isTooSlow || isUnused || !peer.m_connection->onTimer(now)) {
                dead.push_back(peer.m_connection->descriptor());
            } else {
                watch(*peer.m_connection);
            }
        }
        for (const int descriptor : dead) {
            drop(descriptor, now);
        }
        std::erase_if(m_peers, [now](const auto &entry) { return !entry.second.m_connection && now - entry.second.m_usedAt >= UnusedTimeout; });
    }

    void disconnect(Peer &peer)
    {
        if (peer.m_connection) {
            m_outgoing.erase(peer.m_connection->descriptor());
            peer.m_connection.reset();
        }
    }

    [[nodiscard]] bool isDrained() const
    {
        return std::all_of(m_peers.begin(), m_peers.end(), [](const auto &entry) {
            const Peer &peer = entry.second;
            return peer.m_queue.empty() && (!peer.m_connection || peer.m_connection->batchesUnderWay() == 0);
        });
    }

    Settings::PeerSettings m_settings;
    const PeerListener &m_listener;
    HostId m_self;
    Membership::Incarnation m_incarnation;
    DecisionRing &m_decisions;
    detail::TlsContext m_clientTls;
    detail::TlsContext m_serverTls;
    detail::PeerTimeouts m_timeouts;
    PeerConnection::Callbacks m_callbacks;
    RandomGenerator m_random;
    SharedCounters m_counters;
    Wakeup m_wakeup;
    int m_epoll;
    std::map<int, std::unique_ptr<PeerConnection>> m_incoming; ///< By their sockets.
    std::map<std::string, Peer> m_peers; ///< By name, seeds by address.
    std::map<int, std::string> m_outgoing; ///< Names of peers by the sockets of their connections.
    std::atomic<bool> m_stopping{false};
    Ring<Node::SendPeer> m_orders;
    std::thread m_thread;
};

PeerStreams::PeerStreams(
    const Settings::PeerSettings &settings, const PeerListener &listener, const HostId &self, Membership::Incarnation incarnation, DecisionRing &decisions)
    : m_implementation(std::make_unique<Implementation>(settings, listener, self, incarnation, decisions))
{
}

PeerStreams::~PeerStreams() = default;

void PeerStreams::start()
{
    m_implementation->start();
}

void PeerStreams::stop()
{
    m_implementation->stop();
}

Ring<Node::SendPeer> &PeerStreams::orders()
{
    return m_implementation->orders();
}

Reporting::Counters PeerStreams::counters() const
{
    return m_implementation->counters();
}

}
