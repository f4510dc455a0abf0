"""Dispatchers as processes that follow a controller: changes in force, restarts, refusals, load, faults."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
import urllib.request
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest
import redis.asyncio as redis
from daemon import daemon
from followers import Receivers, StandInController, followers, one_follower, removal
from msgspec import structs
from test_process import Process, platform

from laureldock.rehearsal.scripted_run import free_port
from laureldock.replication.messages import ChangeMessage, InForce, Subscribe
from laureldock.setup import plan
from laureldock.setup.changes import Change, TermsEntry
from laureldock.setup.units import Seconds

__all__ = ["platform"]

NAMES = {"n1": "north", "n2": "north", "s1": "south"}


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scenario)


def counted(here: Receivers) -> Counter[str]:
    return Counter(call.message for call in here.account.calls)


async def until(condition: Any, seconds: float = 10.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "not in time"
        await asyncio.sleep(0.02)


def get(port: int, path: str) -> Any:
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=5) as answer:
        return json.loads(answer.read())


def test_a_dispatcher_with_nothing_waits_for_the_first_snapshot_and_serves_by_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StandInController()
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [here]):
            management = free_port()
            here.extra = f'management = "127.0.0.1:{management}"\n'
            text = here.file.read_text()
            here.file.write_text(here.extra + text)
            await here.start_process()
            await asyncio.sleep(1.0)
            with pytest.raises((OSError, redis.RedisError)):
                await here.client.ping()
            controller.state.accept(receivers.puts("n1", "s1"))
            await controller.start()
            await here.wait_ready()
            assert await here.submit("m1") == b"OK"
            await here.wait_for_counter("held", 0)
            assert counted(receivers) == Counter(["m1"])
            figures = await here.counters()
            assert figures["configuration_version"] == 1 and figures["configuration_refused"] == 0
            assert figures["configuration_epoch"] == 7
            await until(lambda: "configuration_age_s" in get(management, "/_vars"), 5.0)
            shown = await asyncio.to_thread(get, management, "/_vars")
            assert shown["configuration_version"] == 1 and 0 <= shown["configuration_age_s"] < 3
            assert shown["endpoints_known"] == 2

            version = controller.accept(
                Change(puts=(receivers.entry("n2"),), removals=removal("n1").removals)
            )
            took = await here.until_version(version)
            assert took < 2
            for number in range(20):
                assert await here.submit(f"x{number}") == b"OK"
            await here.wait_for_counter("held", 0)
            assert {call.receiver for call in receivers.account.calls if call.message != "m1"} == {"n2"}
            assert controller.versions("d1") == [1, 2]
            await controller.stop()

    run(scenario())


def test_a_dispatcher_takes_no_clients_before_its_controller_is_filled(tmp_path: Path) -> None:
    """It was ready with no destination, and failed all that came; a restart in between changes nothing."""

    async def scenario() -> None:
        controller = StandInController()
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [here]):
            await controller.start()
            for _ in range(2):
                await here.start_process()
                await until(lambda: "d1" in controller.streams)
                await asyncio.sleep(0.5)
                with pytest.raises((OSError, redis.RedisError)):
                    await here.client.ping()
                await here.end()
                await until(lambda: "d1" not in controller.streams)
            assert any(isinstance(message, InForce) for _, message in controller.heard)
            await here.start_process()
            await until(lambda: "d1" in controller.streams)
            controller.accept(receivers.puts())
            await here.wait_ready()
            assert await here.submit("m1") == b"OK"
            await here.wait_for_counter("held", 0)
            await controller.stop()

    run(scenario())


def test_without_its_controller_a_dispatcher_goes_on_also_after_a_restart_and_tells_the_age(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        controller = StandInController()
        controller.state.accept(Change())
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [here]):
            controller.state.accept(receivers.puts())
            await controller.start()
            await here.launch()
            await here.until_version(2)
            for number in range(5):
                controller.accept(Change(puts=(receivers.entry("s1", rate=50.0 + number),)))
            await here.until_version(7)
            await asyncio.sleep(2.1)
            await controller.stop()
            await asyncio.sleep(1.0)
            assert await here.submit("before") == b"OK"
            await here.wait_for_counter("held", 0)  # killed before its end it would be sent again
            for number in (signal.SIGKILL, signal.SIGTERM):
                await here.end(number)
                began = time.monotonic()
                await here.launch()
                assert time.monotonic() - began < 5
                figures = await here.counters()
                assert figures["configuration_version"] == 7 and figures["configuration_age_s"] >= 1.0
                assert await here.submit(f"after-{number.name}", destination="south") == b"OK"
                await here.wait_for_counter("held", 0)
            await controller.start()
            controller.accept(removal("n2"))
            await here.until_version(8)
            await asyncio.sleep(2.1)
            assert (await here.counters())["configuration_age_s"] < 3
            asked = [each for _, each in controller.heard if isinstance(each, Subscribe)]
            assert asked[-1].position.version == 7  # not by a snapshot
            assert counted(receivers) == Counter(["before", "after-SIGKILL", "after-SIGTERM"])
            await controller.stop()

    run(scenario())


def test_an_endpoint_moved_under_load_loses_no_mail_and_doubles_none(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES, pace=0.05) as (controller, receivers, here):
            names = [f"m{number}" for number in range(1200)]

            async def load() -> None:
                for place in range(0, len(names), 20):
                    some = enumerate(names[place : place + 20])
                    puts = (
                        here.submit(name, destination=("north", "south")[number % 2]) for number, name in some
                    )
                    assert set(await asyncio.gather(*puts)) == {b"OK"}
                    await asyncio.sleep(0.03)

            task = asyncio.create_task(load())
            moves = 0
            while not task.done():
                owner = ("south", "north")[moves % 2]
                moves += 1
                moved = time.time()
                controller.accept(Change(puts=(receivers.entry("n2", owner),)))
                await here.until_version(controller.state.position.version)
                await asyncio.sleep(0.25)
            await task
            await here.wait_for_counter("held", 0)
            assert moves >= 4 and moved
            assert counted(receivers) == Counter(names)
            assert not (here.folder / "state" / "undelivered.jsonl").exists()

    run(scenario())


def test_a_burst_of_a_hundred_changes_is_in_force_in_time_while_mails_go(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StandInController()
        async with followers(tmp_path, NAMES, [controller.address], 3) as (receivers, here):
            controller.state.accept(receivers.puts())
            await controller.start()
            await asyncio.gather(*(each.launch() for each in here))
            puts = asyncio.gather(*(each.submit(f"{each.name}-{n}") for each in here for n in range(200)))
            for number in range(100):
                controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
            took = await asyncio.gather(*(each.until_version(101) for each in here))
            assert max(took) < 5
            assert set(await puts) == {b"OK"}
            for each in here:
                await each.wait_for_counter("held", 0)
                assert controller.versions(each.name) == list(range(1, 102))
            assert counted(receivers) == Counter(f"{each.name}-{n}" for each in here for n in range(200))
            await controller.stop()

    run(scenario())


def test_changes_that_come_doubled_cut_short_spoilt_or_not_at_all_end_in_force_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StandInController()
        sent: set[int] = set()

        def wire(name: str, message: Any) -> list[Any]:
            if not isinstance(message, ChangeMessage) or message.position.version in sent:
                return [message]
            sent.add(message.position.version)
            body = message.body
            match message.position.version:
                case 2:
                    return [message, message]
                case 3:
                    return [structs.replace(message, body=body[: len(body) // 2])]
                case 4:
                    return [structs.replace(message, body=bytes([body[0], body[1] ^ 1]) + body[2:])]
                case 5:
                    return []
            return [message]

        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [here]):
            controller.state.accept(receivers.puts())
            await controller.start()
            await here.launch()
            await here.until_version(1)
            controller.wire = wire
            for number in range(5):
                version = controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
                if version != 5:  # which is lost, and found to be with the next one
                    await here.until_version(version, 2.0)
            assert controller.versions("d1") == list(range(1, 7))
            figures = await here.counters()
            assert figures["configuration_change_spoilt"] == 2
            assert figures["configuration_change_repeated"] >= 1
            assert figures.get("faults", 0) == 0
            await controller.stop()

    run(scenario())


def test_garbage_on_the_stream_costs_the_stream_alone(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES) as (controller, _, here):
            for bad in (b"garbage", b"lc\x09\x00\x00", b"lc\x01\xc1\xc1\xc1", os.urandom(3000)):
                await until(lambda: "d1" in controller.streams)
                writer = controller.streams["d1"]
                writer.write(len(bad).to_bytes(4, "big") + bad)
                await until(lambda writer=writer: controller.streams.get("d1") is not writer)
            await until(lambda: "d1" in controller.streams)
            controller.accept(removal("n2"))
            await here.until_version(2)
            assert (await here.counters())["configuration_malformed_message"] == 4
            assert await here.submit("m1") == b"OK"
            await here.wait_for_counter("held", 0)

    run(scenario())


def refused_at_one(receivers: Receivers) -> Change:
    """Names a queue class that an older dispatcher's file does not have."""
    terms = TermsEntry("class=fresh", plan.Entry(queue_class="fresh", connects=2))
    return Change(puts=(receivers.entry("s1", rate=77.0), terms))


