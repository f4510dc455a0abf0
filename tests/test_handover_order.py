"""Order across a hand-over: two processes of one dispatcher, judged by the records of the receivers alone."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from handover import KEY_REST, hand_over, run

from laureldock.rehearsal.account import TAKEN


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
            assert not rig.broken(), (rig.broken(), [(name, rig.calls(name)) for name in names])
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
            assert not rig.broken(), (rig.broken(), [(name, rig.calls(name)) for name in names])
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
