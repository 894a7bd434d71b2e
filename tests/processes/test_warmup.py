"""Limit of the requests that start at a cold server, with real processes. A server that said that it was cold got requests as fast as they came."""

import unittest

from faultyserver import FaultyServer
from fleet import eventually
from test_platform import PlatformFleet, send
from test_server_notices import Server

MAX_PER_SECOND = 4  # coldPerS 2 x overage 1 + slack 2
SERVICES = [{"name": "search", "healthCheckPath": "/health", "warmupS": 3.0, "coldPerS": 2}]


class Warmup(unittest.TestCase):
    def test_server_that_becomes_cold_gets_no_more_than_its_bound_in_any_second(self):
        server = Server()
        with PlatformFleet(hosts=1, backends=0, extra="warmup:\n  overage: 1\n  slack: 2\n") as fleet:
            fleet.serve_with([FaultyServer(server)])
            host = fleet.hosts[0]
            fleet.configure(17, services=SERVICES)
            fleet.list_server(0, warmupLeftMs=60000)
            self.assertTrue(eventually(lambda: host.events("server-cold") and host.events("configuration-in-force")[-1]["version"] == "17"))
            before = len(server.arrivals)
            self.assertEqual({send(host, attempt=f"a{number}").status for number in range(12)}, {200})
            arrivals = server.arrivals[before:]
            most = max(sum(first <= arrival < first + 1 for arrival in arrivals) for first in arrivals)
            self.assertLessEqual(most, MAX_PER_SECOND)


if __name__ == "__main__":
    unittest.main()
