"""Real processes beside clients that send small or unsound requests at full speed."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from memory_rig import SoundClients, memory_of, memory_rig

from laureldock.rehearsal.soak.clients import Address, command

SECONDS = 3.0
FLOODING_CLIENTS = 4
# MB by which a process may grow while it refuses requests under names that never come again.
GROWTH_LIMIT = 2.0


def put(number: int, queue_class: str = "notice", destination: str = "1") -> bytes:
    fields = f"c={queue_class},d=8000,dest={destination}".encode()
    return command(b"MSG.PUT", b"0", b"f%d" % number, fields, b"x")


FLOODS: dict[str, Callable[[int], bytes]] = {
    "empty arrays": lambda number: b"*0\r\n" * 8000,
    "line ends": lambda number: b"\r\n" * 16_000,
    "empty arrays behind commands": lambda number: (b"PING\r\n" + b"*0\r\n" * 50) * 100,
    "unknown commands": lambda number: b"NOPE\r\n" * 3000,
    "many words": lambda number: (b"*100\r\n" + b"$0\r\n\r\n" * 100) * 100,
    "unknown classes": lambda number: b"".join(
        put(12 * number + each, queue_class=f"c{12 * number + each}") for each in range(12)
    ),
    "unknown destinations": lambda number: b"".join(
        put(12 * number + each, destination=f"d{12 * number + each}") for each in range(12)
    ),
}


async def flood(address: Address, chunk: Callable[[int], bytes], until: float) -> None:
    """Send chunk after chunk at full speed and read all replies; connect again once that is closed."""
    number = 0
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            ended = asyncio.create_task(read_to_end(reader))
            while time.monotonic() < until and not ended.done():
                writer.write(chunk(number))
                number += 1
                async with asyncio.timeout(1.0):
                    await writer.drain()
                await asyncio.sleep(0)
            ended.cancel()
            writer.transport.abort()


async def read_to_end(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            pass


@pytest.mark.parametrize("kind", FLOODS)
def test_sound_clients_are_answered_in_time_beside_floods_of_small_requests(
    tmp_path: Path, kind: str
) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, 64) as rig:
            process = await rig.launch()
            sound = SoundClients(rig.address)
            await sound.run(0.5)
            before = memory_of(process.process_id)["VmRSS"]
            until = time.monotonic() + SECONDS
            floods = [flood(rig.address, FLOODS[kind], until) for _ in range(FLOODING_CLIENTS)]
            await asyncio.gather(sound.run(SECONDS), *floods)
            assert sound.late == 0
            assert set(sound.replies) == {b"+OK\r\n"}
            assert memory_of(process.process_id)["VmRSS"] <= before + GROWTH_LIMIT

    asyncio.run(play())
