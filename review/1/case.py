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
SPOILED_SHARE = 0.02
TROUBLE_S = 5.5
BEFORE_S, AFTER_S = 5, 8


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


async def case(play):
    faulty = FaultyUpstream("i-faulty", "bookbay", slots=32, work_s=WORK_S)
    faulty.play = play
    sound = [fleet.Upstream(f"i-{number}", "bookbay", slots=32, work_s=WORK_S) for number in range(UPSTREAMS - 1)]
    await play.start(HOSTS, fleet.one_tenant_config(1000, 1000), [faulty, *sound])
    exits = play.restart_ended()
    clients = [fleet.KeptClient(play, number) for number in range(HOSTS * CLIENTS_PER_HOST)]
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
    return play.judge_lost(clients, sound, exits)


fleet.main(case, __file__)
