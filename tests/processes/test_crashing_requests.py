"""A request that ends each backend server which runs it, with real processes."""

import threading
import time
import unittest

from faultyserver import FaultyServer
from fleet import Fleet, bearer, eventually, request

HOSTS = 6
SERVERS = 12
SENDS = 40
PAUSE_SECONDS = 0.25
LOOKUP_INTERVAL_SECONDS = 0.02
ROUTE_DEADLINE_MS = 1000
KILLS = 6  # Kills of the leading host, one after each of the first sends.
MAX_ENDED = 6  # Three servers and the three retries that the users allow after the third.


class Lookups:
    """Sends other lookups to all hosts in turn, each once, until it is stopped."""

    def __init__(self, fleet, key):
        self.fleet = fleet
        self.key = key
        self.served = 0
        self.failed = 0
        self.is_stopped = False
        self.threads = [threading.Thread(target=self.run, args=(number,)) for number in range(4)]
        for thread in self.threads:
            thread.start()

    def run(self, thread):
        number = thread
        while not self.is_stopped:
            number += len(self.threads)
            host = self.fleet.hosts[number % len(self.fleet.hosts)]
            try:
                is_served = request(host.callers, "GET", f"/other/{number}", bearer(self.key), timeout=5).status == 200
            except OSError:
                is_served = False
            if is_served:
                self.served += 1
            else:
                self.failed += 1
            time.sleep(LOOKUP_INTERVAL_SECONDS * len(self.threads))

    def stop(self):
        self.is_stopped = True
        for thread in self.threads:
            thread.join()


def leading_host(fleet):
    """Returns the number of the host that all other hosts follow."""
    for number, host in enumerate(fleet.hosts):
        try:
            page = request(host.operators, "GET", "/ragwortrelay/metrics").body.decode()
        except OSError:
            continue  # The host is starting again.
        if "ragwortrelay_leads 1" in page.splitlines():
            return number
    return None


def restart_leading_host(fleet):
    """Kills the leading host and starts it again in the background. Returns the thread that starts it, or None if no host leads."""
    number = leading_host(fleet)
    if number is None:
        return None
    fleet.hosts[number].close()

    def start():
        fleet.hosts[number] = fleet.start_host(number)

    thread = threading.Thread(target=start)
    thread.start()
    return thread


class CrashingRequest(unittest.TestCase):
    def resend(self, path, before=lambda fleet, key: None, after_send=lambda fleet, number: None):
        """Sends a request again and again. Returns the number of attempts that ended a server and the other lookups."""
        with Fleet(hosts=HOSTS, backends=0) as fleet:
            fleet.backends = [FaultyServer() for _ in range(SERVERS)]
            key = fleet.configure()
            fleet.set(fleet.hosts[0], "route/lookup", "method=GET", "path=/", "service=booking", "idempotent=yes", f"deadline_ms={ROUTE_DEADLINE_MS}")
            before(fleet, key)
            lookups = Lookups(fleet, key)
            for number in range(SENDS):
                try:
                    request(fleet.hosts[number % HOSTS].callers, "GET", path, bearer(key))
                except OSError:
                    pass  # The host is starting again.
                after_send(fleet, number)
                time.sleep(PAUSE_SECONDS)
            lookups.stop()
            ended = sum(server.ends for server in fleet.backends)
            return ended, lookups

    def test_it_ends_few_servers(self):
        ended, lookups = self.resend("/end")
        self.assertLessEqual(ended, MAX_ENDED)
        self.assertLessEqual(lookups.failed, lookups.served // 20)

    def test_it_ends_few_servers_after_many_other_requests_were_reset(self):
        def reset_others(fleet, key):
            for number in range(14):
                request(fleet.hosts[number % HOSTS].callers, "GET", f"/reset/{number}", bearer(key))

        ended, lookups = self.resend("/end", before=reset_others)
        self.assertLessEqual(ended, MAX_ENDED)
        self.assertLessEqual(lookups.failed, lookups.served // 20)

    def test_it_ends_few_servers_that_fall_silent(self):
        ended, lookups = self.resend("/fall-silent")
        self.assertLessEqual(ended, MAX_ENDED)
        self.assertLessEqual(lookups.failed, lookups.served // 20)

    def test_it_ends_few_servers_while_the_leading_host_is_killed(self):
        starting = []

        def kill_leading_host(fleet, number):
            if number < KILLS:
                starting.append(restart_leading_host(fleet))
            if number == SENDS - 1:
                for thread in filter(None, starting):
                    thread.join()

        ended, _ = self.resend("/end", after_send=kill_leading_host)
        self.assertGreaterEqual(len([thread for thread in starting if thread]), 3)
        self.assertLessEqual(ended, MAX_ENDED)


if __name__ == "__main__":
    unittest.main()
