"""Structured logs: one name an event, JSON to a file or pipe, text to a terminal, bounded under abuse."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO, cast

import structlog

from laureldock.setup.plan import Log

Event = MutableMapping[str, Any]


class Bound:
    """At most so many lines of one event a second; the next one says how many were left out."""

    def __init__(self, burst: int, now: Callable[[], float] = time.monotonic) -> None:
        self.burst, self.now = burst, now
        self.seen: dict[str, tuple[float, int]] = {}  # since when, and how many

    def __call__(self, logger: Any, method: str, event: Event) -> Event:
        name, now = str(event.get("event")), self.now()
        since, count = self.seen.get(name, (now, 0))
        if now - since >= 1.0:
            if count > self.burst:
                event["left_out"] = count - self.burst
            since, count = now, 0
        self.seen[name] = since, count + 1
        if count >= self.burst:
            raise structlog.DropEvent
        return event


class LossyStream:
    """Drops and counts lines that cannot be written: a full disk or a closed pipe ends no dispatcher."""

    def __init__(self, file: TextIO) -> None:
        self.file = file
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write, or drop it."""
        try:
            self.file.write(text)
        except (OSError, ValueError):  # ValueError: closed
            self.dropped += 1

    def flush(self) -> None:
        """Flush, or drop what cannot be."""
        try:
            self.file.flush()
        except (OSError, ValueError):
            self.dropped += 1

    def isatty(self) -> bool:
        """Whether a person reads it."""
        return self.file.isatty()


def add_process_id(logger: Any, method: str, event: Event) -> Event:
    """Two processes of one dispatcher log beside each other while one hands over."""
    event["process_id"] = os.getpid()
    return event


class Logs:
    def __init__(self, told: Log, platform: bool = False) -> None:
        self.path, self.file = told.path, self.opened(told.path)
        self.least = logging.INFO
        self.bound = Bound(told.burst)
        self.retell(told)
        text = told.format == "text" or (told.format == "auto" and not platform and self.file.isatty())
        render: Any = structlog.dev.ConsoleRenderer() if text else structlog.processors.JSONRenderer()
        structlog.configure(
            processors=[
                self.filtered,
                structlog.processors.add_log_level,
                add_process_id,
                self.bound,
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                *([] if text else [structlog.processors.format_exc_info]),
                render,
            ],
            logger_factory=structlog.PrintLoggerFactory(cast(TextIO, self.file)),
        )

    @staticmethod
    def opened(path: str | None) -> LossyStream:
        return LossyStream(open(path, "a", encoding="utf-8", buffering=1) if path else sys.stdout)

    def filtered(self, logger: Any, method: str, event: Event) -> Event:
        if logging.getLevelNamesMapping().get(method.upper(), logging.ERROR) < self.least:
            raise structlog.DropEvent
        return event

    def retell(self, told: Log) -> None:
        """Another level and burst from now on; format and path hold until the next start."""
        self.least = logging.getLevelNamesMapping()[told.level.upper()]
        self.bound.burst = told.burst
