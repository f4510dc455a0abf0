"""Reading the spool file of another living process of this dispatcher, while it grows."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

from laureldock.clocks import read_clocks
from laureldock.core.peer_view import RouteRecord
from laureldock.stores.spool_records import RecordReader, decode_route

READ_SIZE = 1 << 20
ENDED_KEPT = 2.0  # seconds for which a message that is over is known: its client comes again sooner or never


class PeerSpool:
    """What one other process owes, has out and was told, from its file.

    Each look reads what was appended since. The file stays open, so that its inode is no other file's.
    """

    def __init__(self, path: Path) -> None:
        """OSError: it cannot be opened."""
        self._file = os.open(path, os.O_RDONLY)
        self._reader = RecordReader(read_clocks())
        self.inode = os.fstat(self._file).st_ino
        self.accepted: dict[bytes, float] = {}  # when, by message that is owed
        self.keys: dict[str, dict[bytes, float]] = {}  # the same, by key
        self.ended: dict[bytes, float] = {}  # when, by message that is over
        self.out: dict[bytes, str] = {}  # over which route, by message with a call out
        self.waits: dict[str, float] = {}  # by route: until when, by the monotonic clock
        self.rests: dict[str, float] = {}  # by key: until when
        self.routes: dict[str, RouteRecord] = {}
        self._key_of: dict[bytes, str] = {}

    def read(self) -> bool:
        """Read what was appended; whether there was something. OSError: it cannot be read now."""
        found = False
        while data := os.pread(self._file, READ_SIZE, self._reader.size):
            size = self._reader.size
            for fields, _ in self._reader.read(data):
                self._apply(*fields)
            if self._reader.size == size:  # the rest is a record that is being written, or never was
                break
            found = True
        return found

    def close(self) -> None:
        """Close the file."""
        if self._file >= 0:
            os.close(self._file)
        self._file = -1

    def _apply(self, kind: str, subject: str, *rest: Any) -> None:
        shift = self._reader.shift
        name = subject.encode()
        match kind:
            case "mail":
                key, out = rest[0], rest[-1]
                # One of an older release has no record of when: by now, and so before what is accepted next.
                self._accept(name, key, time.monotonic())
                if out is not None:
                    self.out[name] = ""
            case "accepted":
                self._accept(name, self._key_of.get(name), rest[0] + shift)
            case "out":
                self.out[name] = rest[1] if len(rest) > 1 else ""  # an older release does not say
            case "sent_to":
                self.out[name] = rest[0]
            case "back" | "end":
                self.out.pop(name, None)
            case "over":
                self._over(name)
            case "wait":
                self.waits[subject] = rest[0] + shift
            case "rest":
                self.rests[subject] = rest[0] + shift
            case "route":
                self.routes[subject] = decode_route(rest, shift)

    def _accept(self, name: bytes, key: str | None, at: float) -> None:
        self.accepted[name] = at
        if key is not None:
            self._key_of[name] = key
            self.keys.setdefault(key, {})[name] = at

    def _over(self, name: bytes) -> None:
        self.accepted.pop(name, None)
        self.out.pop(name, None)
        if (key := self._key_of.pop(name, None)) is not None:
            self.keys[key].pop(name, None)
            if not self.keys[key]:
                del self.keys[key]
        now = time.monotonic()
        self.ended = {each: at for each, at in self.ended.items() if at > now - ENDED_KEPT}
        self.ended[name] = now
