"""Real processes beside crowds of clients that make them hold memory."""

from __future__ import annotations

import asyncio
import re
import signal
import sys
from pathlib import Path

import pytest
from memory_rig import MemoryRig, SoundClients, memory_of, memory_rig

from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.rule_checks import RunRecord
from laureldock.rehearsal.scripted_run import write_example
from laureldock.rehearsal.soak.clients import Address
from laureldock.rehearsal.soak.dispatcher_process import DispatcherProcess
from laureldock.rehearsal.soak.slow_clients import Crowd, CrowdForm
from laureldock.rehearsal.stub_receivers import StubReceiver

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


def least_limit(rig: MemoryRig) -> int:
    """The least limit in MB that the refusals in the log name."""
    return max(int(found) for found in re.findall(r"this program needs (\d+) MB", rig.log))


async def refuse_small_limit(rig: MemoryRig) -> None:
    """A limit that cannot do ends the process at its start; the rig has the least one from then on."""
    process = await rig.start(memory_mb=32)
    assert await asyncio.wait_for(process.process.wait(), 10.0) == 1
    rig.memory_mb = least_limit(rig)


def test_the_least_limit_that_is_not_refused_holds_beside_mixed_crowds(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, MEMORY_MB) as rig:
            await refuse_small_limit(rig)
            process = await rig.launch()
            for _ in range(2):
                crowd, sound = await play_crowd(rig, list(CrowdForm))
                check_sound(sound)
                check_settled(crowd)
            assert memory_of(process.process_id)["VmHWM"] <= rig.memory_mb

    asyncio.run(play())


def test_two_processes_of_an_upgrade_share_one_limit_beside_a_mixed_crowd(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, MEMORY_MB, passed=True) as rig:
            await refuse_small_limit(rig)
            rig.memory_mb *= 2
            process = await rig.launch()
            assert "not the two of a handover" not in rig.log
            sound = SoundClients(rig.address)
            load = asyncio.create_task(sound.run(2 * CROWD_SECONDS + 1.0))
            crowd = Crowd(rig.address, list(CrowdForm), CROWD_CLIENTS)
            first = asyncio.create_task(crowd.run(CROWD_SECONDS))
            await asyncio.sleep(1.0)
            successor = await rig.launch()
            together = Crowd(rig.address, list(CrowdForm), CROWD_CLIENTS // 2)
            second = asyncio.create_task(together.run(CROWD_SECONDS))
            await asyncio.sleep(1.5)
            highest = sum(memory_of(each.process_id)["VmHWM"] for each in (process, successor))
            process.send_signal(signal.SIGTERM)
            await first
            assert await process.wait_stopped()
            await second
            await load
            assert highest <= rig.memory_mb
            assert memory_of(successor.process_id)["VmHWM"] <= rig.memory_mb / 2
            check_sound(sound)

    asyncio.run(play())


def test_a_limit_that_holds_one_process_and_not_two_is_said_at_the_start(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, MEMORY_MB, passed=True) as rig:
            await rig.launch()
            assert "memory holds one process, not the two of a handover" in rig.log

    asyncio.run(play())


async def serve_example(folder: Path, memory: str) -> tuple[DispatcherProcess, Address]:
    """The product's example configuration with another limit on memory."""
    address, management = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    file = folder / "laureldock.toml"
    receivers = [(StubReceiver("bank-1", "bank", RunRecord(), 1), free_port())]  # no call is made
    write_example(file, f"127.0.0.1:{address[1]}", receivers, management=f"{management[0]}:{management[1]}")
    file.write_text(file.read_text().replace('memory = "192MB"', f'memory = "{memory}"'))
    command = [sys.executable, "-m", "laureldock", "serve", str(file)]
    return await DispatcherProcess.launch(command, file, management, folder / "log"), address


def test_the_limit_of_a_configuration_file_is_kept_beside_a_crowd(tmp_path: Path) -> None:
    async def play() -> None:
        small, _ = await serve_example(tmp_path, "32MB")
        assert await asyncio.wait_for(small.process.wait(), 10.0) == 1
        text = (tmp_path / "log").read_text()
        found = re.search(r"this program needs (\d+) MB", text)
        assert found, text
        process, address = await serve_example(tmp_path, f"{found[1]}MB")
        try:
            await process.wait_ready()
            crowd = Crowd(address, list(CrowdForm), CROWD_CLIENTS // 2)  # the example has 512 descriptors
            await crowd.run(CROWD_SECONDS)
            assert memory_of(process.process_id)["VmHWM"] <= int(found[1])
            check_settled(crowd)
        finally:
            await process.kill()

    asyncio.run(play())


def test_a_new_limit_on_memory_binds_at_a_reload_and_one_that_cannot_do_is_refused(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, 192) as rig:
            process = await rig.launch()
            for memory_mb, expected in ((96, 96e6), (32, 96e6), (128, 128e6)):
                rig.write_file(process.file, memory_mb=memory_mb)
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.5)
                counters = await process.counters()
                assert counters is not None
                assert counters["memory"]["limit"] == expected
                loaded = counters["reloads_ok"], counters["reloads_failed"]
            assert loaded == (2, 1)

    asyncio.run(play())
