"""What many decision modules send, in sum, to a receiver that is back: each window against its bound."""

from __future__ import annotations

import pytest
from dock import Dock

from benchmarks import ramp

SEEDS = 3


def over(size: int, seen: str, restart: bool) -> float:
    runs = [ramp.play(size, seen, seed, restart) for seed in range(SEEDS)]
    return sum(run[1] for run in runs) / sum(run[0] for run in runs)


@pytest.mark.parametrize("restart", [False, True])
@pytest.mark.parametrize("size", [2, 3, 8, 9, 30, 40, 200])
def test_hardly_a_window_has_more_than_a_receiver_that_is_back_bears(size: int, restart: bool) -> None:
    """Of 200 each that had failed once or twice sent what waited at once: 0.18 of the windows, 0.06 of 40."""
    assert over(size, "all", restart) < 0.04


@pytest.mark.parametrize("restart", [False, True])
def test_of_twenty_that_meet_a_route_seldom_hardly_a_window_has_more(restart: bool) -> None:
    assert over(20, "all", restart) < 0.04


def test_what_is_held_back_by_it_is_served_soon_after() -> None:
    """Since the return, and with what had waited; the receiver bears no more than that sooner."""
    served = [ramp.play(200, "all", seed)[4] for seed in range(SEEDS)]
    assert min(served) > 1.3


@pytest.mark.parametrize(("ending", "cold"), [("full", False), ("error", True)])
def test_a_route_that_refused_for_a_second_is_not_cold(ending: str, cold: bool) -> None:
    """Of many that meet it often: refused on a busy calm day, it held up the mails worth least."""
    dock = Dock(instances=200, connect_time=1.5, most_attempts=9)
    dock.listed("north/1")
    ended, due = 0, dock.now
    for step in range(200):  # ten seconds, ten mails a second; two fail 0.8 s apart, the next is served
        if step % 2 == 0:
            dock.mail(f"m{step}", "redeliverable", left=30.0)
        dock.after(0.05)
        for name in sorted(dock.out)[:1] if ended < 3 and dock.now >= due else ():
            ended, due = ended + 1, dock.now + 0.8
            dock.end(name, ending if ended < 3 else "served")
        if ended == 3:
            break
    lane = dock.routes["north/1"].notes
    assert any("served" in line for line in dock.lines)
    assert (dock.control.slow_start(dock.now, lane) < 1) == cold
