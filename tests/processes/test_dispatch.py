"""At-most-once execution of requests, with real processes."""

import json
import unittest

from fleet import Fleet, bearer, eventually, request


def count_executions(fleet, key):
    return sum(backend.control("/standin/runs")["runs"].get(key, 0) for backend in fleet.backends)


def configure_all(fleet):
    """Fills the table and waits until it is in force on all hosts. Returns a workspace key."""
    key = fleet.configure()
    for host in fleet.hosts:
        assert eventually(lambda host=host: request(host.callers, "GET", "/a", bearer(key)).status == 200)
    return key


class AtMostOnce(unittest.TestCase):
    def book(self, fleet, host, key, name, body=b"body", path="/book"):
        return request(fleet.hosts[host].callers, "POST", path, bearer(key, Idempotency_Key=name), body)

    def test_retry_on_another_host_gets_the_response_without_a_second_execution(self):
        with Fleet() as fleet:
            key = configure_all(fleet)
            first = self.book(fleet, 0, key, "k")
            second = self.book(fleet, 1, key, "k")
            self.assertEqual((first.status, first.body), (second.status, second.body))
            self.assertEqual(count_executions(fleet, "k"), 1)
            other = self.book(fleet, 1, key, "k", b"other body")
            self.assertEqual((other.status, json.loads(other.body)["id"]), (422, "RW0308"))

    def test_retry_after_a_response_too_large_to_store_gets_its_own_error(self):
        with Fleet() as fleet:
            key = configure_all(fleet)
            first = self.book(fleet, 0, key, "k", path="/book?size=100000")
            self.assertEqual(len(first.body), 100000)
            second = self.book(fleet, 1, key, "k", path="/book?size=100000")
            self.assertEqual((second.status, json.loads(second.body)["id"]), (409, "RW0330"))
            self.assertEqual(count_executions(fleet, "k"), 1)

    def test_lost_store_responses_cause_no_second_execution(self):
        with Fleet() as fleet:
            key = configure_all(fleet)
            fleet.store.control("/standin/fault?mode=lose-answer")
            self.assertEqual(self.book(fleet, 0, key, "k").status, 200)
            self.assertEqual(self.book(fleet, 1, key, "k").status, 200)
            self.assertEqual(count_executions(fleet, "k"), 1)

    def test_request_while_the_store_is_down_is_refused_as_not_run_and_its_key_works_afterwards(self):
        with Fleet() as fleet:
            key = configure_all(fleet)
            fleet.store.control("/standin/fault?mode=down")
            response = self.book(fleet, 0, key, "k")
            self.assertEqual((response.status, response.headers["Ragwortrelay-Outcome"]), (503, "not-run"))
            self.assertIn("Retry-After", response.headers)
            self.assertEqual(count_executions(fleet, "k"), 0)
            fleet.store.control("/standin/fault?mode=none")
            self.assertTrue(eventually(lambda: self.book(fleet, 1, key, "k").status == 200))
            self.assertEqual(count_executions(fleet, "k"), 1)


if __name__ == "__main__":
    unittest.main()
