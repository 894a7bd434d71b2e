"""Backend servers with faults that a well-behaved HTTP server can't have: they end, fall silent, reset connections, or send bytes out of turn."""

import socket
import struct
import threading
import time

RESTART_SECONDS = 2.0
WORK_SECONDS = 0.02
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Request:
    """Request that a server has read."""

    def __init__(self, head):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}


def echo_of(request):
    """Returns the header lines by which a server names the request, and a signature."""
    echoed = "".join(f"{name}: {request.headers[name]}\r\n" for name in ("attempt-id", "ragwortrelay-attempt") if name in request.headers)
    return f"{echoed}Server-Signature: s\r\n".encode()


def respond(server, connection, request):
    """Performs a request. The path selects the fault: /end, /fall-silent, /reset; other paths succeed."""
    if request.target.startswith("/end"):
        server.end()
    elif request.target.startswith("/fall-silent"):
        server.fall_silent()
    elif request.target.startswith("/reset"):
        reset(connection)
    else:
        time.sleep(WORK_SECONDS)
        server.send(connection, OK)


def reset(connection):
    """Closes a connection by a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class FaultyServer:
    """Server with one thread a connection. A server that has ended comes back at the same address after RESTART_SECONDS."""

    def __init__(self, behaviour=respond, receive_buffer=None):
        """Creates a server.
        behaviour -- called with each request, after its body unless it has a method `on_head`, which is called before the body is read and tells whether the
                     connection is finished
        receive_buffer -- bytes of a request that wait unread; None for the default of the system
        """
        self.behaviour = behaviour
        self.on_head = getattr(behaviour, "on_head", lambda server, connection, request: False)
        self.receive_buffer = receive_buffer
        self.lock = threading.Lock()
        self.ends = 0
        self.life = 0  # Connections of an earlier life are never answered.
        self.silent_until = 0.0
        self.connections = set()
        self.port = 0
        self.is_closed = False
        self.listener = None
        self.listen()
        self.address = f"127.0.0.1:{self.port}"

    def listen(self):
        with self.lock:
            if self.is_closed:
                return
            self.listener = socket.create_server(("127.0.0.1", self.port), backlog=64)
            self.port = self.listener.getsockname()[1]
            if self.receive_buffer is not None:
                self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
            threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                self.connections.add(connection)
                life = self.life if time.monotonic() >= self.silent_until else None
            if life is not None:
                threading.Thread(target=self.serve, args=(connection, life), daemon=True).start()

    def serve(self, connection, life):
        received = b""
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    part = connection.recv(65536)
                    if not part:
                        return connection.close()
                    received += part
                head, _, received = received.partition(b"\r\n\r\n")
                request = Request(head)
                if self.on_head(self, connection, request):
                    return None
                length = int(request.headers.get("content-length", 0))
                while len(received) < length:
                    received += connection.recv(65536)
                received = received[length:]
                if life != self.life:
                    return None
                self.behaviour(self, connection, request)
        except (OSError, ValueError):
            return connection.close()

    def send(self, connection, response):
        with self.lock:
            is_alive = connection in self.connections
        if is_alive:
            connection.sendall(response)

    def end(self):
        """Ends like a process that crashes: its connections are reset, new ones refused."""
        with self.lock:
            self.ends += 1
            self.life += 1
            # A blocked accept() keeps the port open unless it is woken.
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            connections, self.connections = self.connections, set()
        for connection in connections:
            try:
                reset(connection)
            except OSError:
                pass  # The other end has closed it.
        restart = threading.Timer(RESTART_SECONDS, self.listen)
        restart.daemon = True
        restart.start()

    def fall_silent(self):
        """Ends like a machine that loses power: its connections stay open, and nothing answers on them."""
        with self.lock:
            self.ends += 1
            self.life += 1
            self.silent_until = time.monotonic() + RESTART_SECONDS
            self.silenced = getattr(self, "silenced", []) + list(self.connections)
            self.connections = set()

    def close(self):
        with self.lock:
            self.is_closed = True
            self.listener.close()


class RefusalRepeater:
    """Behaviour of a server that refuses every fifth request of a connection, and writes that refusal once more when the next request arrives there."""

    REFUSAL_INTERVAL = 5

    def __init__(self, refusal):
        self.refusal = refusal
        self.requests = {}
        self.runs = []

    def __call__(self, server, connection, request):
        with server.lock:
            number = self.requests[connection] = self.requests.get(connection, 0) + 1
        if number % self.REFUSAL_INTERVAL == 0:
            return server.send(connection, self.refusal)
        if number > 1 and number % self.REFUSAL_INTERVAL == 1:
            server.send(connection, self.refusal)
        self.runs.append(request.target)
        time.sleep(WORK_SECONDS)
        headers = f"Attempt-Id: {request.headers.get('attempt-id', '')}\r\nServer-Signature: s\r\n".encode()
        return server.send(connection, b"HTTP/1.1 200 OK\r\n" + headers + b"Content-Length: 2\r\n\r\nok")


class LateRepeater:
    """Behaviour of a server that writes the previous response of a connection once more, late, before it responds to every third request. It writes heads and
    bodies apart. Its bodies are transcripts of HTTP messages, and name their request at the end."""

    REPETITION_INTERVAL = 3
    TRANSCRIPT = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
    PAUSE_SECONDS = 0.01

    def __init__(self, size=1500):
        self.size = size
        self.previous = {}
        self.requests = {}
        self.runs = []
        self.repetitions = 0

    def body_for(self, target):
        return self.TRANSCRIPT + b"#" * self.size + target.encode()

    def response_to(self, request):
        body = self.body_for(request.target)
        return b"HTTP/1.1 200 OK\r\n" + echo_of(request) + f"Content-Length: {len(body)}\r\n\r\n".encode(), body

    def write(self, server, connection, response):
        for part in response:
            server.send(connection, part)
            time.sleep(self.PAUSE_SECONDS)

    def __call__(self, server, connection, request):
        with server.lock:
            self.runs.append(request.target)
            number = self.requests[connection] = self.requests.get(connection, 0) + 1
            previous = self.previous.get(connection)
            response = self.previous[connection] = self.response_to(request)
            repeats = previous is not None and number % self.REPETITION_INTERVAL == 0
            self.repetitions += repeats
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if repeats:
            self.write(server, connection, previous)
        self.write(server, connection, response)


class EarlyResetter:
    """Behaviour of a server that responds to uploads at once, without a length, and resets the connection in the midst of them. Other requests succeed."""

    def __init__(self, body, pause_seconds):
        self.body = body
        self.pause_seconds = pause_seconds
        self.resets = 0

    def on_head(self, server, connection, request):
        if request.method != "POST":
            return False
        server.send(connection, b"HTTP/1.1 200 OK\r\n" + echo_of(request) + b"\r\n" + self.body)
        time.sleep(self.pause_seconds)
        self.resets += 1
        reset(connection)
        return True

    def __call__(self, server, connection, request):
        server.send(connection, b"HTTP/1.1 200 OK\r\n" + echo_of(request) + b"Content-Length: 2\r\n\r\nok")


class EndlessWriter:
    """Behaviour of a server that writes bytes without end, until its peer closes the connection, to requests for a given path. Others succeed."""

    def __init__(self, path, start, part):
        self.path = path
        self.start = start
        self.part = part * (65536 // len(part))
        self.closed_after = []  # Seconds from the request until the peer closed the connection.

    def __call__(self, server, connection, request):
        if not request.target.startswith(self.path):
            return server.send(connection, OK)
        started = time.monotonic()
        try:
            connection.sendall(self.start)
            while not server.is_closed:
                connection.sendall(self.part)
        except OSError:
            pass  # The peer has closed the connection.
        self.closed_after.append(time.monotonic() - started)
        raise OSError("the peer has closed the connection")
