"""A controller and several dispatchers as processes, under faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from followers import ControllerProcess, CuttableRelay, Follower, Receivers, RejectedError, followers, removal
from test_controlled import FRESH_CLASS, NAMES, change_with_new_class, deliveries, run, wait_until

from laureldock.rehearsal.ports import free_port
from laureldock.setup import plan
from laureldock.setup.changes import Change, EndpointEntry
from laureldock.setup.units import Address

SETTLE_TIME = 15.0  # seconds within which a change must be in force on all dispatchers, also after a recovery


async def start_all(controller: ControllerProcess, receivers: Receivers, dispatchers: list[Follower]) -> None:
    """Start the controller and the dispatchers; return once all endpoints are in force on all."""
    await controller.launch()
    version = await controller.accept(receivers.puts())
    await asyncio.gather(*(each.launch() for each in dispatchers))
    await asyncio.gather(*(each.until_version(version) for each in dispatchers))


async def check_served(dispatchers: list[Follower], receivers: Receivers, prefix: str) -> None:
    """Put a message to each dispatcher, and check that it is relayed once."""
    for each in dispatchers:
        assert await each.submit(f"{prefix}-{each.name}") == b"OK"
    for each in dispatchers:
        await each.wait_for_counter("held", 0)
        assert deliveries(receivers)[f"{prefix}-{each.name}"] == 1


def test_a_change_by_an_operator_affects_the_next_message(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 2) as (receivers, dispatchers):
            await start_all(controller, receivers, dispatchers)
            version = await controller.accept(removal("n1"))
            assert await controller.in_force(2) < 2
            assert version == 2
            await check_served(dispatchers, receivers, "m")
            assert {call.receiver for call in receivers.record.calls} == {"n2"}
            with pytest.raises(RejectedError):
                await controller.accept(removal("n1"))
            status = await controller.status()
            assert status.position.version == 2 and status.slowest == ()
            await controller.kill(signal.SIGTERM)

    run(scenario())


@pytest.mark.parametrize("crash", ["logged", "half"])
def test_after_a_controller_is_killed_during_distribution_all_apply_the_change(
    tmp_path: Path, crash: str
) -> None:
    """A change in the log is accepted: after the restart all apply it, and no version goes back."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 4) as (receivers, dispatchers):
            await start_all(controller, receivers, dispatchers)
            await controller.kill()
            await controller.launch(crash, "3")
            assert await controller.in_force(4) < SETTLE_TIME
            assert await controller.accept(removal("n1")) == 2
            assert await controller.in_force(4) < SETTLE_TIME
            proposal = asyncio.create_task(controller.accept(removal("s1")))
            await controller.ended()
            if crash == "logged":
                with pytest.raises((OSError, EOFError)):
                    await proposal
            else:
                assert await proposal == 3
            await asyncio.sleep(0.5)
            versions = Counter([await each.version() for each in dispatchers])
            assert versions == ({2: 4} if crash == "logged" else {2: 2, 3: 2})
            await check_served(dispatchers, receivers, "alone")
            await controller.launch()
            assert (await controller.status()).position.version == 3
            assert await controller.in_force(4) < SETTLE_TIME
            assert await controller.accept(receivers.puts("n1")) == 4
            assert await controller.in_force(4) < SETTLE_TIME
            for each in dispatchers:
                assert (await each.counters()).get("configuration_digest_differs", 0) == 0
            await controller.kill()

    run(scenario())


