"""Runs a fleet of real processes through a fault of each kind and tells what held.

Usage: demo.py BUILD-FOLDER [--keep]
"""

import collections
import itertools
import json
import os
import random
import signal
import sys
import threading
import time

os.environ["RAGWORTRELAY_BUILD"] = os.path.abspath(sys.argv[1])
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "processes"))

from fleet import TOKEN, Fleet, Server, cli, eventually, request  # noqa: E402

HOSTS = 6
DOMAINS = 3
SLOTS = 4
SERVICES = {"status": 4, "booking": 6, "payments": 3}
WORKSPACES = {"hotel": (200, 400), "planner": (150, 300), "crew": (150, 300), "parts-desk": (20, 40)}
CALLING = ("hotel", "planner", "crew")  # The workspaces that send steadily, inside their rates.
FAULT_SECONDS = 6


class Traffic:
    """Callers that send lookups and bookings until they are told to stop."""

    def __init__(self, fleet, keys):
        self.fleet = fleet
        self.keys = keys
        self.lock = threading.Lock()
        self.counts = collections.Counter()
        self.wrong = []
        self.bookings = {}
        self.serial = itertools.count()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(name, i), daemon=True) for i, name in enumerate(CALLING * 3)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(30)

    def run(self, workspace, seed):
        chooser = random.Random(seed)
        while not self.stopping.is_set():
            host = chooser.choice(self.fleet.live_hosts())
            if chooser.random() < 0.25:
                self.book(host, workspace)
            else:
                self.look_up(host, workspace)
            self.stopping.wait(0.05)

    def look_up(self, host, workspace):
        path = f"/status/{next(self.serial)}"
        try:
            answer = request(host.callers, "GET", path, {"Authorization": "Bearer " + self.keys[workspace]}, timeout=15)
        except OSError:
            return self.count("lookup: connection lost")
        if answer.status == 200 and answer.body != f"echo GET {path} ".encode():
            self.wrong.append((path, answer.body[:80]))
        return self.count(f"lookup: {answer.status}")

    def book(self, host, workspace):
        key = f"booking-{next(self.serial)}"
        headers = {"Authorization": "Bearer " + self.keys[workspace], "Idempotency-Key": key}
        path = "/bookings/" + key
        for _ in range(3):  # A caller whose answer is lost sends the same booking again, to another host.
            try:
                answer = request(host.callers, "POST", path, headers, b"chandelier", timeout=15)
            except OSError:
                self.count("booking: connection lost")
                host = random.choice(self.fleet.live_hosts())
                continue
            break
        else:
            return None
        outcome = answer.headers.get("Ragwortrelay-Outcome", "")
        if answer.status == 200 and answer.body != f"echo POST {path} chandelier".encode():
            self.wrong.append((path, answer.body[:80]))
        with self.lock:
            self.bookings[key] = (answer.status, outcome)
        return self.count(f"booking: {answer.status} {outcome}".rstrip())

    def count(self, what):
        with self.lock:
            self.counts[what] += 1


class DemoFleet(Fleet):
    """A fleet with three services."""

    def __init__(self):
        super().__init__(hosts=HOSTS, backends=0)
        self.dead = set()
        self.servers = {}
        for service, count in SERVICES.items():
            for i in range(count):
                self.servers[f"{service}-{i}"] = self.add_backend()

    def add_backend(self, port=0):
        backend = Server("backend", SLOTS, port=port)
        self.backends.append(backend)
        return backend

    def live_hosts(self):
        return [host for host in self.hosts if host not in self.dead]

    def fill_table(self):
        first = self.hosts[0]
        for service in SERVICES:
            self.set(first, "service/" + service, "floor=0.5", "objective=0.99", "latency_ms=500")
        for i, (name, server) in enumerate(self.servers.items()):
            server.control("/standin/work?ms=5")
            service = name.rsplit("-", 1)[0]
            self.set(first, "server/" + name, "service=" + service, "address=" + server.address, f"domain=d{i % DOMAINS}", f"slots={SLOTS}")
        self.set(first, "route/lookup", "method=GET", "path=/status", "service=status", "idempotent=yes", "deadline_ms=3000")
        self.set(first, "route/book", "method=POST", "path=/bookings", "service=booking", "idempotent=no", "deadline_ms=8000")
        self.set(first, "route/parts", "method=GET", "path=/parts", "service=payments", "idempotent=yes", "deadline_ms=3000")
        for name, (rate, burst) in WORKSPACES.items():
            self.set(first, "workspace/" + name, f"rate={rate}", f"burst={burst}")
        keys = {}
        for name in WORKSPACES:
            keys[name] = give_key(first, name)
        if not eventually(lambda: all(host.ready() for host in self.hosts), 30):
            raise SystemExit("the hosts did not become ready")
        return keys


