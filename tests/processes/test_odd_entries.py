"""Odd entries of other writers in the tables that hosts read, with real processes."""

import json
import unittest

from fleet import Fleet, bearer, cli, eventually, request
from test_platform import PlatformFleet, all_respond


class OddEntries(unittest.TestCase):
    def test_odd_server_entries_neither_end_a_host_nor_stop_it_from_following_the_list(self):
        entry = {"service": "search", "address": "127.0.0.1:1", "zone": "d1", "maxConcurrency": 4, "state": "ready", "born": 1}
        odd = {
            "deep-array": "[" * 100_000,
            "deep-array-closed": "[" * 100_000 + "]" * 100_000,
            "deep-object": '{"a":' * 20_000 + "1" + "}" * 20_000,
            "deep-field": json.dumps(entry)[:-1] + ', "extra": ' + "[" * 100_000 + "]" * 100_000 + "}",
            "binary": b"\xff\xfe",
        }
        numbers = ("1e400", "1e300", "-1e300", "18446744073709551616", "9223372036854775807", "-9223372036854775808", "1" * 400)
        for field in ("maxConcurrency", "born", "warmupLeftMs", "sequence"):
            for number in numbers:
                odd[f"number-{field}-{number[:24]}"] = json.dumps({**entry, field: 0}).replace(f'"{field}": 0', f'"{field}": {number}')
        for port in ("0", "65536", "99999", "99999999999999999999", "-1", "+80", "80x", ""):
            odd["port-" + port] = json.dumps({**entry, "address": "127.0.0.1:" + port})
        with PlatformFleet() as fleet:
            fleet.publish()
            for number, value in enumerate(odd.values()):
                fleet.put("servers", f"odd{number}", value)
            self.assertTrue(eventually(lambda: all(host.events("server-unreadable") for host in fleet.hosts)))
            self.assertTrue(all_respond(fleet, 200))
            fleet.list_server(0, state="draining")
            is_reported = lambda host: any(line["server"] == "s0" and line["use"] == "leaving" for line in host.events("server-listed"))
            self.assertTrue(eventually(lambda: all(is_reported(host) for host in fleet.hosts)))
            self.assertTrue(all_respond(fleet, 200))
            self.assertEqual([host.process.poll() for host in fleet.hosts], [None, None])
            listed = {line["server"] for host in fleet.hosts for line in host.events("server-listed")}
            usable = {"deep-field", "number-born-9223372036854775807", "number-sequence-9223372036854775807"}
            self.assertEqual({name for number, name in enumerate(odd) if f"odd{number}" in listed}, usable)

    def test_server_address_that_cannot_be_connected_to_is_refused_and_ends_no_host(self):
        with Fleet(hosts=2) as fleet:
            key = fleet.configure()
            for address in ("127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:", "127.0.0.1", "backend:80", "127.0.0.1:99999999999999999999"):
                code, _, err = cli(fleet.hosts[0], "table", "set", "server/odd", "service=booking", "address=" + address, "domain=d1")
                self.assertEqual((code, "RW0202" in err), (1, True), address + err)
            for _ in range(10):
                for host in fleet.hosts:
                    self.assertEqual(request(host.callers, "GET", "/a", bearer(key)).status, 200)
            self.assertEqual([host.process.poll() for host in fleet.hosts], [None, None])

    def test_odd_host_records_end_no_host(self):
        with Fleet(hosts=2) as fleet:
            key = fleet.configure()
            record = {"address": "127.0.0.1:1", "domain": "d1", "incarnation": 1, "capacity": 1000.0}
            odd = ["[" * 100_000, "{}", "1e400", json.dumps(record).replace("1000.0", "1e400")]
            odd += [json.dumps({**record, "address": address}) for address in ("127.0.0.1:99999", "127.0.0.1:", "x", "host:80", "")]
            odd += [json.dumps({**record, "incarnation": number}) for number in (-1, 1.5, 1e300)]
            for number, value in enumerate(odd):
                fleet.store.control(f"/standin/put?table=ragwortrelay-hosts&key=odd{number}", value)
            self.assertTrue(eventually(lambda: all(len(host.events("host-record-unreadable")) >= len(odd) for host in fleet.hosts)))
            for _ in range(10):
                for host in fleet.hosts:
                    self.assertEqual(request(host.callers, "GET", "/a", bearer(key)).status, 200)
            self.assertEqual([host.process.poll() for host in fleet.hosts], [None, None])


if __name__ == "__main__":
    unittest.main()
