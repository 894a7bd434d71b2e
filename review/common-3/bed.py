"""Test bed of the third review: a store, upstreams and clients in this process, hosts of the project as processes of their own.

The stand-ins do what the users' pages say of the platform's store and of upstreams, and nothing else. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import logging
import os
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join("target", "src", "ragwortrelay")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "shop.example"
BEAT_S = 1.5
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stabilityMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeWhenPartitioned": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 64, "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20, "recoverS": 15, "probesPerS": 3, "minShare": 0.7,
}
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.note(f"trouble: {'yes' if TROUBLE else 'no'}")

    def note(self, text):
        self.file.write(f"{now():8.3f} s  {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    """Returns a free port outside the range from which the system takes ports of outgoing connections, which could take it before its user does."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


async def read_message(reader):
    """Reads the head and body of a message. Returns its first line, its headers in lower case, and its body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return lines[0], headers, body


def message(first_line, headers, body=b""):
    head = [first_line] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store, form table. It has one endpoint for each host, so that each can be cut off by itself."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 0
        self.oldest = 0
        self.history = []
        self.is_down = False
        self.changed = asyncio.Condition()
        self.addresses = {}
        self.servers = []
        self.on_rows = None

    async def open(self, name):
        server = await asyncio.start_server(lambda reader, writer: self.serve(name, reader, writer), "127.0.0.1", 0)
        self.servers.append(server)
        self.addresses[name] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def write(self, table, key, value):
        """A write by the operator or an upstream; it is acknowledged when this returns. A value of None removes the row."""
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        async with self.changed:
            self.apply([(table, "", key, text)])
            self.changed.notify_all()
        return now()

    def apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, self.version)
            self.history.append((self.version, table, part, key, value))

    def copy(self):
        return dict(self.rows), self.version, list(self.history)

    async def restore(self, copy):
        """Comes back from a copy."""
        async with self.changed:
            self.rows, self.version, self.history = dict(copy[0]), copy[1], list(copy[2])
            self.era += 1
            self.changed.notify_all()

    async def serve(self, name, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                status, body = (503, {}) if self.is_down else await self.call(name, *request)
                data = json.dumps(body).encode()
                writer.write(message(f"HTTP/1.1 {status} X", {"Store-Era": self.era, "Content-Type": "application/json"}, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, **fields):
        return {"expectedVersion": self.version, "nowMs": int(now() * 1000), **fields}

    async def call(self, name, line, headers, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        if path == "/api/rows-get":
            rows = sorted((key, value) for key, value in self.rows.items() if key[0] == arguments["table"] and key[1] == arguments.get("part", ""))
            rows = [self.row(key, *value) for key, value in rows if arguments.get("from", "") <= key[2]]
            self.tell(name, rows)
            return 200, self.answer(rows=rows, hasMore=False)
        if path == "/api/rows-feed":
            return await self.feed(name, arguments["table"], int(arguments["after"]), int(arguments.get("waitMs", 0)) / 1000)
        if path == "/api/rows-tx":
            await asyncio.sleep(0.003)
            return await self.transact(json.loads(body))
        return 404, {}

    def tell(self, name, rows):
        if self.on_rows and rows:
            self.on_rows(name, rows)

    @staticmethod
    def row(key, value, version):
        row = {"table": key[0], "part": key[1], "key": key[2], "expectedVersion": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    async def feed(self, name, table, after, wait_s):
        deadline = now() + wait_s
        async with self.changed:
            while True:
                if self.is_down:
                    return 503, {}
                if after > self.version:
                    return 410, {}
                latest = {}
                for version, other, part, key, value in self.history:
                    if version > after and other == table:
                        latest[(table, part, key)] = (value, version)
                rows = [self.row(key, *value) for key, value in sorted(latest.items(), key=lambda item: item[1][1])]
                left = deadline - now()
                if rows or left <= 0:
                    self.tell(name, rows)
                    return 200, self.answer(rows=rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call):
        async with self.changed:
            def version_of(entry):
                return self.rows.get((entry["table"], entry.get("part", ""), entry["key"]), (None, 0))[1]

            expected = call.get("expected", [])
            if any(version_of(entry) != entry["expectedVersion"] for entry in expected):
                keys = [(entry["table"], entry.get("part", ""), entry["key"]) for entry in expected]
                return 412, self.answer(rows=[self.row(key, *self.rows[key]) for key in keys if key in self.rows])
            changes = [(entry["table"], entry.get("part", ""), entry["key"], entry["value"]) for entry in call.get("putRows", [])]
            changes += [(entry["table"], entry.get("part", ""), entry["key"], None) for entry in call.get("remove", [])]
            self.apply(changes)
            self.changed.notify_all()
            return 200, self.answer()


class Upstream:
    """A server of a service. It registers itself and checks in each 1.5 s while the store takes its writes."""

    def __init__(self, bed, identifier, service="tillworks", slots=2, work_s=0.1, zone="z1"):
        self.bed = bed
        self.id = identifier
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.zone = zone
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.tasks = set()
        self.writers = set()
        self.ended = False
        self.answer_hook = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.check_in()
        self.beat = asyncio.create_task(self.check_in_regularly())

    async def check_in(self):
        """Writes its entry, if the store takes it. Returns the time of the ack, or None."""
        if self.bed.store.is_down or self.ended:
            return None
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "maxConcurrency": self.slots, "state": self.state,
                 "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born}
        return await self.bed.store.write("servers", self.id, entry)

    async def check_in_regularly(self):
        while True:
            await asyncio.sleep(BEAT_S)
            await self.check_in()

    async def report_draining(self):
        """Reports that it leaves. Returns the time of the store's ack."""
        self.state = "draining"
        self.beat.cancel()
        acked = await self.check_in()
        self.beat = asyncio.create_task(self.check_in_regularly())
        self.bed.record.note(f"{self.id} reports draining; the store acknowledges it")
        return acked

    def exit(self):
        """Ends as a process does: all its connections are closed, whatever runs is cut."""
        self.ended = True
        self.beat.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.bed.record.note(f"{self.id} exits; running on it: {self.running}")

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            while not self.ended:
                request = await read_message(reader)
                if request is None:
                    break
                await self.handle(writer, *request)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    async def handle(self, writer, line, headers, body):
        base = {"Attempt-Id": headers.get("attempt-id", ""), "Keep-Alive": "timeout=10"}
        if self.state == "draining":
            base["Server-Leaving"] = "1"
        if "attempt-id" not in headers:
            writer.write(message("HTTP/1.1 400 Bad Request", {**base, "Not-Executed": "1"}))
            return
        if headers.get("expected-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {**base, "Not-Executed": "1"}))
            return
        if self.running >= self.slots:
            writer.write(message("HTTP/1.1 503 Service Unavailable", {**base, "Not-Executed": "1"}))
            return
        run = {"id": headers["attempt-id"], "at": now(), "line": line, "tenant": headers.get("tenant-id", ""), "timeout": headers.get("timeout-ms", ""),
               "upstream": self.id, "ended": None}
        self.runs.append(run)
        self.bed.runs.append(run)
        self.bed.record.note(f"{self.id} runs {run['id']} for {run['tenant']}: {line}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        run["ended"] = now()
        if self.state == "draining":
            base["Server-Leaving"] = "1"
        signature = f"{self.id}.{run['id']}"
        load = f"{self.running},0,{self.slots}"
        data = f"answer to {run['id']}".encode()
        writer.write(message("HTTP/1.1 200 OK", {**base, "Server-Signature": signature, "Server-Load": load}, data))


def render(template, fields):
    """Fills in a template as the platform does (placeholders, sections)."""
    def look_up(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if part.isdigit() and int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match.group(2))
        shown = bool(value) if match.group(1) == "#" else not value
        return match.group(3) if shown else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str("" if look_up(match.group(1)) is None else look_up(match.group(1))), text)


class Host:
    """A host of the project, started with the command and the settings of the deploy file."""

    def __init__(self, bed, number, zone="z1", store=None, peer_address=None):
        self.bed = bed
        self.name = f"front-{number}"
        self.callers = "127.0.0.1:%d" % free_port()
        self.ready_address = "127.0.0.1:%d" % free_port()
        self.peer_port = free_port(socket.SOCK_DGRAM)
        fields = {
            "nodeName": self.name, "zone": zone, "ip": "127.0.0.1", "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100},
            "listen": {"front": self.callers, "readyAddr": self.ready_address}, "internalPortRange": [free_port(), self.peer_port],
            "platform": {"address": store}, "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.settings = os.path.join(bed.folder, self.name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.process = None
        self.start()

    def start(self):
        self.log_path = os.path.join(self.bed.folder, f"{self.name}-{int(now() * 1000)}.log")
        with open(self.log_path, "w", encoding="utf-8") as output:
            self.process = subprocess.Popen([PROGRAM, "serve", "--settings", self.settings], cwd=ROOT, stdout=output, stderr=subprocess.STDOUT)
        self.bed.processes.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)

    def events(self, name):
        with open(self.log_path, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file.read().splitlines() if line.startswith("{") and line.endswith("}")]
        return [line for line in lines if line["event"] == name]

    async def ready(self):
        answer = await exchange(self.ready_address, message("GET /api/readiness HTTP/1.1", {"Host": "x"}), 1)
        return answer is not None and answer[0] == 200


async def exchange(address, data, timeout):
    """Sends bytes on a new connection and reads one answer. Returns its status, headers and body, or None."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        writer.write(data)
        answer = await asyncio.wait_for(read_message(reader), timeout)
        return None if answer is None else (int(answer[0].split(" ")[1]), answer[1], answer[2])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


def route(name, prefix, kind, service="tillworks", **fields):
    return {"name": name, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": 3000, "targetLatencyMs": 600, "maxAttempts": 3, "priority": 0,
            **fields}


def configuration(version, tenants, routes, services=("tillworks",)):
    return {
        "version": format(version, "08x"),
        "services": [{"name": name, "healthCheckPath": "/health", "maxConnections": 390} for name in services],
        "hosts": [{"host": HOST_NAME, "paths": routes}],
        "tenants": tenants,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
    }


class Bed:
    """Everything of one run of a case."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.processes = []
        self.runs = []
        self.answers = []
        self.last_id = 0
        self.store = Store(self.record)

    async def start_hosts(self, count):
        hosts = []
        for number in range(count):
            await self.store.open(f"front-{number}")
            hosts.append(Host(self, number, store=self.store.addresses[f"front-{number}"]))
        return hosts

    async def until(self, condition, seconds):
        deadline = now() + seconds
        while now() < deadline:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def request(self, address, path, key, method="POST", timeout_ms=2500, attempt=None, body=b"order"):
        """One client attempt on a new connection. Returns the entry of the record."""
        self.last_id += 1
        attempt = attempt or f"{self.last_id:016x}"
        headers = {"Host": HOST_NAME, "Attempt-Id": attempt, "Timeout-Ms": timeout_ms, "Credential": key}
        entry = {"id": attempt, "sent": now(), "to": address, "status": None, "headers": {}, "body": b""}
        self.answers.append(entry)
        self.record.note(f"client sends {attempt} {method} {path} to {address}")
        answer = await exchange(address, message(f"{method} {path} HTTP/1.1", headers, body), timeout_ms / 1000)
        entry["answered"] = now()
        if answer:
            entry["status"], entry["headers"], entry["body"] = answer
        outcome = "no answer" if answer is None else f"{answer[0]}, signature {answer[1].get('server-signature', 'none')}"
        self.record.note(f"client gets for {attempt}: {outcome}")
        return entry

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        logs = os.environ.get("LOGS")
        if logs:  # Keeps the logs of the hosts in that folder.
            for name in os.listdir(self.folder):
                shutil.copy(os.path.join(self.folder, name), logs)
        self.temporary.cleanup()


def run_case(case_folder, scenario):
    """Runs a scenario. It returns a list of violations, or raises an exception if it couldn't be run. Ends the process with the exit code of the case."""
    logging.getLogger("asyncio").disabled = True  # It reports connections that are open at the end.
    bed = Bed(case_folder)
    code = 2
    try:
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise RuntimeError("the program isn't built")
        # Not asyncio.run(): it would wait for the tasks of the stand-ins, of which one may miss its cancellation.
        violations = asyncio.new_event_loop().run_until_complete(scenario(bed))
        code = 1 if violations else 0
        for violation in violations:
            bed.record.note("BROKEN: " + violation)
            print("broken:", violation)
        if not violations:
            bed.record.note("held")
            print("held")
    except Exception as exception:  # The case couldn't be run.
        bed.record.note(f"couldn't be run: {exception!r}")
        print("couldn't be run:", repr(exception))
    finally:
        bed.end()
    sys.stdout.flush()
    os._exit(code)  # Tasks of the stand-ins may still wait for connections.
