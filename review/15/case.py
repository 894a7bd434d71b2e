"""Hosts are restarted in turn while the configuration changes twice in quick succession; the second change is late at hosts that weren't restarted."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
from bed import BOUNDS, TROUBLE, Upstream, configuration, now, route, run_case

KEY = "key-of-w1-0123456789"
HOSTS = 30
UPSTREAMS = 24
ROUNDS = 24
SERVICES = ("bookbay", "tillworks")
RESTART_DELAY_S = 0.5
CHANGE_INTERVAL_S = 0.33
READ_TO_CHANGE_S = 0.03
PROBE_INTERVAL_S = 0.08
PROBES_UNTIL_S = 2.6


def written(version, service):
    return configuration(version, [{"name": "w1", "apiKeys": [KEY]}], [route("order", "/order/", "unsafe", service=service)], SERVICES)


async def stop(bed, host):
    """Stops a host, as the platform does in planned work. Returns when it may start again."""
    if not TROUBLE:
        await asyncio.sleep(3.2)
        return
    host.is_stopping = True
    host.signal(signal.SIGTERM)
    bed.record.note(f"{host.name} gets SIGTERM")
    while host.process.poll() is None:
        await asyncio.sleep(0.02)
    await asyncio.sleep(RESTART_DELAY_S)


def start(bed, host):
    """Starts a host again. Returns an event that is set when the store has told it all tables."""
    has_read = asyncio.Event()
    tables = set()

    def on_rows(name, rows):
        if name == host.name:
            tables.update(row["table"] for row in rows)
            if len(tables) == 3:
                has_read.set()

    if TROUBLE:
        bed.store.on_rows = on_rows
        host.start()
        host.started_at = now()
        host.is_stopping = False
        bed.record.note(f"{host.name} is started again")
    return has_read


async def probe(bed, hosts, acknowledged):
    """Sends requests to all hosts that are in touch, later than the bound after the ack. Returns them with their hosts."""
    limit = acknowledged + BOUNDS["configApplyMs"] / 1000
    await asyncio.sleep(max(0, limit + 0.02 - now()))
    tasks = []
    while now() < acknowledged + PROBES_UNTIL_S:
        for host in hosts:
            if host.process.poll() is None and not host.is_stopping and now() - host.started_at > 2 * BOUNDS["stabilityMs"] / 1000:
                tasks.append((host, asyncio.create_task(bed.request(host.callers, "/order/1", KEY))))
        await asyncio.sleep(PROBE_INTERVAL_S)
    return [(host, await task) for host, task in tasks]


async def scenario(bed):
    hosts = await bed.start_hosts(HOSTS)
    for host in hosts:
        host.started_at = now()
        host.is_stopping = False
    for number in range(UPSTREAMS):
        await Upstream(bed, f"i-{number:02}", service=SERVICES[number % 2], slots=20, work_s=0.01).start()
        await asyncio.sleep(0.03)
    await bed.store.write("op", "config", written(16, SERVICES[0]))
    for host in hosts:
        if not await bed.until(host.ready, 10):
            raise RuntimeError("a host isn't ready")
    await asyncio.sleep(6.5)
    leaders = [host.events("leader-found")[-1]["leader"] for host in hosts if host.events("leader-found")]
    leader = max(set(leaders), key=leaders.count)
    bed.record.note(f"{leader} leads")
    others = [host for host in hosts if host.name != leader]
    violations = []
    late = []
    services = {f"i-{index:02}": SERVICES[index % 2] for index in range(UPSTREAMS)}
    version = 16
    stopping = asyncio.create_task(stop(bed, others[0]))
    for number in range(ROUNDS):
        restarted = others[number]
        await stopping
        version += 1
        await bed.store.write("op", "config", written(version, SERVICES[1]))
        bed.record.note(f"version {version}, which moves the route to {SERVICES[1]}, is acknowledged")
        await asyncio.sleep(CHANGE_INTERVAL_S / 2)
        has_read = start(bed, restarted)
        try:
            await asyncio.wait_for(has_read.wait(), CHANGE_INTERVAL_S / 2)
        except asyncio.TimeoutError:
            pass
        await asyncio.sleep(READ_TO_CHANGE_S)
        version += 1
        acknowledged = await bed.store.write("op", "config", written(version, SERVICES[0]))
        bed.record.note(f"version {version}, which moves the route to {SERVICES[0]}, is acknowledged")
        stopping = asyncio.create_task(stop(bed, others[(number + 1) % len(others)]))
        probes = await probe(bed, hosts, acknowledged)
        runs = {run["id"]: run for run in bed.runs}
        for host, entry in probes:
            run = runs.get(entry["id"])
            if run and services[run["upstream"]] != SERVICES[0]:
                after = entry["sent"] - acknowledged
                late.append((host.name, version))
                violations.append(f"CONFIG: {entry['id']}, sent to {host.name} {after:.2f} s after the ack of version {version}, is run by the old service")
    bed.record.note(f"{len(set(late))} times a host was late, in {ROUNDS} changes at {HOSTS} hosts")
    print(f"{len(set(late))} times a host was late")
    return violations


run_case(FOLDER, scenario)
