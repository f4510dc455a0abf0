"""Callers of the operators' address that send without end, or do not read."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from memory_rig import SoundClients, memory_of, memory_rig

from laureldock.rehearsal.soak.clients import Address

SECONDS = 4.0
CALLERS = 200
GROWTH_LIMIT = 3.0  # MB
REQUEST = b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n"


async def send_large_body(address: Address, until: float) -> None:
    _, writer = await asyncio.open_connection(*address)
    writer.write(b"PUT /_nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 90000000\r\n\r\n")
    sent = 0
    while time.monotonic() < until and sent < 90_000_000:
        writer.write(b"x" * 1_000_000)
        sent += 1_000_000
        await writer.drain()
    await asyncio.sleep(max(0.0, until - time.monotonic()))
    writer.transport.abort()


async def send_new_header_names(address: Address, until: float) -> None:
    number = 0
    while time.monotonic() < until:
        reader, writer = await asyncio.open_connection(*address)
        head = REQUEST[:-2] + b"N%d-%s: 1\r\n\r\n" % (number, b"n" * 7000)
        writer.write(head)
        number += 1
        await asyncio.wait_for(reader.read(200), 2.0)
        writer.transport.abort()


async def hold_half_heads(address: Address, until: float) -> None:
    writers = []
    for _ in range(CALLERS):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST[:-2] + b"".join(b"H%d: %s\r\n" % (each, b"h" * 150) for each in range(80)))
            writers.append(writer)
    await asyncio.sleep(max(0.0, until - time.monotonic()))
    for writer in writers:
        writer.transport.abort()


async def leave_responses_unread(address: Address, until: float) -> None:
    _, writer = await asyncio.open_connection(*address)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    while time.monotonic() < until:
        writer.write(REQUEST * 1000)
        async with asyncio.timeout(until - time.monotonic() + 0.1):
            await writer.drain()
        await asyncio.sleep(0.01)
    writer.transport.abort()


def temporary_bytes(process_id: int) -> int:
    """Bytes in files that the process has open and that have no name any more; they count as memory."""
    total = 0
    for link in Path(f"/proc/{process_id}/fd").iterdir():
        with contextlib.suppress(OSError):
            if os.readlink(link).endswith("(deleted)"):
                total += link.stat().st_size
    return total


@pytest.mark.parametrize(
    "caller", [send_large_body, send_new_header_names, hold_half_heads, leave_responses_unread]
)
def test_callers_of_the_operators_address_hold_little_memory(
    tmp_path: Path, caller: Callable[[Address, float], Awaitable[None]]
) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, 64) as rig:
            process = await rig.launch()
            sound = SoundClients(rig.address)
            await sound.run(0.5)
            before = memory_of(process.process_id)["VmRSS"]

            async def call() -> None:
                with contextlib.suppress(OSError, TimeoutError):
                    await caller(process.management, time.monotonic() + SECONDS)

            calling = asyncio.gather(sound.run(SECONDS), call())
            await asyncio.sleep(SECONDS / 2)
            memory = memory_of(process.process_id)["VmRSS"] + temporary_bytes(process.process_id) / 1e6
            counters = await process.counters()  # others are answered meanwhile
            await calling
            assert counters is not None
            assert memory <= before + GROWTH_LIMIT
            assert memory_of(process.process_id)["VmHWM"] <= before + GROWTH_LIMIT
            assert temporary_bytes(process.process_id) == 0
            assert sound.late == 0

    asyncio.run(play())
