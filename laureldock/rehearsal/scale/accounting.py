"""Resource usage of one hollow member: CPU time of its callbacks, bytes and messages on its sockets."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from msgspec import Struct


class Traffic(Struct):
    """Traffic on one kind of socket. Bytes are payload, without the headers of IP, UDP and TCP."""

    sent: int = 0  # datagrams, or writes to a stream
    bytes_sent: int = 0
    received: int = 0  # datagrams, or reads from a stream
    bytes_received: int = 0

    def count_sent(self, size: int) -> None:
        self.sent += 1
        self.bytes_sent += size

    def count_received(self, size: int) -> None:
        self.received += 1
        self.bytes_received += size


@dataclass(slots=True)
class ResourceUsage:
    """Counters of one member. They outlive its restarts, so that the difference of two samples is valid."""

    view_datagrams: Traffic = field(default_factory=Traffic)
    view_streams: Traffic = field(default_factory=Traffic)
    configuration: Traffic = field(default_factory=Traffic)
    cpu_nanoseconds: int = 0
    _measuring: bool = False

    def measure_call(self, function: Callable[..., Any], *arguments: Any, **named: Any) -> Any:
        """Call `function` and add its CPU time, as measured on this thread, to this member's.

        A nested call is counted once, as part of the outer one.
        """
        if self._measuring:
            return function(*arguments, **named)
        self._measuring = True
        began = time.thread_time_ns()
        try:
            return function(*arguments, **named)
        finally:
            self.cpu_nanoseconds += time.thread_time_ns() - began
            self._measuring = False