FRESH_CLASS = '[class.fresh]\neffect = "tagged"\ntarget_delay = "5s"\nlifetime = "30s"\nmemory = "60s"\n'


def test_a_change_that_one_older_dispatcher_refuses_is_told_not_half_applied_and_others_go_on(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        controller = StandInController()
        async with followers(tmp_path, NAMES, [controller.address], 2) as (receivers, [new, old]):
            new.extra = FRESH_CLASS
            new.write_file()
            controller.state.accept(receivers.puts())
            await controller.start()
            await asyncio.gather(new.launch(), old.launch())
            controller.accept(refused_at_one(receivers))
            await new.until_version(2)
            await until(lambda: controller.refusals("d2"))
            fault = controller.refusals("d2")[0].faults[0]
            assert "fresh" in fault.reason or "fresh" in str(fault.path)
            controller.accept(Change(puts=(receivers.entry("n2", rate=5.0),)))
            await new.until_version(3)
            await until(lambda: len(controller.refusals("d2")) == 2)
            assert [each.position.version for each in controller.refusals("d2")] == [2, 3]
            figures = await old.counters()
            assert figures["configuration_version"] == 1 and figures["configuration_refused"] == 2
            assert await old.submit("m1", destination="south") == b"OK"  # it goes on with what it has
            await old.end(signal.SIGTERM)
            await old.launch()
            await until(lambda: len(controller.refusals("d2")) == 4)
            controller.accept(Change(removals=(refused_at_one(receivers).puts[1].key,)))
            await old.until_version(4)  # what was refused passes with the change that mends it
            assert (await old.counters())["configuration_refused"] == 0
            await new.until_version(4)
            await until(lambda: controller.versions("d2")[-1] == controller.versions("d1")[-1] == 4)
            await controller.stop()

    run(scenario())


def test_a_refused_change_passes_once_the_own_file_allows_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES) as (controller, receivers, here):
            controller.accept(refused_at_one(receivers))
            await until(lambda: controller.refusals("d1"))
            assert await here.version() == 1
            here.extra = FRESH_CLASS
            here.write_file()
            await here.end(signal.SIGTERM)
            await here.launch()
            await here.until_version(2)
            assert (await here.counters())["configuration_refused"] == 0

    run(scenario())


