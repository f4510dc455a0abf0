"""Rules and limits across a hand-over: two real processes, judged by the receivers' records alone."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest
from handover import KEY_REST, hand_over, run

from laureldock.rehearsal.rule_checks import TAKEN
from laureldock.rehearsal.stub_receivers import Fault


def test_a_message_accepted_right_after_one_of_its_key_by_the_other_process_waits(tmp_path: Path) -> None:
    """31 to 38 ms apart in the report; here as close as the reply allows."""

    async def scenario() -> None:
        async with hand_over(tmp_path) as rig:
            old = await rig.launch()
            await rig.connect(old)
            new = await rig.launch()
            await rig.connect(new)
            for place in range(6):
                first, then = (old, new) if place % 2 else (new, old)
                assert await rig.put(first, f"a{place}", f"k{place}") == TAKEN
                assert await rig.put(then, f"b{place}", f"k{place}") == TAKEN
            names = [f"{part}{place}" for place in range(6) for part in "ab"]
            await rig.until_delivered(*names)
            assert not rig.broken(), rig.details(rig.broken())
            assert "invariant violated" not in rig.log

    run(scenario())


def test_a_message_whose_predecessor_waits_for_its_window_waits_too(tmp_path: Path) -> None:
    """The first was in the old process's file for half a second when the second was called."""

    async def scenario() -> None:
        async with hand_over(tmp_path, {"n1": "north"}, pace=0.4) as rig:
            old = await rig.launch()
            await rig.connect(old)
            new = await rig.launch()
            await rig.connect(new)
            for process, name in (
                (old, "f0"),
                (new, "f1"),
                (old, "f2"),
            ):  # a destination's window is one at first
                assert await rig.put(process, name, queue_class="notice") == TAKEN
            assert await rig.put(old, "m1", "k") == TAKEN
            assert await rig.put(new, "m2", "k") == TAKEN
            await rig.until_delivered("m1", "m2")
            assert not rig.broken("order"), (rig.broken(), rig.calls("m1"), rig.calls("m2"))

    run(scenario())


def test_a_key_rests_after_a_call_that_a_kill_has_broken(tmp_path: Path) -> None:
    """The call may still run; what comes next of its key waits as after a reset."""

    async def scenario() -> None:
        async with hand_over(tmp_path, pace=0.25) as rig:
            old = await rig.launch()
            await rig.connect(old)
            new = await rig.launch()
            await rig.connect(new)
            assert await rig.put(old, "m1", "k") == TAKEN
            assert await rig.put(new, "m2", "k") == TAKEN
            while not rig.calls("m1"):
                await asyncio.sleep(0.005)
            old.send(signal.SIGKILL)
            await old.ended()
            await rig.until_delivered("m1", "m2")
            broken_at = rig.calls("m1")[0][1]
            assert rig.calls("m1")[0][2] == 0, "the kill came too late to break the call"
            assert not rig.broken("order"), (rig.broken(), rig.calls("m1"), rig.calls("m2"))
            assert rig.calls("m2")[0][0] >= broken_at + KEY_REST - 0.02
            assert "invariant violated" not in rig.log

    run(scenario())


def test_the_order_of_a_key_holds_where_clients_alternate_until_the_old_process_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with hand_over(tmp_path, pace=0.1) as rig:
            old = await rig.launch()
            await rig.connect(old)
            new = await rig.launch()
            await rig.connect(new)

            async def one_key(key: str) -> None:
                for place in range(6):
                    name = f"{key}-{place}"
                    assert await rig.put((old, new)[place % 2], name, key) == TAKEN

            for key in ("k1", "k2", "k3"):
                await one_key(key)
            old.send(signal.SIGTERM)
            await old.ended()
            names = [f"{key}-{place}" for key in ("k1", "k2", "k3") for place in range(6)]
            await rig.until_delivered(*names, within=20)
            assert not rig.broken(), rig.details(rig.broken())
            assert "invariant violated" not in rig.log

    run(scenario())


