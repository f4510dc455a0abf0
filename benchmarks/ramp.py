"""What many decision modules send, in sum, to a receiver that is back after an outage and cold.

    PYTHONPATH=tests python -m benchmarks.ramp [SEEDS]

For each number of instances, and for who saw the outage: of the windows of `fall_time` that begin with a
call in the twelve seconds after the return, the share that has more than N + 2 x root of N + 2 calls, and
the upper end of its interval. N is what the receiver bears then: its rate x its warmth x the multiple x
the window. Then the share of windows over it of which two thirds came from instances that had seen it
fail, the mean of calls over N, and what was served over what was handed in, since the return. With
`restart` every second instance starts anew at the return and knows nothing. Nothing here decides whether
that is enough.
"""

from __future__ import annotations

import sys
import zlib
from math import sqrt

from dock import Dock

RATE, START, WARM, MULTIPLE, SPAN = 10.0, 0.2, 10.0, 2.0, 3.0
FAILS, BACK, ENDS = 4.0, 12.0, 26.0
SIZES = (2, 3, 8, 9, 20, 30, 40, 200)
SEEN = {"all": 1.0, "half": 0.5, "one": 0.0}


def chance(*words: object) -> float:
    return zlib.crc32(":".join(map(str, words)).encode()) / 2**32


def bears(start: float, end: float) -> float:
    """Calls that the receiver bears between the two, counted from its return."""

    def upto(at: float) -> float:
        warm = min(at, WARM)
        return START * warm + (1 - START) * warm * warm / (2 * WARM) + max(0.0, at - WARM)

    return MULTIPLE * RATE * (upto(end) - upto(max(0.0, start)))


def play(size: int, seen: str, seed: int, restart: bool = False) -> tuple[int, int, int, float, float]:
    """Windows, those over the bound, those of them by instances that saw the outage, calls over N, served."""
    docks = [fresh(size, seed, number) for number in range(size)]
    knew = [number <= SEEN[seen] * size for number in range(size)]  # gets mails before the return
    saw = [False] * size
    sent: list[tuple[float, bool]] = []
    offered = served = 0
    step, now = 0.05, 0.0
    while now < ENDS:
        down = FAILS <= now < BACK
        if restart and abs(now - BACK) < step / 2:
            for number in range(0, size, 2):
                docks[number], saw[number] = fresh(size, seed + 1000, number), False
        for place in range(2):  # 0.8 of the limit, spread unevenly: half of it over a tenth of the instances
            if chance(seed, now, place) < 0.8 * RATE * step / 2:
                lot = chance(seed, now, place, "who")
                few = max(1, size // 10)
                who = int(lot * 2 * few) if lot < 0.5 else int((lot - 0.5) * 2 * size)
                if now >= BACK or knew[who]:
                    docks[who].mail(f"m{now:.2f}/{place}", "redeliverable", left=20.0)
                    offered += now >= BACK
        for number, dock in enumerate(docks):
            dock.after(step)
            for name, attempt in sorted(dock.out.items()):
                due = dock.calls.setdefault(attempt, now)
                if due == now and now >= BACK:
                    sent.append((now, saw[number]))
                if down and now - due < 1.5:
                    continue
                saw[number] = saw[number] or down
                served += not down and now >= BACK
                dock.end(name, "no connection" if down else "served", took=1.5 if down else 0.1)
        now += step
    windows = over = by_those = 0
    total = 0.0
    for index, (at, _) in enumerate(sent):
        if at > BACK + 12:
            break
        inside = [saw_it for other, saw_it in sent[index:] if other < at + SPAN]
        n = bears(at - BACK, at - BACK + SPAN)
        windows, total = windows + 1, total + len(inside) / n
        if len(inside) > n + 2 * sqrt(n) + 2:
            over += 1
            by_those += sum(inside) > 2 / 3 * len(inside)
    return windows, over, by_those, total / max(1, windows), served / max(1, offered)


def fresh(size: int, seed: int, number: int) -> Dock:
    changes = {"start_capacity": START, "tip_multiple": MULTIPLE, "fall_time": SPAN, "warm_time": WARM}
    dock = Dock(instances=size, seed=seed * 1000 + number, connect_timeout=1.5, max_attempts=9, **changes)
    dock.listed("north/1", rate=RATE)
    dock.listed(*(f"other/{place}" for place in range(20)))
    return dock


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    print("instances  seen by  restart  windows  over  95% at most  by those that saw it  calls/N  served")
    for size in SIZES:
        for seen in SEEN:
            for restart in (False, True):
                runs = [play(size, seen, seed, restart) for seed in range(seeds)]
                windows, over, those = (sum(run[place] for run in runs) for place in range(3))
                mean, served = (sum(run[place] for run in runs) / seeds for place in (3, 4))
                part = over / max(1, windows)
                most = part + 1.96 * sqrt(max(part * (1 - part), 1 / max(1, windows)) / max(1, windows))
                print(
                    f"{size:9}  {seen:>7}  {restart!s:>7}  {windows:7}  {part:.3f}  {most:11.3f}"
                    f"  {those / max(1, windows):20.3f}  {mean:7.2f}  {served:6.2f}"
                )


if __name__ == "__main__":
    main()
