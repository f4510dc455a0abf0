"""JSON lines to events, and effects back to JSON lines, for many instances that share nothing."""

from __future__ import annotations

import json
from typing import Any, BinaryIO

from laureldock.benchlink.instance import Instance

Fields = dict[str, Any]


class WireError(Exception):
    """The input breaks the protocol of the wire; the adapter must not guess what was meant."""


def parse(line: bytes) -> tuple[str, Fields]:
    """Name and fields of a message. WireError: the line is not one."""
    try:
        value = json.loads(line)
    except ValueError as fault:
        raise WireError(f"line is not JSON: {line[:80]!r} ({fault})") from None
    if not isinstance(value, dict) or len(value) != 1:
        raise WireError(f"line is not an object with exactly one name: {line[:80]!r}")
    name, fields = next(iter(value.items()))
    if not isinstance(fields, dict):
        raise WireError(f"{name}: fields are not an object")
    return name, fields


def read_batch(source: BinaryIO) -> tuple[float, list[tuple[str, Fields]]] | None:
    """The clock in seconds and the events of the next batch, or None at the end of input.

    WireError: the input is not a batch, or ends inside one.
    """
    line = source.readline()
    while line and not line.strip():
        line = source.readline()
    if not line:
        return None
    name, fields = parse(line)
    clock = fields.get("at_time_ns")
    if name != "batch" or not isinstance(clock, int):
        raise WireError(f"expected a batch with its clock, got {name!r}")
    events: list[tuple[str, Fields]] = []
    while True:
        line = source.readline()
        if not line:
            raise WireError("input ended inside a batch")
        if not line.strip():
            continue
        name, fields = parse(line)
        if name == "flush":
            return clock / 1e9, events
        events.append((name, fields))


class Hub:
    """All instances of this process, and the endpoint lists that views refer to by number."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[Fields]] = {}

    def batch(self, now: float, events: list[tuple[str, Fields]]) -> list[Fields]:
        """Hand out the events of a batch, then collect the actions. WireError: an event is malformed."""
        replies: list[Fields] = []
        touched: dict[int, Instance] = {}
        for name, fields in events:
            try:
                if name == "directory":
                    self.lists[fields["slot"]] = fields["records"]
                    continue
                number = fields["dispatcher_id"]
                if name == "born":
                    self.instances[number] = Instance(number, fields["rng_seed"], fields["profile_data"], now)
                elif name == "teardown":
                    self.instances.pop(number, None)
                    touched.pop(number, None)
                    continue
                instance = self.instances.get(number)
                if instance is None:
                    raise WireError(f"{name}: there is no instance {number}")
                touched[number] = instance
                if name == "view":
                    records = [] if fields["form"] == "unavailable" else self.lists[fields["slot"]]
                    instance.view(now, fields["form"], records)
                elif name != "born":
                    handler = instance.handlers.get(name)
                    if handler is None:
                        raise WireError(f"unknown event {name!r}")
                    handler(now, fields)
            except (KeyError, TypeError, ValueError, AttributeError, IndexError) as fault:
                raise WireError(f"malformed {name}: {type(fault).__name__}: {fault}") from fault
        for instance in touched.values():
            replies += instance.reply(now)
        return replies


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each batch until the input ends. WireError: the input breaks the protocol."""
    hub = Hub()
    while (batch := read_batch(source)) is not None:
        lines = hub.batch(*batch)
        lines.append({"next": {}})
        sink.write(b"".join(json.dumps(line, separators=(",", ":")).encode() + b"\n" for line in lines))
        sink.flush()
