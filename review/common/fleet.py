"""Stand-ins for the platform's store, backend servers, balancer and callers, and hosts as real processes.

All addresses are loopback addresses with free ports. Bodies are JSON, as PROTOCOL.md describes them.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.environ.get("REVIEW_PROGRAM", os.path.join(ROOT, "target", "src", "ragwortrelay"))
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml")
LOOPBACK = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of the Kilauan site, as in the settings example of DEPLOY.md.
BOUNDS = {"stabilityMs": 3000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "revokeWhenPartitioned": True, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 64, "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20,
          "minShare": 0.7}

TRANSACTION_S = 0.003  # platform.txMs
RESTART_S = 1.0  # After which the platform starts a process again that has ended.
MOST_LOST = 3  # The rule LOST: "more than three times".

SITE = "jepu9.example"
KEY = "ctnfzs989anu6wsjnban"


def one_tenant_config(rate, burst, version="00000010", keys=(KEY,)):
    """Returns a config with one service, one unsafe route and one tenant."""
    route = {"name": "book", "prefix": "/book/", "kind": "unsafe", "timeoutMs": 2500, "targetLatencyMs": 600, "priority": 1, "service": "bookbay",
             "maxAttempts": 2, "allowAnonymous": False}
    return {"version": version, "services": [{"name": "bookbay", "healthCheckPath": "/health", "maxConnections": 390}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t1", "apiKeys": list(keys), "ratePerS": rate, "burst": burst}],
            "hosts": [{"host": SITE, "paths": [route]}]}


class CannotRun(Exception):
    """The case can't be played on this machine."""


def free_ports():
    """Yields free ports below the range from which the kernel takes the ports of outgoing connections."""
    port = random.randrange(12000, 28000)
    while True:
        port = port + 1 if port < 31000 else 12000
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((LOOPBACK, port))
        except OSError:
            continue
        yield port


PORTS = free_ports()


