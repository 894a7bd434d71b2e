"""One upstream spoils one in fifty of its answers: the number in their Content-Length is far too large."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import fleet

HOSTS = 6
UPSTREAMS = 6
CLIENTS_PER_HOST = 16
WORK_S = 0.2
THINK_S = 0.05
SPOILED_SHARE = 0.02
TROUBLE_S = 5.5
BEFORE_S, AFTER_S = 5, 8
DOWN_S = 1.0
MOST_LOST = 3  # The rule LOST: "more than three times".


class FaultyUpstream(fleet.Upstream):
    """Spoils each fiftieth answer while it is in trouble, and breaks it off."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.in_trouble = False
        self.answers = 0
        self.play = None

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await fleet.read_message(reader)
                method, target, _ = first.split(" ", 2)
                status, head, content = await self.handle(method, target, headers, body)
                if self.in_trouble and status == 200 and self.is_spoiled():
                    self.play.note(f"{self.name} spoils its answer to {headers['attempt-id']}")
                    answer = fleet.message("HTTP/1.1 200 Status", head, content)
                    writer.write(answer.replace(b"Content-Length: ", b"Content-Length: 18181818181818181"))
                    await writer.drain()
                    break
                writer.write(fleet.message(f"HTTP/1.1 {status} Status", head, content))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def is_spoiled(self):
        self.answers += 1
        return self.answers % round(1 / SPOILED_SHARE) == 0


class Client:
    """Sends requests one after the other on a connection that it keeps, and opens a new one when that one has ended."""

    def __init__(self, play, number):
        self.play, self.number = play, number
        self.lost = []  # (host name, attempt id) of requests on a kept connection to a machine in touch that ended without an answer.
        self.answered = 0

    async def run(self, until):
        while time.monotonic() < until:
            host = self.play.next_host(self.number)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.front.split(":")), 1.0)
            except (OSError, asyncio.TimeoutError):
                self.number += 1
                await asyncio.sleep(0.1)
                continue
            await self.use(host, reader, writer, until)
            writer.close()

    async def use(self, host, reader, writer, until):
        is_kept = False
        while time.monotonic() < until:
            self.play.sent += 1
            attempt = f"{self.play.sent:016x}"
            head = {"Host": fleet.SITE, "Attempt-Id": attempt, "Timeout-Ms": "2500", "Credential": fleet.KEY}
            self.play.note(f"sent {attempt} to {host.name} on a {'kept' if is_kept else 'new'} connection")
            try:
                writer.write(fleet.message(f"POST /book/{attempt} HTTP/1.1", head, b"room=1"))
                first, headers, _ = await asyncio.wait_for(fleet.read_message(reader), 4.0)
            except (OSError, asyncio.IncompleteReadError):
                self.play.note(f"answered {attempt} connection ended")
                if is_kept and time.monotonic() - host.started_at >= fleet.BOUNDS["stabilityMs"] / 1000:
                    self.lost.append((host.name, attempt))
                return
            self.answered += 1
            self.play.note(f"answered {attempt} {first.split(' ')[1]}")
            is_kept = True
            if headers.get("connection", "").lower() == "close":
                return
            await asyncio.sleep(THINK_S)


async def watch(play, exits):
    """Starts processes again that have ended by themselves, as the platform does."""
    while True:
        for host in play.hosts:
            if host.process.poll() is not None:
                exits.append(host.name)
                play.note(f"the process of {host.name} has ended by itself, exit code {host.process.returncode}")
                await asyncio.sleep(DOWN_S)
                host.start()
                play.note(f"start of {host.name}")
        await asyncio.sleep(0.05)


async def case(play):
    faulty = FaultyUpstream("i-faulty", "bookbay", slots=32, work_s=WORK_S)
    faulty.play = play
    sound = [fleet.Upstream(f"i-{number}", "bookbay", slots=32, work_s=WORK_S) for number in range(UPSTREAMS - 1)]
    await play.start(HOSTS, fleet.one_tenant_config(1000, 1000), [faulty, *sound])
    exits = []
    play.tasks.append(asyncio.ensure_future(watch(play, exits)))
    clients = [Client(play, number) for number in range(HOSTS * CLIENTS_PER_HOST)]
    until = time.monotonic() + BEFORE_S + TROUBLE_S + AFTER_S
    running = asyncio.gather(*(client.run(until) for client in clients))
    await asyncio.sleep(BEFORE_S)
    if fleet.TROUBLE:
        faulty.in_trouble = True
        play.note(f"{faulty.name} begins to spoil answers")
        await asyncio.sleep(TROUBLE_S)
        faulty.in_trouble = False
        play.note(f"{faulty.name} spoils no more answers")
    await running
    return judge(play, clients, sound, exits)


def judge(play, clients, sound, exits):
    ran_at_sound = {run[1] for upstream in sound for run in upstream.runs}
    lost = {}
    for host, attempt in [entry for client in clients for entry in client.lost]:
        if attempt in ran_at_sound:
            lost[host] = lost.get(host, 0) + 1
    verdict = (f"{sum(client.answered for client in clients)} requests answered; processes that ended by themselves: {exits}; requests of kept "
               f"connections that ran at a sound upstream and got no answer, by machine: {lost}; the rule allows {MOST_LOST}")
    play.note(verdict)
    print(verdict)
    return fleet.BROKEN if any(count > MOST_LOST for count in lost.values()) else fleet.HELD


fleet.main(case, __file__)
