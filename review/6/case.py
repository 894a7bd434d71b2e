"""A caller gets bytes of another caller's answer as the answer to its own request, and is told that work that runs has not run.

The disruption is a server that now and then sends a second copy of an answer, late, when the next request has arrived on the connection. The copy bears the
id of its own request. The answers that are copied are transcripts of HTTP messages; the server sends the head of an answer before its body.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from standins import CannotRun, Host, Server, Store, answer, call, configuration, main, route, tenant, until

KEY = "ctnfzs989anu6wsjnban"
PAIRS = 60
COPIES = (20, 40, 55)  # Three of 120 answers, 0.025; the pages have up to 0.03 for this variant.
TRANSCRIPT = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
DOCUMENT = TRANSCRIPT + b"#" * (1500 - len(TRANSCRIPT))  # The mean size of an answer to a lookup.
HEAD_LEAD_SECONDS = 0.01
WORK_SECONDS = 0.16
TIME_LIMIT_MS = 2500
PROMISES = (408, 421, 429, 503)  # "not run, and never will be"


class Copying(Server):
    """Answers lookups with documents, and repeats some of these answers late."""

    copies = ()
    last = (b"", b"")

    async def write(self, writer, parts):
        """Writes the head and the body of an answer one after the other."""
        head, body = parts
        writer.write(head)
        await writer.drain()
        await asyncio.sleep(HEAD_LEAD_SECONDS)
        writer.write(body)

    async def behave(self, method, target, request, body, writer):
        if method == "GET":
            await asyncio.sleep(0.02)
            head, end, document = answer(200, "OK", {**self.head(request), "Content-Type": "message/http"}, DOCUMENT).partition(b"\r\n\r\n")
            self.last = (head + end, document)
            return await self.write(writer, self.last)
        number = int(target.rsplit("/", 1)[1])
        if number in self.copies:
            self.record.add(f"{self.name} sends the answer to lookup-{number} once more")
            await self.write(writer, self.last)
        return await super().behave(method, target, request, body, writer)


async def case(record, folder, hosts, with_trouble):
    store = Store()
    await store.start()
    server = Copying(store, record, "i-0", "bookbay", slots=2, work=WORK_SECONDS)
    await server.start()
    server.copies = COPIES if with_trouble else ()
    routes = [route("look", "/look/", "safe", "bookbay", TIME_LIMIT_MS), route("book", "/book/", "unsafe", "bookbay", TIME_LIMIT_MS)]
    store.put("op", "config", configuration(16, routes, ["bookbay"], [tenant("w1", [KEY])]))
    host = Host(folder, "front-1", store.address)
    hosts.append(host)
    host.start()
    if not await until(host.is_ready, 15):
        raise CannotRun("the host doesn't become ready")
    await asyncio.sleep(4)  # The machine is in touch.

    violations = []
    served = 0
    for number in range(PAIRS):
        for kind, method, target in (("lookup", "GET", f"/look/{number}"), ("order", "POST", f"/book/{number}")):
            attempt = f"{kind}-{number}"
            body = b"x" * 100 if method == "POST" else b""
            headers = {"Attempt-Id": attempt, "Timeout-Ms": TIME_LIMIT_MS, "Credential": KEY}
            record.add(f"sent {attempt}")
            response = await call(host.callers, method, target, headers, body)
            signature = response.headers.get("server-signature")
            record.add(f"answered {attempt} {response.status}, id {response.headers.get('attempt-id')}, signature {signature}, {len(response.body)} bytes")
            served += response.status == 200
            if kind == "order" and server.runs.get(attempt, 0) > 0 and response.status in PROMISES:
                violations.append(f"MIXED, REFUSED: {attempt} runs at a sound server; its caller gets {response.status}, which are bytes of the document "
                                  f"that answered lookup-{number}")
    record.add(f"served {served} of {2 * PAIRS}")
    if served < 2 * PAIRS - len(COPIES) - 2:
        raise CannotRun("too few requests are served")
    return violations


main(os.path.dirname(os.path.abspath(__file__)), case)
