"""Evacuation of failure domains through rows of the platform's operator, with real processes. Such rows had no effect: servers of the failure domain
went on getting requests."""

import json
import time
import unittest

from fleet import Fleet, bearer, cli, eventually, request
from test_platform import PlatformFleet, send

EVACUATE_SECONDS = 5  # Time after which no request may start in the failure domain.


class Evacuation(unittest.TestCase):
    def publish(self, fleet):
        fleet.publish()
        for number in range(len(fleet.backends)):
            fleet.list_server(number, zone=f"z{number}")
        for host in fleet.hosts:
            self.assertTrue(eventually(lambda host=host: send(host).status == 200))

    def runs(self, fleet, number):
        return sum(fleet.backends[number].control("/standin/runs")["runs"].values())

    def send_to_all(self, fleet, count=20):
        """Sends requests to all hosts in turn and returns their responses."""
        return [send(host, attempt=f"a{number}") for number in range(count) for host in fleet.hosts]

    def test_servers_of_an_evacuated_failure_domain_get_no_request_until_it_is_taken_back(self):
        with PlatformFleet(hosts=3, backends=2) as fleet:
            self.publish(fleet)
            fleet.store.control("/standin/fault?mode=refuse&door=1")
            fleet.put("op", "evacuate/z0", {})
            time.sleep(EVACUATE_SECONDS)
            before = self.runs(fleet, 0)
            self.assertEqual({response.status for response in self.send_to_all(fleet)}, {200})
            self.assertEqual(self.runs(fleet, 0), before)
            for host in fleet.hosts:
                self.assertEqual([line["domain"] for line in host.events("domain-evacuated")], ["z0"])
            fleet.configure(17)
            self.assertTrue(eventually(lambda: all(host.events("configuration-in-force")[-1]["version"] == "17" for host in fleet.hosts)))
            self.assertEqual({response.status for response in self.send_to_all(fleet)}, {200})
            self.assertEqual(self.runs(fleet, 0), before)
            fleet.store.control("/standin/erase?table=op&key=evacuate/z0")
            self.assertTrue(eventually(lambda: all(host.events("domain-restored") for host in fleet.hosts), EVACUATE_SECONDS))
            self.assertTrue(eventually(lambda: self.send_to_all(fleet, 2) and self.runs(fleet, 0) > before))

    def test_requests_are_refused_at_once_while_all_failure_domains_are_evacuated(self):
        with PlatformFleet(hosts=2, backends=2) as fleet:
            self.publish(fleet)
            fleet.put("op", "evacuate/z0", {})
            fleet.put("op", "evacuate/z1", {})
            time.sleep(EVACUATE_SECONDS)
            before = [self.runs(fleet, number) for number in range(2)]
            for response in self.send_to_all(fleet, 5):
                self.assertEqual(response.status, 503)
                self.assertGreater(float(response.headers["Retry-After"]), 0)
            self.assertEqual([self.runs(fleet, number) for number in range(2)], before)


class OperatorTable(unittest.TestCase):
    """The operators' table had no rows for evacuations."""

    def test_evacuation_by_the_command_line_is_shown_and_taken_back(self):
        with Fleet(hosts=2, backends=2) as fleet:
            key = fleet.configure()
            host = fleet.hosts[0]
            runs = lambda: sum(fleet.backends[0].control("/standin/runs")["runs"].values())
            fleet.set(host, "evacuation/d0", "reason=power")
            fleet.set(host, "evacuation/d9")
            self.assertTrue(eventually(lambda: all(len(each.events("domain-evacuated")) == 2 for each in fleet.hosts), EVACUATE_SECONDS))
            before = runs()
            for _ in range(20):
                for each in fleet.hosts:
                    self.assertEqual(request(each.callers, "GET", "/a", bearer(key)).status, 200)
            self.assertEqual(runs(), before)
            status = json.loads(cli(host, "status")[1])
            self.assertEqual([(each["domain"], each["servers"]) for each in status["evacuations"]], [("d0", 1), ("d9", 0)])
            self.assertEqual([each["evacuated"] for each in status["servers"]], [True, False])
            code, csv, _ = cli(host, "table", "show", "--csv", "-")
            self.assertEqual((code, "evacuation" in csv), (0, False))
            code, _, err = cli(host, "table", "set", "evacuation/d1", "cause=power")
            self.assertEqual((code, "RW0203" in err), (1, True), err)
            self.assertEqual(cli(host, "table", "erase", "evacuation/d0")[0], 0)
            self.assertTrue(eventually(lambda: all(each.events("domain-restored") for each in fleet.hosts), EVACUATE_SECONDS))
            self.assertTrue(eventually(lambda: request(host.callers, "GET", "/a", bearer(key)).status == 200 and runs() > before))


if __name__ == "__main__":
    unittest.main()
