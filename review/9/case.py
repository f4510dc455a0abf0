"""A wait that the old process of an upgrade is told in its last moments binds the new one, too."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Call,
    Dispatcher,
    Endpoint,
    Entry,
    Platform,
    Record,
    play,
    queue_class,
    response,
    settings,
)

ENDPOINTS, UPGRADES = 4, 24
LATE = 1.8  # seconds after SIGTERM at which a slow endpoint turns its call away
WAIT, LET_THROUGH, SLACK = 1.0, 0.1, 0.05  # seconds
QUIET = 0.15  # seconds after that, until clients hand in again
KILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL
LENGTH = 104.0  # seconds


class Partner(Endpoint):
    """An endpoint that serves in 0.1 s; on demand it answers late, and is then shut for `WAIT` seconds."""

    def __init__(self, record: Record, name: str) -> None:
        super().__init__(record, name, self.answer)
        self.slow = False
        self.shut_from = self.opens = 0.0
        self.released = asyncio.Event()
        self.held = 0

    async def answer(self, call: Call) -> bytes:
        await asyncio.sleep(0.1)
        if self.slow:
            self.held += 1
            await self.released.wait()
        now = time.monotonic()
        if now < self.opens:
            return response(429, {"X-RateLimit-Wait-Ms": int((self.opens - now) * 1000) + 1})
        return response(200)

    def shut(self) -> None:
        self.slow, self.shut_from = False, time.monotonic()
        self.opens = self.shut_from + WAIT
        released, self.released = self.released, asyncio.Event()
        released.set()

    def early_calls(self) -> list[float]:
        """Calls during the told wait, in seconds since it was told, but for those that are let through."""
        told = [x.ended_at for x in self.calls if x.ended == "429" and x.ended_at >= self.shut_from]
        told_at = min(told, default=0.0)
        until = self.opens - SLACK
        return [
            x.at - told_at for x in self.calls if told_at and told_at + LET_THROUGH + SLACK < x.at < until
        ]


async def hand_in(dispatcher: Dispatcher, name: str, count: int, interval: float, queue_class: str) -> None:
    for number in range(count):
        fields = f"c={queue_class},d=16000,dest=3"
        await dispatcher.client.put("0" * 16, f"{name}{number:x}".rjust(16, "0"), fields, b"x" * 200)
        await asyncio.sleep(interval)


async def case(record: Record, folder: Path, started: list[Dispatcher]) -> tuple[int, str]:
    partners = [Partner(record, f"e{number}") for number in range(ENDPOINTS)]
    for partner in partners:
        await partner.start()
    platform = Platform(record, [Entry(each.name, each.port, 3, "national") for each in partners])
    await platform.start()
    classes = [
        queue_class("status-notice", "retryable", 2.0, 16.0),
        queue_class("payment", "fragile", 2.5, 20.0),
    ]
    dispatcher = Dispatcher(record, folder, "n0", settings(classes, ["national"]), platform)
    started.append(dispatcher)
    dispatcher.hold_socket()
    process = await dispatcher.start()
    began, rounds = time.monotonic(), 0
    await asyncio.sleep(1.0)
    while rounds < UPGRADES and time.monotonic() < began + LENGTH:
        partner = partners[rounds % ENDPOINTS]
        rounds += 1
        await hand_in(dispatcher, f"a{rounds:03x}", 10, 0.04, "status-notice")
        await asyncio.sleep(0.15)
        if TROUBLE:
            new = await dispatcher.start()
        # Payments go one by one, by the connection to the old process, until the slow endpoint has one.
        partner.slow, partner.held = True, 0
        for number in range(20):
            if partner.held:
                break
            await hand_in(dispatcher, f"b{rounds:03x}{number:02x}", 1, 0.15, "payment")
        if TROUBLE:
            dispatcher.signal(signal.SIGTERM, process)
            stopped_at = time.monotonic()
        await asyncio.sleep(LATE)
        partner.shut()
        record.write(partner.name, f"is shut for {WAIT} s; {partner.held} calls out there")
        await asyncio.sleep(LET_THROUGH + QUIET)
        await hand_in(dispatcher, f"c{rounds:03x}", 12, 0.05, "status-notice")
        if TROUBLE:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), stopped_at + KILL_AFTER - time.monotonic())
            if process.returncode is None:
                dispatcher.signal(signal.SIGKILL, process)
            process = new
        await asyncio.sleep(max(0.0, partner.opens - time.monotonic()))
        if early := partner.early_calls():
            times = ", ".join(f"{each:.3f}" for each in early)
            return BROKEN, f"upgrade {rounds}: calls {times} s after a wait of {WAIT} s was told"
        if process.returncode is not None:
            return NOT_RUN, "the process ended"
    return HELD, f"{rounds} rounds, no call during a wait"


play(case, Path(__file__).resolve().parent)
