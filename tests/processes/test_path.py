"""Path of a request from the caller to a backend server, with real processes."""

import http.client
import json
import threading
import unittest

from fleet import STOP, Fleet, bearer, eventually, request


class RequestPath(unittest.TestCase):
    def test_request_reaches_a_backend_server_without_its_key(self):
        with Fleet() as fleet:
            key = fleet.configure()
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: request(host.callers, "GET", "/a?b=c", bearer(key)).status == 200))
                response = request(host.callers, "POST", "/book", bearer(key, Idempotency_Key="k-" + host.callers), b"body")
                self.assertEqual((response.status, response.body), (200, b"echo POST /book body"))
            self.assertFalse(any(backend.control("/standin/runs")["sawKey"] for backend in fleet.backends))

    def test_request_without_a_key_is_refused_as_not_run(self):
        with Fleet(hosts=1) as fleet:
            fleet.configure()
            response = request(fleet.hosts[0].callers, "GET", "/a")
            self.assertEqual(response.status, 401)
            self.assertEqual(response.headers["Ragwortrelay-Outcome"], "not-run")
            self.assertEqual(json.loads(response.body)["id"], "RW0302")

    def test_edit_reaches_all_hosts(self):
        with Fleet(hosts=3) as fleet:
            key = fleet.configure()
            fleet.set(fleet.hosts[0], "workspace/w1", "rate=0", "burst=0")
            for host in fleet.hosts:
                self.assertTrue(eventually(lambda host=host: request(host.callers, "GET", "/a", bearer(key)).status == 429))

    def test_large_response_is_complete(self):
        with Fleet(hosts=1) as fleet:
            key = fleet.configure()
            response = request(fleet.hosts[0].callers, "GET", "/a?size=3000000", bearer(key))
            self.assertEqual(len(response.body), 3000000)

    def test_metrics_page_contains_the_counters_of_all_components(self):
        with Fleet(hosts=2) as fleet:
            fleet.configure()
            self.assertEqual(request(fleet.hosts[0].callers, "GET", "/a/../b").status, 400)
            page = request(fleet.hosts[0].operators, "GET", "/ragwortrelay/metrics").body.decode()
            self.assertIn('ragwortrelay_requests_refused_unread_total{id="RW0301"} 1\n', page)
            self.assertIn('ragwortrelay_log_lines_dropped_total 0\n', page)
            self.assertIn('ragwortrelay_ready 1\n', page)
            self.assertRegex(page, 'ragwortrelay_request_seconds_count{service="booking"} [1-9]')

    def test_graceful_stop_finishes_requests_in_flight(self):
        with Fleet(hosts=1, backends=1) as fleet:
            key = fleet.configure()
            host = fleet.hosts[0]
            fleet.backends[0].control("/standin/work?ms=1500")
            statuses = []
            caller = threading.Thread(target=lambda: statuses.append(request(host.callers, "GET", "/slow", bearer(key)).status))
            caller.start()
            self.assertTrue(eventually(lambda: fleet.backends[0].control("/standin/runs")["runs"]))
            host.signal(STOP)
            self.assertEqual(host.wait(), 0)
            caller.join()
            self.assertEqual(statuses, [200])

    def test_graceful_stop_under_load_interrupts_no_request(self):
        """Callers on keep-alive connections send until the host closes them. Each request gets a complete response or is not run."""
        with Fleet(hosts=2, backends=2) as fleet:
            key = fleet.configure()
            host = fleet.hosts[0]
            failures = []
            served = []

            def call(number):
                connection = http.client.HTTPConnection(host.callers, timeout=30)
                try:
                    for i in range(100000):
                        connection.request("GET", f"/{number}/{i}", headers=bearer(key))
                        response = connection.getresponse()
                        body = response.read()
                        if response.status == 200 and body != f"echo GET /{number}/{i} ".encode():
                            failures.append(body)
                        if response.status != 200 and response.headers.get("Ragwortrelay-Outcome") != "not-run":
                            failures.append(response.status)
                        served.append(response.status)
                        if response.headers.get("Connection") == "close":
                            return
                except ConnectionRefusedError:
                    pass
                except OSError as error:
                    failures.append(error)
                finally:
                    connection.close()

            callers = [threading.Thread(target=call, args=(number,)) for number in range(8)]
            for caller in callers:
                caller.start()
            self.assertTrue(eventually(lambda: len(served) > 200))
            host.signal(STOP)
            self.assertEqual(host.wait(), 0)
            for caller in callers:
                caller.join()
            self.assertEqual(failures, [])
            self.assertIn(200, served)


if __name__ == "__main__":
    unittest.main()
