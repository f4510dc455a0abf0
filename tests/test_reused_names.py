"""Endpoints that come up under the id or at the address of another one that has gone."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from drivers import InMemoryDispatcher
from memory_rig import MemoryRig, memory_rig

from laureldock.rehearsal.soak.clients import command
from laureldock.rehearsal.soak.discovery import Endpoint
from laureldock.rehearsal.stub_receivers import StubReceiver

GRACE = 1.0  # seconds after a change in which calls of before may still arrive; the platform allows 0.5
GONE = "Gone"


async def submit_steadily(rig: MemoryRig, until: float) -> None:
    """Messages for destinations 1 and 2 in turn, each with the destination in its id."""
    reader, writer = await asyncio.open_connection(*rig.address)
    number = 0
    while time.monotonic() < until:
        destination = 1 + number % 2
        name, fields = b"d%d-%d" % (destination, number), b"c=notice,d=8000,dest=%d" % destination
        writer.write(command(b"MSG.PUT", b"0", name, fields, b"x"))
        await reader.readline()
        number += 1
        await asyncio.sleep(0.005)
    writer.close()


@pytest.mark.parametrize("form", ["same id", "new id, told last", "new id, told first"])
def test_an_endpoint_that_takes_the_place_of_another_gets_no_calls_of_its_destination(
    tmp_path: Path, form: str
) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, 96) as rig:
            moving = StubReceiver("moving", "1", rig.record, 3, rate=400.0, call_time=0.02)
            await moving.start(time.time())
            old = Endpoint("e1", moving.port, 1, 400.0)
            rig.discovery.put(old, Endpoint("other", rig.receiver.port, 2, 400.0))
            await rig.launch()
            load = asyncio.create_task(submit_steadily(rig, time.monotonic() + 5.0))
            await asyncio.sleep(1.5)
            if form == "same id":
                rig.discovery.put(Endpoint("e1", moving.port, 2, 400.0))
            else:
                gone, new = Endpoint("e1", moving.port, 1, 400.0, GONE), Endpoint("e2", moving.port, 2, 400.0)
                rig.discovery.put(*((gone, new) if form.endswith("last") else (new, gone)))
            changed_at = time.time()
            await load
            calls = [call for call in rig.record.calls if call.receiver == "moving"]
            before = {call.message[:2] for call in calls if call.first_byte_at < changed_at}
            after = {call.message[:2] for call in calls if call.first_byte_at > changed_at + GRACE}
            assert before == {"d1"}
            assert after == {"d2"}
            await moving.stop()

    asyncio.run(play())


def moved_list(seq: int) -> dict[str, object]:
    """The endpoint r1 at the address of port 2."""
    update = InMemoryDispatcher.endpoint_list("1", seq=seq, full=False)
    return {**update, "hosts": [{**update["hosts"][0], "dial": "127.0.0.2:2"}]}


def test_a_call_that_connects_while_its_route_moves_goes_to_the_new_address(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.not_connecting = {"1"}
    client = dispatcher.connect_client()
    dispatcher.put(client, "a")
    dispatcher.send_list(dispatcher.waiting_connection("list"), moved_list(2))
    dispatcher.not_connecting = set()
    dispatcher.process_events()
    assert dispatcher.waiting_connection("2")
    assert not [line for line in dispatcher.lines if "-> 1: POST" in line]


def test_a_connection_to_a_former_address_carries_no_further_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    client = dispatcher.connect_client()
    dispatcher.put(client, "a")
    dispatcher.send_list(dispatcher.waiting_connection("list"), moved_list(2))
    dispatcher.process_events()
    dispatcher.respond("1", "200 OK")  # of the call that was out at the former address
    dispatcher.rest()
    dispatcher.put(client, "b")
    assert dispatcher.waiting_connection("2")
