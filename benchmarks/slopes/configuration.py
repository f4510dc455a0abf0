"""Cost of destinations and endpoints for a dispatcher: memory, start, idle CPU time, a change by reload."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from benchmarks.slopes.model import Experiment, SlopeDefinition, Values
from benchmarks.slopes.process import DispatcherProcess, address_of, endpoint

DESTINATIONS = [1_000, 8_000, 32_000, 128_000]
ENDPOINTS = [1_000, 4_000, 16_000, 64_000]
SHARED_DESTINATIONS = 1_000  # destinations that share these endpoints
IDLE_SECONDS = 5.0
CHANGED_RATE = 21.0
SETTING = '[[terms]]\nclass = "news"\ndestination = "d1"\nconnects = {}\n'


def listing(endpoints: int, destination_count: int, changed: int = 0) -> Iterator[str]:
    """Endpoints spread evenly over the destinations; `changed` gives the first one another rate."""
    for number in range(endpoints):
        rate = CHANGED_RATE + changed if number == 0 and changed else 20.0
        yield endpoint(f"e{number}", f"d{number % destination_count}", address_of(number), rate)


def start_figures(process: DispatcherProcess, endpoints: int, destination_count: int) -> Values:
    """Start the dispatcher with such a file; returns figures of the start and of idle time."""
    process.write(listing(endpoints, destination_count))
    process.start()
    before, started_at = process.wait_until_idle(), time.monotonic()
    time.sleep(IDLE_SECONDS)
    idle = (process.cpu_seconds() - before) / (time.monotonic() - started_at)
    return {"memory": [process.start_memory], "start": [process.start_cpu_seconds], "idle": [idle]}


def reload_figures(process: DispatcherProcess, endpoints: int, destination_count: int, count: int) -> Values:
    """CPU time of changing one endpoint's rate, and of changing one setting of one destination."""
    rates = [process.reload(listing(endpoints, destination_count, each)) for each in range(1, count + 1)]
    settings = [
        process.reload([*listing(endpoints, destination_count, count), SETTING.format(each)])
        for each in range(2, count + 2)
    ]
    return {"one rate": rates, "one setting": settings, "memory after": [process.memory()]}


def with_prefix(prefix: str, found: Values) -> Values:
    return {f"{prefix}: {name}": values for name, values in found.items()}


def destinations(size: int) -> Values:
    with tempfile.TemporaryDirectory() as folder:
        process = DispatcherProcess(Path(folder))
        try:
            found = start_figures(process, size, size)
            found |= reload_figures(process, size, size, 2)
        finally:
            process.stop()
    return with_prefix("destination", found)


def endpoints(size: int) -> Values:
    with tempfile.TemporaryDirectory() as folder:
        process = DispatcherProcess(Path(folder))
        try:
            found = start_figures(process, size, SHARED_DESTINATIONS)
        finally:
            process.stop()
    return with_prefix("endpoint", found)


def file_size(size: int) -> Values:
    """Bytes of the configuration file, which each change sends as a whole."""
    return {"destination: file": [float(sum(map(len, listing(size, size))))]}


def slopes(prefix: str, varied: str, with_reloads: bool) -> list[SlopeDefinition]:
    units = {"memory": "B", "start": "s of processor", "idle": "s of processor a second"}
    if with_reloads:
        units |= {"one rate": "s of processor", "one setting": "s of processor", "memory after": "B"}
    return [SlopeDefinition(f"{prefix}: {name}", unit, varied) for name, unit in units.items()]


EXPERIMENTS = [
    Experiment(
        "file",
        [SlopeDefinition("destination: file", "B", "destinations")],
        DESTINATIONS,
        [1, 1, 1, 1],
        file_size,
    ),
    Experiment(
        "destinations", slopes("destination", "destinations", True), DESTINATIONS, [3, 3, 2, 1], destinations
    ),
    Experiment("endpoints", slopes("endpoint", "endpoints", False), ENDPOINTS, [3, 2, 2, 1], endpoints),
]
