"""Measures the latency that a host adds to a request, in a fleet of several connected hosts.

Usage: RAGWORTRELAY_BUILD=build/release python3 benchmarks/latency.py [RUNS] [RATE] [HOSTS]
"""

import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests", "processes"))
from fleet import BUILD, Fleet, Process, eventually, bearer, request  # noqa: E402

PROGRAM = os.path.join(BUILD, "benchmarks", "ragwortrelay_latency")
CONNECTIONS = 8
BLOCKS = 5
SECONDS = 2


class FastBackend(Process):
    def __init__(self):
        super().__init__([PROGRAM, "serve"])
        self.address = self.first_line[1]


def processor_seconds(host):
    with open(f"/proc/{host.process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main():
    runs, rate, hosts = (int(argument) for argument in (sys.argv[1:] + ["3", "500", "6"][len(sys.argv) - 1 :]))
    backend = FastBackend()
    try:
        with Fleet(hosts=hosts, backends=0) as fleet:
            fleet.backends = []
            key = fleet.configure()
            first = fleet.hosts[0]
            fleet.set(first, "workspace/w1", "rate=100000", "burst=100000")
            fleet.set(first, "server/fast", "service=booking", f"address={backend.address}", "domain=d0", "slots=64")
            is_served = lambda: request(first.callers, "GET", "/a", bearer(key)).status == 200
            assert eventually(is_served)
            for run in range(runs):
                arguments = [backend.address, first.callers, key, rate, CONNECTIONS, BLOCKS, SECONDS]
                print(f"run {run + 1}, {rate} requests/s, {hosts} hosts", flush=True)
                before = processor_seconds(first)
                subprocess.run([PROGRAM, "load", *map(str, arguments)], check=True, timeout=300)
                processor_time = processor_seconds(first) - before
                print(f"host processor time per request, including control traffic: {processor_time / (rate * SECONDS * BLOCKS) * 1e6:.0f} us", flush=True)
    finally:
        backend.close()


if __name__ == "__main__":
    main()
