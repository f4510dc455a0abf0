"""A controller and several dispatchers as processes, with faults among them."""

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
from followers import (
    ControllerProcess,
    CuttableRelay,
    Follower,
    Receivers,
    RejectedError,
    followers,
    removal,
)
from test_controlled import FRESH_CLASS, NAMES, counted, refused_at_one, run, until

from laureldock.rehearsal.scripted_run import free_port
from laureldock.setup import plan
from laureldock.setup.changes import Change, EndpointEntry
from laureldock.setup.units import Address

IN_TIME = 15.0  # seconds in which a change is in force on all that are up, or after a heal


async def started(controller: ControllerProcess, receivers: Receivers, here: list[Follower]) -> None:
    """All endpoints in force on all dispatchers."""
    await controller.launch()
    version = await controller.accept(receivers.puts())
    await asyncio.gather(*(each.launch() for each in here))
    await asyncio.gather(*(each.until_version(version) for each in here))


async def served(here: list[Follower], receivers: Receivers, mark: str) -> None:
    """Each takes a mail, and it is relayed once."""
    for each in here:
        assert await each.submit(f"{mark}-{each.name}") == b"OK"
    for each in here:
        await each.wait_for_counter("held", 0)
        assert counted(receivers)[f"{mark}-{each.name}"] == 1


def test_one_change_is_carried_from_an_operator_to_a_mail(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 2) as (receivers, here):
            await started(controller, receivers, here)
            version = await controller.accept(removal("n1"))
            assert await controller.in_force(2) < 2
            assert version == 2
            await served(here, receivers, "m")
            assert {call.receiver for call in receivers.account.calls} == {"n2"}
            with pytest.raises(RejectedError):
                await controller.accept(removal("n1"))
            status = await controller.status()
            assert status.position.version == 2 and status.slowest == ()
            await controller.kill(signal.SIGTERM)

    run(scenario())


@pytest.mark.parametrize("crash", ["logged", "half"])
def test_a_controller_killed_before_all_have_heard_is_followed_on_by_all(tmp_path: Path, crash: str) -> None:
    """What was logged is accepted: after the restart all have it, and nobody goes back."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 4) as (receivers, here):
            await started(controller, receivers, here)
            await controller.kill()
            await controller.launch(crash, "3")
            assert await controller.in_force(4) < IN_TIME
            assert await controller.accept(removal("n1")) == 2
            assert await controller.in_force(4) < IN_TIME
            proposal = asyncio.create_task(controller.accept(removal("s1")))
            await controller.ended()
            if crash == "logged":
                with pytest.raises((OSError, EOFError)):
                    await proposal
            else:
                assert await proposal == 3
            await asyncio.sleep(0.5)
            versions = Counter([await each.version() for each in here])
            assert versions == ({2: 4} if crash == "logged" else {2: 2, 3: 2})
            await served(here, receivers, "alone")
            await controller.launch()
            assert (await controller.status()).position.version == 3
            assert await controller.in_force(4) < IN_TIME
            assert await controller.accept(receivers.puts("n1")) == 4
            assert await controller.in_force(4) < IN_TIME
            for each in here:
                assert (await each.counters()).get("configuration_digest_differs", 0) == 0
            await controller.kill()

    run(scenario())


def test_dispatchers_cut_off_while_changes_go_on_have_them_all_after_the_heal(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        relay = CuttableRelay(controller.port)
        await relay.start()
        async with followers(tmp_path, NAMES, [controller.address], 4) as (receivers, here):
            for each in here[2:]:
                each.controllers = [relay.address]
                each.write_file()
            await started(controller, receivers, here)
            relay.cut = True
            silent_at = time.monotonic() + 6.5  # past the silence limit of both ends
            for number in range(30):
                await controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
            for each in here[:2]:
                assert await each.until_version(31) < IN_TIME
            await served(here, receivers, "cut")
            await asyncio.sleep(max(0.0, silent_at - time.monotonic()))
            assert [await each.version() for each in here[2:]] == [1, 1]
            assert (await here[2].counters())["configuration_age_s"] > 4
            await controller.accept(removal("n1"))
            relay.cut = False
            assert await controller.in_force(4) < IN_TIME
            assert (await here[2].counters())["configuration_age_s"] < 3
            await controller.kill()
        await relay.stop()

    run(scenario())


def test_a_dispatcher_stopped_for_twenty_seconds_catches_up(tmp_path: Path) -> None:
    """The full twenty seconds, thrice the silence after which both ends give the stream up."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 2) as (receivers, here):
            await started(controller, receivers, here)
            here[1].send_signal(signal.SIGSTOP)
            stopped = time.monotonic()
            number = 0
            while time.monotonic() < stopped + 20.0:
                number += 1
                await controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
                await asyncio.sleep(0.5)
            assert await here[0].until_version(number + 1) < IN_TIME
            here[1].send_signal(signal.SIGCONT)
            assert await here[1].until_version(number + 1) < IN_TIME
            assert await controller.in_force(2) < IN_TIME
            await served(here, receivers, "m")
            await controller.kill()

    run(scenario())


