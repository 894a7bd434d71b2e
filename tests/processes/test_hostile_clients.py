"""Callers that don't keep to the limits, one group at a time, against the process of a host: it stays alive, bounded, and answers an ordinary request."""

import contextlib
import os
import resource
import socket
import time
import unittest

from fleet import Fleet, bearer, eventually, request
from test_faulty_responses import peak_memory

# The smallest machine has 160 MB and 4,100 descriptors. The rest of the memory is for what the kernel holds for the process.
MAX_MEMORY_BYTES = 128 << 20
MACHINE_DESCRIPTORS = 4100
MAX_DESCRIPTORS = MACHINE_DESCRIPTORS - 200

BODY_BYTES = 1_000_000  # Below the limit of 1 MiB.
CROWD = 300
MAX_SECONDS = 20  # For what a crowd sends; it goes on as far as the host takes it.


class Client:
    """Connection of a caller that sends bytes as far as the host takes them, without waiting for it."""

    def __init__(self, address):
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=20)
        self.socket.setblocking(False)
        self.rest = b""

    def queue(self, data):
        self.rest += data

    def progress(self):
        """Sends what fits. Returns whether anything was sent; a closed connection drops the rest."""
        if not self.rest:
            return False
        try:
            sent = self.socket.send(self.rest[:262144])
        except BlockingIOError:
            return False
        except OSError:
            self.rest = b""
            return False
        self.rest = self.rest[sent:]
        return True


