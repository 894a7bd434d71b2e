"""Responses that backend servers must not send, with real processes."""

import http.client
import os
import threading
import time
import unittest
from unittest import mock

from faultyserver import EarlyResetter, EndlessWriter, FaultyServer, LateRepeater, RefusalRepeater
from fleet import Fleet, bearer, request
from test_platform import PlatformFleet, send

BOOKINGS = 600
CALLERS = 6
OWN_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nRagwortrelay-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
PLATFORM_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def send_bookings(send_booking):
    """Sends bookings by several callers at once. Returns their statuses by path."""
    statuses = {}

    def run(caller):
        for number in range(caller, BOOKINGS, CALLERS):
            path = f"/buy/{number}"
            statuses[path] = send_booking(number, path).status

    threads = [threading.Thread(target=run, args=(caller,)) for caller in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


class RepeatedRefusal(unittest.TestCase):
    def check(self, behaviours, statuses):
        runs = [path for behaviour in behaviours for path in behaviour.runs if path in statuses]
        repeated = {path for path in runs if runs.count(path) > 1}
        refused = {path for path, status in statuses.items() if status in (408, 421, 429, 503)}
        self.assertEqual(len(repeated), 0)
        self.assertEqual(len(refused & set(runs)), 0)
        self.assertGreater(sum(status == 200 for status in statuses.values()), BOOKINGS // 2)

    def test_refusal_written_again_is_not_taken_for_the_response_to_the_next_request(self):
        behaviours = [RefusalRepeater(OWN_REFUSAL) for _ in range(4)]
        with Fleet(hosts=2, backends=0) as fleet:
            fleet.backends = [FaultyServer(behaviour) for behaviour in behaviours]
            key = fleet.configure()
            statuses = send_bookings(lambda number, path: request(fleet.hosts[number % 2].callers, "POST", path, bearer(key), b"x"))
            self.check(behaviours, statuses)

    def test_refusal_without_an_attempt_id_is_not_taken_for_the_response_to_the_next_request(self):
        behaviours = [RefusalRepeater(PLATFORM_REFUSAL) for _ in range(4)]
        with PlatformFleet(hosts=2, backends=4) as fleet:
            for backend in fleet.backends:
                backend.close()
            fleet.backends = [FaultyServer(behaviour) for behaviour in behaviours]
            fleet.publish()
            statuses = send_bookings(lambda number, path: send(fleet.hosts[number % 2], path, method="POST", attempt=f"a{number}", body=b"x"))
            self.check(behaviours, statuses)


class LateResponse(unittest.TestCase):
    """Guards against review/6: the body of a late response that came after its head was read as the response to the request in progress."""

    REQUESTS = 60
    SIZES = (1500, 20000)

    def check(self, behaviour, send_request):
        for number in range(self.REQUESTS):
            method, path = ("GET", f"/look/{number}") if number % 2 == 0 else ("POST", f"/buy/{number}")
            response = send_request(method, path, f"a{number}")
            self.assertEqual(response.status, 200, path)
            self.assertEqual(response.body, behaviour.body_for(path))
        self.assertEqual(len(behaviour.runs), len(set(behaviour.runs)))
        self.assertGreater(behaviour.repetitions, self.REQUESTS // 10)

    def test_own_interface(self):
        for size in self.SIZES:
            behaviour = LateRepeater(size)
            with self.subTest(size=size), Fleet(hosts=1, backends=0) as fleet:
                fleet.backends = [FaultyServer(behaviour)]
                key = fleet.configure()
                callers = fleet.hosts[0].callers
                self.check(behaviour, lambda method, path, _: request(callers, method, path, bearer(key), b"x" if method == "POST" else None))

    def test_platform_interface(self):
        for size in self.SIZES:
            behaviour = LateRepeater(size)
            with self.subTest(size=size), PlatformFleet(hosts=1, backends=0) as fleet:
                fleet.serve_with([FaultyServer(behaviour)])
                behaviour.runs.clear()
                host = fleet.hosts[0]
                self.check(behaviour, lambda method, path, attempt: send(host, path, method=method, attempt=attempt, body=b"x" if method == "POST" else None))
                self.assertGreater(len(host.events("response-skipped")), 0)


class ResponseCutDuringUpload(unittest.TestCase):
    """Guards against a response without a length that reached its caller as complete, although a reset had cut it while the upload was being written."""

    UPLOAD = b"u" * 900_000
    SMALL_RECEIVE_BUFFER = 4096
    REQUESTS = 40
    RESPONSES = ((b"a part of the body", 0.0), (b"a part of the body", 0.05), (b"r" * 200_000, 0.0))

    def servers(self, behaviour):
        return [FaultyServer(behaviour, self.SMALL_RECEIVE_BUFFER) for _ in range(2)]

    def check(self, behaviour, send_upload):
        for number in range(self.REQUESTS):
            try:
                status = send_upload(number).status
            except (http.client.HTTPException, OSError):
                continue  # The caller sees that the response is cut.
            self.assertEqual(status, 502)
        self.assertGreater(behaviour.resets, self.REQUESTS // 2)

    def test_own_interface(self):
        for body, pause in self.RESPONSES:
            behaviour = EarlyResetter(body, pause)
            with self.subTest(size=len(body), pause=pause), Fleet(hosts=1, backends=0) as fleet:
                fleet.backends = self.servers(behaviour)
                key = fleet.configure()
                callers = fleet.hosts[0].callers
                self.check(behaviour, lambda number: request(callers, "POST", f"/buy/{number}", bearer(key), self.UPLOAD))

    def test_platform_interface(self):
        for body, pause in self.RESPONSES:
            behaviour = EarlyResetter(body, pause)
            with self.subTest(size=len(body), pause=pause), PlatformFleet(hosts=1, backends=0) as fleet:
                fleet.serve_with(self.servers(behaviour))
                host = fleet.hosts[0]
                self.check(behaviour, lambda number: send(host, f"/buy/{number}", method="POST", attempt=f"a{number}", body=self.UPLOAD))


class FarTooLargeLength(unittest.TestCase):
    """Guards against the end of a host's process by a response that announces more bytes than the memory holds."""

    LENGTHS = ("30000000000", "1818181818181818181", "18446744073709551615", "99999999999999999999999")

    def test_costs_only_its_own_request(self):
        def respond(server, connection, request):
            if not request.target.startswith("/spoiled"):
                return server.send(connection, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            length = self.LENGTHS[int(request.target.rpartition("/")[2])]
            server.send(connection, f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\nok".encode())
            raise OSError("the response breaks off")

        with Fleet(hosts=1, backends=0) as fleet:
            fleet.backends = [FaultyServer(respond) for _ in range(2)]
            key = fleet.configure()
            callers = fleet.hosts[0].callers
            for number, length in enumerate(self.LENGTHS):
                for method in ("GET", "POST"):
                    with self.subTest(length=length, method=method):
                        self.assertIn(request(callers, method, f"/spoiled/{number}", bearer(key), b"x").status, (502, 503))
                        self.assertEqual(request(callers, "GET", "/other", bearer(key)).status, 200)
            self.assertIsNone(fleet.hosts[0].process.poll())


class InvalidStatus(unittest.TestCase):
    """Guards against responses with a status that isn't 100 to 599: a request waited for another response until its timeout, or its caller got that status."""

    STATUSES = ("000", "099", "600", "999")

    def behaviours(self):
        """Returns two servers. The first attempt of a request for /spoiled/NUMBER/... gets an invalid status at either, a second one is served."""
        seen = set()

        def respond(server, connection, request):
            is_first = "/spoiled/" in request.target and request.target not in seen
            seen.add(request.target)
            status = self.STATUSES[int(request.target.split("/")[-2])] if is_first else "200"
            attempt = f"Attempt-Id: {request.headers.get('attempt-id', '')}\r\n"
            server.send(connection, f"HTTP/1.1 {status} Odd\r\n{attempt}Content-Length: 2\r\n\r\nok".encode())

        return [FaultyServer(respond) for _ in range(2)]

    def check(self, send_request):
        """A request that may be sent again ends with 200; one that may have run and must not run twice ends with 502."""
        for number, status in enumerate(self.STATUSES):
            with self.subTest(status=status):
                self.assertEqual(send_request("GET", f"/spoiled/{number}/a", f"a{number}"), 200)
                self.assertEqual(send_request("POST", f"/buy/spoiled/{number}/b", f"b{number}"), 502)

    def test_own_interface(self):
        with Fleet(hosts=1, backends=0) as fleet:
            fleet.backends = self.behaviours()
            key = fleet.configure()
            self.check(lambda method, path, _: request(fleet.hosts[0].callers, method, path, bearer(key), b"x" if method == "POST" else None).status)

    def test_platform_interface(self):
        with PlatformFleet(hosts=1, backends=2) as fleet:
            for backend in fleet.backends:
                backend.close()
            fleet.backends = self.behaviours()
            fleet.publish()
            self.check(lambda method, path, attempt: send(fleet.hosts[0], path, method=method, attempt=attempt, body=b"x" if method == "POST" else None).status)


def peak_memory(process):
    """Returns the greatest resident size of a process so far, in bytes."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:")) << 10


class EndlessResponse(unittest.TestCase):
    """A response without end ends with the request's deadline, uses little memory, and holds up no other request."""

    # AddressSanitizer keeps freed memory for a while, which the peak would include.
    ENVIRONMENT = {"ASAN_OPTIONS": "quarantine_size_mb=1:thread_local_quarantine_size_kb=64"}

    DEADLINE_MS = 1000
    SLACK_SECONDS = 1.5
    MAX_GROWTH_BYTES = 16 << 20
    OK_HEAD = b"HTTP/1.1 200 OK\r\n"
    CHUNKED = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

    def check(self, start, part):
        for method in ("GET", "POST"):
            behaviour = EndlessWriter("/endless", start, part)
            with self.subTest(method), mock.patch.dict(os.environ, self.ENVIRONMENT), Fleet(hosts=1, backends=0) as fleet:
                fleet.backends = [FaultyServer(behaviour) for _ in range(2)]
                key = fleet.configure()
                for route in ("lookup", "book"):
                    fleet.set(fleet.hosts[0], "route/" + route, f"deadline_ms={self.DEADLINE_MS}")
                before = peak_memory(fleet.hosts[0].process)
                started = time.monotonic()
                caller = threading.Thread(target=self.read_endless, args=(fleet.hosts[0], method, key))
                caller.start()
                slowest = 0.0
                while caller.is_alive() and time.monotonic() - started < 10:
                    sent = time.monotonic()
                    self.assertEqual(request(fleet.hosts[0].callers, "GET", "/other", bearer(key)).status, 200)
                    slowest = max(slowest, time.monotonic() - sent)
                    time.sleep(0.05)
                ended = time.monotonic() - started
                time.sleep(0.5)
                limit = self.DEADLINE_MS / 1000 + self.SLACK_SECONDS
                growth = peak_memory(fleet.hosts[0].process) - before
                self.assertLess(ended, limit)
                self.assertGreaterEqual(len(behaviour.closed_after), 1)
                self.assertLess(max(behaviour.closed_after), limit)
                self.assertLess(slowest, self.DEADLINE_MS / 1000)
                self.assertLess(growth, self.MAX_GROWTH_BYTES)

    @staticmethod
    def read_endless(host, method, key):
        try:
            request(host.callers, method, "/endless", bearer(key), b"x" if method == "POST" else None, timeout=30)
        except (OSError, http.client.HTTPException):
            pass  # A response that ends early breaks the connection.

    def test_bytes_that_are_no_response(self):
        self.check(b"", b"\x00\x01no response")

    def test_header_line(self):
        self.check(self.OK_HEAD + b"X-Long: ", b"a")

    def test_interim_responses(self):
        self.check(b"", b"HTTP/1.1 100 Continue\r\n\r\n")

    def test_body_without_a_length(self):
        self.check(self.OK_HEAD + b"\r\n", b"a")

    def test_chunks(self):
        self.check(self.CHUNKED, b"1\r\na\r\n")

    def test_chunk_extension(self):
        self.check(self.CHUNKED + b"1;x=", b"a")

    def test_trailer(self):
        self.check(self.CHUNKED + b"1\r\na\r\n0\r\nX-Long: ", b"a")

    def test_body_of_a_failure(self):
        self.check(b"HTTP/1.1 500 Internal Server Error\r\n\r\n", b"a")


if __name__ == "__main__":
    unittest.main()
