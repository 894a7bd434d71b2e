"""The host that leads is killed while a tenant sends several times its limit."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import fleet

HOSTS = 48  # The Kilauan site.
RATE = BURST = 14
SENT_PER_S = 70  # Five times the limit: x = 8 of the usual, where the limit is 1.6 times the usual.
QUIET_S = 14  # The fleet runs for a while before the tenant exceeds its limit.
BEFORE_S, AFTER_S = 4.2, 5
DOWN_S = 1.0


async def case(play):
    upstreams = [fleet.Upstream(f"i-{number}", "bookbay") for number in range(8)]
    await play.start(HOSTS, fleet.one_tenant_config(RATE, BURST), upstreams)
    await asyncio.sleep(QUIET_S)
    load = asyncio.ensure_future(play.send_steadily(
        SENT_PER_S, BEFORE_S + AFTER_S, lambda number: play.request(play.next_host(number), "POST", f"/book/{number}", fleet.SITE, fleet.KEY, b"room=1", 2500)))
    await asyncio.sleep(BEFORE_S)
    if fleet.TROUBLE:
        await play.kill_and_restart([play.leader()], DOWN_S)
    await load
    return play.judge_quota(RATE, BURST)


fleet.main(case, __file__)
