"""Starts stand-ins and hosts as real processes and sends requests to them."""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import time

BUILD = os.environ["RAGWORTRELAY_BUILD"]
PROGRAM = os.path.join(BUILD, "src", "ragwortrelay")
TOKEN = "operators-token"
STOP = signal.SIGTERM


class Process:
    """Child process of a test: a host or a stand-in."""

    def __init__(self, arguments, output):
        self.process = subprocess.Popen(arguments, stdout=output, stderr=subprocess.DEVNULL, text=True)

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self, timeout=60):
        return self.process.wait(timeout)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.process.stdout:
            self.process.stdout.close()


class StandIn(Process):
    """Process of a stand-in. It prints its addresses on the first line of its standard output."""

    def __init__(self, name, *arguments, port=0):
        super().__init__([os.path.join(BUILD, "standins", "ragwortrelay_standin_" + name), str(port), *map(str, arguments)], subprocess.PIPE)
        self.addresses = self.process.stdout.readline().split()[1:]
        self.address = self.addresses[0]

    def control(self, path, body=None):
        return json.loads(request(self.address, "POST", path, body=body).body)


class Host(Process):
    """Process of a host. Its log is written to a file."""

    def __init__(self, folder, name, settings):
        self.path = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, f"{name}-{time.monotonic_ns()}.log")
        self.write_settings(settings)
        self.lines_seen = 0
        with open(self.log_path, "w", encoding="utf-8") as output:
            super().__init__([PROGRAM, "serve", "--settings", self.path], output)
        assert eventually(lambda: self.events("started") or self.process.poll() is not None), "the host did not start"
        started = self.events("started")[0]
        self.callers = started["callers"]
        self.operators = started["operators"]
        self.peers = started["peers"]

    def write_settings(self, settings):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(settings)

    def log(self):
        with open(self.log_path, encoding="utf-8") as file:
            return [json.loads(line) for line in file.read().splitlines() if line.endswith("}")]

    def events(self, name):
        return [line for line in self.log() if line["event"] == name]

    def ready(self):
        return request(self.operators, "GET", "/ragwortrelay/ready").status == 200


SETTINGS = """host:
  name: {name}
  failure-domain: {domain}
callers:
  listen: 127.0.0.1:0
operators:
  listen: 127.0.0.1:0
  token: {token}
store:
  address: {store}
peers:
  listen: 127.0.0.1:0
{peers}stop:
  balancer-lag: 300ms
"""


class Response:
    """Response to an HTTP request."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def request(address, method, path, headers=None, body=None, timeout=30):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read())
    finally:
        connection.close()


def eventually(condition, seconds=20):
    """Polls until the condition holds or the time in seconds is over. Returns whether it holds."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return bool(condition())


def cli(host, *arguments):
    """Runs a command against a host. Returns its exit code, standard output and standard error."""
    arguments = list(arguments)
    command_length = 2 if arguments[0] in ("table", "key", "report") else 1
    command = arguments[:command_length] + ["--host", host.operators, "--token", TOKEN] + arguments[command_length:]
    completed = subprocess.run([PROGRAM, *command], capture_output=True, text=True, timeout=60, check=False)
    return completed.returncode, completed.stdout, completed.stderr


class Fleet:
    """A store, backend servers and hosts. Used as a context manager."""

    def __init__(self, hosts=2, backends=2, extra="", peers=""):
        self.folder = tempfile.TemporaryDirectory()
        self.extra = extra
        self.peers = peers
        self.store = StandIn("store", hosts + 1)
        self.backends = [StandIn("backend", 4) for _ in range(backends)]
        self.hosts = []
        for i in range(hosts):
            self.hosts.append(self.start_host(i))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in [*self.hosts, *self.backends, self.store]:
            process.close()
        self.folder.cleanup()

    def settings(self, number):
        """Returns the settings of a host. Each host has its own address of the store, so that faults can be set per host."""
        store = self.store.addresses[min(number, len(self.store.addresses) - 1)]
        return SETTINGS.format(name=f"h{number}", domain=f"d{number % 3}", token=TOKEN, store=store, peers=self.peers) + self.extra

    def start_host(self, number, extra=""):
        return Host(self.folder.name, f"h{number}", self.settings(number) + extra)

    def configure(self):
        """Fills the table and waits until all hosts are ready. Returns a key of workspace w1."""
        first = self.hosts[0]
        self.set(first, "service/booking")
        for i, backend in enumerate(self.backends):
            self.set(first, f"server/b{i}", "service=booking", f"address={backend.address}", f"domain=d{i % 3}", "slots=4")
        self.set(first, "route/lookup", "method=GET", "path=/", "service=booking", "idempotent=yes")
        self.set(first, "route/book", "method=POST", "path=/", "service=booking", "idempotent=no")
        self.set(first, "workspace/w1", "rate=1000", "burst=1000")
        code, out, err = cli(first, "key", "give", "w1")
        assert code == 0, err
        assert eventually(lambda: all(host.ready() for host in self.hosts))
        key = out.split()[-1]
        for host in self.hosts:
            assert eventually(lambda host=host: request(host.callers, "GET", "/", bearer(key)).status == 200)
        return key

    def set(self, host, row, *cells):
        code, _, err = cli(host, "table", "set", row, *cells)
        assert code == 0, err


def bearer(key, **headers):
    return {"Authorization": "Bearer " + key, **{name.replace("_", "-"): value for name, value in headers.items()}}
