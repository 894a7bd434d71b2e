"""The whole path as separate processes."""

import json
import threading
import unittest

from fleet import STOP, Fleet, bearer, eventually, request


class WholePath(unittest.TestCase):
    def test_request_reaches_a_backend_server_without_its_key(self):
        with Fleet() as fleet:
            key = fleet.configure()
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: request(host.callers, "GET", "/a?b=c", bearer(key)).status == 200))
                answer = request(host.callers, "POST", "/book", bearer(key, Idempotency_Key="k-" + host.callers), b"body")
                self.assertEqual((answer.status, answer.body), (200, b"echo POST /book body"))
            self.assertFalse(any(backend.control("/standin/runs")["sawKey"] for backend in fleet.backends))

    def test_request_without_a_key_is_refused_as_not_run(self):
        with Fleet(hosts=1) as fleet:
            fleet.configure()
            answer = request(fleet.hosts[0].callers, "GET", "/a")
            self.assertEqual(answer.status, 401)
            self.assertEqual(answer.headers["Ragwortrelay-Outcome"], "not-run")
            self.assertEqual(json.loads(answer.body)["id"], "RW0302")

    def test_edit_reaches_all_hosts(self):
        with Fleet(hosts=3) as fleet:
            key = fleet.configure()
            fleet.set(fleet.hosts[0], "workspace/w1", "rate=0", "burst=0")
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: request(host.callers, "GET", "/a", bearer(key)).status == 429))

    def test_large_answer_is_whole(self):
        with Fleet(hosts=1) as fleet:
            key = fleet.configure()
            answer = request(fleet.hosts[0].callers, "GET", "/a?size=3000000", bearer(key))
            self.assertEqual(len(answer.body), 3000000)

    def test_graceful_stop_finishes_requests_in_flight(self):
        with Fleet(hosts=1, backends=1) as fleet:
            key = fleet.configure()
            host = fleet.hosts[0]
            fleet.backends[0].control("/standin/work?ms=1500")
            answers = []
            caller = threading.Thread(target=lambda: answers.append(request(host.callers, "GET", "/slow", bearer(key)).status))
            caller.start()
            self.assertTrue(eventually(lambda: fleet.backends[0].control("/standin/runs")["runs"]))
            host.signal(STOP)
            self.assertEqual(host.wait(), 0)
            caller.join()
            self.assertEqual(answers, [200])


if __name__ == "__main__":
    unittest.main()
