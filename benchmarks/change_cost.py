"""Processor time of one change of the configuration in a dispatcher, beside a reload of the whole, by size.

    python -m benchmarks.change_cost [--sizes 1000,10000,100000,370000] [--out FILE]

A dispatcher is put together without sockets, with one endpoint for each destination; changes are handed to
it encoded, as they come from a controller. Each value is the processor time (time.process_time) of one change
with the turn of the decisions that follows it. Collections of garbage that fall into a change count; those of
the oldest generation look at all sizes held, some 2.5 GB with the largest.
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

from laureldock.assembly import Assembly, Prepared
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


def quiet(logger: object, name: str, event: object) -> str:
    raise structlog.DropEvent


class Bench:
    """A dispatcher of that many destinations."""

    def __init__(self, size: int, folder: Path) -> None:
        self.size, self.step = size, 0
        self.reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
        folder.mkdir()
        plan = msgspec.convert(BASE, Plan, dec_hook=decode)
        self.assembly = Assembly(plan, folder, self.reactor, print)  # type: ignore[arg-type]
        self.assembly.core.log = structlog.wrap_logger(None, processors=[quiet])
        assert self.assembly.listed is not None
        self.assembly.listed.start()
        self.assembly.replace_entries(endpoint(number) for number in range(size))
        self.turn()

    def turn(self) -> None:
        """The decisions' turn, as the reactor would call it next."""
        self.reactor.advance(0)

    def timed(self, body: bytes) -> float:
        began = time.process_time()
        self.assembly.apply_change(decode_change(body))
        self.turn()
        return time.process_time() - began

    def destination(self) -> int:
        """Another one for each change, spread over all."""
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
        """Of an endpoint beside the one that is there: the time of both changes."""
        number = self.destination()
        entry = endpoint(number, 9999, "second")
        took = self.timed(encode_change(Change((entry,))))
        return took + self.timed(encode_change(Change(removals=(EntryKey(EntryKind.ENDPOINT, entry.name),))))

    def reload(self) -> float:
        """The old way: the whole file, one address of it another. Reading and checking it are not counted."""
        assert self.assembly.catalog is not None and self.assembly.listed is not None
        catalog, number = self.assembly.catalog, self.destination()
        catalog.endpoints[f"e{number}"] = endpoint(number, 10000 + self.step % 50000).value
        plan = catalog.plan()
        began = time.process_time()
        fresh = Prepared.of(plan)
        self.assembly.core.book.update_terms(plan, fresh.terms)
        self.assembly.listed.reread(fresh.listing)
        self.turn()
        return time.process_time() - began


def endpoint(number: int, port: int = 8080, name: str = "") -> EndpointEntry:
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    name = name or f"e{number}"
    value = Endpoint(destination=f"d{number}", address=Address(f"{host}:{port}"), name=name, rate=20.0)
    return EndpointEntry(name, value)


@dataclass(frozen=True, slots=True)
class Way:
    rounds: int
    each: int  # timed in one round


WAYS = {
    "address": Way(10, 30),
    "window": Way(10, 30),
    "terms": Way(10, 30),
    "put_and_remove": Way(10, 30),
    "reload": Way(5, 1),
}


def measured(sizes: list[int], way: str, benches: dict[int, Bench]) -> dict[int, list[float]]:
    """Sizes take turns, so that a machine that is slower for a while is so for all of them."""
    values: dict[int, list[float]] = {size: [] for size in sizes}
    gc.collect()
    for number in range(WAYS[way].rounds + 1):
        for size in sizes:
            call: Callable[[], float] = getattr(benches[size], way)
            told = [call() for _ in range(WAYS[way].each)]
            if number:  # the first round warms caches
                values[size] += told
    return values


def point(size: int, values: list[float]) -> dict[str, Any]:
    """Values in microseconds; the spread is between the quartiles."""
    told = [round(value * 1e6, 1) for value in values]
    low, _, high = quantiles(told, n=4)
    return {"size": size, "values": told, "median": median(told), "spread": round(high - low, 1)}


def fit(points: list[dict[str, Any]]) -> dict[str, float]:
    """A line through the medians, by least squares; the residual is the root of the mean square."""
    if len(points) < 2:
        return {"intercept": points[0]["median"], "slope": 0.0, "residual": 0.0}
    sizes = [float(each["size"]) for each in points]
    medians = [float(each["median"]) for each in points]
    middle, mean = sum(sizes) / len(sizes), sum(medians) / len(medians)
    over = sum((size - middle) * (value - mean) for size, value in zip(sizes, medians, strict=True))
    slope = over / sum((size - middle) ** 2 for size in sizes)
    intercept = mean - slope * middle
    errors = [(value - intercept - slope * size) ** 2 for size, value in zip(sizes, medians, strict=True)]
    return {"intercept": intercept, "slope": slope, "residual": (sum(errors) / len(errors)) ** 0.5}


def commit() -> str:
    told = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True)
    return told.stdout.strip()


@click.command()
@click.option("--sizes", default="1000,10000,100000", show_default=True, help="Destinations.")
@click.option("--ways", default=",".join(WAYS), show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="JSON file.")
def main(sizes: str, ways: str, out: Path | None) -> None:
    counts, slopes = list(map(int, sizes.split(","))), []
    with tempfile.TemporaryDirectory() as folder:
        benches = {size: Bench(size, Path(folder, str(size))) for size in counts}
        for way in ways.split(","):
            points = [point(size, values) for size, values in measured(counts, way, benches).items()]
            for each in points:
                told = f"{each['median']:12.1f} us (quartiles {each['spread']:.1f} apart)"
                click.echo(f"{way:16} {each['size']:8} {told}")
            medians = [each["median"] for each in points]
            click.echo(f"{way:16} largest over smallest median {max(medians) / min(medians):.2f}")
            slope = {"name": way, "unit": "us", "varied": "destinations", "points": points}
            slopes.append(slope | {"fit": fit(points)})
        for bench in benches.values():
            bench.assembly.core.store.close()  # type: ignore[attr-defined]
    machine = {"cores": cpu_count(), "python": platform.python_version()}
    report = {"date": datetime.now(UTC).isoformat(timespec="seconds"), "commit": commit(), "machine": machine}
    if out:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(json.dumps(report | {"slopes": slopes}) + "\n")


if __name__ == "__main__":
    main()