def test_dispatchers_cut_off_during_changes_catch_up_after_the_reconnection(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        relay = CuttableRelay(controller.port)
        await relay.start()
        async with followers(tmp_path, NAMES, [controller.address], 4) as (receivers, dispatchers):
            for each in dispatchers[2:]:
                each.controllers = [relay.address]
                each.write_file()
            await start_all(controller, receivers, dispatchers)
            relay.cut = True
            silent_at = time.monotonic() + 6.5  # longer than the silence limit of both sides
            for number in range(30):
                await controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
            for each in dispatchers[:2]:
                assert await each.until_version(31) < SETTLE_TIME
            await check_served(dispatchers, receivers, "cut")
            await asyncio.sleep(max(0.0, silent_at - time.monotonic()))
            assert [await each.version() for each in dispatchers[2:]] == [1, 1]
            assert (await dispatchers[2].counters())["configuration_age_s"] > 4
            await controller.accept(removal("n1"))
            relay.cut = False
            assert await controller.in_force(4) < SETTLE_TIME
            assert (await dispatchers[2].counters())["configuration_age_s"] < 3
            await controller.kill()
        await relay.stop()

    run(scenario())


def test_a_dispatcher_stopped_for_twenty_seconds_catches_up(tmp_path: Path) -> None:
    """Twenty seconds are over three times the silence after which both sides close the connection."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 2) as (receivers, dispatchers):
            await start_all(controller, receivers, dispatchers)
            dispatchers[1].send_signal(signal.SIGSTOP)
            stopped_at = time.monotonic()
            number = 0
            while time.monotonic() < stopped_at + 20.0:
                number += 1
                await controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
                await asyncio.sleep(0.5)
            assert await dispatchers[0].until_version(number + 1) < SETTLE_TIME
            dispatchers[1].send_signal(signal.SIGCONT)
            assert await dispatchers[1].until_version(number + 1) < SETTLE_TIME
            assert await controller.in_force(2) < SETTLE_TIME
            await check_served(dispatchers, receivers, "m")
            await controller.kill()

    run(scenario())


def test_a_dispatcher_restarted_with_an_old_empty_or_corrupted_folder_catches_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 4) as (receivers, dispatchers):
            await start_all(controller, receivers, dispatchers)
            old, empty, corrupted, torn = dispatchers
            await old.end()
            shutil.copytree(old.configuration, tmp_path / "old")
            await old.launch()
            for number in range(10):
                await controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
            await controller.in_force(4)
            for each in dispatchers:
                await each.end()
            shutil.rmtree(old.configuration)
            shutil.copytree(tmp_path / "old", old.configuration)
            shutil.rmtree(empty.configuration)
            log = corrupted.configuration / "changes.log"
            data = bytearray(log.read_bytes())
            data[len(data) // 2] ^= 0x10
            log.write_bytes(data)
            log = torn.configuration / "changes.log"
            log.write_bytes(log.read_bytes()[:-9])
            await controller.accept(removal("n1"))
            await asyncio.gather(*(each.launch() for each in dispatchers))
            assert await controller.in_force(4) < SETTLE_TIME
            await check_served(dispatchers, receivers, "m")
            assert {call.receiver for call in receivers.record.calls} == {"n2"}
            assert "spoilt on disk" in corrupted.logged()
            for each in (old, torn):
                assert "spoilt on disk" not in each.logged()
            await controller.kill()

    run(scenario())


def test_a_change_refused_by_an_older_dispatcher_is_shown_by_the_controller(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c", FRESH_CLASS)
        async with followers(tmp_path, NAMES, [controller.address], 3) as (receivers, dispatchers):
            for each in dispatchers[:2]:
                each.extra = FRESH_CLASS
                each.write_file()
            await start_all(controller, receivers, dispatchers)
            await controller.accept(change_with_new_class(receivers))
            assert await controller.in_force(2) < SETTLE_TIME
            await asyncio.sleep(0.3)
            [lagging] = (await controller.status()).slowest
            assert lagging.dispatcher == "d3" and lagging.refused_version == 2
            assert lagging.position.version == 1 and lagging.connected and "fresh" in lagging.refused_reason
            await check_served(dispatchers, receivers, "m")
            key = change_with_new_class(receivers).puts[1].key
            await controller.accept(Change(removals=(key,)))
            assert await controller.in_force(3) < SETTLE_TIME
            assert (await controller.status()).slowest == ()
            await controller.kill()

    run(scenario())


def test_moving_an_endpoint_under_load_at_three_dispatchers_loses_and_duplicates_no_message(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 3, pace=0.05) as (receivers, dispatchers):
            await start_all(controller, receivers, dispatchers)
            names = [f"m{number}" for number in range(900)]

            async def load() -> None:
                for index in range(0, len(names), 18):
                    some = enumerate(names[index : index + 18])
                    puts = (
                        dispatchers[number % 3].submit(name, destination=("north", "south")[number % 2])
                        for number, name in some
                    )
                    assert set(await asyncio.gather(*puts)) == {b"OK"}
                    await asyncio.sleep(0.04)

            task = asyncio.create_task(load())
            moves = 0
            while not task.done():
                moves += 1
                owner = ("north", "south")[moves % 2]
                await controller.accept(Change(puts=(receivers.entry("n2", owner),)))
                assert await controller.in_force(3) < SETTLE_TIME
                await asyncio.sleep(0.2)
            await task
            for each in dispatchers:
                await each.wait_for_counter("held", 0)
            assert moves >= 4
            assert deliveries(receivers) == Counter(names)
            assert not [
                each for each in dispatchers if (each.folder / "state" / "undelivered.jsonl").exists()
            ]
            await controller.kill()

    run(scenario())


def test_a_burst_of_a_hundred_changes_is_in_force_on_all_in_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 4) as (receivers, dispatchers):
            await start_all(controller, receivers, dispatchers)
            puts = asyncio.gather(
                *(each.submit(f"{each.name}-{n}") for each in dispatchers for n in range(100))
            )
            started_at = time.monotonic()
            for number in range(100):
                await controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
            assert await controller.in_force(4) < SETTLE_TIME
            print(f"burst of 100: in force on 4 after {time.monotonic() - started_at:.2f} s")
            assert set(await puts) == {b"OK"}
            for each in dispatchers:
                await each.wait_for_counter("held", 0)
            assert deliveries(receivers) == Counter(
                f"{each.name}-{n}" for each in dispatchers for n in range(100)
            )
            await controller.kill()

    run(scenario())


def test_a_dispatcher_switches_to_the_next_controller_address(tmp_path: Path) -> None:
    """The list has two addresses of one controller; when the first is cut off, the second is tried."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        relay = CuttableRelay(controller.port)
        await relay.start()
        async with followers(tmp_path, NAMES, [relay.address, controller.address], 1) as (
            receivers,
            dispatchers,
        ):
            await start_all(controller, receivers, dispatchers)
            relay.cut = True
            await controller.accept(removal("n1"))
            assert await dispatchers[0].until_version(2) < SETTLE_TIME
            await controller.kill()
        await relay.stop()

    run(scenario())


def many_endpoints(rate: float) -> Change:
    """A change of about 50 KB with endpoints that get no messages."""
    names = [f"one-of-many-endpoints-with-a-long-name-{number}" for number in range(400)]
    addresses = (Address(f"127.0.0.1:{30000 + number}") for number in range(400))
    return Change(
        puts=tuple(
            EndpointEntry(name, plan.Endpoint(name=name, destination="far", address=address, rate=rate))
            for name, address in zip(names, addresses, strict=True)
        )
    )


def test_a_dispatcher_too_far_behind_gets_the_snapshot_and_later_changes(tmp_path: Path) -> None:
    """The changes it missed are no longer in the controller's log."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c", pace="1MB")
        async with followers(tmp_path, NAMES, [controller.address], 2) as (receivers, [running, behind]):
            await start_all(controller, receivers, [running, behind])
            await behind.end()
            for number in range(40):
                await controller.accept(many_endpoints(1.0 + number))
                if "snapshot written" in (controller.folder / "log").read_text():
                    break
            assert number > 10
            version = await controller.accept(removal("n1"))
            await controller.kill()  # a running controller also keeps the log before the last snapshot
            await controller.launch()
            await behind.launch()
            assert await behind.until_version(version) < SETTLE_TIME
            assert controller.versions_subscribed(behind.name)[-1] == (1, True)
            assert await controller.in_force(2) < SETTLE_TIME
            await check_served([running, behind], receivers, "m")
            assert {call.receiver for call in receivers.record.calls} == {"n2"}
            await controller.kill()

    run(scenario())


def vars_of(port: int) -> Any:
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/_vars", timeout=5) as answer:
        return json.loads(answer.read())


def test_during_a_handover_two_processes_do_not_corrupt_the_stored_configuration(tmp_path: Path) -> None:
    """They share a listening socket and the state folder; the second subscribes once the first has ended."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:
            async with followers(tmp_path, NAMES, [controller.address], 1) as (receivers, [dispatcher]):
                await controller.launch()
                await controller.accept(receivers.puts())
                ports = [free_port() for _ in range(3)]
                text = dispatcher.file.read_text()
                processes = []

                async def launch(index: int) -> subprocess.Popen[bytes]:
                    file = dispatcher.folder / f"dispatcher{index}.toml"
                    head = f'management = "127.0.0.1:{ports[index]}"\npassed = {listener.fileno()}\n'
                    file.write_text(head + text)
                    command = [sys.executable, "-m", "laureldock", "serve", str(file)]
                    with (dispatcher.folder / "log").open("ab") as log:
                        process = subprocess.Popen(
                            command, stdout=log, stderr=log, pass_fds=[listener.fileno()]
                        )
                    processes.append(process)
                    await wait_until(lambda: ready(ports[index]))
                    return process

                def ready(port: int) -> bool:
                    with contextlib.suppress(OSError):
                        return "configuration_version" in vars_of(port)
                    return False

                def version(index: int) -> int:
                    return int(vars_of(ports[index])["configuration_version"])

                try:
                    first = await launch(0)
                    await wait_until(lambda: version(0) == 1)
                    await launch(1)
                    assert await controller.accept(removal("n1")) == 2
                    await wait_until(lambda: version(0) == 2)
                    assert version(1) == 1  # it uses the configuration on disk, and writes nothing
                    first.terminate()
                    await asyncio.to_thread(first.wait, 10)
                    await wait_until(lambda: version(1) == 2)
                    assert await controller.accept(removal("n2")) == 3
                    await wait_until(lambda: version(1) == 3)
                    assert await controller.in_force(1) < SETTLE_TIME
                    processes[1].kill()
                    processes[1].wait()
                    await launch(2)
                    assert version(2) == 3
                    assert (
                        "spoilt on disk" not in dispatcher.logged() and "not kept" not in dispatcher.logged()
                    )
                finally:
                    for each in processes:
                        each.kill()
                        each.wait()
                await controller.kill()

    run(scenario())


def test_wait_until_times_out() -> None:
    async def scenario() -> None:
        with pytest.raises(AssertionError):
            await wait_until(lambda: False, 0.1)

    run(scenario())
