"""A store that loses acknowledged writes and returns to an older copy, with real processes."""

import base64
import json
import unittest

from fleet import Fleet, bearer, cli, eventually, request
from test_dispatch import configure_all, count_executions
from test_platform import PlatformFleet, all_respond, send


def restore(fleet):
    """Restores the store from its copy after a moment in which it can't be reached."""
    fleet.store.control("/standin/fault?mode=down")
    fleet.store.control("/standin/restore")
    fleet.store.control("/standin/fault?mode=none")


def era_is_seen(fleet):
    return eventually(lambda: all(host.events("store-era-changed") for host in fleet.hosts))


class PlatformTables(unittest.TestCase):
    def test_configuration_doesn_t_go_back_and_the_operators_rewrite_is_applied(self):
        """Guards against hosts that ignore rows whose versions are smaller than before, and against an older configuration."""
        with PlatformFleet() as fleet:
            fleet.publish()
            fleet.store.control("/standin/copy")
            for version in range(0x20, 0x30):
                fleet.configure(version, keys=["another"])
            self.assertTrue(all_respond(fleet, 200, key="another"))
            restore(fleet)
            self.assertTrue(era_is_seen(fleet))
            self.assertTrue(all_respond(fleet, 200, key="another"))
            self.assertTrue(all_respond(fleet, 401))
            fleet.configure(0x30, keys=["third"])
            self.assertTrue(all_respond(fleet, 200, key="third"))
            self.assertTrue(all_respond(fleet, 401, key="another"))
            versions = [int(line["version"]) for host in fleet.hosts for line in host.events("configuration-in-force")]
            self.assertEqual(versions.count(16), len(fleet.hosts))

    def test_servers_that_the_store_has_lost_get_no_requests(self):
        """Guards against servers that only the lost history had, and against rewritten ones that are ignored."""
        with PlatformFleet(backends=3) as fleet:
            fleet.configure()
            fleet.list_server(0)
            fleet.store.control("/standin/copy")
            for _ in range(8):
                fleet.list_server(1)
            self.assertTrue(all_respond(fleet, 200))
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: len(host.events("server-listed")) >= 2))
            restore(fleet)
            fleet.list_server(2)
            for host in fleet.hosts:
                gone = lambda host=host: [line for line in host.events("server-gone") if line["server"] == "s1"]
                listed = lambda host=host: [line for line in host.events("server-listed") if line["server"] == "s2"]
                self.assertTrue(eventually(gone))
                self.assertTrue(eventually(listed))
            self.assertTrue(all_respond(fleet, 200))

    def test_hosts_register_again_and_keep_their_secret(self):
        """Guards against hosts that stay unregistered, or that stop understanding one another, after their rows were lost."""
        with PlatformFleet(hosts=0) as fleet:
            fleet.store.control("/standin/copy")
            for number in range(2):
                fleet.hosts.append(fleet.start_host(number))
            fleet.publish()
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: host.events("registered")))
            restore(fleet)
            self.assertTrue(era_is_seen(fleet))
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: len(host.events("registered")) >= 2))
            self.assertTrue(eventually(lambda: hosts_in_store(fleet) == ["_secret", "h0", "h1"]))
            fleet.publish()
            for host in fleet.hosts:
                members = [int(line["hosts"]) for line in host.events("membership-changed")]
                self.assertEqual(members[-1], 2)
                self.assertEqual(members, sorted(members))


def hosts_in_store(fleet):
    rows = json.loads(request(fleet.store.address, "GET", "/api/rows-get?table=ragwortrelay-hosts&part=").body)["rows"]
    return [row["key"] for row in rows]


def claims_in_store(fleet):
    rows = json.loads(request(fleet.store.address, "GET", "/api/rows-get?table=ragwortrelay-claims&part=claims").body)["rows"]
    return [json.loads(base64.b64decode(row["value"])) for row in rows]


class OwnTable(unittest.TestCase):
    def book(self, fleet, host, key, name):
        return request(fleet.hosts[host].callers, "POST", "/book", bearer(key, Idempotency_Key=name), b"body")

    def test_lost_claim_is_not_run_again_by_another_host(self):
        """Guards against a second run of a request whose claim the store has lost."""
        with Fleet() as fleet:
            key = configure_all(fleet)
            self.assertEqual(self.book(fleet, 0, key, "first").status, 200)
            fleet.store.control("/standin/copy")
            self.assertEqual(self.book(fleet, 0, key, "k").status, 200)
            self.assertTrue(eventually(lambda: [claim["state"] for claim in claims_in_store(fleet)] == ["done", "done"]))
            restore(fleet)
            self.assertTrue(era_is_seen(fleet))
            self.assertTrue(eventually(lambda: self.book(fleet, 1, key, "k").status != 503))
            second = self.book(fleet, 1, key, "k")
            self.assertEqual((second.status, json.loads(second.body)["id"]), (409, "RW0330"))
            self.assertEqual(count_executions(fleet, "k"), 1)
            self.assertTrue(eventually(lambda: self.book(fleet, 1, key, "another").status == 200))
            self.assertEqual(count_executions(fleet, "another"), 1)

    def test_lost_edits_are_reported_and_withdrawn_keys_stay_withdrawn(self):
        """Guards against acknowledged edits that disappear without a trace."""
        with Fleet() as fleet:
            key = configure_all(fleet)
            fleet.store.control("/standin/copy")
            fleet.set(fleet.hosts[0], "workspace/w2", "rate=7")
            code, _, err = cli(fleet.hosts[0], "key", "withdraw", "w1", key.split(".")[0])
            self.assertEqual(code, 0, err)
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: request(host.callers, "GET", "/", bearer(key)).status == 401))
            restore(fleet)
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: any(line["row"] == "workspace/w2" for line in host.events("table-row-reverted"))))
                self.assertTrue(eventually(lambda host=host: host.events("withdrawn-key-refused")))
                self.assertEqual(request(host.callers, "GET", "/", bearer(key)).status, 401)
            fleet.set(fleet.hosts[0], "workspace/w2", "rate=8")


if __name__ == "__main__":
    unittest.main()
