"""Restarts while a receiver is down or cold: the next process, which saw no outage, must not overload it."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from daemon import HEAD, Daemon

from laureldock.rehearsal.rule_checks import check_rules
from laureldock.rehearsal.stub_receivers import FaultPeriod

RETURNING = """\
rates = "nominal"
[returning]
start_capacity = 0.3
tip_multiple = 1.5
fall_time = "1.5s"
warm_time = "4s"
[[front]]"""
CALL_RATE, MESSAGE_RATE = 40.0, 36  # calls and messages per second
OUTAGE, RECOVERY = 0.5, 3.0  # seconds from the start of the load


@pytest.mark.parametrize("restart", [2.75, 3.3], ids=["while it is down", "while it is cold"])
def test_a_receiver_that_recovers_around_a_restart_is_not_overloaded(tmp_path: Path, restart: float) -> None:
    async def scenario() -> None:
        daemon = Daemon(tmp_path, {"n1": "north"}, call_time=0.02, rate=CALL_RATE)
        receiver = daemon.receivers["n1"]
        receiver.faults.append(FaultPeriod("down", OUTAGE, RECOVERY))
        await receiver.start(time.time())
        daemon.write_configuration(head=HEAD.replace("[[front]]", RETURNING, 1))
        try:
            await daemon.launch()
            started_at = receiver.started_at = time.time()
            outage = asyncio.create_task(receiver.run())
            restarted = False
            for number in range(216):
                await asyncio.sleep(max(0.0, started_at + number / MESSAGE_RATE - time.time()))
                if not restarted and time.time() >= started_at + restart:
                    await daemon.kill()
                    await daemon.client.connection_pool.disconnect()
                    await daemon.launch()
                    restarted = True
                await daemon.submit(f"m{number}", "news")
            await outage
            async with asyncio.timeout(20):
                while len({call.message for call in daemon.record.calls if call.status == 200}) < 200:
                    await asyncio.sleep(0.05)
            daemon.record.overload_factor, daemon.record.overload_window = 1.5, 1.5
            results = {result.rule: result for result in check_rules(daemon.record)}
            assert daemon.record.slow_starts and not results["returning receivers not pushed over"].violations
        finally:
            await daemon.kill()
            await receiver.stop()

    asyncio.run(scenario())
