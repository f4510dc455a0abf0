"""CPU time of one configuration change in a dispatcher, compared with a full reload, by size.

    python -m benchmarks.change_cost [--sizes 1000,10000,100000,370000] [--out FILE]

A dispatcher is assembled without sockets, with one endpoint for each destination. Changes are passed to it
encoded, as they come from a controller. Each value is the CPU time (time.process_time) of one change and of
the turn of the delivery policy that follows it. Garbage collections during a change are included; those of
the oldest generation traverse the dispatchers of all sizes, about 2.5 GB with the largest.
"""

from __future__ import annotations

import gc
import json
import platform
import subprocess
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from os import cpu_count
from pathlib import Path
from statistics import median, quantiles
from typing import Any

import click
import msgspec
import structlog
from twisted.internet.testing import MemoryReactorClock

from laureldock.assembly import Assembly, PreparedReload
from laureldock.setup.changes import (
    Change,
    DestinationEntry,
    EndpointEntry,
    EntryKey,
    EntryKind,
    TermsEntry,
    decode_change,
    encode_change,
    terms_name,
)
from laureldock.setup.plan import Destination, Endpoint, Entry, Plan
from laureldock.setup.units import Address, decode

BASE = {
    "limits": {"slots": 256},
    "source": {"kind": "controller", "controllers": ["127.0.0.1:7000"]},
    "class": {
        "news": {"effect": "redeliverable", "target_delay": "1s", "lifetime": "10s"},
        "charge": {"effect": "once-only", "target_delay": "1s", "lifetime": "10s", "time_out": "5s"},
    },
}


def drop_event(logger: object, name: str, event: object) -> str:
    raise structlog.DropEvent


class BenchDispatcher:
    """A dispatcher with `size` destinations."""

    def __init__(self, size: int, folder: Path) -> None:
        self.size, self.step = size, 0
        self.reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
        folder.mkdir()
        plan = msgspec.convert(BASE, Plan, dec_hook=decode)
        self.assembly = Assembly(plan, folder, self.reactor, print)  # type: ignore[arg-type]
        self.assembly.core.log = structlog.wrap_logger(None, processors=[drop_event])
        assert self.assembly.listed_source is not None
        self.assembly.listed_source.start()
        self.assembly.replace_entries(endpoint(number) for number in range(size))
        self.turn()

    def turn(self) -> None:
        """Run the turn of the delivery policy that the reactor would call next."""
        self.reactor.advance(0)

    def timed(self, body: bytes) -> float:
        started_at = time.process_time()
        self.assembly.apply_change(decode_change(body))
        self.turn()
        return time.process_time() - started_at

    def destination(self) -> int:
        """A different destination for each change, spread over all of them."""
        self.step += 1
        return self.step * 7919 % self.size

    def address(self) -> float:
        number = self.destination()
        return self.timed(encode_change(Change((endpoint(number, 10000 + self.step % 50000),))))

    def window(self) -> float:
        number = self.destination()
        entry = DestinationEntry(f"d{number}", Destination(window=1 + self.step % 100))
        return self.timed(encode_change(Change((entry,))))

    def terms(self) -> float:
        value = Entry(destination=f"d{self.destination()}", connects=1 + self.step % 7)
        return self.timed(encode_change(Change((TermsEntry(terms_name(value), value),))))

    def put_and_remove(self) -> float:
        """Add and remove a second endpoint of a destination: the time of both changes."""
        number = self.destination()
        entry = endpoint(number, 9999, "second")
        seconds = self.timed(encode_change(Change((entry,))))
        return seconds + self.timed(
            encode_change(Change(removals=(EntryKey(EntryKind.ENDPOINT, entry.name),)))
        )

    def reload(self) -> float:
        """Full reload with one address changed. Reading and validating the file is not included."""
        assert self.assembly.catalog is not None and self.assembly.listed_source is not None
        catalog, number = self.assembly.catalog, self.destination()
        catalog.endpoints[f"e{number}"] = endpoint(number, 10000 + self.step % 50000).value
        plan = catalog.plan()
        started_at = time.process_time()
        fresh = PreparedReload.prepare(plan)
        self.assembly.core.registry.update_terms(plan, fresh.terms)
        self.assembly.listed_source.replace_list(fresh.listing)
        self.turn()
        return time.process_time() - started_at


