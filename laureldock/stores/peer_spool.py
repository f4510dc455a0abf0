"""Reading the spool file of another living process of this dispatcher, while it grows."""

from __future__ import annotations

import os
from pathlib import Path

from laureldock.clocks import read_clocks
from laureldock.stores.spool_records import RecordReader


class PeerSpool:
    """Keys of messages that another process owes, and routes that told it to wait.

    Each look reads what was appended since; a file that was written anew is read from its start.
    """

    def __init__(self) -> None:
        self._inode = -1
        self._reader = RecordReader(read_clocks())
        self._keys: dict[str, str] = {}  # by name of the message
        self.waits: dict[str, float] = {}  # by route: until when, by the monotonic clock

    def keys(self, path: Path) -> list[str]:
        """Keys of messages that are owed now; none if the file cannot be read."""
        try:
            data = self._read_appended(path)
        except OSError:
            return []
        for fields, _ in self._reader.read(data):
            kind, name, *rest = fields
            if kind == "mail" and rest[0]:
                self._keys[name] = rest[0]
            elif kind == "over":
                self._keys.pop(name, None)
            elif kind == "wait":
                self.waits[name] = rest[0] + self._reader.shift
        return list(self._keys.values())

    def _read_appended(self, path: Path) -> bytes:
        with path.open("rb") as file:
            inode = os.fstat(file.fileno()).st_ino
            if inode != self._inode:
                self._inode, self._keys = inode, {}
                self._reader = RecordReader(read_clocks())
            file.seek(self._reader.size)
            return file.read()
