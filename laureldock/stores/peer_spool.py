"""Reading the spool file of another living process of this dispatcher, while it grows."""

from __future__ import annotations

import os
from pathlib import Path

from laureldock.stores.spool_records import decode_records


class PeerSpool:
    """Keys of messages that another process owes, and routes that told it to wait.

    Each look reads what was appended since; a file that was written anew is read from its start.
    """

    def __init__(self) -> None:
        self._inode, self._size = -1, 0
        self._keys: dict[str, str] = {}  # by name of the message
        self.waits: dict[str, float] = {}  # by route: until when, by the wall clock

    def keys(self, path: Path) -> list[str]:
        """Keys of messages that are owed now; none if the file cannot be read."""
        try:
            data = self._read_appended(path)
        except OSError:
            return []
        start = self._size
        for offset, fields, _ in decode_records(data):
            self._size = start + offset
            kind, name, *rest = fields
            if kind == "mail" and rest[0]:
                self._keys[name] = rest[0]
            elif kind == "over":
                self._keys.pop(name, None)
            elif kind == "wait":
                self.waits[name] = rest[0]
        return list(self._keys.values())

    def _read_appended(self, path: Path) -> bytes:
        with path.open("rb") as file:
            inode = os.fstat(file.fileno()).st_ino
            if inode != self._inode:
                self._inode, self._size, self._keys = inode, 0, {}
            file.seek(self._size)
            return file.read()
