"""The spool's file format.

A record is a length, a CRC-32, a line of JSON and, for a message, its body. The first record of a file tells
the clocks at the time it was written (`boot`). From there on the CRC of a record goes on from that of the one
before it, so that bytes which a failed write left behind never read as a record. Files without such a first
record are of older releases: their checksums stand alone, and their times are of the wall clock.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from math import inf
from struct import Struct
from typing import Any

from laureldock.clocks import WALL_TIMES, ClockReading
from laureldock.core.messages import StoredMessage
from laureldock.core.peer_view import RouteRecord

RECORD_HEADER = Struct(">II")  # length and CRC-32 of what follows
CLOCK_RECORD = "boot"


def encode_payload(fields: list[Any], body: bytes = b"") -> bytes:
    """What a record holds: fields that JSON can hold, and a body."""
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n" + body


def encode_record(payload: bytes, checksum: int = 0) -> tuple[bytes, int]:
    """A record behind the one with that checksum, and its own checksum."""
    own = zlib.crc32(payload, checksum)
    return RECORD_HEADER.pack(len(payload), own) + payload, own


def encode_clocks(clocks: ClockReading) -> bytes:
    """The payload of a file's first record."""
    return encode_payload([CLOCK_RECORD, clocks.boot, clocks.monotonic, clocks.wall])


def encode_message(message: StoredMessage) -> bytes:
    """The payload of the record by which a message is owed."""
    fields = [
        "mail", message.name.decode(), message.key, message.queue_class, message.customer,
        message.tag.decode(), message.destination, message.expires_at, message.attempts,
        message.first_may_have_run_at, message.in_flight_since,
    ]  # fmt: skip
    return encode_payload(fields, message.body)


def encode_accepted(message: StoredMessage) -> list[bytes]:
    """The payload of the record by which a message of a key has its place in it; none without a key."""
    if message.key is None or message.accepted_at == -inf:
        return []
    return [encode_payload(["accepted", message.name.decode(), message.accepted_at])]


def encode_route(name: str, record: RouteRecord) -> bytes:
    """The payload of the record by which it is told what became of a route."""
    return encode_payload(["route", name, record.recovered_at, record.seen_at])


def decode_route(fields: list[Any] | tuple[Any, ...], shift: float) -> RouteRecord:
    """What became of a route; `fields` without kind and name; `shift` is added to each time."""
    back_at, at = fields[0], fields[1] if len(fields) > 1 else 0.0  # an older release does not say when
    return RouteRecord(None if back_at is None else back_at + shift, at + shift)


def decode_message(fields: list[Any], body: bytes, shift: float = 0.0) -> StoredMessage:
    """The message of a record; `fields` without the first, its kind; `shift` is added to each time."""
    name, key, queue_class, customer, tag, destination, end, attempts, ran, out = fields
    message = StoredMessage(
        name.encode(), key, queue_class, customer, tag.encode(), destination, end + shift, body, attempts
    )
    message.first_may_have_run_at = None if ran is None else ran + shift
    message.in_flight_since = None if out is None else out + shift
    return message


class RecordReader:
    """Reads a file of records from its start, in pieces. `now` are the clocks of the reading process."""

    def __init__(self, now: ClockReading) -> None:
        self.now = now
        self.size = 0  # bytes of the whole records so far
        self.checksum = 0  # of the last one
        self.shift = now.shift_of(WALL_TIMES)  # seconds to add to each time in the file
        self.chained = False  # each checksum goes on from the one before

    @property
    def current(self) -> bool:
        """Whether records may be added to the file as it is."""
        return self.chained and not self.shift

    def read(self, data: bytes) -> Iterator[tuple[list[Any], bytes]]:
        """Fields and body of each whole record in what follows; a torn or damaged one ends them."""
        offset = 0
        while offset + RECORD_HEADER.size <= len(data):
            length, checksum = RECORD_HEADER.unpack_from(data, offset)
            offset += RECORD_HEADER.size + length
            payload = data[offset - length : offset]
            before = self.checksum if self.chained else 0
            if len(payload) < length or zlib.crc32(payload, before) != checksum:
                return
            self.size += RECORD_HEADER.size + length
            self.checksum = checksum
            line, _, body = payload.partition(b"\n")
            fields = json.loads(line)
            if fields[0] == CLOCK_RECORD:
                self._begin(ClockReading(*fields[1:]))
            else:
                yield fields, body

    def _begin(self, written: ClockReading) -> None:
        self.chained = True
        self.shift = self.now.shift_of(written)
