"""Operators' edits and workspace keys, with real processes."""

import http.client
import json
import re
import signal
import subprocess
import threading
import time
import unittest

from fleet import PROGRAM, TOKEN, Fleet, bearer, cli, eventually, request


def table_version(host):
    return json.loads(request(host.operators, "GET", "/ragwortrelay/status", bearer(TOKEN)).body)["version"]


class Configuration(unittest.TestCase):
    def test_concurrent_edits_of_one_row_report_a_conflict(self):
        with Fleet(hosts=2) as fleet:
            fleet.configure()
            base = ["--base", str(self.row_version(fleet.hosts[0], "workspace", "w1"))]
            first = cli(fleet.hosts[0], "table", "set", *base, "workspace/w1", "rate=7")
            self.assertEqual(first[0], 0, first[2])
            code, _, err = cli(fleet.hosts[1], "table", "set", *base, "workspace/w1", "rate=8")
            self.assertEqual(code, 1)
            self.assertIn("RW0205", err)
            self.assertIn("rate=8", err)
            self.assertIn("rate=7", err)
            # The edit changed only the named cell.
            self.assertIn("burst=1000", err)

    def test_withdrawn_key_is_rejected_on_an_open_connection(self):
        with Fleet(hosts=2) as fleet:
            key = fleet.configure()
            self.assertTrue(eventually(lambda: len({table_version(host) for host in fleet.hosts}) == 1))
            connections = [http.client.HTTPConnection(host.callers, timeout=10) for host in fleet.hosts]
            self.assertEqual([self.status_on(connection, key) for connection in connections], [200, 200])
            code, out, err = cli(fleet.hosts[0], "key", "withdraw", "w1", key.split(".")[0])
            self.assertEqual(code, 0, err)
            self.assertIn("in force on all 2 hosts", out)
            self.assertEqual([self.status_on(connection, key) for connection in connections], [401, 401])
            for connection in connections:
                connection.close()
            self.assertIn("withdrawn", cli(fleet.hosts[1], "key", "list", "w1")[1])

    def test_request_with_its_key_in_the_target_is_refused_as_not_run(self):
        with Fleet(hosts=1) as fleet:
            key = fleet.configure()
            response = request(fleet.hosts[0].callers, "GET", "/a?key=" + key.split(".")[1], bearer(key))
            self.assertEqual(response.status, 400)
            self.assertEqual(response.headers["Ragwortrelay-Outcome"], "not-run")

    def test_edit_succeeds_once_when_the_store_response_is_lost(self):
        with Fleet(hosts=2) as fleet:
            fleet.configure()
            before = table_version(fleet.hosts[0])
            fleet.store.control("/standin/fault?mode=lose-answer")
            timer = threading.Timer(2.0, lambda: fleet.store.control("/standin/fault?mode=none"))
            timer.start()
            code, out, err = cli(fleet.hosts[0], "table", "set", "workspace/w1", "rate=5")
            timer.join()
            self.assertEqual(code, 0, err)
            self.assertIn("in force on all 2 hosts", out)
            self.assertEqual(table_version(fleet.hosts[0]), int(re.search(r"version (\d+)", out).group(1)))
            # The edit was applied once: a retry with the same id gets the same version.
            self.assertGreater(table_version(fleet.hosts[0]), before)

    def test_host_without_store_and_quorum_refuses_requests(self):
        with Fleet(hosts=3) as fleet:
            key = fleet.configure()
            fleet.store.control("/standin/fault?mode=down")
            for host in fleet.hosts[:2]:
                host.close()
            last = fleet.hosts[2]
            self.assertTrue(eventually(lambda: request(last.callers, "GET", "/a", bearer(key)).status == 503))
            response = request(last.callers, "GET", "/a", bearer(key))
            self.assertEqual((json.loads(response.body)["id"], response.headers["Ragwortrelay-Outcome"]), ("RW0315", "not-run"))
            self.assertTrue(eventually(lambda: not last.ready()))

    def test_quorum_serves_requests_without_the_store_but_refuses_edits(self):
        with Fleet(hosts=3) as fleet:
            key = fleet.configure()
            fleet.store.control("/standin/fault?mode=down")
            # Longer than the maximum age of the configuration on an isolated host.
            self.assertFalse(eventually(lambda: not all(host.ready() for host in fleet.hosts), seconds=9))
            for host in fleet.hosts:
                self.assertEqual(request(host.callers, "GET", "/a", bearer(key)).status, 200)
                self.assertEqual(request(host.callers, "GET", "/a", bearer("none." + "0" * 32)).status, 401)
            code, _, err = cli(fleet.hosts[0], "table", "set", "workspace/w1", "rate=5")
            self.assertEqual(code, 1)
            self.assertIn("nothing was written", err)

    def test_edit_waits_for_paused_hosts(self):
        with Fleet(hosts=2) as fleet:
            fleet.configure()
            fleet.hosts[1].signal(signal.SIGSTOP)
            time.sleep(4)
            resume_timer = threading.Timer(3, lambda: fleet.hosts[1].signal(signal.SIGCONT))
            resume_timer.start()
            code, _, err = cli(fleet.hosts[0], "table", "set", "workspace/w1", "rate=5")
            resume_timer.join()
            self.assertEqual(code, 0, err)

    def test_explain_reports_a_server_or_the_fault_of_its_input(self):
        with Fleet(hosts=2) as fleet:
            fleet.configure()
            code, out, err = cli(fleet.hosts[1], "explain", "/a", "--workspace", "w1")
            self.assertEqual(code, 0, err)
            self.assertIn("granted, server", out)
            self.assertEqual(json.loads(cli(fleet.hosts[0], "explain", "/a", "--workspace", "w1", "--json")[1])["workspace"], "w1")
            for arguments, error in (("/a", "--workspace", "none"), "RW0206"), (("a",), "RW0301"):
                code, _, err = cli(fleet.hosts[0], "explain", *arguments)
                self.assertEqual(code, 1)
                self.assertIn("error " + error, err)

    @staticmethod
    def status_on(connection, key):
        connection.request("GET", "/a", headers=bearer(key))
        response = connection.getresponse()
        response.read()
        return response.status

    @staticmethod
    def row_version(host, kind, name):
        table = json.loads(request(host.operators, "GET", "/ragwortrelay/table", bearer(TOKEN)).body)
        return next(row["version"] for row in table["rows"] if row["kind"] == kind and row["name"] == name)


class Usage(unittest.TestCase):
    def test_invalid_arguments_have_the_exit_code_of_wrong_usage(self):
        for arguments in ["status"], ["explain", "--unknown"], ["table", "set"], ["check"]:
            self.assertEqual(subprocess.run([PROGRAM, *arguments], capture_output=True, timeout=60, check=False).returncode, 2, arguments)
        self.assertEqual(subprocess.run([PROGRAM, "status", "--help"], capture_output=True, timeout=60, check=False).returncode, 0)


if __name__ == "__main__":
    unittest.main()