def endpoint(number: int, port: int = 8080, name: str = "") -> EndpointEntry:
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    name = name or f"e{number}"
    value = Endpoint(destination=f"d{number}", address=Address(f"{host}:{port}"), name=name, rate=20.0)
    return EndpointEntry(name, value)


@dataclass(frozen=True, slots=True)
class Repetitions:
    rounds: int
    calls_per_round: int


CHANGE_KINDS = {
    "address": Repetitions(10, 30),
    "window": Repetitions(10, 30),
    "terms": Repetitions(10, 30),
    "put_and_remove": Repetitions(10, 30),
    "reload": Repetitions(5, 1),
}


def measure(sizes: list[int], kind: str, dispatchers: dict[int, BenchDispatcher]) -> dict[int, list[float]]:
    """Alternate between sizes, so that a temporarily slow machine affects all of them."""
    values: dict[int, list[float]] = {size: [] for size in sizes}
    gc.collect()
    for number in range(CHANGE_KINDS[kind].rounds + 1):
        for size in sizes:
            call: Callable[[], float] = getattr(dispatchers[size], kind)
            round_values = [call() for _ in range(CHANGE_KINDS[kind].calls_per_round)]
            if number:  # the first round warms up caches
                values[size] += round_values
    return values


def point(size: int, values: list[float]) -> dict[str, Any]:
    """Values in microseconds; the spread is the interquartile range."""
    microseconds = [round(value * 1e6, 1) for value in values]
    low, _, high = quantiles(microseconds, n=4)
    return {
        "size": size,
        "values": microseconds,
        "median": median(microseconds),
        "spread": round(high - low, 1),
    }


def fit(points: list[dict[str, Any]]) -> dict[str, float]:
    """Least-squares line through the medians; the residual is the root mean square error."""
    if len(points) < 2:
        return {"intercept": points[0]["median"], "slope": 0.0, "residual": 0.0}
    sizes = [float(each["size"]) for each in points]
    medians = [float(each["median"]) for each in points]
    mean_size, mean_value = sum(sizes) / len(sizes), sum(medians) / len(medians)
    covariance = sum(
        (size - mean_size) * (value - mean_value) for size, value in zip(sizes, medians, strict=True)
    )
    slope = covariance / sum((size - mean_size) ** 2 for size in sizes)
    intercept = mean_value - slope * mean_size
    errors = [(value - intercept - slope * size) ** 2 for size, value in zip(sizes, medians, strict=True)]
    return {"intercept": intercept, "slope": slope, "residual": (sum(errors) / len(errors)) ** 0.5}


def commit() -> str:
    result = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True)
    return result.stdout.strip()


@click.command()
@click.option("--sizes", default="1000,10000,100000", show_default=True, help="Destinations.")
@click.option("--ways", default=",".join(CHANGE_KINDS), show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="JSON file.")
def main(sizes: str, ways: str, out: Path | None) -> None:
    counts, slopes = list(map(int, sizes.split(","))), []
    with tempfile.TemporaryDirectory() as folder:
        dispatchers = {size: BenchDispatcher(size, Path(folder, str(size))) for size in counts}
        for kind in ways.split(","):
            points = [point(size, values) for size, values in measure(counts, kind, dispatchers).items()]
            for each in points:
                summary = f"{each['median']:12.1f} us (interquartile range {each['spread']:.1f})"
                click.echo(f"{kind:16} {each['size']:8} {summary}")
            medians = [each["median"] for each in points]
            click.echo(f"{kind:16} largest over smallest median {max(medians) / min(medians):.2f}")
            slope = {"name": kind, "unit": "us", "varied": "destinations", "points": points}
            slopes.append(slope | {"fit": fit(points)})
        for dispatcher in dispatchers.values():
            dispatcher.assembly.core.store.close()  # type: ignore[attr-defined]
    machine = {"cores": cpu_count(), "python": platform.python_version()}
    report = {"date": datetime.now(UTC).isoformat(timespec="seconds"), "commit": commit(), "machine": machine}
    if out:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(json.dumps(report | {"slopes": slopes}) + "\n")


if __name__ == "__main__":
    main()
