"""Dispatcher processes subscribed to a stub controller: changes, restarts, refusals, load and faults."""

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
from followers import Receivers, StubController, followers, one_follower, removal
from msgspec import structs
from test_process import Process, platform

from laureldock.rehearsal.ports import free_port
from laureldock.replication.messages import ChangeMessage, InForce, Subscribe
from laureldock.setup import plan
from laureldock.setup.changes import Change, TermsEntry
from laureldock.setup.units import Seconds

__all__ = ["platform"]

NAMES = {"n1": "north", "n2": "north", "s1": "south"}


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scenario)


def deliveries(receivers: Receivers) -> Counter[str]:
    return Counter(call.message for call in receivers.record.calls)


async def wait_until(condition: Any, seconds: float = 10.0) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "not in time"
        await asyncio.sleep(0.02)


def get(port: int, path: str) -> Any:
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=5) as response:
        return json.loads(response.read())


def test_a_dispatcher_without_a_configuration_waits_for_the_first_snapshot(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StubController()
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [dispatcher]):
            management = free_port()
            dispatcher.extra = f'management = "127.0.0.1:{management}"\n'
            text = dispatcher.file.read_text()
            dispatcher.file.write_text(dispatcher.extra + text)
            await dispatcher.start_process()
            await asyncio.sleep(1.0)
            with pytest.raises((OSError, redis.RedisError)):
                await dispatcher.client.ping()
            controller.state.accept(receivers.puts("n1", "s1"))
            await controller.start()
            await dispatcher.wait_ready()
            assert await dispatcher.submit("m1") == b"OK"
            await dispatcher.wait_for_counter("held", 0)
            assert deliveries(receivers) == Counter(["m1"])
            figures = await dispatcher.counters()
            assert figures["configuration_version"] == 1 and figures["configuration_refused"] == 0
            assert figures["configuration_epoch"] == 7
            await wait_until(lambda: "configuration_age_s" in get(management, "/_vars"), 5.0)
            variables = await asyncio.to_thread(get, management, "/_vars")
            assert variables["configuration_version"] == 1 and 0 <= variables["configuration_age_s"] < 3
            assert variables["endpoints_known"] == 2

            version = controller.accept(
                Change(puts=(receivers.entry("n2"),), removals=removal("n1").removals)
            )
            elapsed = await dispatcher.until_version(version)
            assert elapsed < 2
            for number in range(20):
                assert await dispatcher.submit(f"x{number}") == b"OK"
            await dispatcher.wait_for_counter("held", 0)
            assert {call.receiver for call in receivers.record.calls if call.message != "m1"} == {"n2"}
            assert controller.versions("d1") == [1, 2]
            await controller.stop()

    run(scenario())


def test_a_dispatcher_accepts_no_clients_before_its_controllers_first_change(tmp_path: Path) -> None:
    """Guards against a dispatcher that became ready without any destination and failed all messages.

    This must hold across a restart, too.
    """

    async def scenario() -> None:
        controller = StubController()
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [dispatcher]):
            await controller.start()
            for _ in range(2):
                await dispatcher.start_process()
                await wait_until(lambda: "d1" in controller.streams)
                await asyncio.sleep(0.5)
                with pytest.raises((OSError, redis.RedisError)):
                    await dispatcher.client.ping()
                await dispatcher.end()
                await wait_until(lambda: "d1" not in controller.streams)
            assert any(isinstance(message, InForce) for _, message in controller.received)
            await dispatcher.start_process()
            await wait_until(lambda: "d1" in controller.streams)
            controller.accept(receivers.puts())
            await dispatcher.wait_ready()
            assert await dispatcher.submit("m1") == b"OK"
            await dispatcher.wait_for_counter("held", 0)
            await controller.stop()

    run(scenario())