def give_key(host, workspace):
    code, out, err = cli(host, "key", "give", workspace)
    if code != 0:
        raise SystemExit(err)
    return out.split()[-1]


def say(text):
    print(f"[{time.monotonic() - STARTED:5.1f} s] {text}", flush=True)


class Proof:
    """Collects what was seen to hold, or not."""

    def __init__(self):
        self.lines = []

    def check(self, holds, text):
        self.lines.append((bool(holds), text))

    def print(self):
        print("\nWhat this run proved:")
        for holds, text in self.lines:
            print(("  holds   " if holds else "  FAILED  ") + text)
        return all(holds for holds, _ in self.lines)


def fault(fleet, traffic, title, begin, end):
    say(title)
    before = collections.Counter(traffic.counts)
    begin()
    time.sleep(FAULT_SECONDS)
    end()
    change = traffic.counts - before
    good = sum(count for what, count in change.items() if what.endswith(": 200"))
    total = sum(change.values())
    say(f"    {good} of {total} requests answered well; others: {dict((w, c) for w, c in change.items() if not w.endswith(': 200'))}")
    return good, total


def backend_faults(fleet, traffic, proof):
    sick = fleet.servers["status-0"]
    for mode, text in [
        ("fail", "a backend server fails its work while its probes pass"),
        ("slow", "a backend server becomes slow"),
        ("flap", "a backend server flaps"),
        ("cut", "a backend server cuts its answers short"),
        ("drain", "a backend server drains"),
    ]:
        good, total = fault(
            fleet,
            traffic,
            text,
            lambda mode=mode: sick.control(f"/standin/fault?mode={mode}"),
            lambda: sick.control("/standin/fault?mode=none"),
        )
        proof.check(good >= 0.9 * total, f"{text}: {good} of {total} answered well")


def crashing_request(fleet, traffic, proof):
    say("a request crashes each backend server that runs it, and its caller sends it again")
    key = {"Authorization": "Bearer " + traffic.keys["hotel"]}
    crashed = set()
    for i in range(6):
        host = fleet.live_hosts()[i % len(fleet.live_hosts())]
        try:
            request(host.callers, "GET", "/parts/fatal?crash=1", key, timeout=15)
        except OSError:
            pass
        for name, server in list(fleet.servers.items()):
            if server.process.poll() is not None:
                crashed.add((name, server.address))
                port = int(server.address.rsplit(":", 1)[1])
                fleet.servers[name] = fleet.add_backend(port)
        time.sleep(0.3)
    say(f"    {len(crashed)} backend servers crashed over 6 tries")
    proof.check(len(crashed) <= 2, f"a crashing request sent 6 times crashed {len(crashed)} backend servers (2 at most)")


def platform_faults(fleet, traffic, proof):
    for mode, text in [("slow", "the platform is slow"), ("lose-answer", "the platform applies writes and loses its answers"), ("down", "the platform is down")]:
        good, total = fault(
            fleet,
            traffic,
            text,
            lambda mode=mode: fleet.store.control(f"/standin/fault?mode={mode}"),
            lambda: fleet.store.control("/standin/fault?mode=none"),
        )
        proof.check(good > 0, f"{text}: {good} of {total} answered well")


def host_faults(fleet, traffic, proof):
    killed = fleet.hosts[-1]

    def kill():
        fleet.dead.add(killed)
        killed.signal(signal.SIGKILL)

    good, total = fault(fleet, traffic, "a host is killed", kill, lambda: None)
    proof.check(good >= 0.9 * total, f"a host is killed: {good} of {total} answered well")
    paused = fleet.hosts[-2]

    def pause():
        fleet.dead.add(paused)
        paused.signal(signal.SIGSTOP)

    def resume():
        paused.signal(signal.SIGCONT)
        fleet.dead.discard(paused)

    fault(fleet, traffic, "a host is paused, then goes on", pause, resume)


def operators(fleet, traffic, proof):
    say("two operators edit one row; one key is withdrawn while its holder sends requests")
    first, second = fleet.hosts[0], fleet.hosts[1]
    results = []
    edits = [threading.Thread(target=lambda h=h, r=r: results.append(cli(h, "table", "set", "workspace/planner", f"rate={r}")[0])) for h, r in [(first, 151), (second, 152)]]
    for edit in edits:
        edit.start()
    for edit in edits:
        edit.join()
    say(f"    exit codes of the two edits: {sorted(results)}")
    proof.check(0 in results, f"two operators edit one row at once: exit codes {sorted(results)}")
    key = give_key(first, "crew")
    header = {"Authorization": "Bearer " + key}
    live = fleet.live_hosts()
    known = eventually(lambda: all(request(h.callers, "GET", "/status/key", header).status == 200 for h in live))
    begin = time.monotonic()
    code, _, err = cli(first, "key", "withdraw", "crew", key.split(".")[0])
    gone = eventually(lambda: all(request(h.callers, "GET", "/status/key", header).status == 401 for h in live))
    proof.check(known and code == 0 and gone, f"a withdrawn key is refused on all hosts ({time.monotonic() - begin:.1f} s) {err.strip()[:80]}")


