"""Makes system calls of this process fail in the ways that Linux documents, for tests and for the soak.

Functions of `os`, `socket` and `time` are replaced inside the interpreter; no other process is affected. The
faults are given as windows of the monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import time
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec


class SystemCallFault(StrEnum):
    """The calls that fail during a window, and how."""

    DISK_ERROR = "disk error"  # writes, syncs, truncations, renames and new files: EIO or ENOSPC
    DISK_SHORT = "disk short"  # writes end early, and truncations fail
    ACCEPT = "accept"  # ECONNABORTED, ENFILE, ENOBUFS and the like
    SOCKET = "socket"  # no new socket: ENFILE, ENOBUFS
    CONNECT = "connect"  # EADDRNOTAVAIL, ENETUNREACH
    BROKEN = "broken"  # a read or write of a connection fails: ETIMEDOUT, EHOSTUNREACH
    SHORT = "short"  # reads and writes of connections transfer a few bytes only
    CLOCK = "clock"  # the wall clock is `step` seconds off


class FaultWindow(msgspec.Struct, frozen=True):
    """A fault between two times.

    `since` and `until` are seconds of the monotonic clock; `share` is the fraction of the calls that fail,
    from 0 to 1; `step` is the offset of the wall clock in seconds.
    """

    fault: SystemCallFault
    since: float
    until: float
    share: float = 1.0
    step: float = 0.0


DISK_ERRORS = (errno.EIO, errno.ENOSPC)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO, errno.ENETUNREACH)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
SHORT_TRANSFER = 7  # bytes


class FaultInjector:
    """Injects the faults of one process. `folder` is the one whose files are affected."""

    def __init__(self, folder: Path, seed: int, windows: list[FaultWindow]) -> None:
        self.folder = str(folder.resolve())
        self.windows = windows
        self.rng = random.Random(seed)
        self.failed_calls = 0
        self._replaced: list[tuple[Any, str, Any]] = []
        self._monotonic = time.monotonic

    def draw_fault(self, *faults: SystemCallFault) -> SystemCallFault | None:
        """Return which of these faults affects the call that is made now, if any."""
        now = self._monotonic()
        for window in self.windows:
            active = window.fault in faults and window.since <= now < window.until
            if active and self.rng.random() < window.share:
                self.failed_calls += 1
                return window.fault
        return None

    def clock_offset(self) -> float:
        """Return the seconds by which the wall clock is off now."""
        now = self._monotonic()
        steps = [
            window.step
            for window in self.windows
            if window.fault is SystemCallFault.CLOCK and window.since <= now < window.until
        ]
        return sum(steps)

    def install(self) -> None:
        """Replace the calls, until `remove`."""
        self._install_disk()
        self._install_clock()
        self._install_sockets()

    def remove(self) -> None:
        """Restore the original calls."""
        while self._replaced:
            module, name, original = self._replaced.pop()
            setattr(module, name, original)

    def _replace(self, module: Any, name: str, make: Callable[[Any], Any]) -> None:
        original = getattr(module, name)
        self._replaced.append((module, name, original))
        setattr(module, name, make(original))

    def _install_disk(self) -> None:
        for name in ("write", "pwrite"):
            self._replace(os, name, self._failing_write)
        for name in ("ftruncate", "fsync", "fdatasync"):
            self._replace(os, name, self._failing_on_descriptor)
        for name in ("rename", "replace", "link"):
            self._replace(os, name, self._failing_rename)
        self._replace(os, "open", self._failing_open)

    def _in_folder(self, descriptor: int) -> bool:
        try:
            return os.readlink(f"/proc/self/fd/{descriptor}").startswith(self.folder)
        except OSError:
            return False

    def _fail(self, errors: tuple[int, ...]) -> None:
        number = self.rng.choice(errors)
        raise OSError(number, os.strerror(number))

    def _failing_write(self, original: Any) -> Any:
        def write(descriptor: int, data: bytes, *arguments: Any) -> int:
            if not self._in_folder(descriptor):
                return int(original(descriptor, data, *arguments))
            match self.draw_fault(SystemCallFault.DISK_ERROR, SystemCallFault.DISK_SHORT):
                case SystemCallFault.DISK_ERROR:
                    self._fail(DISK_ERRORS)
                case SystemCallFault.DISK_SHORT if len(data) > 1:
                    return int(
                        original(descriptor, bytes(data)[: self.rng.randrange(1, len(data))], *arguments)
                    )
            return int(original(descriptor, data, *arguments))

        return write

    def _failing_on_descriptor(self, original: Any) -> Any:
        def call(descriptor: int, *arguments: Any) -> Any:
            if self._in_folder(descriptor) and self.draw_fault(
                SystemCallFault.DISK_ERROR, SystemCallFault.DISK_SHORT
            ):
                self._fail(DISK_ERRORS)
            return original(descriptor, *arguments)

        return call

    def _failing_rename(self, original: Any) -> Any:
        def rename(source: Any, target: Any, **options: Any) -> None:
            if os.fspath(target).startswith(self.folder) and self.draw_fault(SystemCallFault.DISK_ERROR):
                self._fail(DISK_ERRORS)
            original(source, target, **options)

        return rename

    def _failing_open(self, original: Any) -> Any:
        def open_file(path: Any, flags: int, *arguments: Any, **options: Any) -> int:
            in_folder = not isinstance(path, int) and os.fspath(path).startswith(self.folder)
            creates = in_folder and flags & os.O_CREAT and not os.path.exists(path)
            if creates and self.draw_fault(SystemCallFault.DISK_ERROR):
                self._fail(DISK_ERRORS)
            return int(original(path, flags, *arguments, **options))

        return open_file

    def _install_clock(self) -> None:
        def make(original: Any) -> Any:
            return lambda: original() + self.clock_offset()

        self._replace(time, "time", make)

    def _install_sockets(self) -> None:
        injector = self

        class FailingSocket(socket.socket):
            def __init__(self, *arguments: Any, **options: Any) -> None:
                accepted = options.get("fileno") is not None
                if not accepted and injector.draw_fault(SystemCallFault.SOCKET):
                    injector._fail(SOCKET_ERRORS)
                super().__init__(*arguments, **options)

            def accept(self) -> Any:
                if injector.draw_fault(SystemCallFault.ACCEPT):
                    injector._fail(ACCEPT_ERRORS)
                return super().accept()

            def connect_ex(self, address: Any) -> int:
                if injector.draw_fault(SystemCallFault.CONNECT):
                    return injector.rng.choice(CONNECT_ERRORS)
                return super().connect_ex(address)

            def recv(self, size: int, flags: int = 0) -> bytes:
                if not flags:
                    match injector.draw_fault(SystemCallFault.BROKEN, SystemCallFault.SHORT):
                        case SystemCallFault.BROKEN:
                            injector._fail(BROKEN_ERRORS)
                        case SystemCallFault.SHORT:
                            size = min(size, SHORT_TRANSFER)
                return super().recv(size, flags)

            def send(self, data: Any, flags: int = 0) -> int:
                match injector.draw_fault(SystemCallFault.BROKEN, SystemCallFault.SHORT):
                    case SystemCallFault.BROKEN:
                        injector._fail(BROKEN_ERRORS)
                    case SystemCallFault.SHORT:
                        data = data[:SHORT_TRANSFER]
                return super().send(data, flags)

        self._replace(socket, "socket", lambda _: FailingSocket)
