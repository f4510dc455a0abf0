"""Clients that send many commands at once: each command that was written whole is owed its answer."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import (
    BROKEN,
    HELD,
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

AT_ONCE = 24  # commands; the page has "hundreds of commands at once" for those that send what can't be read
CLIENTS = 5
PATIENCE = 3.0  # seconds that a client reads on for answers
FIELDS = "c=status-notice,d=16000,dest=3"


def encode(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


async def send(record: Record, port: int, number: int) -> tuple[int, int, bool]:
    """Commands that one client wrote whole, answers that it got, and whether its connection was closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    answers, sent, closed = 0, 0, False
    # First one message alone, so that what follows is not the first request of its connection.
    for count in (1, AT_ONCE):
        names = [f"{number:08x}{sent + place:08x}" for place in range(count)]
        commands = [encode(b"MSG.PUT", b"0" * 16, x.encode(), FIELDS.encode(), b"x" * 200) for x in names]
        for group in [b"".join(commands)] if TROUBLE else commands:
            writer.write(group)
            await writer.drain()
            expected = len(commands) if TROUBLE else 1
            for _ in range(expected):
                try:
                    line = await asyncio.wait_for(reader.readline(), PATIENCE)
                except (TimeoutError, OSError):
                    line = b""
                if not line:
                    closed = reader.at_eof()
                    break
                record.write(f"client {number}: answer {line.decode().strip()}")
                answers += 1
        sent += count
        record.write(f"client {number}: {sent} commands written, {answers} answers")
    writer.transport.abort()
    return sent, answers, closed


async def case(record: Record, folder: Path, started: list[Dispatcher]) -> tuple[int, str]:
    async def handle(call: Call) -> bytes:
        await asyncio.sleep(0.1)
        return response(200)

    endpoint = Endpoint(record, "e1", handle)
    await endpoint.start()
    platform = Platform(record, [Entry("e1", endpoint.port, 3, "national", share=60.0)])
    await platform.start()
    classes = [queue_class("status-notice", "retryable", 2.0, 16.0)]
    dispatcher = Dispatcher(record, folder, "n0", settings(classes, ["national"]), platform)
    started.append(dispatcher)
    await dispatcher.start()
    await asyncio.sleep(1.2)
    unanswered, written, closes = 0, 0, 0
    for number in range(CLIENTS):
        sent, answers, closed = await send(record, dispatcher.port, number)
        written, unanswered, closes = written + sent, unanswered + sent - answers, closes + closed
        await asyncio.sleep(1.0)
    words = f"{unanswered} of {written} commands got no answer; {closes} of {CLIENTS} connections were closed"
    return (BROKEN if unanswered else HELD), words


play(case, Path(__file__).resolve().parent)
