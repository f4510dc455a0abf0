"""Total load of many dispatchers on a receiver that has just recovered from an outage and is cold.

    PYTHONPATH=tests python -m benchmarks.ramp [SEEDS]

The table has a row for each number of instances and for which of them observed the outage. A window is a
span of `fall_time` that begins with a call in the twelve seconds after the recovery; it is over its bound if
it has more than N + 2 x sqrt(N) + 2 calls. N is the capacity of the receiver in the window: its rate x its
warm-up level x the allowed multiple x the window. The columns are the fraction of windows over the bound, the
upper end of its 95% interval, the fraction of windows over the bound in which two thirds of the calls came
from instances that had observed the outage, the mean of calls over N, and the ratio of messages served to
messages handed in since the recovery. With `restart`, every second instance restarts at the recovery without
any knowledge. This program does not judge the result.
"""

from __future__ import annotations

import sys
import zlib
from math import sqrt

from drivers import PolicyDriver

RATE, START_CAPACITY, WARM_TIME, MULTIPLE, FALL_TIME = 10.0, 0.2, 10.0, 2.0, 3.0
FAILS_AT, RECOVERS_AT, ENDS_AT = 4.0, 12.0, 26.0
SIZES = (2, 3, 8, 9, 20, 30, 40, 200)
OBSERVERS = {"all": 1.0, "half": 0.5, "one": 0.0}


def pseudo_random(*words: object) -> float:
    return zlib.crc32(":".join(map(str, words)).encode()) / 2**32


def capacity_between(start: float, end: float) -> float:
    """Calls that the receiver can take between two times, counted from its recovery."""

    def capacity_until(at: float) -> float:
        warm = min(at, WARM_TIME)
        return (
            START_CAPACITY * warm
            + (1 - START_CAPACITY) * warm * warm / (2 * WARM_TIME)
            + max(0.0, at - WARM_TIME)
        )

    return MULTIPLE * RATE * (capacity_until(end) - capacity_until(max(0.0, start)))


def play(size: int, observers: str, seed: int, restart: bool = False) -> tuple[int, int, int, float, float]:
    """Windows, those over the bound, those of them due to observers, calls over N, fraction served."""
    drivers = [fresh(size, seed, number) for number in range(size)]
    # Whether an instance receives messages before the recovery.
    informed = [number <= OBSERVERS[observers] * size for number in range(size)]
    observed = [False] * size
    sent: list[tuple[float, bool]] = []
    offered = served = 0
    step, now = 0.05, 0.0
    while now < ENDS_AT:
        down = FAILS_AT <= now < RECOVERS_AT
        if restart and abs(now - RECOVERS_AT) < step / 2:
            for number in range(0, size, 2):
                drivers[number], observed[number] = fresh(size, seed + 1000, number), False
        for source in range(2):  # 0.8 of the limit, half of it on a tenth of the instances
            if pseudo_random(seed, now, source) < 0.8 * RATE * step / 2:
                draw = pseudo_random(seed, now, source, "who")
                subset = max(1, size // 10)
                who = int(draw * 2 * subset) if draw < 0.5 else int((draw - 0.5) * 2 * size)
                if now >= RECOVERS_AT or informed[who]:
                    drivers[who].accept(f"m{now:.2f}/{source}", "redeliverable", lifetime=20.0)
                    offered += now >= RECOVERS_AT
        for number, driver in enumerate(drivers):
            driver.advance(step)
            for name, attempt in sorted(driver.attempts.items()):
                started_at = driver.attempt_started_at.setdefault(attempt, now)
                if started_at == now and now >= RECOVERS_AT:
                    sent.append((now, observed[number]))
                if down and now - started_at < 1.5:
                    continue
                observed[number] = observed[number] or down
                served += not down and now >= RECOVERS_AT
                driver.end_attempt(name, "no connection" if down else "served", duration=1.5 if down else 0.1)
        now += step
    windows = over = due_to_observers = 0
    total = 0.0
    for index, (at, _) in enumerate(sent):
        if at > RECOVERS_AT + 12:
            break
        inside = [observer for other, observer in sent[index:] if other < at + FALL_TIME]
        n = capacity_between(at - RECOVERS_AT, at - RECOVERS_AT + FALL_TIME)
        windows, total = windows + 1, total + len(inside) / n
        if len(inside) > n + 2 * sqrt(n) + 2:
            over += 1
            due_to_observers += sum(inside) > 2 / 3 * len(inside)
    return windows, over, due_to_observers, total / max(1, windows), served / max(1, offered)


def fresh(size: int, seed: int, number: int) -> PolicyDriver:
    changes = {
        "start_capacity": START_CAPACITY,
        "tip_multiple": MULTIPLE,
        "fall_time": FALL_TIME,
        "warm_time": WARM_TIME,
    }
    driver = PolicyDriver(
        instances=size, seed=seed * 1000 + number, connect_timeout=1.5, max_attempts=9, **changes
    )
    driver.update_list("north/1", rate=RATE)
    driver.update_list(*(f"other/{index}" for index in range(20)))
    return driver


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    print("instances  seen by  restart  windows  over  95% at most  due to observers      calls/N  served")
    for size in SIZES:
        for observers in OBSERVERS:
            for restart in (False, True):
                runs = [play(size, observers, seed, restart) for seed in range(seeds)]
                windows, over, due_to_observers = (sum(run[column] for run in runs) for column in range(3))
                mean, served = (sum(run[column] for run in runs) / seeds for column in (3, 4))
                fraction = over / max(1, windows)
                upper = fraction + 1.96 * sqrt(
                    max(fraction * (1 - fraction), 1 / max(1, windows)) / max(1, windows)
                )
                print(
                    f"{size:9}  {observers:>7}  {restart!s:>7}  {windows:7}  {fraction:.3f}  {upper:11.3f}"
                    f"  {due_to_observers / max(1, windows):20.3f}  {mean:7.2f}  {served:6.2f}"
                )


if __name__ == "__main__":
    main()
