"""Real processes beside crowds of clients that make them hold memory."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from memory_rig import MemoryRig, SoundClients, memory_of, memory_rig

from laureldock.rehearsal.soak.slow_clients import Crowd, CrowdForm

# A limit of the platform's pages (32 to 192 MB), as small as the two processes of these tests may have each.
MEMORY_MB = 64
CROWD_CLIENTS = 480
CROWD_SECONDS = 4.0
# Seconds. A bad client is owed its error or the close within 3 s of connecting.
SETTLE_LIMIT = 3.0
UNREADABLE = {CrowdForm.UNREAD_REPLY}  # such clients cannot see how they end


async def play_crowd(rig: MemoryRig, forms: list[CrowdForm]) -> tuple[Crowd, SoundClients]:
    """A crowd, and sound clients beside it from before it comes until it has gone."""
    crowd, sound = Crowd(rig.address, forms, CROWD_CLIENTS), SoundClients(rig.address)
    load = asyncio.create_task(sound.run(CROWD_SECONDS + 1.0))
    await asyncio.sleep(0.5)
    await crowd.run(CROWD_SECONDS)
    await load
    return crowd, sound


def check_sound(sound: SoundClients) -> None:
    assert sound.replies
    assert sound.late == 0
    assert set(sound.replies) == {b"+OK\r\n"}


def check_settled(crowd: Crowd) -> None:
    """Each client that could connect had an error or the close in time, and none an acceptance."""
    for client in crowd.clients:
        if client.connect_failed or client.form in UNREADABLE:
            continue
        assert client.settled_after is not None, client
        assert client.settled_after <= SETTLE_LIMIT, client
        assert b"+OK" not in client.received


@pytest.mark.parametrize("form", CrowdForm)
def test_a_crowd_of_slow_clients_stays_within_the_limit_on_memory(tmp_path: Path, form: CrowdForm) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, MEMORY_MB) as rig:
            process = await rig.launch()
            crowd, sound = await play_crowd(rig, [form])
            assert memory_of(process.process_id)["VmHWM"] <= MEMORY_MB
            check_sound(sound)
            check_settled(crowd)

    asyncio.run(play())


def test_a_second_mixed_crowd_costs_no_more_memory_than_the_first(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, MEMORY_MB) as rig:
            process = await rig.launch()
            highest = []
            for _ in range(3):
                crowd, sound = await play_crowd(rig, list(CrowdForm))
                highest.append(memory_of(process.process_id)["VmHWM"])
                check_sound(sound)
                check_settled(crowd)
            assert highest[-1] <= MEMORY_MB
            assert highest[-1] <= highest[0] + 2.0
            await asyncio.sleep(1.0)
            memory = memory_of(process.process_id)
            assert memory["VmRSS"] <= highest[0]

    asyncio.run(play())