def lookup(name, scopes):
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, fields):
    """Fills in the placeholders and sections of a template that deploy/settings.yaml uses."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda match: match[2] if lookup(match[1], [fields]) else "", text)

    def value(match):
        found = lookup(match[1], [fields])
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns its first line, headers (lower case) and body, or nothing at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, content = line.partition(":")
        if colon:
            headers[name.strip().lower()] = content.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return lines[0], headers, body
    length = int(headers.get("content-length", 0))
    return lines[0], headers, await reader.readexactly(length) if length else b""


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {content}" for name, content in headers.items()] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """HTTP server on a loopback address. A handler returns (status, headers, body), or nothing to close the connection."""

    def __init__(self):
        self.address = None
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    break
                status, head, content = answer
                writer.write(message(f"HTTP/1.1 {status} Status", head, content))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body):
        raise NotImplementedError


class Store(Server):
    """The platform's store: tables with transactions and feeds. `refused` names the tables that are unavailable at present (503)."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part, key) -> (version, value or None)
        self.partition = asyncio.Lock()
        self.order = {}  # (table, part) -> (number of all rows, names in order)
        self.version = 0
        self.started = time.monotonic()
        self.refused = set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes a row as the operator or an upstream does. Returns when it was acknowledged."""
        self.version += 1
        self.rows[(table, "", key)] = (self.version, base64.b64encode(json.dumps(value).encode()).decode())
        self.notify()
        return time.monotonic()

    def remove(self, table, key):
        self.version += 1
        self.rows[(table, "", key)] = (self.version, None)
        self.notify()

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def answer(self, status, **content):
        content.update(expectedVersion=self.version, nowMs=int((time.monotonic() - self.started) * 1000))
        return status, {"Content-Type": "application/json"}, json.dumps(content).encode()

    @staticmethod
    def row(name, row):
        entry = {"table": name[0], "part": name[1], "key": name[2], "expectedVersion": row[0]}
        entry.update({"deleted": True} if row[1] is None else {"value": row[1]})
        return entry

    async def report(self, key, value):
        """Writes the entry of an upstream after the time that a transaction takes. Returns when the store acknowledged it."""
        async with self.partition:  # A part handles one transaction after another.
            await asyncio.sleep(TRANSACTION_S)
            return self.put("servers", key, value)

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: unquote(values[0]) for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.003)
        if url.path == "/api/rows-tx":
            return self.transact(json.loads(body))
        table = query.get("table", "")
        if table in self.refused:
            return 503, {}, b""
        if url.path == "/api/rows-get":
            return self.read(table, query)
        if url.path == "/api/rows-feed":
            return await self.feed(table, int(query["after"]), int(query.get("waitMs", 0)) / 1000)
        return 404, {}, b""

    def read(self, table, query):
        limit = min(500, int(query.get("limit", 500)))
        names = self.sorted_names(table, query.get("part", ""))
        first = bisect.bisect_left(names, (table, query.get("part", ""), query.get("from", "")))
        found = []
        for name in names[first:]:
            if self.rows[name][1] is not None:
                found.append(self.row(name, self.rows[name]))
            if len(found) > limit:
                break
        return self.answer(200, rows=found[:limit], hasMore=len(found) > limit)

    def sorted_names(self, table, part):
        """Returns the names of all rows of a part of a table that ever were, in order. Rows are never forgotten, so their number tells whether any is new."""
        count, names = self.order.get((table, part), (0, []))
        if count != len(self.rows):
            names = sorted(name for name in self.rows if name[:2] == (table, part))
            self.order[(table, part)] = (len(self.rows), names)
        return names

    async def feed(self, table, after, wait):
        deadline = time.monotonic() + wait
        while True:
            if table in self.refused:
                return 503, {}, b""
            found = [(name, row) for name, row in self.rows.items() if name[0] == table and row[0] > after]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return self.answer(200, rows=[self.row(*entry) for entry in sorted(found, key=lambda entry: entry[1][0])])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        names = [(entry["table"], entry.get("part", ""), entry["key"]) for kind in ("expected", "putRows", "remove") for entry in call.get(kind, [])]
        if any(name[0] in self.refused for name in names):
            return 503, {}, b""
        expected = [((entry["table"], entry.get("part", ""), entry["key"]), entry["expectedVersion"]) for entry in call.get("expected", [])]

        def version_of(name):
            row = self.rows.get(name)
            return row[0] if row and row[1] is not None else 0

        if any(version_of(name) != version for name, version in expected):
            return self.answer(412, rows=[self.row(name, self.rows[name]) for name, _ in expected if name in self.rows])
        self.version += 1
        for entry in call.get("putRows", []):
            self.rows[(entry["table"], entry.get("part", ""), entry["key"])] = (self.version, entry["value"])
        for entry in call.get("remove", []):
            self.rows[(entry["table"], entry.get("part", ""), entry["key"])] = (self.version, None)
        self.notify()
        return self.answer(200)


class Upstream(Server):
    """An upstream that runs each request for `work_s` and records what it ran."""

    def __init__(self, name, service, slots=8, work_s=0.02, zone="z1"):
        super().__init__()
        self.name, self.service, self.slots, self.work_s, self.zone = name, service, slots, work_s, zone
        self.born = int(time.time() * 1000)
        self.busy = 0
        self.runs = []  # (time, attempt id, tenant, method, path)

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "maxConcurrency": self.slots, "state": state,
                "warmupLeftMs": 0, "sequence": 1, "born": self.born}

    def load(self):
        return {"Server-Load": f"{self.busy},0,{self.slots}"}

    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, {"Instance-Id": self.name}, b""
        attempt = headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt}
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {"Instance-Id": self.name, "Not-Executed": "1", **echo}, b""
        if not attempt:
            return 400, {"Not-Executed": "1"}, b""
        if self.busy >= self.slots:
            return 503, {"Not-Executed": "1", **self.load(), **echo}, b""
        self.busy += 1
        self.runs.append((time.monotonic(), attempt, headers.get("tenant-id", ""), method, target))
        try:
            return await self.run(method, target, headers, body, echo)
        finally:
            self.busy -= 1

    async def run(self, method, target, headers, body, echo):
        await asyncio.sleep(self.work_s)
        return 200, {"Server-Signature": f"{self.name}.{echo['Attempt-Id']}", **self.load(), **echo}, f"answer to {echo['Attempt-Id']}".encode()


class Host:
    """A process of the fleet, started with the command of the deploy file and settings that its template gives."""

    def __init__(self, folder, name, zone, store_address):
        self.name, self.folder = name, folder
        self.front, self.ready_address, self.metrics = (f"{LOOPBACK}:{next(PORTS)}" for _ in range(3))
        peer_port = next(PORTS)
        fields = {"nodeName": name, "zone": zone, "ip": LOOPBACK, "limits": {"cpuShare": 0.2},
                  "listen": {"front": self.front, "readyAddr": self.ready_address},
                  "internalPortRange": [self.metrics.split(":")[1], peer_port], "platform": {"address": store_address}, "bounds": BOUNDS}
        self.settings = os.path.join(folder, name + ".yaml")
        with open(TEMPLATE, encoding="utf-8") as template, open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template.read(), fields))
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None
        self.started_at = 0.0
        self.in_rotation = True
        self.misses = 0

    def start(self):
        self.started_at = time.monotonic()
        with open(self.log_path, "ab") as output:
            self.process = subprocess.Popen([PROGRAM, "serve", "--settings", self.settings], cwd=ROOT, stdout=output, stderr=output)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def events(self, *names):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            lines = [json.loads(line) for line in file if line.startswith("{") and line.endswith("}\n")]
        return [line for line in lines if line["event"] in names]


async def exchange(address, method, target, headers=None, body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns (status, headers, body); status 0 for a connection that ended without an answer."""
    host, port = address.split(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        writer.write(message(f"{method} {target} HTTP/1.1", {"Host": address, **(headers or {})}, body))
        first, head, content = await asyncio.wait_for(read_message(reader), timeout)
        return int(first.split(" ")[1]), head, content
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


class Play:
    """One play of a case: a store, upstreams, hosts and the record of what was sent, answered and run."""

    def __init__(self, case_folder):
        self.case_folder = case_folder
        self.folder = tempfile.mkdtemp(prefix="ragwortrelay-review-")
        self.started = time.monotonic()
        self.lines = []
        self.store = Store()
        self.hosts = []
        self.upstreams = []
        self.tasks = []
        self.sent = 0

    def note(self, text, at=None):
        self.lines.append((time.monotonic() if at is None else at, text))

    async def start(self, hosts, config, upstreams, zones=3):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} isn't built")
        await self.store.start()
        self.store.put("op", "config", config)
        for upstream in upstreams:
            await upstream.start()
            self.upstreams.append(upstream)
            self.store.put("servers", upstream.name, upstream.entry())
        for number in range(hosts):
            host = Host(self.folder, f"front-z{number % zones + 1}-{number // zones + 1}", f"z{number % zones + 1}", self.store.address)
            self.hosts.append(host)
            host.start()
        self.tasks.append(asyncio.ensure_future(self.balance()))
        if not await self.eventually(self.all_ready, 20):
            raise CannotRun("the hosts did not become ready")
        if not await self.eventually(self.one_leader, 20):
            raise CannotRun("the hosts did not agree on a leader")

    async def is_ready(self, host):
        return (await exchange(host.ready_address, "GET", "/api/readiness", timeout=1.0))[0] == 200

    async def all_ready(self):
        return all(await asyncio.gather(*(self.is_ready(host) for host in self.hosts)))

    async def one_leader(self):
        """All hosts but one follow the same leader; that one leads."""
        return len({self.leader_of(host) for host in self.hosts}) == 1

    def leader_of(self, host):
        changes = host.events("leader-changed", "leader-found")
        return changes[-1]["leader"] if changes else host.name

    def leader(self):
        names = [self.leader_of(host) for host in self.hosts]
        common = max(set(names), key=names.count)
        return next(host for host in self.hosts if host.name == common)

    async def balance(self):
        """Asks each host each second whether it is ready, as the platform's balancer does."""
        while True:
            for host, ready in zip(self.hosts, await asyncio.gather(*(self.is_ready(host) for host in self.hosts))):
                host.misses = 0 if ready else host.misses + 1
                host.in_rotation = host.misses < 2
            await asyncio.sleep(1.0)

    def rotation(self):
        hosts = [host for host in self.hosts if host.in_rotation]
        return hosts if 2 * len(hosts) >= len(self.hosts) else self.hosts

    @staticmethod
    async def eventually(condition, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    async def request(self, host, method, target, site, key=None, body=b"", timeout_ms=2000):
        """Sends one request of a client and records it. Returns (attempt id, status, headers, body)."""
        self.sent += 1
        attempt = f"{self.sent:016x}"
        headers = {"Host": site, "Attempt-Id": attempt, "Timeout-Ms": str(timeout_ms)}
        if key:
            headers["Credential"] = key
        self.note(f"sent {attempt} {method} {target} to {host.name}")
        status, head, content = await exchange(host.front, method, target, headers, body, timeout_ms / 1000 + 1.0)
        self.note(f"answered {attempt} {status or 'connection ended'}")
        return attempt, status, head, content

    async def send_steadily(self, per_s, seconds, send):
        """Starts `send(number)` at a steady rate. Returns its results when all have ended."""
        begin = time.monotonic()
        tasks = []
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(max(0.0, begin + number / per_s - time.monotonic()))
            tasks.append(asyncio.ensure_future(send(number)))
        return await asyncio.gather(*tasks)

    def next_host(self, number):
        """Returns the host to which the balancer gives a connection."""
        hosts = self.rotation()
        return hosts[number % len(hosts)]

    async def kill_and_restart(self, hosts, down_s):
        """SIGKILLs hosts at the same moment and starts them again, as the platform does."""
        for host in hosts:
            host.process.kill()
        for host in hosts:
            host.process.wait()
            self.note(f"SIGKILL to {host.name}")
        await asyncio.sleep(down_s)
        for host in hosts:
            host.start()
            self.note(f"start of {host.name}")

    def restart_ended(self):
        """Starts processes again that have ended by themselves, as the platform does. Returns the list of their names, which grows."""
        exits = []

        async def watch():
            while True:
                for host in self.hosts:
                    if host.process.poll() is not None:
                        exits.append(host.name)
                        self.note(f"the process of {host.name} has ended by itself, exit code {host.process.returncode}")
                        await asyncio.sleep(RESTART_S)
                        host.start()
                        self.note(f"start of {host.name}")
                await asyncio.sleep(0.05)

        self.tasks.append(asyncio.ensure_future(watch()))
        return exits

    def judge_lost(self, clients, sound, exits):
        """Counts requests of kept connections that ran at sound upstreams and got no answer, by the rule LOST. Returns the result of the case."""
        ran_at_sound = {run[1] for upstream in sound for run in upstream.runs}
        lost = {}
        for host, attempt in [entry for client in clients for entry in client.lost]:
            if attempt in ran_at_sound:
                lost[host] = lost.get(host, 0) + 1
        verdict = (f"{sum(client.answered for client in clients)} requests answered; processes that ended by themselves: {exits}; requests of kept "
                   f"connections that ran at a sound upstream and got no answer, by machine: {lost}; the rule allows {MOST_LOST}")
        self.note(verdict)
        print(verdict)
        return BROKEN if any(count > MOST_LOST for count in lost.values()) else HELD

    def judge_quota(self, rate, burst):
        """Compares the runs with the limit of the only tenant, by the rule QUOTA. Returns the result of the case."""
        most, at = worst_window([run[0] for run in self.runs()], BOUNDS["quotaWindowS"])
        limit = quota_limit(rate, burst)
        verdict = f"most runs in {BOUNDS['quotaWindowS']} s: {most}; the rule allows {limit:.1f}"
        self.note(verdict + f"; that window begins at {at - self.started:.3f}")
        print(verdict)
        return BROKEN if most > limit else HELD

    def runs(self):
        return sorted(run for upstream in self.upstreams for run in upstream.runs)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        for server in [self.store, *self.upstreams]:
            if server.server:
                server.server.close()
        for upstream in self.upstreams:
            for at, attempt, tenant, method, target in upstream.runs:
                self.note(f"ran {attempt} {method} {target} tenant {tenant or '-'} at {upstream.name}", at)
        self.lines.sort(key=lambda line: line[0])
        with open(os.path.join(self.case_folder, "record.txt"), "w", encoding="utf-8") as file:
            for at, text in self.lines:
                file.write(f"{at - self.started:8.3f} {text}\n")
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class KeptClient:
    """Sends requests one after the other on a connection that it keeps, and opens a new one when that one has ended.

    `lost` holds (host name, attempt id) of its requests that ended without an answer, on a connection that had carried an answer before, at a
    machine in touch.
    """

    THINK_S = 0.05

    def __init__(self, play, number):
        self.play, self.number = play, number
        self.lost = []
        self.answered = 0

    async def run(self, until):
        while time.monotonic() < until:
            host = self.play.next_host(self.number)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.front.split(":")), 1.0)
            except (OSError, asyncio.TimeoutError):
                self.number += 1
                await asyncio.sleep(0.1)
                continue
            try:
                await self.use(host, reader, writer, until)
            finally:
                writer.close()

    async def use(self, host, reader, writer, until):
        is_kept = False
        while time.monotonic() < until and await self.exchange(host, reader, writer, is_kept):
            is_kept = True
            await asyncio.sleep(self.THINK_S)

    async def exchange(self, host, reader, writer, is_kept):
        """Sends a request and waits for its answer. Returns whether the connection can be used again."""
        self.play.sent += 1
        attempt = f"{self.play.sent:016x}"
        head = {"Host": SITE, "Attempt-Id": attempt, "Timeout-Ms": "2500", "Credential": KEY}
        self.play.note(f"sent {attempt} to {host.name} on a {'kept' if is_kept else 'new'} connection")
        try:
            writer.write(message(f"POST /book/{attempt} HTTP/1.1", head, b"room=1"))
            first, headers, _ = await asyncio.wait_for(read_message(reader), 4.0)
        except asyncio.TimeoutError:
            self.play.note(f"answered {attempt} nothing in time")
            return False
        except (OSError, asyncio.IncompleteReadError):
            self.play.note(f"answered {attempt} connection ended")
            if is_kept and time.monotonic() - host.started_at >= BOUNDS["stabilityMs"] / 1000:
                self.lost.append((host.name, attempt))
            return False
        self.answered += 1
        self.play.note(f"answered {attempt} {first.split(' ')[1]}")
        return headers.get("connection", "").lower() != "close"


def worst_window(times, seconds):
    """Returns the largest number of events in any span of the given length, and where it begins."""
    times = sorted(times)
    best, at, first = 0, 0.0, 0
    for last, end in enumerate(times):
        while end - times[first] > seconds:
            first += 1
        if last - first + 1 > best:
            best, at = last - first + 1, times[first]
    return best, at


def quota_limit(rate, burst):
    """Most requests of a tenant that may run in one window by the rule QUOTA."""
    return (rate * BOUNDS["quotaWindowS"] + burst) * (1 + BOUNDS["quotaOverage"]) + BOUNDS["quotaSlack"]


def main(case, script):
    """Plays a case and exits with its result."""

    async def play_once():
        play = Play(os.path.dirname(os.path.abspath(script)))
        try:
            return await asyncio.wait_for(case(play), 110)
        except Exception as error:  # Whatever it is, it doesn't show that the rule was broken.
            play.note(f"the case could not run: {error!r}")
            print("the case could not run:", repr(error))
            return NOT_RUN
        finally:
            await play.close()

    sys.exit(asyncio.run(play_once()))