def test_without_its_controller_a_dispatcher_keeps_serving_after_a_restart_and_reports_the_age(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        controller = StubController()
        controller.state.accept(Change())
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [dispatcher]):
            controller.state.accept(receivers.puts())
            await controller.start()
            await dispatcher.launch()
            await dispatcher.until_version(2)
            for number in range(5):
                controller.accept(Change(puts=(receivers.entry("s1", rate=50.0 + number),)))
            await dispatcher.until_version(7)
            await asyncio.sleep(2.1)
            await controller.stop()
            await asyncio.sleep(1.0)
            assert await dispatcher.submit("before") == b"OK"
            await dispatcher.wait_for_counter(
                "held", 0
            )  # killed before that, it would send the message again
            for number in (signal.SIGKILL, signal.SIGTERM):
                await dispatcher.end(number)
                began = time.monotonic()
                await dispatcher.launch()
                assert time.monotonic() - began < 5
                figures = await dispatcher.counters()
                assert figures["configuration_version"] == 7 and figures["configuration_age_s"] >= 1.0
                assert await dispatcher.submit(f"after-{number.name}", destination="south") == b"OK"
                await dispatcher.wait_for_counter("held", 0)
            await controller.start()
            controller.accept(removal("n2"))
            await dispatcher.until_version(8)
            await asyncio.sleep(2.1)
            assert (await dispatcher.counters())["configuration_age_s"] < 3
            subscriptions = [each for _, each in controller.received if isinstance(each, Subscribe)]
            assert subscriptions[-1].position.version == 7  # no snapshot was requested
            assert deliveries(receivers) == Counter(["before", "after-SIGKILL", "after-SIGTERM"])
            await controller.stop()

    run(scenario())


def test_moving_an_endpoint_under_load_loses_and_duplicates_no_message(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES, pace=0.05) as (controller, receivers, dispatcher):
            names = [f"m{number}" for number in range(1200)]

            async def load() -> None:
                for place in range(0, len(names), 20):
                    some = enumerate(names[place : place + 20])
                    puts = (
                        dispatcher.submit(name, destination=("north", "south")[number % 2])
                        for number, name in some
                    )
                    assert set(await asyncio.gather(*puts)) == {b"OK"}
                    await asyncio.sleep(0.03)

            task = asyncio.create_task(load())
            moves = 0
            while not task.done():
                destination_name = ("south", "north")[moves % 2]
                moves += 1
                moved = time.time()
                controller.accept(Change(puts=(receivers.entry("n2", destination_name),)))
                await dispatcher.until_version(controller.state.position.version)
                await asyncio.sleep(0.25)
            await task
            await dispatcher.wait_for_counter("held", 0)
            assert moves >= 4 and moved
            assert deliveries(receivers) == Counter(names)
            assert not (dispatcher.folder / "state" / "undelivered.jsonl").exists()

    run(scenario())


def test_a_burst_of_a_hundred_changes_is_in_force_in_time_under_load(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StubController()
        async with followers(tmp_path, NAMES, [controller.address], 3) as (receivers, dispatchers):
            controller.state.accept(receivers.puts())
            await controller.start()
            await asyncio.gather(*(each.launch() for each in dispatchers))
            puts = asyncio.gather(
                *(each.submit(f"{each.name}-{n}") for each in dispatchers for n in range(200))
            )
            for number in range(100):
                controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
            elapsed = await asyncio.gather(*(each.until_version(101) for each in dispatchers))
            assert max(elapsed) < 5
            assert set(await puts) == {b"OK"}
            for each in dispatchers:
                await each.wait_for_counter("held", 0)
                assert controller.versions(each.name) == list(range(1, 102))
            assert deliveries(receivers) == Counter(
                f"{each.name}-{n}" for each in dispatchers for n in range(200)
            )
            await controller.stop()

    run(scenario())


def test_duplicate_truncated_corrupted_and_lost_changes_are_applied_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StubController()
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

        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [dispatcher]):
            controller.state.accept(receivers.puts())
            await controller.start()
            await dispatcher.launch()
            await dispatcher.until_version(1)
            controller.wire = wire
            for number in range(5):
                version = controller.accept(Change(puts=(receivers.entry("s1", rate=1.0 + number),)))
                if version != 5:  # version 5 is lost, which is detected with the next one
                    await dispatcher.until_version(version, 2.0)
            assert controller.versions("d1") == list(range(1, 7))
            figures = await dispatcher.counters()
            assert figures["configuration_change_spoilt"] == 2
            assert figures["configuration_change_repeated"] >= 1
            assert figures.get("faults", 0) == 0
            await controller.stop()

    run(scenario())