def test_a_file_that_no_longer_allows_what_was_kept_takes_nothing_of_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StandInController()
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [here]):
            here.extra = FRESH_CLASS
            here.write_file()
            controller.state.accept(receivers.puts())
            controller.state.accept(refused_at_one(receivers))
            await controller.start()
            await here.launch()
            await here.until_version(2)
            await here.end(signal.SIGTERM)
            here.extra = ""
            here.write_file()
            await here.start_process()
            await until(lambda: controller.refusals("d1"))
            with pytest.raises((OSError, redis.RedisError)):  # nothing of it is in force
                await here.client.ping()
            assert "refused from disk" in here.logged()
            controller.accept(Change(removals=(refused_at_one(receivers).puts[1].key,)))
            await here.end()
            await here.launch()  # asks anew
            await here.until_version(3)
            await controller.stop()

    run(scenario())


def test_a_change_of_a_later_format_is_told_and_a_dispatcher_goes_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES) as (controller, _, here):
            controller.accept(removal("n2"), body=b"\x94\x90\x90\xa3new\xa3new")
            await until(lambda: controller.refusals("d1"))
            assert "cannot be read" in controller.refusals("d1")[0].faults[0].reason
            assert await here.version() == 1
            assert await here.submit("m1") == b"OK"
            await here.wait_for_counter("held", 0)
            await here.end()
            await here.launch()  # not on disk, either
            assert await here.version() == 1

    run(scenario())


