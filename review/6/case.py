"""A destination that was shut, and told its callers to wait until it opens, comes back cold."""

from __future__ import annotations

import asyncio
import sys
import time
from bisect import bisect_left
from math import inf, sqrt
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
    Handler,
    Platform,
    Record,
    play,
    queue_class,
    response,
    settings,
)

DISPATCHERS = 3
RATE = 30.0  # calls a second that the destination takes from all dispatchers together, and can do when warm
ARRIVALS = RATE / 2  # messages a second: it takes 2.0 times its calls at full load (1.6 to 2.3)
SERVICE = 0.45  # seconds at a destination of usual pace (0.33 to 0.57 for status-notice)
QUEUE = 40  # calls that it holds at once; further ones are turned away
SHUT_AT, SHUT, AFTER = 12.0, 10.0, 8.0  # seconds; shut for 5.2 to 24 s
UNTOLD = 20  # one in so many refusals tells no wait: 95% tell it (52 to 96%)
START, WARM, TIP, FALL = 0.29, 13.0, 1.5, 1.5  # as in the settings: the figures of the rule
SLOTS, HELD_MOST = (
    48,
    400,
)  # of a dispatcher that gets 50 messages a second at full load, for all destinations


class Destination:
    """The one destination, as all its callers meet it."""

    def __init__(self) -> None:
        self.shut_from, self.opens = inf, inf
        self.tokens, self.filled_at = RATE / 2, time.monotonic()
        self.held, self.free_at, self.refused = 0, 0.0, 0
        self.arrivals: list[tuple[float, int]] = []  # of all calls while it is open, with their dispatcher
        self.told: set[int] = set()  # dispatchers that were refused while it was shut

    def capacity(self, now: float) -> float:
        """Calls a second that it can do."""
        if now < self.opens:
            return RATE if now < self.shut_from else 0.0
        return RATE * min(1.0, START + (1 - START) * (now - self.opens) / WARM)

    def handler(self, dispatcher: int) -> Handler:
        async def handle(call: Call) -> bytes:
            return await self.answer(dispatcher)

        return handle

    async def answer(self, dispatcher: int) -> bytes:
        now = time.monotonic()
        self.tokens = min(RATE / 2, self.tokens + RATE * (now - self.filled_at))
        self.filled_at = now
        within_limit = self.tokens >= 1
        self.tokens -= within_limit
        report: dict[str, object] = {"X-Load-Report": f"x0={self.tokens / (RATE / 2):.3f},x1={RATE:g}"}
        if self.shut_from <= now < self.opens:
            self.told.add(dispatcher)
            self.refused += 1
            if self.refused % UNTOLD == 0:
                return response(503, report)
            return response(429, {"X-RateLimit-Wait-Ms": int((self.opens - now) * 1000) + 1, **report})
        self.arrivals.append((now, dispatcher))
        if not within_limit or self.held >= QUEUE:
            return response(503, report)
        self.free_at = max(self.free_at, now) + 1 / self.capacity(now)
        self.held += 1
        try:
            await asyncio.sleep(SERVICE + self.free_at - now)
        finally:
            self.held -= 1
        return response(200, report)

    def allowed(self, until: float) -> float:
        """Calls in the `FALL` seconds up to a time beyond which a cold destination falls."""
        steps = 50
        middles = (max(self.opens, until - FALL + (step + 0.5) * FALL / steps) for step in range(steps))
        n = TIP * sum(self.capacity(at) for at in middles) * FALL / steps
        return n + (3 * sqrt(n) + 3 if n < 30 else 2 * sqrt(n) + 2)


async def case(record: Record, folder: Path, started: list[Dispatcher]) -> tuple[int, str]:
    destination = Destination()
    classes = [queue_class("status-notice", "retryable", 2.0, 16.0, late_share=0.3, points=2.0)]
    for number in range(DISPATCHERS):
        endpoint = Endpoint(record, f"e1 from n{number}", destination.handler(number))
        await endpoint.start()
        platform = Platform(record, [Entry("e1", endpoint.port, 3, "national", share=RATE)])
        await platform.start()
        chosen = settings(
            classes,
            ["national"],
            family_info={"call_slots": SLOTS},
            limits={"most_held": HELD_MOST},
            n_instances=DISPATCHERS,
            ordinal=number,
        )
        started.append(Dispatcher(record, folder, f"n{number}", chosen, platform))
    await asyncio.gather(*(each.start() for each in started))
    began = time.monotonic()
    if TROUBLE:
        destination.shut_from, destination.opens = began + SHUT_AT, began + SHUT_AT + SHUT
    handed_in: list[asyncio.Task[str]] = []
    while (now := time.monotonic()) < began + SHUT_AT + SHUT + AFTER:
        count = len(handed_in)
        if now < began + count / ARRIVALS:
            await asyncio.sleep(began + count / ARRIVALS - now)
        client = started[count % DISPATCHERS].client
        put = client.put("0" * 16, f"{count:016x}", "c=status-notice,d=16000,dest=3", b"x" * 200)
        handed_in.append(asyncio.create_task(put))
    answers = await asyncio.gather(*handed_in)
    if answers.count("+OK") < 0.3 * len(answers):
        return NOT_RUN, "most messages were not taken on"
    if not TROUBLE:
        return HELD, f"never shut; {len(destination.arrivals)} calls"
    return judge(record, destination)


def judge(record: Record, destination: Destination) -> tuple[int, str]:
    """The first fall, and whether over two thirds of it came from dispatchers that had been told."""
    record.write("opened", at=destination.opens)
    times = [at for at, _ in destination.arrivals]
    worst, peak, fall = 0.0, "", ""
    code = HELD
    for place in range(bisect_left(times, destination.opens), len(times)):
        at = times[place]
        first = bisect_left(times, max(destination.opens, at - FALL))
        calls, allowed = place + 1 - first, destination.allowed(at)
        told = sum(number in destination.told for _, number in destination.arrivals[first : place + 1])
        words = (
            f"{calls} calls in the {FALL} s up to {at - destination.opens:.2f} s after it opened,"
            f" {allowed:.1f} allowed, {told} of them from dispatchers that had been refused"
        )
        if calls / allowed > worst:
            worst, peak = calls / allowed, words
        if calls > allowed and not fall:
            code, fall = BROKEN if told > 2 / 3 * calls else HELD, words
            record.write("fall:", words)
    return code, f"first fall: {fall or 'none'}; peak: {peak}"


play(case, Path(__file__).resolve().parent)