def test_garbage_closes_only_the_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES) as (controller, _, dispatcher):
            for payload in (b"garbage", b"lc\x09\x00\x00", b"lc\x01\xc1\xc1\xc1", os.urandom(3000)):
                await wait_until(lambda: "d1" in controller.streams)
                writer = controller.streams["d1"]
                writer.write(len(payload).to_bytes(4, "big") + payload)
                await wait_until(lambda writer=writer: controller.streams.get("d1") is not writer)
            await wait_until(lambda: "d1" in controller.streams)
            controller.accept(removal("n2"))
            await dispatcher.until_version(2)
            assert (await dispatcher.counters())["configuration_malformed_message"] == 4
            assert await dispatcher.submit("m1") == b"OK"
            await dispatcher.wait_for_counter("held", 0)

    run(scenario())


def change_with_new_class(receivers: Receivers) -> Change:
    """A change that names a queue class missing in the file of an older dispatcher."""
    terms = TermsEntry("class=fresh", plan.Entry(queue_class="fresh", connects=2))
    return Change(puts=(receivers.entry("s1", rate=77.0), terms))


FRESH_CLASS = '[class.fresh]\neffect = "tagged"\ntarget_delay = "5s"\nlifetime = "30s"\nmemory = "60s"\n'


def test_a_change_refused_by_an_older_dispatcher_is_reported_and_not_partially_applied(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        controller = StubController()
        async with followers(tmp_path, NAMES, [controller.address], 2) as (receivers, [new, old]):
            new.extra = FRESH_CLASS
            new.write_file()
            controller.state.accept(receivers.puts())
            await controller.start()
            await asyncio.gather(new.launch(), old.launch())
            controller.accept(change_with_new_class(receivers))
            await new.until_version(2)
            await wait_until(lambda: controller.refusals("d2"))
            fault = controller.refusals("d2")[0].faults[0]
            assert "fresh" in fault.reason or "fresh" in str(fault.path)
            controller.accept(Change(puts=(receivers.entry("n2", rate=5.0),)))
            await new.until_version(3)
            await wait_until(lambda: len(controller.refusals("d2")) == 2)
            assert [each.position.version for each in controller.refusals("d2")] == [2, 3]
            figures = await old.counters()
            assert figures["configuration_version"] == 1 and figures["configuration_refused"] == 2
            assert await old.submit("m1", destination="south") == b"OK"  # its configuration stays in force
            await old.end(signal.SIGTERM)
            await old.launch()
            await wait_until(lambda: len(controller.refusals("d2")) == 4)
            controller.accept(Change(removals=(change_with_new_class(receivers).puts[1].key,)))
            await old.until_version(4)  # the refused changes are applied with the one that corrects them
            assert (await old.counters())["configuration_refused"] == 0
            await new.until_version(4)
            await wait_until(lambda: controller.versions("d2")[-1] == controller.versions("d1")[-1] == 4)
            await controller.stop()

    run(scenario())


def test_a_refused_change_is_applied_once_the_dispatchers_file_allows_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES) as (controller, receivers, dispatcher):
            controller.accept(change_with_new_class(receivers))
            await wait_until(lambda: controller.refusals("d1"))
            assert await dispatcher.version() == 1
            dispatcher.extra = FRESH_CLASS
            dispatcher.write_file()
            await dispatcher.end(signal.SIGTERM)
            await dispatcher.launch()
            await dispatcher.until_version(2)
            assert (await dispatcher.counters())["configuration_refused"] == 0

    run(scenario())


def test_a_stored_configuration_that_the_file_no_longer_allows_is_not_used(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StubController()
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [dispatcher]):
            dispatcher.extra = FRESH_CLASS
            dispatcher.write_file()
            controller.state.accept(receivers.puts())
            controller.state.accept(change_with_new_class(receivers))
            await controller.start()
            await dispatcher.launch()
            await dispatcher.until_version(2)
            await dispatcher.end(signal.SIGTERM)
            dispatcher.extra = ""
            dispatcher.write_file()
            await dispatcher.start_process()
            await wait_until(lambda: controller.refusals("d1"))
            with pytest.raises((OSError, redis.RedisError)):  # no part of what was stored is in force
                await dispatcher.client.ping()
            assert "refused from disk" in dispatcher.logged()
            controller.accept(Change(removals=(change_with_new_class(receivers).puts[1].key,)))
            await dispatcher.end()
            await dispatcher.launch()  # it subscribes again
            await dispatcher.until_version(3)
            await controller.stop()

    run(scenario())


