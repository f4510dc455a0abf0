"""Golden traces: a SHA-256 digest over all datagrams, frames and events of simulated runs of fixed seeds.

A refactoring must leave the digests as they are. A change of protocol or timing changes them; update them in
the commit that makes that change, and say so there.
"""

from __future__ import annotations

import hashlib
from itertools import count

import pytest

from laureldock.fleet.randomness import SeededRandom
from laureldock.fleet.simulation import Simulation
from laureldock.fleet.view import MembershipView
from laureldock.rehearsal.fleet.script import load
from laureldock.rehearsal.fleet.simulated import SimulatedRun

GOLDEN_DIGESTS = {
    "halves": "32c6dfa52e3902baaa556b0ef70bc95fb6e34113e2f03432f82edc2407eef729",
    "lossy": "deea81ae2d2c12524bf0d57735bb7bc5ed2b6e01b36ce693f74a1951e695c15a",
    "rolling": "c8e28e64b7e2eab5c2f80b798e34d009b101a65a81df3d70d77cde1accc61e32",
    "stalls": "93be52c9a5afb6f2f1b46860cdb210d89e45148cafcf647692715113d4fe3e42",
    "twins": "5760df44c90fd20c29e69dab543ae87b219f7400b022cd3b66248a1129ce38a4",
    "worse": "96975a64502226fad14a5d5a5b75b923fe5fd2bf6bab9b453bd7e2e924c8efec",
}


@pytest.mark.parametrize("name", sorted(GOLDEN_DIGESTS))
def test_simulated_run_matches_golden_trace(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    digest = hashlib.sha256()
    send, begin, frame = Simulation.send, MembershipView.first_frame, MembershipView.receive_frame

    def recorded_send(simulation: Simulation, sender: str, address: str, data: bytes) -> None:
        digest.update(f"{sender} {address} {len(data)} ".encode() + data)
        send(simulation, sender, address, data)

    def recorded_begin(view: MembershipView, now: float) -> bytes:
        data = begin(view, now)
        digest.update(f"first frame {len(data)} ".encode() + data)
        return data

    def recorded_frame(view: MembershipView, now: float, data: bytes) -> bytes | None:
        answer = frame(view, now, data)
        digest.update(f"answer {answer is None} ".encode() + (answer or b""))
        return answer

    monkeypatch.setattr(Simulation, "send", recorded_send)
    monkeypatch.setattr(MembershipView, "first_frame", recorded_begin)
    monkeypatch.setattr(MembershipView, "receive_frame", recorded_frame)
    script = load(name)
    script.members = 12
    run = SimulatedRun(script, seed=5)
    run.play()
    for at, by, event in run.simulation.events:
        digest.update(f"{at:.6f} {by} {event.name} {sorted(event.fields.items())}\n".encode())
    assert run.simulation.datagrams_sent > 100
    assert digest.hexdigest() == GOLDEN_DIGESTS[name]


def test_members_whose_counters_are_equal_probe_in_orders_of_their_own() -> None:
    """They went through the fleet in step, and all of a period probed one and the same member."""
    names = [f"d{number}" for number in range(50)]
    orders = [SeededRandom(7, name, count(1)).shuffled(names) for name in names]
    assert len({tuple(order) for order in orders}) == len(orders)
    assert len({order[0] for order in orders}) > 20
