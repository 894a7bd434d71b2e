"""Stand-ins for the users' platform: its store, backend servers and clients, and the hosts that are started against them.

Everything runs on loopback addresses in one asyncio loop; only the hosts are processes of their own. The stand-ins do what PROTOCOL.md says and
nothing else; a script that needs a disruption brings it about in its own code.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "src", "ragwortrelay")
SITE = "gate.example"


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Head:
    """Request line or status line, with the headers, of an HTTP message."""

    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.strip().lower()] = value.strip()


async def read_head(reader, ahead=b""):
    raw = ahead + await reader.readuntil(b"\r\n\r\n")
    return Head(raw[:-4])


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, reason, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Record:
    """Protocol of a run: what was sent, answered and run, with seconds since the start. Written to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.path = os.path.join(folder, "record.txt")
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.start:8.3f} {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Store:
    """The platform's store: rows with transactions and feeds. All calls are served in order from one counter of versions."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.log = []
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""
        self.is_away = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """A write of the operator or of a backend server. Returns when the store has accepted it."""
        self.apply([({"table": table, "part": "", "key": key}, json.dumps(value).encode())])

    def remove(self, table, key):
        self.apply([({"table": table, "part": "", "key": key}, None)])

    def apply(self, writes):
        self.version += 1
        for key, value in writes:
            name = (key["table"], key.get("part", ""), key["key"])
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.log.append((self.version, name, value))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def row(self, name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "expectedVersion": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def reply(self, status, fields):
        body = json.dumps({**fields, "expectedVersion": self.version, "nowMs": int(time.monotonic() * 1000)}).encode()
        return answer(status, "OK" if status == 200 else "Refused", {"Content-Type": "application/json"}, body)

    def transact(self, body):
        call = json.loads(body)
        current = []
        for wanted in call.get("expected", []):
            name = (wanted["table"], wanted.get("part", ""), wanted["key"])
            value, version = self.rows.get(name, (None, 0))
            if version != wanted["expectedVersion"]:
                current.append(self.row(name, value, version))
        if current:
            return self.reply(412, {"rows": current})
        self.apply([(row, base64.b64decode(row["value"])) for row in call.get("putRows", [])] + [(row, None) for row in call.get("remove", [])])
        return self.reply(200, {})

    def get(self, query):
        table, part = query["table"][0], query.get("part", [""])[0]
        low, high = query.get("from", [""])[0], query.get("to", [None])[0]
        limit = min(500, int(query.get("limit", ["500"])[0]))
        names = sorted(name for name in self.rows if name[:2] == (table, part) and name[2] >= low and (high is None or name[2] < high))
        rows = [self.row(name, *self.rows[name]) for name in names[:limit]]
        return self.reply(200, {"rows": rows, "hasMore": len(names) > limit})

    async def feed(self, query):
        table, after = query["table"][0], int(query["after"][0])
        deadline = time.monotonic() + min(30000, int(query.get("waitMs", ["0"])[0])) / 1000
        while True:
            latest = {}
            for version, name, value in self.log:
                if version > after and name[0] == table:
                    latest.pop(name, None)
                    latest[name] = (value, version)
            left = deadline - time.monotonic()
            if latest or left <= 0:
                return self.reply(200, {"rows": [self.row(name, *entry) for name, entry in latest.items()]})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head.headers)
                method, target, _ = head.first.split(" ", 2)
                parts = urlsplit(target)
                query = parse_qs(parts.query, keep_blank_values=True)
                await asyncio.sleep(0.004)
                if self.is_away:
                    reply = answer(503, "Unavailable", {})
                elif method == "POST" and parts.path == "/api/rows-tx":
                    reply = self.transact(body)
                elif parts.path == "/api/rows-get":
                    reply = self.get(query)
                elif parts.path == "/api/rows-feed":
                    reply = await self.feed(query)
                else:
                    reply = answer(404, "Not Found", {})
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # The host has closed the connection, or the case is over.
        finally:
            self.writers.discard(writer)
            writer.close()


class Server:
    """A sound backend server: runs each request for a while and answers it. `behave` may be replaced to bring a fault about."""

    def __init__(self, store, record, name, service, slots=4, work=0.1, body=b"done"):
        self.store, self.record, self.name, self.service, self.slots, self.work, self.body = store, record, name, service, slots, work, body
        self.runs = {}
        self.started_at = {}
        self.dropped = set()
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.report()

    def report(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": "z1", "version": "v1", "maxConcurrency": self.slots, "state": self.state}
        self.store.put("servers", self.name, {**entry, "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born})

    def head(self, request):
        return {"Attempt-Id": request.headers.get("attempt-id", ""), "Server-Signature": "sig." + self.name, "Server-Load": f"{self.running},0,{self.slots}"}

    async def behave(self, method, target, request, body, writer):
        """Runs a request and answers it."""
        await asyncio.sleep(self.work)
        writer.write(answer(200, "OK", self.head(request), self.body))

    async def serve(self, reader, writer):
        ahead = b""
        try:
            while True:
                request = await read_head(reader, ahead)
                ahead = b""
                method, target, _ = request.first.split(" ", 2)
                body = await read_body(reader, request.headers)
                expected = request.headers.get("expected-instance")
                if expected not in (None, self.name):
                    writer.write(answer(421, "Misdirected Request", {"Not-Executed": "1", "Attempt-Id": request.headers.get("attempt-id", "")}))
                    continue
                attempt = request.headers.get("attempt-id", "")
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                self.started_at[attempt] = time.monotonic()
                self.record.add(f"run {attempt} {method} {target} at {self.name}, tenant {request.headers.get('tenant-id')}")
                self.running += 1
                work = asyncio.ensure_future(self.behave(method, target, request, body, writer))
                next_byte = asyncio.ensure_future(reader.read(1))  # A host sends nothing before the answer, so this ends early only with the connection.
                await asyncio.wait({work, next_byte}, return_when=asyncio.FIRST_COMPLETED)
                self.running -= 1
                if not work.done():
                    work.cancel()
                    next_byte.exception()  # The host may have reset the connection.
                    self.dropped.add(attempt)
                    self.record.add(f"dropped {attempt} at {self.name}: its connection closed")
                    return
                work.result()
                await writer.drain()
                self.record.add(f"end {attempt} at {self.name}")
                ahead = await next_byte
                if not ahead:
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass  # The host has closed the connection, or the case is over.
        finally:
            writer.close()


class Host:
    """Process of a host, started with the command of the deploy file and settings as its template gives them."""

    def __init__(self, folder, name, store_address, memory="260MiB", grace=6):
        self.folder, self.name, self.grace = folder, name, grace
        self.callers, self.ready, self.metrics = (f"127.0.0.1:{free_port()}" for _ in range(3))
        self.peers = f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""host:
  name: {name}
  failure-domain: z1
  capacity: 0.2
  memory: {memory}
callers:
  listen: {self.callers}
backends:
  connect-timeout: 250ms
readiness:
  listen: {self.ready}
  path: /api/readiness
metrics:
  listen: {self.metrics}
store:
  address: {store_address}
peers:
  listen: {self.peers}
reports:
  records: none
configuration:
  origin: platform
  revocation-limit: 5000ms
retries:
  ratio: 0.2
  reserve: 64
health:
  floor: 0.7
stop:
  balancer-lag: 2500ms
  kill-after: {grace}s
""")

    def start(self):
        with open(self.log, "ab") as output:
            command = [PROGRAM, "serve", "--settings", self.settings]
            self.process = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            return (await call(self.ready, "GET", "/api/readiness", {}, timeout=1)).status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def close(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Response:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def request_bytes(method, target, headers, body=b""):
    fields = {"Host": SITE, **headers}
    if body or method not in ("GET", "DELETE"):
        fields["Content-Length"] = len(body)
    return (f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode() + body


async def connect(address, limit=1 << 22):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=limit)


async def read_response(reader):
    while True:
        head = await read_head(reader)
        status = int(head.first.split(" ")[1])
        if status >= 200:
            break
    return Response(status, head.headers, await read_body(reader, head.headers))


async def call(address, method, target, headers, body=b"", timeout=10):
    reader, writer = await connect(address)
    try:
        writer.write(request_bytes(method, target, headers, body))
        await writer.drain()
        return await asyncio.wait_for(read_response(reader), timeout)
    finally:
        writer.close()


def route(name, prefix, kind, service, timeout_ms=2000, attempts=2, **fields):
    return {"name": name, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 600, "priority": 1, "service": service,
            "maxAttempts": attempts, "allowAnonymous": False, **fields}


def configuration(version, routes, services, tenants, **limits):
    return {
        "version": f"{version:08x}",
        "services": [{"name": name, "healthCheckPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, **limits},
        "tenants": tenants,
        "hosts": [{"host": SITE, "paths": routes}],
    }


def tenant(name, keys, rate=0, burst=0):
    return {"name": name, "apiKeys": list(keys), "priority": 1, "ratePerS": rate, "burst": burst}


async def until(condition, seconds):
    """Waits until a condition holds. Returns whether it does."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return True
        await asyncio.sleep(0.05)
    return False


class CannotRun(Exception):
    """The case couldn't be set up; it says nothing about the software."""


def main(folder, case):
    """Runs a case: an async function of a record, a folder for temporary files and whether the disruption takes place. It returns the violations."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    hosts = []
    code = 2
    try:
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/src/ragwortrelay isn't built")
        violations = asyncio.run(asyncio.wait_for(case(record, temporary, hosts, with_trouble), 110))
        for violation in violations:
            record.add("VIOLATION " + violation)
        code = 1 if violations else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.add(f"could not run: {error!r}")
    finally:
        for host in hosts:
            host.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record.add({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    record.write()
    print(record.lines[-1])
    sys.exit(code)