def over_limit(fleet, traffic, proof):
    say("a workspace sends five times its rate")
    rate, burst = WORKSPACES["parts-desk"]
    header = {"Authorization": "Bearer " + traffic.keys["parts-desk"]}
    admitted = collections.Counter()
    end = time.monotonic() + FAULT_SECONDS

    def send(seed):
        chooser = random.Random(seed)
        while time.monotonic() < end:
            answer = request(chooser.choice(fleet.live_hosts()).callers, "GET", "/status/over", header)
            admitted[answer.status] += 1
            time.sleep(0.1)

    senders = [threading.Thread(target=send, args=(seed,)) for seed in range(12)]
    begin = time.monotonic()
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    seconds = time.monotonic() - begin
    allowed = rate * seconds + burst
    say(f"    {admitted[200]} admitted, {admitted[429]} refused; {allowed:.0f} allowed at most")
    proof.check(admitted[200] <= allowed and admitted[429] > 0, f"a workspace at several times its rate got {admitted[200]} of at most {allowed:.0f}")


def runs_by_booking(fleet):
    runs = collections.Counter()
    saw_key = False
    for backend in fleet.backends:
        if backend.process.poll() is not None:
            continue
        report = backend.control("/standin/runs")
        saw_key = saw_key or report["sawKey"]
        for key, count in report["runs"].items():
            if key:
                runs[key] += count
    return runs, saw_key


def prove_traffic(fleet, traffic, proof):
    runs, saw_key = runs_by_booking(fleet)
    twice = [key for key, count in runs.items() if count > 1]
    false_refusals = [key for key, (_, outcome) in traffic.bookings.items() if outcome == "not-run" and runs[key] > 0]
    lost = [key for key, (status, _) in traffic.bookings.items() if status == 200 and runs[key] == 0]
    proof.check(not twice, f"{len(runs)} bookings ran, {len(twice)} of them more than once")
    proof.check(not lost, f"{len(lost)} bookings were confirmed without having run")
    proof.check(not false_refusals, f"{len(false_refusals)} bookings were refused as not run and had run")
    proof.check(not traffic.wrong, f"{len(traffic.wrong)} answers were wrong or cut short {traffic.wrong[:2]}")
    proof.check(not saw_key, "no backend server saw a workspace key")


def stop_gracefully(fleet, proof):
    say("all hosts stop gracefully")
    live = fleet.live_hosts()
    for host in live:
        host.signal(signal.SIGTERM)
    codes = [host.wait(60) for host in live]
    proof.check(all(code == 0 for code in codes), f"{len(live)} hosts stopped gracefully, exit codes {codes}")


def print_burn(fleet):
    page = os.path.join(fleet.folder.name, "burn.html")
    code, out, err = cli(fleet.hosts[0], "report", "burn", "--html", page)
    print()
    print(out if code == 0 else err)


def keep(fleet, keys):
    print("\nThe fleet is up.")
    for host in fleet.live_hosts():
        print(f"  host: callers http://{host.callers}  operators http://{host.operators}")
    print(f"  operators' token: {TOKEN}")
    for workspace, key in keys.items():
        print(f"  key of workspace {workspace}: {key}")
    first = fleet.hosts[0]
    print("Try:")
    print(f"  curl -H 'Authorization: Bearer {keys['hotel']}' http://{first.callers}/status/crystal")
    print(f"  {os.environ['RAGWORTRELAY_BUILD']}/src/ragwortrelay status --host {first.operators} --token {TOKEN}")
    print(f"Stop it with: kill {os.getpid()}   (or Ctrl-C here)", flush=True)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})


def main():
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM} if "--keep" in sys.argv else set())
    with DemoFleet() as fleet:
        say(f"{HOSTS} hosts in {DOMAINS} failure domains, {len(fleet.servers)} backend servers, one platform")
        keys = fleet.fill_table()
        if "--keep" in sys.argv:
            keep(fleet, keys)
            return 0
        proof = Proof()
        traffic = Traffic(fleet, keys)
        traffic.start()
        backend_faults(fleet, traffic, proof)
        crashing_request(fleet, traffic, proof)
        platform_faults(fleet, traffic, proof)
        host_faults(fleet, traffic, proof)
        operators(fleet, traffic, proof)
        over_limit(fleet, traffic, proof)
        traffic.stop()
        prove_traffic(fleet, traffic, proof)
        print_burn(fleet)
        stop_gracefully(fleet, proof)
        print("Answers: " + json.dumps(traffic.counts, sort_keys=True))
        return 0 if proof.print() else 1


STARTED = time.monotonic()

if __name__ == "__main__":
    sys.exit(main())
