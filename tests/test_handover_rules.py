"""Rules and limits across a handover: two real processes, checked by the receivers' records alone."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest
from handover import KEY_COOLDOWN, handover_rig, run

from laureldock.rehearsal.rule_checks import ACCEPTED
from laureldock.rehearsal.stub_receivers import FaultPeriod


def test_a_message_accepted_right_after_one_of_its_key_by_the_other_process_waits(tmp_path: Path) -> None:
    """The reported messages were 31 to 38 ms apart; here they are as close as the reply allows."""

    async def scenario() -> None:
        async with handover_rig(tmp_path) as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            next_process = await rig.launch()
            await rig.connect(next_process)
            for index in range(6):
                first, second = (previous, next_process) if index % 2 else (next_process, previous)
                assert await rig.submit(first, f"a{index}", f"k{index}") == ACCEPTED
                assert await rig.submit(second, f"b{index}", f"k{index}") == ACCEPTED
            names = [f"{part}{index}" for index in range(6) for part in "ab"]
            await rig.wait_delivered(*names)
            assert not rig.violations(), rig.details(rig.violations())
            assert "invariant violated" not in rig.log

    run(scenario())


def test_a_message_whose_predecessor_waits_for_its_window_waits_too(tmp_path: Path) -> None:
    """The first had been in the previous process's file for half a second when the second was sent."""

    async def scenario() -> None:
        async with handover_rig(tmp_path, {"n1": "north"}, call_time=0.4) as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            next_process = await rig.launch()
            await rig.connect(next_process)
            # The window of a destination is one at first.
            for process, name in ((previous, "f0"), (next_process, "f1"), (previous, "f2")):
                assert await rig.submit(process, name, queue_class="notice") == ACCEPTED
            assert await rig.submit(previous, "m1", "k") == ACCEPTED
            assert await rig.submit(next_process, "m2", "k") == ACCEPTED
            await rig.wait_delivered("m1", "m2")
            assert not rig.violations("order"), (rig.violations(), rig.calls("m1"), rig.calls("m2"))

    run(scenario())


def test_a_key_cools_down_after_a_call_that_a_kill_interrupted(tmp_path: Path) -> None:
    """The call may still run; the next message of its key waits as after a reset."""

    async def scenario() -> None:
        async with handover_rig(tmp_path, call_time=0.25) as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            next_process = await rig.launch()
            await rig.connect(next_process)
            assert await rig.submit(previous, "m1", "k") == ACCEPTED
            assert await rig.submit(next_process, "m2", "k") == ACCEPTED
            while not rig.calls("m1"):
                await asyncio.sleep(0.005)
            previous.send_signal(signal.SIGKILL)
            await previous.wait_ended()
            await rig.wait_delivered("m1", "m2")
            broken_at = rig.calls("m1")[0][1]
            assert rig.calls("m1")[0][2] == 0, "the kill came too late to break the call"
            assert not rig.violations("order"), (rig.violations(), rig.calls("m1"), rig.calls("m2"))
            assert rig.calls("m2")[0][0] >= broken_at + KEY_COOLDOWN - 0.02
            assert "invariant violated" not in rig.log

    run(scenario())


def test_the_order_of_a_key_holds_where_clients_alternate_until_the_old_process_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with handover_rig(tmp_path, call_time=0.1) as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            next_process = await rig.launch()
            await rig.connect(next_process)

            async def one_key(key: str) -> None:
                for index in range(6):
                    name = f"{key}-{index}"
                    assert await rig.submit((previous, next_process)[index % 2], name, key) == ACCEPTED

            for key in ("k1", "k2", "k3"):
                await one_key(key)
            previous.send_signal(signal.SIGTERM)
            await previous.wait_ended()
            names = [f"{key}-{index}" for key in ("k1", "k2", "k3") for index in range(6)]
            await rig.wait_delivered(*names, timeout=20)
            assert not rig.violations(), rig.details(rig.violations())
            assert "invariant violated" not in rig.log

    run(scenario())


def test_messages_queued_at_a_planned_stop_are_left_to_the_next_process(tmp_path: Path) -> None:
    """Most messages were handed back without a call, though the next process could take them over."""

    async def scenario() -> None:
        async with handover_rig(tmp_path, {"n1": "north"}, call_time=0.3, rate=4.0) as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            names = [f"m{index}" for index in range(16)]
            for name in names:
                assert await rig.submit(previous, name, queue_class="notice") == ACCEPTED
            await rig.launch()
            previous.send_signal(signal.SIGTERM)
            await previous.wait_ended()
            undelivered = rig.folder / "state" / "undelivered.jsonl"
            assert not undelivered.exists() or not undelivered.read_text()
            await rig.wait_delivered(*names, timeout=20)

    run(scenario())


