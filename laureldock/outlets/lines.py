"""Outlet to the log or to a file of JSON lines; a notice is acknowledged once it is written."""

from __future__ import annotations

import contextlib
import errno
import json
import os
from pathlib import Path

from laureldock.core.protocols import NoticeListener
from laureldock.file_locks import open_locked
from laureldock.file_writes import write_whole

MAX_LINE_BYTES = 1 << 16  # far more than any notice has
# Seconds until a file that cannot be written is tried again. The end of a message may be reported 0.3 s late
# at most.
RETRY_INTERVAL = 0.05


class LineFile:
    """A file of lines, opened and locked to append a few. An incomplete last line is overwritten.

    A process that is killed while it writes leaves an incomplete line. The file is locked because another
    process of this dispatcher may append to it too. Raises OSError; BlockingIOError while it is locked.
    """

    def __init__(self, path: Path) -> None:
        descriptor = open_locked(path)
        if descriptor is None:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        self.descriptor = descriptor
        try:
            self.size = self._complete_lines_size()
        except OSError:
            self.close()
            raise

    def _complete_lines_size(self) -> int:
        """The size in bytes of the complete lines."""
        file_size = os.fstat(self.descriptor).st_size
        offset = max(0, file_size - MAX_LINE_BYTES)
        tail = os.pread(self.descriptor, MAX_LINE_BYTES, offset)
        return offset + tail.rfind(b"\n") + 1

    def append(self, line: bytes) -> None:
        """Append a complete line. Raises OSError, and then no complete line was added."""
        try:
            write_whole(self.descriptor, line, self.size)
        except OSError:
            with contextlib.suppress(OSError):
                os.ftruncate(self.descriptor, self.size)
            raise
        self.size += len(line)

    def close(self) -> None:
        os.close(self.descriptor)


class LineOutlet:
    """Writes notices to the file at `path`, or to the log if it is None."""

    def __init__(self, core: NoticeListener, path: Path | None) -> None:
        self.core, self.path = core, path
        self.pending: dict[bytes, bytes] = {}  # notices that are not written yet, by message name
        self.write_scheduled = self.failing = False

    @property
    def pending_count(self) -> int:
        return len(self.pending)

    def has_pending(self, name: bytes) -> bool:
        return name in self.pending

    def send_notice(self, name: bytes, line: bytes) -> None:
        self.pending[name] = line
        self.schedule_write(0.0)

    def schedule_write(self, delay: float) -> None:
        """Write after `delay` seconds, unless a write is scheduled: one write has all notices of a turn."""
        if not self.write_scheduled:
            self.write_scheduled = True
            self.core.call_later(delay, self.write)

    def write(self) -> None:
        self.write_scheduled = False
        written: list[bytes] = []
        try:
            self._write_pending(written)
        except OSError as error:
            if not self.failing:
                self.core.log.warning("notices not taken", waiting=len(self.pending), fault=str(error))
            self.failing = True
            self.schedule_write(RETRY_INTERVAL)
        else:
            if self.failing:
                self.core.log.info("notices taken again", waiting=0)
            self.failing = False
        for name in written:
            del self.pending[name]
            self.core.notice_acknowledged(name)

    def _write_pending(self, written: list[bytes]) -> None:
        """Write the pending notices one by one, adding the name of each to `written`. Raises OSError."""
        if self.path is None:
            for name, line in self.pending.items():
                self.core.log.info("undelivered", **json.loads(line))
                written.append(name)
            return
        file = LineFile(self.path)
        try:
            for name, line in self.pending.items():
                file.append(line)
                written.append(name)
        finally:
            file.close()

    def close(self) -> None:
        """Does nothing: the store keeps unwritten notices, and they are written at the next start."""
