"""Cost of the membership view by fleet size: hundreds of simulated members, dozens of processes."""

from __future__ import annotations

import multiprocessing
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from itertools import count
from pathlib import Path

from benchmarks.slopes.model import Experiment, SlopeDefinition, Values
from benchmarks.slopes.process import DispatcherProcess, endpoint, free_port, resident_bytes
from laureldock.fleet.simulation import Simulation

MODEL_SIZES = [50, 100, 200, 400]
START_SIZES = [100, 200, 400, 800]
PROCESS_SIZES = [4, 8, 16, 32]
ZONES = 15
MEASURED_PERIODS = 10.0  # periods that are measured after a change
SETTLE_PERIODS = 20.0  # periods between two changes, so that the cost of one is not counted for the next
SHARES = {"1%": 0.01, "10%": 0.1, "100%": 1.0}
seeds = count(1)  # a new one for each run, to show the spread of the simulation
JOIN_SECONDS, MEASURED_SECONDS = 8.0, 10.0

FLEET = """\
[fleet]
name = "slopes"
listen = "127.0.0.1:{port}"
seeds = ["127.0.0.1:{seed}"]
site = "zone{zone}"
"""


def measure_change(
    simulation: Simulation, members: int, change: Callable[[], None]
) -> tuple[float, float, float]:
    """Bytes, messages and CPU seconds per member and period, in the periods after a change."""
    messages, size, used = simulation.datagrams_sent, simulation.bytes_sent, time.process_time()
    change()
    simulation.run(simulation.now + MEASURED_PERIODS)
    each = members * MEASURED_PERIODS
    return (
        (simulation.bytes_sent - size) / each,
        (simulation.datagrams_sent - messages) / each,
        (time.process_time() - used) / each,
    )


def names(prefix: str, count: int) -> list[str]:
    return [f"{prefix}{number}" for number in range(count)]


def simulate(size: int, seed: int) -> Values:
    """Simulate a common start and a quiet time, then failure, return and join of fractions of the members."""
    found: Values = {}

    def record(name: str, costs: tuple[float, float, float]) -> None:
        found.update({f"view {name}: {unit}": [value] for unit, value in zip(UNITS, costs, strict=True)})

    members = names("d", size)
    new_members = {
        share: names(f"new{share}-", max(1, round(fraction * size))) for share, fraction in SHARES.items()
    }
    all_names = [*members, *(name for share in ("1%", "10%") for name in new_members[share])]
    simulation = Simulation({name: f"zone{index % ZONES}" for index, name in enumerate(all_names)}, seed)

    def start(names: list[str]) -> None:
        for name in names:
            simulation.start(name)

    def kill(names: list[str]) -> None:
        for name in names:
            simulation.kill(name)

    before = resident_bytes()
    record("100% join", measure_change(simulation, size, lambda: start(members)))
    simulation.run(simulation.now + SETTLE_PERIODS)
    found["view: memory"] = [(resident_bytes() - before) / size]
    record("still", measure_change(simulation, size, lambda: None))
    for share in ("1%", "10%"):
        affected = members[1 : 1 + len(new_members[share])]  # the first one is the seed
        for name, change in (
            ("fail", lambda affected=affected: kill(affected)),
            ("return", lambda affected=affected: start(affected)),
            ("join", lambda share=share: start(new_members[share])),
        ):
            record(f"{share} {name}", measure_change(simulation, size, change))
            simulation.run(simulation.now + SETTLE_PERIODS)
    kill(members)
    record("100% return", measure_change(simulation, size, lambda: start(members)))
    return found


def common_start_costs(size: int) -> Values:
    """Start all members at once, with one seed; measures the first ten periods and the ten after them."""
    members = names("d", size)
    simulation = Simulation({name: f"zone{index % ZONES}" for index, name in enumerate(members)}, next(seeds))

    def start() -> None:
        for name in members:
            simulation.start(name)

    found: Values = {}
    for ten, change in (("first", start), ("second", lambda: None)):
        costs = measure_change(simulation, size, change)
        found |= {f"common start, {ten} ten: {unit}": [each] for unit, each in zip(UNITS, costs, strict=True)}
    return found


def simulate_in_subprocess(size: int) -> Values:
    """Run `simulate` in a separate process, because freed memory is not returned to the system."""
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=spawn) as pool:
        return pool.submit(simulate, size, next(seeds)).result()


def process_costs(size: int) -> Values:
    """CPU time and memory of a member that has nothing to deliver."""
    with tempfile.TemporaryDirectory() as name:
        ports, fleet = [free_port() for _ in range(size)], []
        for index, port in enumerate(ports):
            folder = Path(name) / str(index)
            folder.mkdir()
            process = DispatcherProcess(folder, name=f"d{index}")
            fleet_section = FLEET.format(port=port, seed=ports[0], zone=index % ZONES)
            process.write([fleet_section, endpoint("e0", "d0", "127.0.0.1:9")])
            fleet.append(process)
        try:
            for process in fleet:
                process.start()
            time.sleep(JOIN_SECONDS)
            before, started_at = [each.cpu_seconds() for each in fleet], time.monotonic()
            time.sleep(MEASURED_SECONDS)
            elapsed = time.monotonic() - started_at
            used = [(each.cpu_seconds() - old) / elapsed for each, old in zip(fleet, before, strict=True)]
            memory = [each.memory() for each in fleet]
        finally:
            for process in fleet:
                process.kill()
    start = [each.start_cpu_seconds for each in fleet]
    found = {"idle": used, "memory": memory, "start": start}
    return {f"member: {name}": [sum(each) / size] for name, each in found.items()}


CHANGES = [
    "still",
    *(f"{share} {name}" for share in ("1%", "10%") for name in ("join", "fail", "return")),
    "100% join",
    "100% return",
]
UNITS = {
    "bytes": "B a member and period",
    "messages": "messages a member and period",
    "processor": "s of processor a member and period",
}
EXPERIMENTS = [
    Experiment(
        "view",
        [
            SlopeDefinition("view: memory", "B a member", "members"),
            *(
                SlopeDefinition(f"view {change}: {name}", unit, "members")
                for change in CHANGES
                for name, unit in UNITS.items()
            ),
        ],
        MODEL_SIZES,
        [2, 2, 2, 1],
        simulate_in_subprocess,
    ),
    Experiment(
        "common_start",
        [
            SlopeDefinition(f"common start, {ten} ten: {name}", unit, "members")
            for ten in ("first", "second")
            for name, unit in UNITS.items()
        ],
        START_SIZES,
        [3, 3, 1, 1],
        common_start_costs,
    ),
    Experiment(
        "members",
        [
            SlopeDefinition("member: idle", "s of processor a second", "members"),
            SlopeDefinition("member: memory", "B", "members"),
            SlopeDefinition("member: start", "s of processor", "members"),
        ],
        PROCESS_SIZES,
        [2, 2, 2, 1],
        process_costs,
    ),
]
