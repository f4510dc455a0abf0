"""Golden traces: a SHA-256 digest over all datagrams, frames and events of simulated runs of fixed seeds.

A refactoring must leave the digests as they are. A change of protocol or timing changes them; update them in
the commit that makes that change, and say so there.
"""

from __future__ import annotations

import hashlib

import pytest

from laureldock.fleet.simulation import Simulation
from laureldock.fleet.view import MembershipView
from laureldock.rehearsal.fleet.script import load
from laureldock.rehearsal.fleet.simulated import SimulatedRun

GOLDEN_DIGESTS = {
    "halves": "518c9b8964a25132079668d6c2b5ee2abba43e105991f530a63e61f9b66c7c3e",
    "lossy": "5904649c11352231a7a67fcf703cfa6cd2a65ce0d1d13f6dc97f63514c089e06",
    "rolling": "e7de060342c515184b762711ce724ee542d6e7d9d9b026402ed3482858d9e14b",
    "stalls": "039afc75b862f2ee391d37e5121f1ec5bdfb3a69f72d3d7605b01f7a8fb36d5e",
    "twins": "e3f1ef29c3b07076ea00cf5d8352b0c4a013fcde7195beba427a264c04c448e2",
    "worse": "f223f7e736885fcb105e5e7a7354da4b2617f513d95f3130248bf4ab3e963d6d",
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