def test_what_waits_at_a_planned_stop_is_left_to_the_next_process(tmp_path: Path) -> None:
    """Most of it was handed back with no call, though the next process was there to take it over."""

    async def scenario() -> None:
        async with hand_over(tmp_path, {"n1": "north"}, pace=0.3, rate=4.0) as rig:
            old = await rig.launch()
            await rig.connect(old)
            names = [f"m{place}" for place in range(16)]
            for name in names:
                assert await rig.put(old, name, queue_class="notice") == TAKEN
            await rig.launch()
            old.send(signal.SIGTERM)
            await old.ended()
            undelivered = rig.folder / "state" / "undelivered.jsonl"
            assert not undelivered.exists() or not undelivered.read_text()
            await rig.until_delivered(*names, within=20)

    run(scenario())


def test_two_processes_have_no_more_calls_out_than_one_may(tmp_path: Path) -> None:
    """Five attempts of a message went in 15 ms on 'all slots taken', since each counted its own alone."""

    async def scenario() -> None:
        names = {f"n{place}": f"d{place // 2}" for place in range(8)}
        async with hand_over(tmp_path, names, pace=0.25, slots=8) as rig:
            old = await rig.launch()
            await rig.connect(old)
            handed = []
            for place in range(32):
                handed.append(f"o{place}")
                assert await rig.put(old, f"o{place}", "", "notice", f"d{place % 4}") == TAKEN
            new = await rig.launch()
            await rig.connect(new)
            for place in range(24):
                handed.append(f"n{place}")
                assert await rig.put(new, f"n{place}", "", "notice", f"d{place % 4}") == TAKEN
            old.send(signal.SIGTERM)
            await old.ended()
            await rig.until_delivered(*handed, within=20)
            assert 6 <= rig.most_out() <= 8, rig.most_out()
            assert "invariant violated" not in rig.log

    run(scenario())


@pytest.mark.parametrize("names", [{"n1": "north"}, {"n1": "north", "n2": "north"}], ids=["route", "routes"])
def test_two_processes_have_no_more_calls_out_to_a_receiver_than_its_window(
    tmp_path: Path, names: dict[str, str]
) -> None:
    """As operators set it: each process once had a window of its own."""

    async def scenario() -> None:
        async with hand_over(tmp_path, names, pace=0.2, limits="window = 4\n") as rig:
            old = await rig.launch()
            await rig.connect(old)
            new = await rig.launch()
            await rig.connect(new)
            handed = []
            for place in range(48):
                handed.append(f"m{place}")
                assert await rig.put((old, new)[place % 2], f"m{place}", "", "notice") == TAKEN
            await asyncio.sleep(1.0)
            old.send(signal.SIGTERM)
            await old.ended()
            await rig.until_delivered(*handed, within=20)
            assert rig.most_out() == 4
            assert "invariant violated" not in rig.log

    run(scenario())


def test_a_receiver_that_returns_during_a_hand_over_is_not_pushed_over(tmp_path: Path) -> None:
    """The next process knew nothing of the outage that the last one had seen."""

    async def scenario() -> None:
        async with hand_over(tmp_path, {"n1": "north"}, pace=0.02, rate=20.0) as rig:
            old = await rig.launch()
            await rig.connect(old)
            receiver = rig.receivers["n1"]
            began = time.time()
            receiver.began = began
            receiver.faults.append(Fault("down", 0.5, 3.0))
            outage = asyncio.create_task(receiver.run())
            taking = old
            for place in range(90):
                await asyncio.sleep(max(0.0, began + place / 15 - time.time()))
                if place == 30:
                    new = await rig.launch()
                    await rig.connect(new)
                if place == 50 and outage.done():  # it is back; what the next process has, it has been told
                    old.send(signal.SIGTERM)
                    taking = new
                assert await rig.put(taking, f"m{place}", "", "notice") == TAKEN
            assert taking is new
            await rig.until_delivered(*(f"m{place}" for place in range(90)), within=20)
            assert rig.account.colds and not rig.broken("returning"), rig.broken()

    run(scenario())


def test_an_id_that_comes_again_to_the_other_process_is_sent_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with hand_over(tmp_path, pace=0.3) as rig:
            old = await rig.launch()
            await rig.connect(old)
            new = await rig.launch()
            await rig.connect(new)
            assert await rig.put(old, "m1", "k") == TAKEN
            assert await rig.put(new, "m1", "k") == "-ERR"
            await rig.until_delivered("m1")
            assert await rig.put(new, "m1", "k") == "-ERR"  # over there, a moment ago
            await asyncio.sleep(0.5)
            assert len(rig.calls("m1")) == 1

    run(scenario())