def test_terms_of_a_change_hold_for_mails_from_then_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StandInController()
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [here]):
            controller.state.accept(receivers.puts("n1"))
            await controller.start()
            await here.launch()
            terms = plan.Entry(queue_class="news", connects=1, retry_after=Seconds(0.2))
            controller.accept(Change(puts=(TermsEntry("class=news", terms),)))
            await here.until_version(2)
            await receivers.by_name["n1"].stop()
            answer = await asyncio.gather(here.submit("m1"), return_exceptions=True)
            assert answer[0] == b"OK" or "BUSY" in str(answer[0]) or "ERR" in str(answer[0])
            await controller.stop()

    run(scenario())


# A dispatcher without a controller


OF_IT = ("laureldock.replication", "laureldock.controller", "laureldock.sources.controlled",
         "laureldock.setup.catalog", "laureldock.setup.changes")  # fmt: skip


def imported(log: str) -> set[str]:
    """Modules of this program, by Python's own account of its imports."""
    lines = (line.rpartition("|")[2].strip() for line in log.splitlines() if line.startswith("import time:"))
    return {name for name in lines if name.startswith("laureldock")}


def test_a_dispatcher_by_a_file_of_its_own_imports_nothing_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")

    async def scenario() -> None:
        async with daemon(tmp_path, NAMES) as here:
            assert await here.submit("m1") == b"OK"
            here.write_configuration(without="n2")
            here.reload()
            await here.wait_for_counter("configurations_read", 1)
            assert not [name for name in await here.counters() if name.startswith("configuration_")]
            names = imported((tmp_path / "log").read_text())
            assert "laureldock.assembly" in names
            assert not [name for name in names if name.startswith(OF_IT)]

    run(scenario())


def test_run_on_its_platform_imports_nothing_of_it(
    tmp_path: Path, platform: Any, capfd: pytest.CaptureFixture[str]
) -> None:
    process = Process(tmp_path, platform, {"PYTHONPROFILEIMPORTTIME": "1"})
    try:
        assert process.put("m1", "news", "quick") == b"+OK\r\n"
        process.child.send_signal(signal.SIGHUP)
        end = time.monotonic() + 10
        while b"configurations_read:1" not in (info := process.ask(b"INFO\r\n")):
            assert time.monotonic() < end
            time.sleep(0.05)
        assert b"configuration_" not in info
        process.child.terminate()
        process.child.wait(10)
    finally:
        process.child.kill()
    names = imported(capfd.readouterr().err)
    assert "laureldock.assembly" in names
    assert not [name for name in names if name.startswith(OF_IT)]


def test_a_dispatcher_that_follows_does_import_it(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The check above sees what it looks for."""
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")

    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES) as (_, _, here):
            assert "laureldock.replication.subscriber" in imported(here.logged())

    run(scenario())
