"""Durations, sizes and addresses as operators write them."""

from __future__ import annotations

import re
from decimal import Decimal
from math import isfinite
from typing import Any

TIMES = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
SIZES = {"B": 1, "kB": 1000, "KiB": 1024, "MB": 10**6, "MiB": 1 << 20, "GB": 10**9, "GiB": 1 << 30}
WRITTEN = re.compile(r"(\d+(?:\.\d+)?) ?([A-Za-z]+)")


class Seconds(float):
    """A duration; written as "1.5s"."""


class Size(int):
    """Bytes; written as "64KiB"."""


class Address(str):
    """A host and a port; written as "127.0.0.1:6379"."""


def measure(told: Any, units: dict[str, float] | dict[str, int], sample: str) -> float:
    found = WRITTEN.fullmatch(told) if isinstance(told, str) else None
    if found is None:
        raise ValueError(f"must be text with a number and its unit, as {sample!r}, not {told!r}")
    if found[2] not in units:
        raise ValueError(f"unknown unit {found[2]!r}; one of {', '.join(units)}")
    value = float(found[1]) * units[found[2]]
    if not isfinite(value):
        raise ValueError("too large")
    return value


def address(told: Any) -> Address:
    """What was told as one, if it has a host and a port that can be; else ValueError."""
    dial = str(told)
    host, _, port = dial.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {dial!r}; a host and a port, as '127.0.0.1:6379'")
    return Address(dial)


def decode(kind: type, told: Any) -> Any:
    """msgspec's hook for the types of this file. ValueError."""
    if kind is Seconds:
        return Seconds(measure(told, TIMES, "1.5s"))
    if kind is Size:
        return Size(measure(told, SIZES, "64KiB"))
    if kind is Address:
        if not isinstance(told, str):
            raise ValueError(f"must be text, as '127.0.0.1:6379', not {told!r}")
        return address(told)
    raise NotImplementedError(kind)


def encode(value: Any) -> Any:
    """The other way, as short as it can be read back to the same value."""
    if isinstance(value, Seconds):
        return shortest(value, TIMES)
    if isinstance(value, Size):
        return shortest(value, SIZES)
    if isinstance(value, Address):
        return str(value)
    raise NotImplementedError(type(value))


def shortest(value: float, units: dict[str, float] | dict[str, int]) -> str:
    """In the largest unit that it holds one of and that gives it back exactly."""
    for unit, factor in sorted(units.items(), key=lambda each: -each[1]):
        text = f"{value / factor:.9f}".rstrip("0").rstrip(".")
        if value >= factor and float(text) * factor == value:
            return text + unit
    base = next(unit for unit, factor in units.items() if factor == 1)
    return f"{Decimal(repr(float(value))):f}".removesuffix(".0") + base


def schema(kind: type) -> dict[str, Any]:
    """JSON Schema of the types of this file."""
    if kind is Seconds:
        return {"type": "string", "pattern": rf"^\d+(\.\d+)? ?({'|'.join(TIMES)})$", "examples": ["1.5s"]}
    if kind is Size:
        return {"type": "string", "pattern": rf"^\d+(\.\d+)? ?({'|'.join(SIZES)})$", "examples": ["64KiB"]}
    if kind is Address:
        return {"type": "string", "pattern": r"^.+:\d{1,5}$", "examples": ["127.0.0.1:6379"]}
    raise NotImplementedError(kind)
