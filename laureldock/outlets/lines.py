"""Notices in the log, or in a file of JSON lines: taken once they are written."""

from __future__ import annotations

import json
from pathlib import Path

from laureldock.core.seams import Noticed

# Until a file that cannot be written is tried again.
PAUSE = 1.0


def append(path: Path, data: bytes) -> None:
    """All of it or nothing, so that a full disk leaves no half line behind. OSError."""
    with path.open("ab", buffering=0) as file:
        size = file.tell()
        if file.write(data) != len(data):
            file.truncate(size)
            raise OSError("its disk is full")


class Lines:
    def __init__(self, core: Noticed, path: Path | None) -> None:
        self.core, self.path = core, path
        self.kept: dict[bytes, bytes] = {}
        self.due = self.failing = False

    @property
    def waiting(self) -> int:
        return len(self.kept)

    def owes(self, name: bytes) -> bool:
        return name in self.kept

    def put(self, name: bytes, line: bytes) -> None:
        self.kept[name] = line
        self.soon(0.0)

    def soon(self, after: float) -> None:
        """All that end in one turn are written together."""
        if not self.due:
            self.due = True
            self.core.later(after, self.write)

    def write(self) -> None:
        self.due = False
        lines, self.kept = self.kept, {}
        try:
            if self.path:
                append(self.path, b"".join(lines.values()))
            else:
                for line in lines.values():
                    self.core.log.info("undelivered", **json.loads(line))
        except OSError as fault:
            self.kept = {**lines, **self.kept}
            if not self.failing:
                self.core.log.warning("notices not taken", waiting=len(self.kept), fault=str(fault))
            self.failing = True
            self.soon(PAUSE)
            return
        if self.failing:
            self.core.log.info("notices taken again", waiting=0)
        self.failing = False
        for name in lines:
            self.core.noticed(name)

    def close(self) -> None:
        """What is not written yet is owed by the store, and written at the next start."""
