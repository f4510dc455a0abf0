"""The content of a process's spool file: pending messages, names of finished ones, and all other records.

It is built by replaying the file, and those of ended processes; and it gives the payloads of a compacted one.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from laureldock.clocks import read_clocks
from laureldock.core.messages import StoredMessage
from laureldock.core.peer_view import SharedRecords
from laureldock.stores.class_records import CLASS_RECORD, UNDER_RECORD, ClassReader, ClassTable
from laureldock.stores.finished_names import FINISHED_RECORD, FinishedNames
from laureldock.stores.kept_records import DESTINATION_WAIT_RECORD, KeptRecords
from laureldock.stores.record_sizes import CLOCK_RECORD_BYTES, long_route_bytes, pending_message_bytes
from laureldock.stores.spool_records import (
    Record,
    RecordReader,
    decode_message,
    decode_route,
    encode_accepted,
    encode_clocks,
    encode_message,
    encode_payload,
)

READ_BYTES = 1 << 20  # of one read, more than any record has


class ReplayedFile(NamedTuple):
    """A file that was replayed."""

    reader: RecordReader
    classes: ClassReader
    size: int  # bytes, with those of a record that is not complete


class SpoolContent:
    """All that a compacted file has. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self.pending: dict[bytes, StoredMessage] = {}
        self.finished = FinishedNames()
        self.reserved_bytes = 0  # for all pending messages, without their classes
        self.classes = ClassTable()  # of the file that is written
        self.kept = KeptRecords()

    def replay_file(self, path: Path) -> ReplayedFile:
        """Add what stands in a file, read in pieces; nothing if it does not exist. Raises OSError."""
        reader, classes = RecordReader(read_clocks()), ClassReader()
        if not path.exists():
            return ReplayedFile(reader, classes, 0)
        with path.open("rb") as file:
            while data := os.pread(file.fileno(), READ_BYTES, reader.size):
                size = reader.size
                for record in reader.read(data):
                    self._replay(record, reader.time_shift, classes, self.kept)
                if reader.size == size:  # what is left is torn
                    break
            return ReplayedFile(reader, classes, os.fstat(file.fileno()).st_size)

    def take_over(self, data: bytes) -> SharedRecords:
        """Add what stands in the file of an ended process; returns its records that are news here."""
        reader, classes, taken_over = RecordReader(read_clocks()), ClassReader(), KeptRecords()
        for record in reader.read(data):
            self._replay(record, reader.time_shift, classes, taken_over)
        news = taken_over.newer_than(self.kept)
        self.kept.add(taken_over.snapshot())
        return news

    def _replay(self, record: Record, shift: float, classes: ClassReader, kept: KeptRecords) -> None:
        """Apply a record that was read; `shift` is added to its times.

        One that belongs to no message is added to `kept`.
        """
        kind, name, *rest = record.fields
        if kind == "mail":
            message = decode_message(record.fields[1:], record.body, shift)
            message.accepted_class = classes.class_of_next(name)
            # Other times may be longer as text.
            self.add_pending(message, len(encode_message(message)) if shift else record.payload_bytes)
        elif kind == CLASS_RECORD:
            classes.read_class(name, *rest)
        elif kind == UNDER_RECORD:
            classes.read_under(name, *rest)
        elif kind == "wait":
            kept.replay_wait(name, rest[0] + shift)
        elif kind == DESTINATION_WAIT_RECORD:
            kept.replay_destination_wait(name, rest[0] + shift)
        elif kind == "rest":
            kept.replay_cooldown(name, rest[0] + shift)
        elif kind == "route":
            kept.set_route(name, decode_route(rest, shift))
        elif kind == FINISHED_RECORD:
            self.finished.add(name.encode(), rest[0] + shift, rest[1])
        elif (pending := self.pending.get(name.encode())) is not None:
            if kind in ("out", "accepted"):
                rest = [rest[0] + shift, *rest[1:]]
            self.apply_change(kind, pending, rest)

    def add_pending(self, message: StoredMessage, payload_bytes: int) -> None:
        """Add a pending message, by the size of the payload of its record."""
        if before := self.pending.get(message.name):
            self._release(before)
        message.reserved_bytes = pending_message_bytes(message.name.decode(), payload_bytes)
        self.reserved_bytes += message.reserved_bytes
        self.classes.add(message)
        self.pending[message.name] = message

    def _release(self, message: StoredMessage) -> None:
        """Release what is reserved for a message."""
        self.reserved_bytes -= message.reserved_bytes
        self.classes.remove(message)

    def apply_change(self, kind: str, message: StoredMessage, rest: list[Any]) -> None:
        """Apply a record to a pending message."""
        match kind:
            case "out":
                if message.first_may_have_run_at is None:
                    message.first_may_have_run_at = message.in_flight_since
                message.attempts, message.in_flight_since = message.attempts + 1, rest[0]
                self._set_route_of(message, rest[1] if len(rest) > 1 else "")  # older releases have none
            case "accepted":
                message.accepted_at = rest[0]
            case "sent_to":
                self._set_route_of(message, rest[0])
            case "back":
                message.in_flight_since = None
            case "end":
                message.first_may_have_run_at = (
                    message.in_flight_since
                    if message.first_may_have_run_at is None
                    else message.first_may_have_run_at
                )
                message.in_flight_since = None
            case "notice":
                message.notice = rest[0].encode()
            case "over":
                self._release(message)
                del self.pending[message.name]
                if rest:  # older releases do not say what a repeat is told
                    self.finished.add(message.name, message.expires_at, rest[0])

    def _set_route_of(self, message: StoredMessage, route: str) -> None:
        """Set the route of a message's last attempt, and reserve what a long name takes."""
        longer = long_route_bytes(route) - long_route_bytes(message.route)
        message.route = route
        message.reserved_bytes += longer
        self.reserved_bytes += longer

    @property
    def pending_bytes(self) -> int:
        """Bytes of pending messages with their queue classes, at most."""
        return self.reserved_bytes + self.classes.reserved_bytes

    @property
    def content_bytes(self) -> int:
        """Bytes of the file at most, once it is compacted, files that were taken over included."""
        return CLOCK_RECORD_BYTES + self.pending_bytes + self.finished.record_bytes + self.kept.record_bytes

    def classes_in_use(self) -> ClassTable:
        """The queue classes that pending messages have; no file has them yet."""
        classes = ClassTable()
        for message in self.pending.values():
            classes.add(message)
        return classes

    def needed_payloads(self, classes: ClassTable) -> Iterator[bytes]:
        """The payloads of a compacted file without the names of finished messages."""
        yield encode_clocks(read_clocks())
        for message in self.pending.values():
            yield from classes.payloads_for(message)
            classes.written(message)
            yield encode_message(message)
            yield from encode_accepted(message)
            if message.in_flight_since is not None:
                yield encode_payload(["sent_to", message.name.decode(), message.route])
            if message.notice:
                yield encode_payload(["notice", message.name.decode(), message.notice.decode()])
        yield from self.kept.payloads()

    def finished_payloads(self) -> Iterator[bytes]:
        """The payloads of the names of finished messages, the newest first."""
        for name, entry in self.finished.newest():
            yield encode_payload([FINISHED_RECORD, name.decode(), entry.until, entry.accepted])