def descriptors(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


def send_all(clients):
    """Sends what all clients have queued, until everything is sent, nothing moves for a second, or MAX_SECONDS are over."""
    begin = moved = time.monotonic()
    while any(client.rest for client in clients) and time.monotonic() - moved < 1 and time.monotonic() - begin < MAX_SECONDS:
        if any([client.progress() for client in clients]):
            moved = time.monotonic()
        else:
            time.sleep(0.01)


def encode(path, key, headers, body, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", "Host: a", *headers, f"Authorization: Bearer {key}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunked(size, piece):
    part = b"%x\r\n" % piece + b"x" * piece + b"\r\n"
    return part * (size // piece)


class HostileClients(unittest.TestCase):
    EXTRA = "metrics:\n  listen: 127.0.0.1:{metrics}\nreadiness:\n  listen: 127.0.0.1:{readiness}\n"

    @contextlib.contextmanager
    def fleet(self):
        """Starts one host with as many descriptors as the smallest machine has, and a server."""
        with socket.create_server(("127.0.0.1", 0)) as first, socket.create_server(("127.0.0.1", 0)) as second:
            self.metrics, self.readiness = (f"127.0.0.1:{server.getsockname()[1]}" for server in (first, second))
        extra = self.EXTRA.format(metrics=self.metrics.split(":")[1], readiness=self.readiness.split(":")[1])
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MACHINE_DESCRIPTORS, before[1]))
        try:
            fleet = Fleet(hosts=1, backends=1, extra=extra)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, before)
        with fleet:
            self.key = fleet.configure()
            yield fleet

    def check(self, fleet, clients, address=None):
        """Checks the host while the crowd is there."""
        host = fleet.hosts[0]
        send_all(clients)
        self.settle(host, clients)
        self.check_process(host)
        self.assertTrue(eventually(lambda: self.answered(host.callers, "/", bearer(self.key))), "no ordinary request is answered")
        if address is not None:
            self.assertTrue(eventually(lambda: self.answered(address, "/ragwortrelay/ready")), "no request for the readiness is answered")
        self.check_process(host)
        for client in clients:
            client.socket.close()

    @staticmethod
    def settle(host, clients):
        """Waits until the host has read what the kernel holds: until its memory hasn't grown for 1.5 s, MAX_SECONDS at the most."""
        end = time.monotonic() + MAX_SECONDS
        peak, grown = 0, time.monotonic()
        while host.process.poll() is None and time.monotonic() < min(end, grown + 1.5):
            send_all(clients)
            if peak_memory(host.process) > peak:
                peak, grown = peak_memory(host.process), time.monotonic()
            time.sleep(0.1)

    def check_process(self, host):
        self.assertIsNone(host.process.poll(), "the process has ended")
        self.assertLess(peak_memory(host.process), MAX_MEMORY_BYTES)
        self.assertLess(descriptors(host.process), MAX_DESCRIPTORS)

    @staticmethod
    def answered(address, path, headers=None):
        try:
            return request(address, "GET", path, headers, timeout=5).status == 200
        except OSError:
            return False

    def bodies(self, path, headers, body, address=None, method="POST"):
        """A crowd sends bodies that never end."""
        with self.fleet() as fleet:
            target = fleet.hosts[0].callers if address is None else getattr(self, address)
            clients = [Client(target) for _ in range(CROWD)]
            for client in clients:
                client.queue(encode(path, self.key, headers, body, method))
            self.check(fleet, clients, None if address is None else target)

    LENGTH = [f"Content-Length: {BODY_BYTES}"]
    CHUNKED = ["Transfer-Encoding: chunked"]

    def test_bodies_that_stop_short_of_the_end(self):
        self.bodies("/a", self.LENGTH, b"x" * (BODY_BYTES - 1))

    def test_bodies_that_stop_short_of_the_end_without_a_route(self):
        self.bodies("/a", self.LENGTH, b"x" * (BODY_BYTES - 1), method="PUT")

    def test_bodies_in_small_chunks(self):
        self.bodies("/a", self.CHUNKED, chunked(BODY_BYTES, 64))

    def test_bodies_at_the_readiness_port(self):
        self.bodies("/ragwortrelay/ready", self.LENGTH, b"x" * (BODY_BYTES - 1), "readiness")

    def test_bodies_at_the_metrics_port(self):
        self.bodies("/ragwortrelay/metrics", self.LENGTH, b"x" * (BODY_BYTES - 1), "metrics")

    def test_bodies_far_over_the_limit(self):
        self.bodies("/a", self.CHUNKED, chunked(8 * BODY_BYTES, 16384))

    def test_bodies_in_small_pieces(self):
        """Each client sends a piece in its turn, so that all bodies grow at the same time."""
        with self.fleet() as fleet:
            clients = [Client(fleet.hosts[0].callers) for _ in range(CROWD)]
            for client in clients:
                client.queue(encode("/a", self.key, self.LENGTH, b""))
            begin = time.monotonic()
            for _ in range(BODY_BYTES // 4000 - 1):
                for client in clients:
                    if len(client.rest) < 65536:
                        client.queue(b"x" * 4000)
                    client.progress()
                if time.monotonic() - begin > MAX_SECONDS:
                    break
            self.check(fleet, clients)

    def test_very_many_short_header_fields(self):
        """Most of the memory of such a request isn't its text. The bodies stop short of the end, so that the headers stay."""
        fields = ["a:b"] * 3000
        with self.fleet() as fleet:
            clients = [Client(fleet.hosts[0].callers) for _ in range(2 * CROWD)]
            for client in clients:
                client.queue(encode("/a", self.key, [*fields, "Content-Length: 10"], b"x"))
            self.check(fleet, clients)

    def test_pipelined_requests_whose_responses_are_not_read(self):
        with self.fleet() as fleet:
            clients = [Client(fleet.hosts[0].callers) for _ in range(CROWD)]
            head = f"HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {self.key}\r\n\r\n"
            for client in clients:
                client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.queue(f"GET /a?size=200000 {head}".encode() * 2000)
            self.check(fleet, clients)

    def test_slow_senders_on_all_connections(self):
        """More callers than the machine has descriptors, each with a request that never ends."""
        with self.fleet() as fleet:
            clients = []
            with contextlib.suppress(OSError):
                for _ in range(MACHINE_DESCRIPTORS + 100):
                    clients.append(Client(fleet.hosts[0].callers))
            for client in clients:
                client.queue(b"GET /a HTTP/1.1\r\nHost: a\r\nX-Slow: ")
            send_all(clients)
            for client in clients:
                client.queue(b"x")
            self.check(fleet, clients)

    def test_slow_readers(self):
        with self.fleet() as fleet:
            clients = [Client(fleet.hosts[0].callers) for _ in range(CROWD)]
            for client in clients:
                client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.queue(f"GET /a?size=4000000 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {self.key}\r\n\r\n".encode())
            self.check(fleet, clients)


if __name__ == "__main__":
    unittest.main()
