"""Discovery that is slow: an endpoint that drains gets no new call once the change counts as told."""

from __future__ import annotations

import asyncio
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

SLOW = 0.3  # seconds until discovery answers
SLOW_FROM, DRAINS_AT, LENGTH = 3.0, 6.0, 22.0  # seconds
TOLD, GRACE, SLACK = (
    6.0,
    0.5,
    0.05,
)  # seconds: counts as told; the rule's grace; "each time limit being 50 ms longer"


async def case(record: Record, folder: Path, started: list[Dispatcher]) -> tuple[int, str]:
    async def handle(call: Call) -> bytes:
        await asyncio.sleep(0.1)
        return response(200)

    endpoints = [Endpoint(record, name, handle) for name in ("e1", "e2")]
    for endpoint in endpoints:
        await endpoint.start()
    platform = Platform(
        record, [Entry(each.name, each.port, 3, "national", share=30.0) for each in endpoints]
    )
    await platform.start()
    classes = [queue_class("status-notice", "retryable", 2.0, 16.0)]
    dispatcher = Dispatcher(record, folder, "n0", settings(classes, ["national"]), platform)
    started.append(dispatcher)
    await dispatcher.start()
    began, drained_at, count = time.monotonic(), 0.0, 0
    handed_in: list[asyncio.Task[str]] = []
    while (now := time.monotonic()) < began + LENGTH:
        if TROUBLE and now > began + SLOW_FROM:
            platform.delay = SLOW
        if not drained_at and now > began + DRAINS_AT:
            platform.change("e1", health="Terminating")
            drained_at = now
        put = dispatcher.client.put("0" * 16, f"{count:016x}", "c=status-notice,d=16000,dest=3", b"x" * 200)
        handed_in.append(asyncio.create_task(put))
        count += 1
        await asyncio.sleep(0.05)
    answers = await asyncio.gather(*handed_in)
    if answers.count("+OK") < 0.8 * len(answers):
        return NOT_RUN, "most messages were not taken on"
    after = [call.at - drained_at for call in endpoints[0].calls if call.at > drained_at]
    late = [each for each in after if each > TOLD + GRACE + SLACK]
    last = max(after, default=0.0)
    bound = TOLD + GRACE + SLACK
    words = f"{len(late)} calls over {bound} s after the change; the last one {last:.2f} s after it"
    return (BROKEN if late else HELD), words


play(case, Path(__file__).resolve().parent)
