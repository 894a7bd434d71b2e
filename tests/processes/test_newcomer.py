"""Joining of a new host while the store is down."""

import unittest

from fleet import Fleet, bearer, eventually, request

SECRET = "peers-secret-of-this-fleet"


def registered_hosts(host):
    page = request(host.operators, "GET", "/ragwortrelay/metrics").body.decode()
    return int(float(next(line for line in page.splitlines() if line.startswith("ragwortrelay_hosts_registered ")).split()[1]))


class NewHost(unittest.TestCase):
    def test_new_host_joins_through_its_seeds_while_the_store_is_down(self):
        with Fleet(hosts=3, peers=f"  secret: {SECRET}\n") as fleet:
            key = fleet.configure()
            self.assertTrue(eventually(lambda: all(registered_hosts(host) == 3 for host in fleet.hosts)))
            fleet.store.control("/standin/fault?mode=down")
            seeds = ", ".join(host.peers for host in fleet.hosts[:2])
            fleet.peers += f"  seeds: [{seeds}]\n"
            new_host = fleet.start_host(3)
            fleet.hosts.append(new_host)
            self.assertTrue(eventually(new_host.ready))
            self.assertEqual(request(new_host.callers, "GET", "/a", bearer(key)).status, 200)
            # The other hosts stay ready, too, because a quorum of them can reach one another.
            self.assertFalse(eventually(lambda: not all(host.ready() for host in fleet.hosts), seconds=12))


if __name__ == "__main__":
    unittest.main()
