"""Feeds a million corrupted datagrams and frames to one membership view.

Checks that nothing is raised, that memory stays bounded and that the view still considers itself alive.

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
    records = tuple(
        MemberRecord(name, "s", f"127.0.0.1:{number}", 1000 + number, 7, number, state)
        for number, (name, state) in enumerate(
            (("me", FAILED), ("other", ALIVE), ("third", SUSPECT), ("me", SUSPECT)), start=1
        )
    )
    return [
        messages.encode(each)
        for each in (
            messages.Ping(header, 5, "me", records), messages.Ack(header, 6, records),
            messages.PingRequest(header, 7, "third", "127.0.0.1:3", records),
            messages.Nack(header, 8), messages.Gossip(header, records),
            messages.SyncDigests(header, tuple(range(64))),
            messages.SyncDifference(header, (1, 5), records), messages.SyncCompletion(header, records),
        )
    ]  # fmt: skip


def corrupted(raw: bytes, rng: random.Random) -> bytes:
    data = bytearray(raw)
    for _ in range(rng.randrange(1, 6)):
        match rng.randrange(4):
            case 0:
                data[rng.randrange(len(data))] = rng.randrange(256)
            case 1:
                del data[rng.randrange(3, len(data)) :]
            case 2:
                data[rng.randrange(len(data)) : 0] = rng.randbytes(rng.randrange(1, 9))
            case _:
                data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        if len(data) < 5:
            break
    return bytes(data)


@click.command()
@click.option("--count", default=1_000_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(count: int, seed: int) -> None:
    rng, raw, started_at = random.Random(seed), samples(), time.monotonic()
    view = MembershipView(ViewSettings("fleet", "me", "s", "127.0.0.1:1", 1_000_000, 7, max_members=256), 0.0)
    now, sent, events, frames_refused, early_peak = 0.0, 0, 0, 0, 0
    for number in range(count):
        data = corrupted(rng.choice(raw), rng)
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
            early_peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    final_peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert view.local.record.state == ALIVE and len(view.member_table.members) <= 256, view.local.record
    assert (
        view.pending_timers < 5000
        and len(view.probing.probes) < 100
        and len(view.relayed_pings.pending) <= 64
    )
    assert view.status is ViewStatus.ACTIVE
    cost = (time.monotonic() - started_at) / count * 1e6
    refused = view.counters.refused
    print(f"{count} corrupted: {refused} refused, {frames_refused} of them frames; {cost:.0f} us each")
    print(f"{len(view.member_table.members)} members known, {sent} datagrams sent, {events} events")
    print(f"peak memory {early_peak / 1000:.1f} MB after a tenth, {final_peak / 1000:.1f} MB at the end")


if __name__ == "__main__":
    main()
