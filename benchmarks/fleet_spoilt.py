"""A million spoilt datagrams and frames against one view: nothing raised, memory bounded, itself not misled.

python -m benchmarks.fleet_spoilt [--count 1000000] [--seed 1]
"""

from __future__ import annotations

import random
import resource
import time

import click

from laureldock.fleet import messages
from laureldock.fleet.effects import SendDatagram, ViewEvent
from laureldock.fleet.messages import (
    ALIVE,
    FAILED,
    SUSPECT,
    MalformedMessageError,
    MemberRecord,
    MessageHeader,
)
from laureldock.fleet.settings import ViewSettings, ViewStatus
from laureldock.fleet.view import MembershipView


def samples() -> list[bytes]:
    header = MessageHeader(
        "fleet", "other", 2000, 9, "127.0.0.1:2", 3, 12345, (messages.SiteReachability("s", 3, 2),)
    )
    told = tuple(
        MemberRecord(name, "s", f"127.0.0.1:{place}", 1000 + place, 7, place, state)
        for place, (name, state) in enumerate(
            (("me", FAILED), ("other", ALIVE), ("third", SUSPECT), ("me", SUSPECT)), start=1
        )
    )
    return [
        messages.encode(each)
        for each in (
            messages.Ping(header, 5, "me", told), messages.Ack(header, 6, told),
            messages.PingRequest(header, 7, "third", "127.0.0.1:3", told),
            messages.Nack(header, 8), messages.Gossip(header, told),
            messages.SyncDigests(header, tuple(range(64))),
            messages.SyncDifference(header, (1, 5), told), messages.SyncCompletion(header, told),
        )
    ]  # fmt: skip


def spoilt(raw: bytes, chance: random.Random) -> bytes:
    data = bytearray(raw)
    for _ in range(chance.randrange(1, 6)):
        match chance.randrange(4):
            case 0:
                data[chance.randrange(len(data))] = chance.randrange(256)
            case 1:
                del data[chance.randrange(3, len(data)) :]
            case 2:
                data[chance.randrange(len(data)) : 0] = chance.randbytes(chance.randrange(1, 9))
            case _:
                data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
        if len(data) < 5:
            break
    return bytes(data)


@click.command()
@click.option("--count", default=1_000_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(count: int, seed: int) -> None:
    chance, raw, began = random.Random(seed), samples(), time.monotonic()
    view = MembershipView(ViewSettings("fleet", "me", "s", "127.0.0.1:1", 1_000_000, 7, max_members=256), 0.0)
    now, sent, events, frames_refused, least = 0.0, 0, 0, 0, 0
    for number in range(count):
        data = spoilt(chance.choice(raw), chance)
        now += 0.001
        if number % 2:
            view.receive_datagram(now, data)
        else:
            try:
                view.receive_frame(now, data)
            except MalformedMessageError:
                frames_refused += 1
        for effect in view.advance(now):
            sent += isinstance(effect, SendDatagram)
            events += isinstance(effect, ViewEvent)
        if number == count // 10:
            least = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert view.local.record.state == ALIVE and len(view.member_table.members) <= 256, view.local.record
    assert (
        view.pending_timers < 5000
        and len(view.probing.probes) < 100
        and len(view.relayed_pings.pending) <= 64
    )
    assert view.status is ViewStatus.ACTIVE
    cost = (time.monotonic() - began) / count * 1e6
    refused = view.counters.refused
    print(f"{count} spoilt: {refused} refused, {frames_refused} of them frames; {cost:.0f} us each")
    print(f"{len(view.member_table.members)} members known, {sent} datagrams sent, {events} events")
    print(f"memory {least / 1000:.1f} MB after a tenth, {most / 1000:.1f} MB at the end")


if __name__ == "__main__":
    main()
