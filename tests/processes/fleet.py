"""Starts stand-ins and hosts as real processes and talks to them."""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import time

BUILD = os.environ["RAGWORTRELAY_BUILD"]
PRODUCT = os.path.join(BUILD, "src", "ragwortrelay")
TOKEN = "operators-token"


class Process:
    """A process that prints its addresses on its first line."""

    def __init__(self, arguments):
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        self.first_line = self.process.stdout.readline().split()

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self, timeout=60):
        return self.process.wait(timeout)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


class Server(Process):
    """A stand-in on one address."""

    def __init__(self, name, *arguments, port=0):
        super().__init__([os.path.join(BUILD, "standins", "ragwortrelay_standin_" + name), str(port), *map(str, arguments)])
        self.address = self.first_line[1]

    def control(self, path, body=None):
        return json.loads(request(self.address, "POST", path, body=body).body)


class Authority:
    """A certificate authority of one fleet, in a folder."""

    def __init__(self, folder, name="fleet-authority"):
        self.folder = folder
        self.name = name
        self.openssl("req", "-x509", *NEW_KEY, "-keyout", name + ".key", "-out", name + ".crt", "-days", "2", "-subj", "/CN=" + name)

    def openssl(self, *arguments):
        subprocess.run(["openssl", *arguments], cwd=self.folder, capture_output=True, check=True, timeout=60)

    def issue(self, name):
        """Makes NAME.key and NAME.crt."""
        self.openssl("req", *NEW_KEY, "-keyout", name + ".key", "-out", name + ".csr", "-subj", "/CN=" + name)
        signer = ["-CA", self.name + ".crt", "-CAkey", self.name + ".key", "-CAcreateserial"]
        self.openssl("x509", "-req", "-in", name + ".csr", *signer, "-out", name + ".crt", "-days", "2")


NEW_KEY = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes"]


class Host(Process):
    """A host of the product."""

    def __init__(self, folder, name, domain, platform, extra="", seeds=()):
        path = os.path.join(folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=name, domain=domain, token=TOKEN, platform=platform, seeds=", ".join(seeds)) + extra)
        super().__init__([PRODUCT, "serve", "--settings", path])
        addresses = dict(word.split("=") for word in self.first_line[1:])
        self.callers = addresses["callers"]
        self.operators = addresses["operators"]
        self.peers = addresses["peers"]

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
platform:
  table-url: http://{platform}/table
  objects-url: http://{platform}/objects
  targets-url: http://{platform}/targets
  poll-interval: 200ms
peers:
  listen: 127.0.0.1:0
  advertise: 127.0.0.1:0
  certificate: {name}.crt
  key: {name}.key
  authority: fleet-authority.crt
  seeds: [{seeds}]
stop:
  balancer-lag: 300ms
"""


class Answer:
    """Answer to an HTTP request."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def request(address, method, path, headers=None, body=None, timeout=30):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read())
    finally:
        connection.close()


def eventually(condition, seconds=20):
    """Waits until the condition holds; returns whether it does."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return bool(condition())


def cli(host, *arguments):
    """Runs a command against a host; returns its exit code and its output."""
    words = list(arguments)
    command_length = 2 if words[0] in ("table", "key", "report") else 1
    command = words[:command_length] + ["--host", host.operators, "--token", TOKEN] + words[command_length:]
    done = subprocess.run([PRODUCT, *command], capture_output=True, text=True, timeout=60, check=False)
    return done.returncode, done.stdout, done.stderr


class Fleet:
    """A platform stand-in, backend stand-ins and hosts; used as a context."""

    def __init__(self, hosts=2, backends=2):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Server("platform")
        self.backends = [Server("backend", 4) for _ in range(backends)]
        self.authority = Authority(self.folder.name)
        for i in range(hosts):
            self.authority.issue(f"h{i}")
        self.hosts = [Host(self.folder.name, f"h{i}", f"d{i % 3}", self.platform.address) for i in range(hosts)]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in [*self.hosts, *self.backends, self.platform]:
            process.close()
        self.folder.cleanup()

    def configure(self):
        """Fills the table and waits until all hosts are ready; returns a key of workspace w1."""
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
        # A new workspace's limit is in force once all hosts are known to have its row.
        for host in self.hosts:
            assert eventually(lambda host=host: request(host.callers, "GET", "/", bearer(key)).status == 200)
        return key

    def set(self, host, row, *cells):
        code, _, err = cli(host, "table", "set", row, *cells)
        assert code == 0, err


def bearer(key, **headers):
    return {"Authorization": "Bearer " + key, **{name.replace("_", "-"): value for name, value in headers.items()}}


STOP = signal.SIGTERM
