"""The file format of the spool.

A record is a length, a CRC-32, a line of JSON and, for a message, its body. The first record of a file
(`boot`) has the clocks at the time of writing. From there on the CRC of each record continues that of the
one before, so that bytes left by a failed write are never read as a record. Files without such a first
record are of older releases: each of their checksums stands alone, and their times are of the wall clock.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from math import inf
from struct import Struct
from typing import Any, NamedTuple

from laureldock.clocks import WALL_TIMES, ClockReading
from laureldock.core.messages import StoredMessage
from laureldock.core.peer_view import RouteRecord

RECORD_HEADER = Struct(">II")  # length and CRC-32 of what follows
CLOCK_RECORD = "boot"
encode_json = json.JSONEncoder(separators=(",", ":")).encode
decode_json = json.JSONDecoder().decode


class Record(NamedTuple):
    """A record that was read."""

    fields: list[Any]
    body: bytes
    payload_bytes: int


def encode_payload(fields: list[Any], body: bytes = b"") -> bytes:
    """The payload of a record: fields as JSON, and a body."""
    return encode_json(fields).encode() + b"\n" + body


def encode_record(payload: bytes, checksum: int = 0) -> tuple[bytes, int]:
    """A record that follows the one with that checksum, and its own checksum."""
    chained = zlib.crc32(payload, checksum)
    return RECORD_HEADER.pack(len(payload), chained) + payload, chained


def encode_clocks(clocks: ClockReading) -> bytes:
    """The payload of a file's first record."""
    return encode_payload([CLOCK_RECORD, clocks.boot, clocks.monotonic, clocks.wall])


def encode_message(message: StoredMessage) -> bytes:
    """The payload of the record that adds a pending message."""
    fields = [
        "mail", message.name.decode(), message.key, message.queue_class, message.customer,
        message.tag.decode(), message.destination, message.expires_at, message.attempts,
        message.first_may_have_run_at, message.in_flight_since,
    ]  # fmt: skip
    return encode_payload(fields, message.body)


def encode_accepted(message: StoredMessage) -> list[bytes]:
    """The payload of the record of a message's time of acceptance; none without an ordering key."""
    if message.key is None or message.accepted_at == -inf:
        return []
    return [encode_payload(["accepted", message.name.decode(), message.accepted_at])]


def encode_route(name: str, record: RouteRecord) -> bytes:
    """The payload of the record that a route failed or recovered."""
    shut = [True] if record.shut else []  # older releases skip it
    return encode_payload(["route", name, record.recovered_at, record.seen_at, *shut])


def decode_route(fields: list[Any] | tuple[Any, ...], shift: float) -> RouteRecord:
    """The record of a route from its fields after kind and name; `shift` is added to each time."""
    # Older releases do not record when it was seen.
    recovered_at, seen_at = fields[0], fields[1] if len(fields) > 1 else 0.0
    shut = len(fields) > 2 and bool(fields[2])
    return RouteRecord(None if recovered_at is None else recovered_at + shift, seen_at + shift, shut)


def decode_message(fields: list[Any], body: bytes, shift: float = 0.0) -> StoredMessage:
    """The message of a record from its fields after the kind; `shift` is added to each time."""
    name, key, queue_class, customer, tag, destination, expires_at, attempts, ran_at, in_flight_since = fields
    message = StoredMessage(
        name.encode(),
        key,
        queue_class,
        customer,
        tag.encode(),
        destination,
        expires_at + shift,
        body,
        attempts,
    )
    message.first_may_have_run_at = None if ran_at is None else ran_at + shift
    message.in_flight_since = None if in_flight_since is None else in_flight_since + shift
    return message


class RecordReader:
    """Reads a file of records from its start, in pieces. `clocks` are those of the reading process."""

    def __init__(self, clocks: ClockReading) -> None:
        self.clocks = clocks
        self.size = 0  # bytes of complete records so far
        self.checksum = 0  # of the last record
        self.time_shift = clocks.time_shift_from(WALL_TIMES)  # seconds to add to each time in the file
        self.chained = False  # whether each checksum continues the one before

    @property
    def accepts_appends(self) -> bool:
        """Whether records may be appended to the file as it is."""
        return self.chained and not self.time_shift

    def read(self, data: bytes) -> Iterator[Record]:
        """Each complete record in the data that follows, up to a torn or corrupted one."""
        offset = 0
        while offset + RECORD_HEADER.size <= len(data):
            length, checksum = RECORD_HEADER.unpack_from(data, offset)
            offset += RECORD_HEADER.size + length
            payload = data[offset - length : offset]
            previous = self.checksum if self.chained else 0
            if len(payload) < length or zlib.crc32(payload, previous) != checksum:
                return
            self.size += RECORD_HEADER.size + length
            self.checksum = checksum
            line, _, body = payload.partition(b"\n")
            fields = decode_json(line.decode())
            if fields[0] == CLOCK_RECORD:
                self._begin(ClockReading(*fields[1:]))
            else:
                yield Record(fields, body, length)

    def _begin(self, written: ClockReading) -> None:
        self.chained = True
        self.time_shift = self.clocks.time_shift_from(written)
