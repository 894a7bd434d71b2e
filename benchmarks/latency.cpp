// Measures the latency that a host adds to a request. The same load goes alternately to a backend server directly and through a host, on
// keep-alive connections. The script `latency.py` starts the fleet.
//
//   ragwortrelay_latency serve                              runs a fast backend server and prints its address
//   ragwortrelay_latency load DIRECT PROXY KEY RATE CONNECTIONS BLOCKS SECONDS

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using Latencies = std::vector<double>; // microseconds

sockaddr_in addressFrom(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

void disableNagle(int descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

bool sendAll(int descriptor, const std::string &bytes)
{
    return send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

/// Receives a message with a body of `bodySize` bytes.
/// @return whether a whole request, or a whole response with status 200, has arrived
bool receiveMessage(int descriptor, std::size_t bodySize)
{
    std::array<char, 8192> buffer{};
    std::string message;
    for (;;) {
        const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return false;
        }
        message.append(buffer.data(), static_cast<std::size_t>(size));
        const std::size_t end = message.find("\r\n\r\n");
        if (end != std::string::npos && message.size() >= end + 4 + bodySize) {
            return message.starts_with("GET") || message.starts_with("HTTP/1.1 200");
        }
    }
}

constexpr std::size_t BodySize = 256; // Size of a response body in bytes.

void serveConnection(int descriptor)
{
    disableNagle(descriptor);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodySize)
        + "\r\nendpoint-load-metrics: TEXT named_metrics.busy=1,named_metrics.draining=0\r\n\r\n" + std::string(BodySize, 'x');
    while (receiveMessage(descriptor, 0) && sendAll(descriptor, response)) {
    }
    close(descriptor);
}

int serve()
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = addressFrom("127.0.0.1:0");
    socklen_t size = sizeof address;
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), size) != 0 || listen(listener, 128) != 0) {
        std::cerr << "can't listen\n";
        return 1;
    }
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    std::cout << "listening 127.0.0.1:" << ntohs(address.sin_port) << std::endl;
    for (;;) {
        const int descriptor = accept(listener, nullptr, nullptr);
        if (descriptor < 0) {
            return 1;
        }
        std::thread(serveConnection, descriptor).detach();
    }
}

struct Load {
    std::string m_key;
    double m_rate = 0.0; // Requests per second over all connections.
    std::size_t m_connections = 0;
    double m_seconds = 0.0; // Duration of one block.
};

/// Sends requests at a constant rate on one connection and returns their latencies.
Latencies runConnection(const std::string &address, const Load &load, std::size_t index)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in target = addressFrom(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        std::cerr << "can't connect to " << address << '\n';
        std::exit(1);
    }
    disableNagle(descriptor);
    const std::string request = "GET /a HTTP/1.1\r\nHost: " + address + "\r\nAuthorization: Bearer " + load.m_key + "\r\n\r\n";
    const auto interval = std::chrono::duration<double>(static_cast<double>(load.m_connections) / load.m_rate);
    const auto start =
        Clock::now() + std::chrono::duration_cast<Clock::duration>(interval * static_cast<double>(index) / static_cast<double>(load.m_connections));
    const auto count = static_cast<std::size_t>(load.m_seconds / interval.count());
    constexpr std::size_t WarmupRequests = 10;
    Latencies latencies;
    for (std::size_t i = 0; i < count; ++i) {
        std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(interval * static_cast<double>(i)));
        const auto sentAt = Clock::now();
        if (!sendAll(descriptor, request) || !receiveMessage(descriptor, BodySize)) {
            std::cerr << "a request to " << address << " did not get status 200\n";
            std::exit(1);
        }
        if (i >= WarmupRequests) {
            latencies.push_back(std::chrono::duration<double, std::micro>(Clock::now() - sentAt).count());
        }
    }
    close(descriptor);
    return latencies;
}

Latencies runBlock(const std::string &address, const Load &load)
{
    std::vector<Latencies> parts(load.m_connections);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < load.m_connections; ++i) {
        threads.emplace_back([&, i] { parts[i] = runConnection(address, load, i); });
    }
    Latencies all;
    for (std::size_t i = 0; i < load.m_connections; ++i) {
        threads[i].join();
        all.insert(all.end(), parts[i].begin(), parts[i].end());
    }
    return all;
}

double quantile(Latencies &latencies, double share)
{
    const auto position = latencies.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), position, latencies.end());
    return *position;
}

int load(const std::vector<std::string> &arguments)
{
    const std::string &directAddress = arguments.at(0);
    const std::string &hostAddress = arguments.at(1);
    const Load load{arguments.at(2), std::stod(arguments.at(3)), std::stoul(arguments.at(4)), std::stod(arguments.at(6))};
    Latencies directLatencies;
    Latencies proxiedLatencies;
    for (std::size_t block = 0; block < std::stoul(arguments.at(5)); ++block) {
        const Latencies directBlock = runBlock(directAddress, load);
        const Latencies proxiedBlock = runBlock(hostAddress, load);
        directLatencies.insert(directLatencies.end(), directBlock.begin(), directBlock.end());
        proxiedLatencies.insert(proxiedLatencies.end(), proxiedBlock.begin(), proxiedBlock.end());
    }
    std::cout << std::fixed << std::setprecision(0);
    std::cout << "requests " << directLatencies.size() << " + " << proxiedLatencies.size() << '\n';
    for (const double share : {0.5, 0.9, 0.99, 0.999}) {
        const double directLatency = quantile(directLatencies, share);
        const double proxiedLatency = quantile(proxiedLatencies, share);
        std::cout << 'p' << std::setprecision(1) << share * 100 << std::setprecision(0) << ' ' << directLatency << " us direct, " << proxiedLatency
                  << " us through the host, " << proxiedLatency - directLatency << " us added\n";
    }
    return 0;
}

}

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() == 1 && arguments[0] == "serve") {
        return serve();
    }
    if (arguments.size() == 8 && arguments[0] == "load") {
        return load({arguments.begin() + 1, arguments.end()});
    }
    std::cerr << "usage: ragwortrelay_latency serve | load DIRECT PROXY KEY RATE CONNECTIONS BLOCKS SECONDS\n";
    return 2;
}