def test_two_processes_together_stay_within_the_slots_of_one(tmp_path: Path) -> None:
    """Each process counted only its own calls: a message used five attempts in 15 ms on 'all slots taken'."""

    async def scenario() -> None:
        names = {f"n{index}": f"d{index // 2}" for index in range(8)}
        async with handover_rig(tmp_path, names, call_time=0.25, slots=8) as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            submitted = []
            for index in range(32):
                submitted.append(f"o{index}")
                assert await rig.submit(previous, f"o{index}", "", "notice", f"d{index % 4}") == ACCEPTED
            next_process = await rig.launch()
            await rig.connect(next_process)
            for index in range(24):
                submitted.append(f"n{index}")
                assert await rig.submit(next_process, f"n{index}", "", "notice", f"d{index % 4}") == ACCEPTED
            previous.send_signal(signal.SIGTERM)
            await previous.wait_ended()
            await rig.wait_delivered(*submitted, timeout=20)
            assert 6 <= rig.max_in_flight() <= 8, rig.max_in_flight()
            assert "invariant violated" not in rig.log

    run(scenario())


@pytest.mark.parametrize("names", [{"n1": "north"}, {"n1": "north", "n2": "north"}], ids=["route", "routes"])
def test_two_processes_together_stay_within_the_window_of_a_receiver(
    tmp_path: Path, names: dict[str, str]
) -> None:
    """The window is set by operators; each process used to apply it to its own calls only."""

    async def scenario() -> None:
        async with handover_rig(tmp_path, names, call_time=0.2, limits="window = 4\n") as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            next_process = await rig.launch()
            await rig.connect(next_process)
            submitted = []
            for index in range(48):
                submitted.append(f"m{index}")
                assert (
                    await rig.submit((previous, next_process)[index % 2], f"m{index}", "", "notice")
                    == ACCEPTED
                )
            await asyncio.sleep(1.0)
            previous.send_signal(signal.SIGTERM)
            await previous.wait_ended()
            await rig.wait_delivered(*submitted, timeout=20)
            assert rig.max_in_flight() == 4
            assert "invariant violated" not in rig.log

    run(scenario())


def test_a_receiver_that_recovers_during_a_handover_is_not_overloaded(tmp_path: Path) -> None:
    """The next process did not know of the outage that the previous one had seen."""

    async def scenario() -> None:
        async with handover_rig(tmp_path, {"n1": "north"}, call_time=0.02, rate=20.0) as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            receiver = rig.receivers["n1"]
            began = time.time()
            receiver.started_at = began
            receiver.faults.append(FaultPeriod("down", 0.5, 3.0))
            outage = asyncio.create_task(receiver.run())
            accepting = previous
            for index in range(90):
                await asyncio.sleep(max(0.0, began + index / 15 - time.time()))
                if index == 30:
                    next_process = await rig.launch()
                    await rig.connect(next_process)
                # The receiver has recovered; the next process knows of the outage only from the previous one.
                if index == 50 and outage.done():
                    previous.send_signal(signal.SIGTERM)
                    accepting = next_process
                assert await rig.submit(accepting, f"m{index}", "", "notice") == ACCEPTED
            assert accepting is next_process
            await rig.wait_delivered(*(f"m{index}" for index in range(90)), timeout=20)
            assert rig.record.slow_starts and not rig.violations("returning"), rig.violations()

    run(scenario())


def test_an_id_submitted_again_to_the_other_process_is_sent_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with handover_rig(tmp_path, call_time=0.3) as rig:
            previous = await rig.launch()
            await rig.connect(previous)
            next_process = await rig.launch()
            await rig.connect(next_process)
            assert await rig.submit(previous, "m1", "k") == ACCEPTED
            assert await rig.submit(next_process, "m1", "k") == "-ERR"
            await rig.wait_delivered("m1")
            assert (
                await rig.submit(next_process, "m1", "k") == "-ERR"
            )  # it finished a moment ago in the previous process
            await asyncio.sleep(0.5)
            assert len(rig.calls("m1")) == 1

    run(scenario())
