"""Golden traces: a SHA-256 digest over all datagrams, frames and events of simulated runs with fixed seeds.

A refactoring must not change the digests. A change of the protocol or its timing does; update them in the
commit that makes that change, and say so there.
"""

from __future__ import annotations

import hashlib
from itertools import count

import pytest

from laureldock.fleet.probe_round import ProbeRound
from laureldock.fleet.randomness import SeededRandom
from laureldock.fleet.simulation import Simulation
from laureldock.fleet.view import MembershipView
from laureldock.rehearsal.fleet.script import load_script
from laureldock.rehearsal.fleet.simulated import SimulatedRun

GOLDEN_DIGESTS = {
    "halves": "7be2c0a7df1a2c179c95ea5bb4d2a793bd6ba8039168fd19d383baf1ae293a1e",
    "lossy": "deea81ae2d2c12524bf0d57735bb7bc5ed2b6e01b36ce693f74a1951e695c15a",
    "rolling": "47ea122899005c22171a53ebed0bdb1282784c9c975c984a70a0daa4f084e89a",
    "stalls": "a896f6f8902f87e2ef11d4d3b54f5cbc6ba65f1c17da072b886b7a7d13730242",
    "twins": "5760df44c90fd20c29e69dab543ae87b219f7400b022cd3b66248a1129ce38a4",
    "worse": "96975a64502226fad14a5d5a5b75b923fe5fd2bf6bab9b453bd7e2e924c8efec",
}


@pytest.mark.parametrize("name", sorted(GOLDEN_DIGESTS))
def test_simulated_run_matches_golden_trace(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    digest = hashlib.sha256()
    original_send, original_first_frame, original_receive_frame = (
        Simulation.send,
        MembershipView.first_frame,
        MembershipView.receive_frame,
    )

    def recorded_send(simulation: Simulation, sender: str, address: str, data: bytes) -> None:
        digest.update(f"{sender} {address} {len(data)} ".encode() + data)
        original_send(simulation, sender, address, data)

    def recorded_first_frame(view: MembershipView, now: float) -> bytes:
        data = original_first_frame(view, now)
        digest.update(f"first frame {len(data)} ".encode() + data)
        return data

    def recorded_frame(view: MembershipView, now: float, data: bytes) -> bytes | None:
        response = original_receive_frame(view, now, data)
        digest.update(f"answer {response is None} ".encode() + (response or b""))
        return response

    monkeypatch.setattr(Simulation, "send", recorded_send)
    monkeypatch.setattr(MembershipView, "first_frame", recorded_first_frame)
    monkeypatch.setattr(MembershipView, "receive_frame", recorded_frame)
    script = load_script(name)
    script.members = 12
    run = SimulatedRun(script, seed=5)
    run.play()
    for at, by, event in run.simulation.events:
        digest.update(f"{at:.6f} {by} {event.name} {sorted(event.fields.items())}\n".encode())
    assert run.simulation.datagrams_sent > 100
    assert digest.hexdigest() == GOLDEN_DIGESTS[name]


def test_members_with_equal_counters_probe_in_different_orders() -> None:
    """Such members used to probe in the same order, so that all probed the same member in each period."""
    names = [f"d{number}" for number in range(50)]
    orders = [SeededRandom(7, name, count(1)).shuffled(names) for name in names]
    assert len({tuple(order) for order in orders}) == len(orders)
    assert len({order[0] for order in orders}) > 20


def periods_until_suspected(size: int, seed: int) -> float:
    """Return the periods from a crash, three periods after the member joined, to its first suspicion."""
    names = {f"d{number}": f"zone{number % 3}" for number in range(size)}
    simulation = Simulation({**names, "joiner": "zone0"}, seed=seed)
    for name in names:
        simulation.start(name)
    simulation.run(40.0 + size)
    simulation.start("joiner")
    simulation.run(simulation.now + 3.0)
    simulation.kill("joiner")
    crashed_at = simulation.now
    simulation.run(crashed_at + 10.0)
    times = [at for at, _, event in simulation.events if (event.name, event.fields["member"]) == SUSPECTED]
    return min((at for at in times if at >= crashed_at), default=float("inf")) - crashed_at


SUSPECTED = ("suspected", "joiner")


@pytest.mark.parametrize("size", [20, 60])
def test_a_member_that_crashes_soon_after_joining_is_suspected_without_delay(size: int) -> None:
    """It used to be probed from the next round only: after 14 to 16 periods of 20 members, up to 18 of 60."""
    assert max(periods_until_suspected(size, seed) for seed in range(5)) < 8.0


def test_a_member_occurs_once_per_round_however_often_it_returns() -> None:
    probe_round = ProbeRound(SeededRandom(7, "d0", count(1)))
    probe_round.add("early")
    assert probe_round.take() is None  # no round is in progress
    probe_round.begin(["d1", "d2"])
    for _ in range(100):
        probe_round.add("d3")
        probe_round.add("d1")
    assert sorted(iter(probe_round.take, None)) == ["d1", "d2", "d3"]
