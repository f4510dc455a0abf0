"""Structured logs: named events as JSON to a file or pipe or as text to a terminal, with a limited rate."""

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


class EventRateLimit:
    """Limits the lines per event and second; the next line after a limited second counts those left out."""

    def __init__(self, burst: int, now: Callable[[], float] = time.monotonic) -> None:
        self.burst, self.now = burst, now
        self.windows: dict[str, tuple[float, int]] = {}  # by event: start of its second, number of lines

    def __call__(self, logger: Any, method: str, event: Event) -> Event:
        name, now = str(event.get("event")), self.now()
        since, count = self.windows.get(name, (now, 0))
        if now - since >= 1.0:
            if count > self.burst:
                event["left_out"] = count - self.burst
            since, count = now, 0
        self.windows[name] = since, count + 1
        if count >= self.burst:
            raise structlog.DropEvent
        return event


class LossyStream:
    """Drops and counts lines that cannot be written, so that no full disk or closed pipe stops it."""

    def __init__(self, file: TextIO) -> None:
        self.file = file
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write the text, or drop it on an error."""
        try:
            self.file.write(text)
        except (OSError, ValueError):  # ValueError: closed
            self.dropped += 1

    def flush(self) -> None:
        """Flush, or count a drop on an error."""
        try:
            self.file.flush()
        except (OSError, ValueError):
            self.dropped += 1

    def isatty(self) -> bool:
        """Whether the stream is a terminal."""
        return self.file.isatty()


def add_process_id(logger: Any, method: str, event: Event) -> Event:
    """Add the process id: during a handover two processes of one dispatcher log side by side."""
    event["process_id"] = os.getpid()
    return event


class Logs:
    def __init__(self, settings: Log, platform: bool = False) -> None:
        self.path, self.file = settings.path, self.open_stream(settings.path)
        self.min_level = logging.INFO
        self.rate_limit = EventRateLimit(settings.burst)
        self.reconfigure(settings)
        text = settings.format == "text" or (
            settings.format == "auto" and not platform and self.file.isatty()
        )
        render: Any = structlog.dev.ConsoleRenderer() if text else structlog.processors.JSONRenderer()
        structlog.configure(
            processors=[
                self.filter_level,
                structlog.processors.add_log_level,
                add_process_id,
                self.rate_limit,
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                *([] if text else [structlog.processors.format_exc_info]),
                render,
            ],
            logger_factory=structlog.PrintLoggerFactory(cast(TextIO, self.file)),
        )

    @staticmethod
    def open_stream(path: str | None) -> LossyStream:
        return LossyStream(open(path, "a", encoding="utf-8", buffering=1) if path else sys.stdout)

    def filter_level(self, logger: Any, method: str, event: Event) -> Event:
        if logging.getLevelNamesMapping().get(method.upper(), logging.ERROR) < self.min_level:
            raise structlog.DropEvent
        return event

    def reconfigure(self, settings: Log) -> None:
        """Apply another level and burst. Format and path change only with a restart."""
        self.min_level = logging.getLevelNamesMapping()[settings.level.upper()]
        self.rate_limit.burst = settings.burst
