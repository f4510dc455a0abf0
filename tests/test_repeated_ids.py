"""Real processes: ids that come again after their clients have left, and requests of such clients."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter
from pathlib import Path

import pytest
from memory_rig import MemoryRig, memory_rig

from laureldock.rehearsal.soak.clients import command
from laureldock.rehearsal.soak.dispatcher_process import DispatcherProcess

SEEDS = [1, 2, 3]
IDS = 120
LEAVE_LIMIT = 0.4  # seconds for which a client waits for its reply, at most
REPEATS_AFTER = (0.05, 0.7, 2.0)  # seconds after it has left
QUICK = 0.15  # seconds after its client has left in which a request that was taken on before may be sent
LARGE_BODY = 40_000  # bytes; of eight requests, most are unread when their client leaves
QUEUE_CLASS = b"payment"  # once-only


def put(name: str, body_bytes: int = 50) -> bytes:
    fields = b"c=%s,d=8000,dest=1" % QUEUE_CLASS
    return command(b"MSG.PUT", b"0", name.encode(), fields, b"x" * body_bytes)


async def submit_and_leave(rig: MemoryRig, name: str, wait: float) -> None:
    """Send a request, and leave with its reply unread, as a close with unread bytes does: by a reset."""
    with contextlib.suppress(OSError):  # nobody listens while the process is started again
        _, writer = await asyncio.open_connection(*rig.address)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(put(name))
        await asyncio.sleep(wait)
        writer.transport.abort()


async def submit_again(rig: MemoryRig, name: str) -> bytes:
    """Send the same request on a new connection; the reply, or nothing."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*rig.address)
            writer.write(put(name))
            line = await reader.readline()
            writer.close()
            return line
    return b""


async def play_id(rig: MemoryRig, rng: random.Random, name: str) -> None:
    wait, repeats = rng.uniform(0.0, LEAVE_LIMIT), rng.randrange(1, len(REPEATS_AFTER) + 1)
    await submit_and_leave(rig, name, wait)
    left_at = time.monotonic()
    for after in REPEATS_AFTER[:repeats]:
        await asyncio.sleep(max(0.0, left_at + after - time.monotonic()))
        await submit_again(rig, name)


async def play_ids(rig: MemoryRig, seed: int, seconds: float = 3.0) -> None:
    """All ids, begun at random moments."""
    rng = random.Random(seed)

    async def begin(name: str, at: float) -> None:
        await asyncio.sleep(at)
        await play_id(rig, random.Random(name), name)

    await asyncio.gather(*(begin(f"i{seed}-{each}", rng.uniform(0.0, seconds)) for each in range(IDS)))
    await asyncio.sleep(1.0)


def executed_twice(rig: MemoryRig) -> dict[str, int]:
    executions = Counter(call.message for call in rig.record.calls if call.executed)
    return {name: count for name, count in executions.items() if count > 1}


@pytest.mark.parametrize("seed", SEEDS)
def test_an_id_that_comes_again_after_its_client_has_left_runs_once(tmp_path: Path, seed: int) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, 96) as rig:
            await rig.launch()
            await play_ids(rig, seed)
            assert rig.record.calls
            assert not executed_twice(rig)

    asyncio.run(play())


async def hand_over(rig: MemoryRig, previous: DispatcherProcess) -> DispatcherProcess:
    process = await rig.launch()
    previous.send_signal(signal.SIGTERM)
    assert await previous.wait_stopped()
    return process


def test_an_id_that_comes_again_at_the_next_process_of_an_upgrade_runs_once(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, 192, passed=True) as rig:
            process = await rig.launch()
            ids = asyncio.create_task(play_ids(rig, 5, seconds=6.0))
            for _ in range(2):
                await asyncio.sleep(1.0)
                process = await hand_over(rig, process)
            await ids
            assert rig.record.calls
            assert not executed_twice(rig)

    asyncio.run(play())


def test_an_id_that_comes_again_after_a_kill_runs_once(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, 96) as rig:
            process = await rig.launch()
            ids = asyncio.create_task(play_ids(rig, 6, seconds=4.0))
            for _ in range(2):
                await asyncio.sleep(1.5)
                await process.kill()
                process = await rig.launch()
            await ids
            assert rig.record.calls
            assert not executed_twice(rig)

    asyncio.run(play())


def test_requests_behind_one_another_are_not_sent_on_once_their_client_has_left(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, 96) as rig:
            await rig.launch(disk_mb=64)
            rng, left_at = random.Random(7), dict[str, float]()

            async def send_eight_and_leave(number: int) -> None:
                await asyncio.sleep(rng.uniform(0.0, 3.0))
                names = [f"p{number}-{each}" for each in range(8)]
                _, writer = await asyncio.open_connection(*rig.address)
                writer.write(b"".join(put(name, LARGE_BODY) for name in names))
                await writer.drain()
                writer.close()
                left_at.update(dict.fromkeys(names, time.time()))

            await asyncio.gather(*(send_eight_and_leave(number) for number in range(60)))
            await asyncio.sleep(2.0)
            first_sent: dict[str, float] = {}
            for call in rig.record.calls:
                first_sent.setdefault(call.message, call.first_byte_at)
            late = [name for name, at in first_sent.items() if at > left_at[name] + QUICK]
            assert not late

    asyncio.run(play())
