"""Notices in the log, or in a file of JSON lines: taken once they are written."""

from __future__ import annotations

import contextlib
import errno
import json
import os
from pathlib import Path

from laureldock.core.protocols import NoticeListener
from laureldock.file_locks import open_locked
from laureldock.file_writes import write_whole

MAX_LINE = 1 << 16  # bytes, far over any notice
# Seconds until a file that cannot be written is tried again: an end may be told 0.3 s late at most.
PAUSE = 0.05


class LineFile:
    """A file of lines, opened for a few of them. A half line that a kill left is written over.

    It is locked meanwhile: another process of this dispatcher may have lines for it. OSError.
    """

    def __init__(self, path: Path) -> None:
        descriptor = open_locked(path)
        if descriptor is None:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        self.descriptor = descriptor
        try:
            self.size = self._whole_lines()
        except OSError:
            self.close()
            raise

    def _whole_lines(self) -> int:
        """Bytes of the lines that are whole."""
        length = os.fstat(self.descriptor).st_size
        begin = max(0, length - MAX_LINE)
        end = os.pread(self.descriptor, MAX_LINE, begin)
        return begin + end.rfind(b"\n") + 1

    def append(self, line: bytes) -> None:
        """Add a line whole, or no whole line. OSError."""
        try:
            write_whole(self.descriptor, line, self.size)
        except OSError:
            with contextlib.suppress(OSError):
                os.ftruncate(self.descriptor, self.size)
            raise
        self.size += len(line)

    def close(self) -> None:
        os.close(self.descriptor)


class Lines:
    def __init__(self, core: NoticeListener, path: Path | None) -> None:
        self.core, self.path = core, path
        self.kept: dict[bytes, bytes] = {}
        self.due = self.failing = False

    @property
    def pending_count(self) -> int:
        return len(self.kept)

    def has_pending(self, name: bytes) -> bool:
        return name in self.kept

    def send_notice(self, name: bytes, line: bytes) -> None:
        self.kept[name] = line
        self.soon(0.0)

    def soon(self, after: float) -> None:
        """All that end in one turn are written together."""
        if not self.due:
            self.due = True
            self.core.call_later(after, self.write)

    def write(self) -> None:
        self.due = False
        written: list[bytes] = []
        try:
            self._write_all(written)
        except OSError as fault:
            if not self.failing:
                self.core.log.warning("notices not taken", waiting=len(self.kept), fault=str(fault))
            self.failing = True
            self.soon(PAUSE)
        else:
            if self.failing:
                self.core.log.info("notices taken again", waiting=0)
            self.failing = False
        for name in written:
            del self.kept[name]
            self.core.notice_acknowledged(name)

    def _write_all(self, written: list[bytes]) -> None:
        """Write what is kept, a line at a time; `written` are those that are. OSError."""
        if self.path is None:
            for name, line in self.kept.items():
                self.core.log.info("undelivered", **json.loads(line))
                written.append(name)
            return
        file = LineFile(self.path)
        try:
            for name, line in self.kept.items():
                file.append(line)
                written.append(name)
        finally:
            file.close()

    def close(self) -> None:
        """What is not written yet is owed by the store, and written at the next start."""
