"""Restarts while a receiver is down or cold: it is not pushed over by the next life, which saw no outage."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from daemon import HEAD, Daemon

from laureldock.rehearsal.rule_checks import judge
from laureldock.rehearsal.stub_receivers import Fault

RETURNING = """\
rates = "nominal"
[returning]
start_capacity = 0.3
tip_multiple = 1.5
fall_time = "1.5s"
warm_time = "4s"
[[front]]"""
RATE, LOAD = 40.0, 36  # calls and messages a second
DOWN, BACK = 0.5, 3.0  # seconds from the start of the load


@pytest.mark.parametrize("restart", [2.75, 3.3], ids=["while it is down", "while it is cold"])
def test_a_receiver_that_returns_about_a_restart_is_not_pushed_over(tmp_path: Path, restart: float) -> None:
    async def scenario() -> None:
        daemon = Daemon(tmp_path, {"n1": "north"}, pace=0.02, rate=RATE)
        receiver = daemon.receivers["n1"]
        receiver.faults.append(Fault("down", DOWN, BACK))
        await receiver.start(time.time())
        daemon.write(head=HEAD.replace("[[front]]", RETURNING, 1))
        try:
            await daemon.launch()
            began = receiver.began = time.time()
            outage = asyncio.create_task(receiver.run())
            restarted = False
            for place in range(216):
                await asyncio.sleep(max(0.0, began + place / LOAD - time.time()))
                if not restarted and time.time() >= began + restart:
                    await daemon.kill()
                    await daemon.client.connection_pool.disconnect()
                    await daemon.launch()
                    restarted = True
                await daemon.put(f"m{place}", "news")
            await outage
            async with asyncio.timeout(20):
                while len({call.mail for call in daemon.account.calls if call.status == 200}) < 200:
                    await asyncio.sleep(0.05)
            daemon.account.tip, daemon.account.fall = 1.5, 1.5
            verdicts = {verdict.rule: verdict for verdict in judge(daemon.account)}
            assert daemon.account.colds and not verdicts["returning receivers not pushed over"].broken
        finally:
            await daemon.kill()
            await receiver.stop()

    asyncio.run(scenario())