def test_a_dispatcher_restarted_with_an_old_an_empty_or_a_spoilt_folder_catches_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 4) as (receivers, here):
            await started(controller, receivers, here)
            old, empty, spoilt, torn = here
            await old.end()
            shutil.copytree(old.configuration, tmp_path / "old")
            await old.launch()
            for number in range(10):
                await controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
            await controller.in_force(4)
            for each in here:
                await each.end()
            shutil.rmtree(old.configuration)
            shutil.copytree(tmp_path / "old", old.configuration)
            shutil.rmtree(empty.configuration)
            log = spoilt.configuration / "changes.log"
            data = bytearray(log.read_bytes())
            data[len(data) // 2] ^= 0x10
            log.write_bytes(data)
            log = torn.configuration / "changes.log"
            log.write_bytes(log.read_bytes()[:-9])
            await controller.accept(removal("n1"))
            await asyncio.gather(*(each.launch() for each in here))
            assert await controller.in_force(4) < IN_TIME
            await served(here, receivers, "m")
            assert {call.receiver for call in receivers.account.calls} == {"n2"}
            assert "spoilt on disk" in spoilt.logged()
            for each in (old, torn):
                assert "spoilt on disk" not in each.logged()
            await controller.kill()

    run(scenario())


def test_a_change_that_an_older_dispatcher_refuses_shows_at_the_controller(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c", FRESH_CLASS)
        async with followers(tmp_path, NAMES, [controller.address], 3) as (receivers, here):
            for each in here[:2]:
                each.extra = FRESH_CLASS
                each.write_file()
            await started(controller, receivers, here)
            await controller.accept(refused_at_one(receivers))
            assert await controller.in_force(2) < IN_TIME
            await asyncio.sleep(0.3)
            [behind] = (await controller.status()).slowest
            assert behind.dispatcher == "d3" and behind.refused_version == 2
            assert behind.position.version == 1 and behind.connected and "fresh" in behind.refused_reason
            await served(here, receivers, "m")
            key = refused_at_one(receivers).puts[1].key
            await controller.accept(Change(removals=(key,)))
            assert await controller.in_force(3) < IN_TIME
            assert (await controller.status()).slowest == ()
            await controller.kill()

    run(scenario())


def test_an_endpoint_moved_under_load_at_three_dispatchers_loses_no_mail_and_doubles_none(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 3, pace=0.05) as (receivers, here):
            await started(controller, receivers, here)
            names = [f"m{number}" for number in range(900)]

            async def load() -> None:
                for place in range(0, len(names), 18):
                    some = enumerate(names[place : place + 18])
                    puts = (
                        here[number % 3].submit(name, destination=("north", "south")[number % 2])
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
                assert await controller.in_force(3) < IN_TIME
                await asyncio.sleep(0.2)
            await task
            for each in here:
                await each.wait_for_counter("held", 0)
            assert moves >= 4
            assert counted(receivers) == Counter(names)
            assert not [each for each in here if (each.folder / "state" / "undelivered.jsonl").exists()]
            await controller.kill()

    run(scenario())


def test_a_burst_of_a_hundred_changes_is_in_force_on_all_in_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        async with followers(tmp_path, NAMES, [controller.address], 4) as (receivers, here):
            await started(controller, receivers, here)
            puts = asyncio.gather(*(each.submit(f"{each.name}-{n}") for each in here for n in range(100)))
            began = time.monotonic()
            for number in range(100):
                await controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
            assert await controller.in_force(4) < IN_TIME
            print(f"burst of 100: in force on 4 after {time.monotonic() - began:.2f} s")
            assert set(await puts) == {b"OK"}
            for each in here:
                await each.wait_for_counter("held", 0)
            assert counted(receivers) == Counter(f"{each.name}-{n}" for each in here for n in range(100))
            await controller.kill()

    run(scenario())


def test_dispatchers_go_on_through_a_change_of_the_controller_in_the_list(tmp_path: Path) -> None:
    """Two addresses of one controller; the first one is cut: the list is tried in turn."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        relay = CuttableRelay(controller.port)
        await relay.start()
        async with followers(tmp_path, NAMES, [relay.address, controller.address], 1) as (receivers, here):
            await started(controller, receivers, here)
            relay.cut = True
            await controller.accept(removal("n1"))
            assert await here[0].until_version(2) < IN_TIME
            await controller.kill()
        await relay.stop()

    run(scenario())


def many(rate: float) -> Change:
    """Some 50 KB of endpoints that nobody sends to."""
    names = [f"one-of-many-endpoints-with-a-long-name-{number}" for number in range(400)]
    addresses = (Address(f"127.0.0.1:{30000 + number}") for number in range(400))
    return Change(
        puts=tuple(
            EndpointEntry(name, plan.Endpoint(name=name, destination="far", address=address, rate=rate))
            for name, address in zip(names, addresses, strict=True)
        )
    )


def test_a_dispatcher_too_far_behind_gets_the_snapshot_and_what_follows(tmp_path: Path) -> None:
    """What it missed is no longer in the controller's log."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c", pace="1MB")
        async with followers(tmp_path, NAMES, [controller.address], 2) as (receivers, [up, away]):
            await started(controller, receivers, [up, away])
            await away.end()
            for number in range(40):
                await controller.accept(many(1.0 + number))
                if "snapshot written" in (controller.folder / "log").read_text():
                    break
            assert number > 10
            version = await controller.accept(removal("n1"))
            await controller.kill()  # while it runs it keeps the log before the last snapshot, too
            await controller.launch()
            await away.launch()
            assert await away.until_version(version) < IN_TIME
            assert controller.versions_subscribed(away.name)[-1] == (1, True)
            assert await controller.in_force(2) < IN_TIME
            await served([up, away], receivers, "m")
            assert {call.receiver for call in receivers.account.calls} == {"n2"}
            await controller.kill()

    run(scenario())


def vars_of(port: int) -> Any:
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/_vars", timeout=5) as answer:
        return json.loads(answer.read())


def test_two_processes_of_one_dispatcher_hand_over_and_neither_spoils_what_is_kept(tmp_path: Path) -> None:
    """They share a listening socket and the state folder; the second follows once the first has ended."""

    async def scenario() -> None:
        controller = ControllerProcess(tmp_path / "c")
        with socket.create_server(("127.0.0.1", 0), backlog=512) as door:
            async with followers(tmp_path, NAMES, [controller.address], 1) as (receivers, [here]):
                await controller.launch()
                await controller.accept(receivers.puts())
                ports = [free_port() for _ in range(3)]
                text = here.file.read_text()
                processes = []

                async def launch(place: int) -> subprocess.Popen[bytes]:
                    file = here.folder / f"dispatcher{place}.toml"
                    head = f'management = "127.0.0.1:{ports[place]}"\npassed = {door.fileno()}\n'
                    file.write_text(head + text)
                    command = [sys.executable, "-m", "laureldock", "serve", str(file)]
                    with (here.folder / "log").open("ab") as log:
                        process = subprocess.Popen(command, stdout=log, stderr=log, pass_fds=[door.fileno()])
                    processes.append(process)
                    await until(lambda: ready(ports[place]))
                    return process

                def ready(port: int) -> bool:
                    with contextlib.suppress(OSError):
                        return "configuration_version" in vars_of(port)
                    return False

                def version(place: int) -> int:
                    return int(vars_of(ports[place])["configuration_version"])

                try:
                    first = await launch(0)
                    await until(lambda: version(0) == 1)
                    await launch(1)
                    assert await controller.accept(removal("n1")) == 2
                    await until(lambda: version(0) == 2)
                    assert version(1) == 1  # it serves what was on disk, and writes nothing
                    first.terminate()
                    await asyncio.to_thread(first.wait, 10)
                    await until(lambda: version(1) == 2)
                    assert await controller.accept(removal("n2")) == 3
                    await until(lambda: version(1) == 3)
                    assert await controller.in_force(1) < IN_TIME
                    processes[1].kill()
                    processes[1].wait()
                    await launch(2)
                    assert version(2) == 3
                    assert "spoilt on disk" not in here.logged() and "not kept" not in here.logged()
                finally:
                    for each in processes:
                        each.kill()
                        each.wait()
                await controller.kill()

    run(scenario())


def test_until_is_bounded() -> None:
    async def scenario() -> None:
        with pytest.raises(AssertionError):
            await until(lambda: False, 0.1)

    run(scenario())
