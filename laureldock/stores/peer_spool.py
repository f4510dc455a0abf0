"""Reads the spool file of a running peer process of this dispatcher while it grows."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

from laureldock.clocks import read_clocks
from laureldock.stores.class_records import CLASS_RECORD
from laureldock.stores.finished_names import FINISHED_RECORD, FinishedNames
from laureldock.stores.kept_records import DESTINATION_WAIT_RECORD, KeptRecords
from laureldock.stores.record_sizes import (
    CLOCK_RECORD_BYTES,
    long_route_bytes,
    pending_message_bytes,
)
from laureldock.stores.spool_records import RECORD_HEADER, Record, RecordReader, decode_route

READ_SIZE = 1 << 20
# Seconds for which a finished message is remembered: its client repeats the request sooner, or never.
FINISHED_KEPT_TIME = 2.0


class PeerSpool:
    """What one peer process has recorded in its file: pending messages, calls in flight, waits and cooldowns.

    Each read continues where the last one ended. The file stays open, so that its inode number is not reused.
    """

    def __init__(self, path: Path) -> None:
        """Open the file. Raises OSError."""
        self._file = os.open(path, os.O_RDONLY)
        self._reader = RecordReader(read_clocks())
        self.inode = os.fstat(self._file).st_ino
        self.accepted_at: dict[bytes, float] = {}  # by name of a pending message
        self.accepted_by_key: dict[str, dict[bytes, float]] = {}  # the same, by ordering key
        self.finished_at: dict[bytes, float] = {}  # by name of a message that finished a moment ago
        self.finished = FinishedNames()  # those of which is known what a repeat is told
        self.routes_in_flight: dict[bytes, str] = {}  # the route, by name of a message with a call in flight
        self.kept = KeptRecords()
        self._key_of: dict[bytes, str] = {}
        self._expires_at: dict[bytes, float] = {}
        self._message_bytes: dict[bytes, int] = {}  # by name of a pending message
        self._pending_bytes = 0  # of all pending messages
        self._class_bytes = 0  # of the records of queue classes

    def read(self) -> bool:
        """Read what was appended; false if there was nothing. Raises OSError if it cannot be read now."""
        found = False
        while data := os.pread(self._file, READ_SIZE, self._reader.size):
            size = self._reader.size
            for record in self._reader.read(data):
                self._count_bytes(record)
                self._apply(*record.fields)
            if self._reader.size == size:  # the rest is a record that is still being written, or was torn
                break
            found = True
        return found

    @property
    def content_bytes(self) -> int:
        """Bytes of the file at most, once it is rewritten with only what is needed."""
        messages = self._pending_bytes + self._class_bytes
        return CLOCK_RECORD_BYTES + messages + self.finished.record_bytes + self.kept.record_bytes

    def _count_bytes(self, record: Record) -> None:
        """Count the bytes of a pending message, or of a queue class; called before the record is applied."""
        kind, subject, *rest = record.fields
        name = subject.encode()
        match kind:
            case "mail":
                self._set_message_bytes(name, pending_message_bytes(subject, record.payload_bytes))
            case "out" | "sent_to" if name in self._message_bytes:
                route_before = self.routes_in_flight.get(name, "")
                longer = long_route_bytes(rest[-1]) - long_route_bytes(route_before) if rest else 0
                self._set_message_bytes(name, self._message_bytes[name] + max(0, longer))
            case "over":
                self._set_message_bytes(name, 0)
            case kind if kind == CLASS_RECORD:
                self._class_bytes += RECORD_HEADER.size + record.payload_bytes

    def _set_message_bytes(self, name: bytes, size: int) -> None:
        self._pending_bytes += size - self._message_bytes.pop(name, 0)
        if size:
            self._message_bytes[name] = size

    def close(self) -> None:
        """Close the file."""
        if self._file >= 0:
            os.close(self._file)
        self._file = -1

    def _apply(self, kind: str, subject: str, *rest: Any) -> None:
        shift = self._reader.time_shift
        name = subject.encode()
        match kind:
            case "mail":
                key, out = rest[0], rest[-1]
                self._expires_at[name] = rest[5] + shift
                # Older releases do not record the time of acceptance: the present time is after it, and still
                # before whatever is accepted next.
                self._accept(name, key, time.monotonic())
                if out is not None:
                    self.routes_in_flight[name] = ""
            case "accepted":
                self._accept(name, self._key_of.get(name), rest[0] + shift)
            case "out":
                # Older releases have no route here.
                self.routes_in_flight[name] = rest[1] if len(rest) > 1 else ""
            case "sent_to":
                self.routes_in_flight[name] = rest[0]
            case "back" | "end":
                self.routes_in_flight.pop(name, None)
            case "over":
                self._finish(name, *rest)
            case kind if kind == FINISHED_RECORD:
                self.finished.add(name, rest[0] + shift, rest[1])
            case "wait":
                self.kept.replay_wait(subject, rest[0] + shift)
            case kind if kind == DESTINATION_WAIT_RECORD:
                self.kept.replay_destination_wait(subject, rest[0] + shift)
            case "rest":
                self.kept.replay_cooldown(subject, rest[0] + shift)
            case "route":
                self.kept.set_route(subject, decode_route(rest, shift))

    def _accept(self, name: bytes, key: str | None, at: float) -> None:
        self.accepted_at[name] = at
        if key is not None:
            self._key_of[name] = key
            self.accepted_by_key.setdefault(key, {})[name] = at

    def _finish(self, name: bytes, accepted: bool | None = None) -> None:
        self.accepted_at.pop(name, None)
        expires_at = self._expires_at.pop(name, 0.0)
        if accepted is not None:
            self.finished.add(name, expires_at, accepted)
        self.routes_in_flight.pop(name, None)
        if (key := self._key_of.pop(name, None)) is not None:
            self.accepted_by_key[key].pop(name, None)
            if not self.accepted_by_key[key]:
                del self.accepted_by_key[key]
        now = time.monotonic()
        while self.finished_at and next(iter(self.finished_at.values())) <= now - FINISHED_KEPT_TIME:
            del self.finished_at[next(iter(self.finished_at))]
        self.finished_at.pop(name, None)  # to the end
        self.finished_at[name] = now
