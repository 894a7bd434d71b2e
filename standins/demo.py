"""Runs a fleet of real processes through a fault of each kind and reports which guarantees held.

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

from fleet import TOKEN, Fleet, StandIn, cli, eventually, request  # noqa: E402

HOSTS = 6
DOMAINS = 3
SLOTS = 4
SERVICES = {"status": 4, "booking": 6, "payments": 3}
WORKSPACES = {"hotel": (200, 400), "planner": (150, 300), "crew": (150, 300), "parts-desk": (20, 40)}
STEADY_WORKSPACES = ("hotel", "planner", "crew")  # Workspaces that send steadily within their rate limits.
FAULT_SECONDS = 6


class Traffic:
    """Callers that send lookups and bookings until stop() is called."""

    def __init__(self, fleet, keys):
        self.fleet = fleet
        self.keys = keys
        self.lock = threading.Lock()
        self.counts = collections.Counter()
        self.wrong_responses = []
        self.bookings = {}
        self.serial_numbers = itertools.count()
        self.stop_event = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(name, i), daemon=True) for i, name in enumerate(STEADY_WORKSPACES * 3)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stop_event.set()
        for thread in self.threads:
            thread.join(30)

    def run(self, workspace, seed):
        generator = random.Random(seed)
        while not self.stop_event.is_set():
            host = generator.choice(self.fleet.live_hosts())
            if generator.random() < 0.25:
                self.send_booking(host, workspace)
            else:
                self.send_lookup(host, workspace)
            self.stop_event.wait(0.05)

    def send_lookup(self, host, workspace):
        path = f"/status/{next(self.serial_numbers)}"
        try:
            response = request(host.callers, "GET", path, {"Authorization": "Bearer " + self.keys[workspace]}, timeout=15)
        except OSError:
            return self.count("lookup: connection lost")
        if response.status == 200 and response.body != f"echo GET {path} ".encode():
            self.wrong_responses.append((path, response.body[:80]))
        return self.count(f"lookup: {response.status}")

    def send_booking(self, host, workspace):
        key = f"booking-{next(self.serial_numbers)}"
        headers = {"Authorization": "Bearer " + self.keys[workspace], "Idempotency-Key": key}
        path = "/bookings/" + key
        for _ in range(3):  # A caller that loses the response retries the same booking on another host.
            try:
                response = request(host.callers, "POST", path, headers, b"chandelier", timeout=15)
            except OSError:
                self.count("booking: connection lost")
                host = random.choice(self.fleet.live_hosts())
                continue
            break
        else:
            return None
        outcome = response.headers.get("Ragwortrelay-Outcome", "")
        if response.status == 200 and response.body != f"echo POST {path} chandelier".encode():
            self.wrong_responses.append((path, response.body[:80]))
        with self.lock:
            self.bookings[key] = (response.status, outcome)
        return self.count(f"booking: {response.status} {outcome}".rstrip())

    def count(self, category):
        with self.lock:
            self.counts[category] += 1


class DemoFleet(Fleet):
    """A fleet with three services."""

    def __init__(self):
        super().__init__(hosts=HOSTS, backends=0)
        self.unavailable = set()
        self.servers = {}
        for service, count in SERVICES.items():
            for i in range(count):
                self.servers[f"{service}-{i}"] = self.add_backend()

    def add_backend(self, port=0):
        backend = StandIn("backend", SLOTS, port=port)
        self.backends.append(backend)
        return backend

    def live_hosts(self):
        return [host for host in self.hosts if host not in self.unavailable]

    def configure_table(self):
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
            keys[name] = issue_key(first, name)
        if not eventually(lambda: all(host.ready() for host in self.hosts), 30):
            raise SystemExit("the hosts did not become ready within 30 s")
        return keys


def issue_key(host, workspace):
    code, out, err = cli(host, "key", "give", workspace)
    if code != 0:
        raise SystemExit(err)
    return out.split()[-1]


def log_progress(text):
    print(f"[{time.monotonic() - STARTED:5.1f} s] {text}", flush=True)


class CheckResults:
    """Collects the results of the checks."""

    def __init__(self):
        self.lines = []

    def check(self, holds, text):
        self.lines.append((bool(holds), text))

    def print_results(self):
        print("\nResults of this run:")
        for holds, text in self.lines:
            print(("  holds   " if holds else "  FAILED  ") + text)
        return all(holds for holds, _ in self.lines)


def run_fault(fleet, traffic, title, start, stop):
    log_progress(title)
    before = collections.Counter(traffic.counts)
    start()
    time.sleep(FAULT_SECONDS)
    stop()
    change = traffic.counts - before
    succeeded = sum(count for category, count in change.items() if category.endswith(": 200"))
    total = sum(change.values())
    log_progress(f"    {succeeded} of {total} requests succeeded; others: {dict((w, c) for w, c in change.items() if not w.endswith(': 200'))}")
    return succeeded, total


def run_backend_faults(fleet, traffic, results):
    faulty = fleet.servers["status-0"]
    for mode, text in [
        ("fail", "a backend server fails its requests while its health probes succeed"),
        ("slow", "a backend server becomes slow"),
        ("flap", "a backend server flaps"),
        ("cut", "a backend server truncates its responses"),
        ("drain", "a backend server drains"),
    ]:
        succeeded, total = run_fault(
            fleet,
            traffic,
            text,
            lambda mode=mode: faulty.control(f"/standin/fault?mode={mode}"),
            lambda: faulty.control("/standin/fault?mode=none"),
        )
        results.check(succeeded >= 0.9 * total, f"{text}: {succeeded} of {total} requests succeeded")


def run_crashing_request(fleet, traffic, results):
    log_progress("a request crashes each backend server that executes it, and its caller retries it")
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
    log_progress(f"    {len(crashed)} backend servers crashed in 6 attempts")
    results.check(len(crashed) <= 2, f"a crashing request sent 6 times crashed {len(crashed)} backend servers (2 at most)")


def run_platform_faults(fleet, traffic, results):
    for mode, text in [("slow", "the platform is slow"), ("lose-answer", "the platform applies writes and loses its responses"), ("down", "the platform is down")]:
        succeeded, total = run_fault(
            fleet,
            traffic,
            text,
            lambda mode=mode: fleet.store.control(f"/standin/fault?mode={mode}"),
            lambda: fleet.store.control("/standin/fault?mode=none"),
        )
        results.check(succeeded > 0, f"{text}: {succeeded} of {total} requests succeeded")


def run_host_faults(fleet, traffic, results):
    killed = fleet.hosts[-1]

    def kill():
        fleet.unavailable.add(killed)
        killed.signal(signal.SIGKILL)

    succeeded, total = run_fault(fleet, traffic, "a host is killed", kill, lambda: None)
    results.check(succeeded >= 0.9 * total, f"a host is killed: {succeeded} of {total} requests succeeded")
    paused = fleet.hosts[-2]

    def pause():
        fleet.unavailable.add(paused)
        paused.signal(signal.SIGSTOP)

    def resume():
        paused.signal(signal.SIGCONT)
        fleet.unavailable.discard(paused)

    run_fault(fleet, traffic, "a host is paused, then resumes", pause, resume)


def run_concurrent_edits(fleet, traffic, results):
    log_progress("two operators edit one row; one key is withdrawn while its workspace sends requests")
    first, second = fleet.hosts[0], fleet.hosts[1]
    exit_codes = []
    edits = [threading.Thread(target=lambda h=h, r=r: exit_codes.append(cli(h, "table", "set", "workspace/planner", f"rate={r}")[0])) for h, r in [(first, 151), (second, 152)]]
    for edit in edits:
        edit.start()
    for edit in edits:
        edit.join()
    log_progress(f"    exit codes of the two edits: {sorted(exit_codes)}")
    results.check(0 in exit_codes, f"two operators edit one row at once: exit codes {sorted(exit_codes)}")
    key = issue_key(first, "crew")
    header = {"Authorization": "Bearer " + key}
    live = fleet.live_hosts()
    is_accepted = eventually(lambda: all(request(h.callers, "GET", "/status/key", header).status == 200 for h in live))
    begin = time.monotonic()
    code, _, err = cli(first, "key", "withdraw", "crew", key.split(".")[0])
    is_rejected = eventually(lambda: all(request(h.callers, "GET", "/status/key", header).status == 401 for h in live))
    results.check(is_accepted and code == 0 and is_rejected, f"a withdrawn key is refused on all hosts ({time.monotonic() - begin:.1f} s) {err.strip()[:80]}")


def run_over_limit(fleet, traffic, results):
    log_progress("a workspace sends five times its rate limit")
    rate, burst = WORKSPACES["parts-desk"]
    header = {"Authorization": "Bearer " + traffic.keys["parts-desk"]}
    admitted = collections.Counter()
    end = time.monotonic() + FAULT_SECONDS

    def send(seed):
        generator = random.Random(seed)
        while time.monotonic() < end:
            response = request(generator.choice(fleet.live_hosts()).callers, "GET", "/status/over", header)
            admitted[response.status] += 1
            time.sleep(0.1)

    senders = [threading.Thread(target=send, args=(seed,)) for seed in range(12)]
    begin = time.monotonic()
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    seconds = time.monotonic() - begin
    allowed = rate * seconds + burst
    log_progress(f"    {admitted[200]} admitted, {admitted[429]} refused; {allowed:.0f} allowed at most")
    results.check(admitted[200] <= allowed and admitted[429] > 0, f"a workspace at several times its rate limit got {admitted[200]} requests admitted of at most {allowed:.0f}")


def count_executions(fleet):
    runs = collections.Counter()
    has_seen_key = False
    for backend in fleet.backends:
        if backend.process.poll() is not None:
            continue
        report = backend.control("/standin/runs")
        has_seen_key = has_seen_key or report["sawKey"]
        for key, count in report["runs"].items():
            if key:
                runs[key] += count
    return runs, has_seen_key


def check_traffic(fleet, traffic, results):
    runs, has_seen_key = count_executions(fleet)
    repeated = [key for key, count in runs.items() if count > 1]
    false_refusals = [key for key, (_, outcome) in traffic.bookings.items() if outcome == "not-run" and runs[key] > 0]
    lost = [key for key, (status, _) in traffic.bookings.items() if status == 200 and runs[key] == 0]
    results.check(not repeated, f"{len(runs)} bookings were executed, {len(repeated)} of them more than once")
    results.check(not lost, f"{len(lost)} bookings were confirmed without being executed")
    results.check(not false_refusals, f"{len(false_refusals)} bookings were refused as not run although they were executed")
    results.check(not traffic.wrong_responses, f"{len(traffic.wrong_responses)} responses were wrong or truncated {traffic.wrong_responses[:2]}")
    results.check(not has_seen_key, "no backend server saw a workspace key")


def stop_gracefully(fleet, results):
    log_progress("all hosts stop gracefully")
    live = fleet.live_hosts()
    for host in live:
        host.signal(signal.SIGTERM)
    codes = [host.wait(60) for host in live]
    results.check(all(code == 0 for code in codes), f"{len(live)} hosts stopped gracefully, exit codes {codes}")


def print_burn_report(fleet):
    page = os.path.join(fleet.folder.name, "burn.html")
    code, out, err = cli(fleet.hosts[0], "report", "burn", "--html", page)
    print()
    print(out if code == 0 else err)


def keep_running(fleet, keys):
    print("\nThe fleet is running.")
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
        log_progress(f"{HOSTS} hosts in {DOMAINS} failure domains, {len(fleet.servers)} backend servers, one platform")
        keys = fleet.configure_table()
        if "--keep" in sys.argv:
            keep_running(fleet, keys)
            return 0
        results = CheckResults()
        traffic = Traffic(fleet, keys)
        traffic.start()
        run_backend_faults(fleet, traffic, results)
        run_crashing_request(fleet, traffic, results)
        run_platform_faults(fleet, traffic, results)
        run_host_faults(fleet, traffic, results)
        run_concurrent_edits(fleet, traffic, results)
        run_over_limit(fleet, traffic, results)
        traffic.stop()
        check_traffic(fleet, traffic, results)
        print_burn_report(fleet)
        stop_gracefully(fleet, results)
        print("Responses: " + json.dumps(traffic.counts, sort_keys=True))
        return 0 if results.print_results() else 1


STARTED = time.monotonic()

if __name__ == "__main__":
    sys.exit(main())
