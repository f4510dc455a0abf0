"""Durations, sizes and addresses: parsing and printing of the text that operators write."""

from __future__ import annotations

import re
from decimal import Decimal
from math import isfinite
from typing import Any

TIME_UNITS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
SIZE_UNITS = {"B": 1, "kB": 1000, "KiB": 1024, "MB": 10**6, "MiB": 1 << 20, "GB": 10**9, "GiB": 1 << 30}
QUANTITY = re.compile(r"(\d+(?:\.\d+)?) ?([A-Za-z]+)")


class Seconds(float):
    """A duration in seconds, written with a unit: "1.5s"."""


class Size(int):
    """A size in bytes, written with a unit: "64KiB"."""


class Address(str):
    """A host and a port: "127.0.0.1:6379"."""


def parse_quantity(given: Any, units: dict[str, float] | dict[str, int], example: str) -> float:
    match = QUANTITY.fullmatch(given) if isinstance(given, str) else None
    if match is None:
        raise ValueError(f"must be text with a number and its unit, as {example!r}, not {given!r}")
    if match[2] not in units:
        raise ValueError(f"unknown unit {match[2]!r}; one of {', '.join(units)}")
    value = float(match[1]) * units[match[2]]
    if not isfinite(value):
        raise ValueError("too large")
    return value


def parse_address(given: Any) -> Address:
    """Parse a host and a port. Raises ValueError if there is no host or the port is not 1 to 65535."""
    text = str(given)
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {text!r}; a host and a port, as '127.0.0.1:6379'")
    return Address(text)


def decode(kind: type, given: Any) -> Any:
    """msgspec's decoding hook for the types of this module. Raises ValueError."""
    if kind is Seconds:
        return Seconds(parse_quantity(given, TIME_UNITS, "1.5s"))
    if kind is Size:
        return Size(parse_quantity(given, SIZE_UNITS, "64KiB"))
    if kind is Address:
        if not isinstance(given, str):
            raise ValueError(f"must be text, as '127.0.0.1:6379', not {given!r}")
        return parse_address(given)
    raise NotImplementedError(kind)


def encode(value: Any) -> Any:
    """msgspec's encoding hook: the shortest text that `decode` reads back to the same value."""
    if isinstance(value, Seconds):
        return in_largest_unit(value, TIME_UNITS)
    if isinstance(value, Size):
        return in_largest_unit(value, SIZE_UNITS)
    if isinstance(value, Address):
        return str(value)
    raise NotImplementedError(type(value))


def in_largest_unit(value: float, units: dict[str, float] | dict[str, int]) -> str:
    """Text in the largest unit that is not larger than the value and reads back to it exactly."""
    for unit, factor in sorted(units.items(), key=lambda each: -each[1]):
        text = f"{value / factor:.9f}".rstrip("0").rstrip(".")
        if value >= factor and float(text) * factor == value:
            return text + unit
    base = next(unit for unit, factor in units.items() if factor == 1)
    return f"{Decimal(repr(float(value))):f}".removesuffix(".0") + base


def schema(kind: type) -> dict[str, Any]:
    """msgspec's JSON Schema hook for the types of this module."""
    if kind is Seconds:
        return {
            "type": "string",
            "pattern": rf"^\d+(\.\d+)? ?({'|'.join(TIME_UNITS)})$",
            "examples": ["1.5s"],
        }
    if kind is Size:
        return {
            "type": "string",
            "pattern": rf"^\d+(\.\d+)? ?({'|'.join(SIZE_UNITS)})$",
            "examples": ["64KiB"],
        }
    if kind is Address:
        return {"type": "string", "pattern": r"^.+:\d{1,5}$", "examples": ["127.0.0.1:6379"]}
    raise NotImplementedError(kind)