def test_a_change_of_a_later_format_is_refused_and_the_dispatcher_keeps_serving(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES) as (controller, _, dispatcher):
            controller.accept(removal("n2"), body=b"\x94\x90\x90\xa3new\xa3new")
            await wait_until(lambda: controller.refusals("d1"))
            assert "cannot be read" in controller.refusals("d1")[0].faults[0].reason
            assert await dispatcher.version() == 1
            assert await dispatcher.submit("m1") == b"OK"
            await dispatcher.wait_for_counter("held", 0)
            await dispatcher.end()
            await dispatcher.launch()  # the refused change is not on disk either
            assert await dispatcher.version() == 1

    run(scenario())


def test_terms_of_a_change_apply_to_later_messages(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = StubController()
        async with followers(tmp_path, NAMES, [controller.address]) as (receivers, [dispatcher]):
            controller.state.accept(receivers.puts("n1"))
            await controller.start()
            await dispatcher.launch()
            terms = plan.Entry(queue_class="news", connects=1, retry_after=Seconds(0.2))
            controller.accept(Change(puts=(TermsEntry("class=news", terms),)))
            await dispatcher.until_version(2)
            await receivers.by_name["n1"].stop()
            response = await asyncio.gather(dispatcher.submit("m1"), return_exceptions=True)
            assert response[0] == b"OK" or "BUSY" in str(response[0]) or "ERR" in str(response[0])
            await controller.stop()

    run(scenario())


# A dispatcher without a controller


REPLICATION_MODULES = ("laureldock.replication", "laureldock.controller", "laureldock.sources.controlled",
                       "laureldock.setup.catalog", "laureldock.setup.changes")  # fmt: skip


def imported(log: str) -> set[str]:
    """Modules of laureldock in the output of Python's import profiler."""
    lines = (line.rpartition("|")[2].strip() for line in log.splitlines() if line.startswith("import time:"))
    return {name for name in lines if name.startswith("laureldock")}


def test_a_dispatcher_without_a_controller_imports_no_replication_modules(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")

    async def scenario() -> None:
        async with daemon(tmp_path, NAMES) as dispatcher:
            assert await dispatcher.submit("m1") == b"OK"
            dispatcher.write_configuration(without="n2")
            dispatcher.reload()
            await dispatcher.wait_for_counter("configurations_read", 1)
            assert not [name for name in await dispatcher.counters() if name.startswith("configuration_")]
            names = imported((tmp_path / "log").read_text())
            assert "laureldock.assembly" in names
            assert not [name for name in names if name.startswith(REPLICATION_MODULES)]

    run(scenario())


def test_a_dispatcher_on_its_platform_imports_no_replication_modules(
    tmp_path: Path, platform: Any, capfd: pytest.CaptureFixture[str]
) -> None:
    process = Process(tmp_path, platform, {"PYTHONPROFILEIMPORTTIME": "1"})
    try:
        assert process.put("m1", "news", "quick") == b"+OK\r\n"
        process.child.send_signal(signal.SIGHUP)
        deadline = time.monotonic() + 10
        while b"configurations_read:1" not in (info := process.ask(b"INFO\r\n")):
            assert time.monotonic() < deadline
            time.sleep(0.05)
        assert b"configuration_" not in info
        process.child.terminate()
        process.child.wait(10)
    finally:
        process.child.kill()
    names = imported(capfd.readouterr().err)
    assert "laureldock.assembly" in names
    assert not [name for name in names if name.startswith(REPLICATION_MODULES)]


def test_a_dispatcher_with_a_controller_imports_the_replication_modules(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Verifies that the checks above can detect an import."""
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")

    async def scenario() -> None:
        async with one_follower(tmp_path, NAMES) as (_, _, dispatcher):
            assert "laureldock.replication.subscriber" in imported(dispatcher.logged())

    run(scenario())
