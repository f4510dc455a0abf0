"""Stub servers that send some of their responses once more, a moment later."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

# Seconds. A copy that a busy process would send later than that after its range of delays is not sent.
MAX_LATENESS = 0.01


@dataclass(frozen=True, slots=True)
class ResponseRepeats:
    """A stub server decides at some responses to send them once more. Delays are in seconds, and drawn."""

    share: float  # fraction of the responses
    min_delay: float
    max_delay: float
    crosses_requests: bool = True  # also if the next request has been read by then


@dataclass(frozen=True, slots=True)
class RepeatedResponse:
    """A response that was sent once more."""

    server: str
    connection: int
    status: int
    repeated_at: float  # seconds of the wall clock
    crossed_request: bool  # the next request had been read, in part at least, and had no response yet


@dataclass(slots=True)
class StubConnection:
    """A connection to a stub server. `request_open`: a request has begun and has no response yet."""

    number: int
    writer: asyncio.StreamWriter
    request_open: bool = False


class ResponseRepeater:
    """Sends the copies of one stub server; `repeated` has those that were sent."""

    def __init__(self, server: str, repeats: ResponseRepeats | None, seed: int) -> None:
        self.server, self.repeats = server, repeats
        self.repeated: list[RepeatedResponse] = []
        self._rng = random.Random(seed)

    def response_sent(self, connection: StubConnection, status: int, response: bytes) -> None:
        """Decide whether a response that was just written is sent once more, and when."""
        if self.repeats and self._rng.random() < self.repeats.share:
            delay = self._rng.uniform(self.repeats.min_delay, self.repeats.max_delay)
            loop = asyncio.get_running_loop()
            latest = loop.time() + self.repeats.max_delay + MAX_LATENESS
            loop.call_later(delay, self._repeat, self.repeats, latest, connection, status, response)

    def _repeat(
        self,
        repeats: ResponseRepeats,
        latest: float,
        connection: StubConnection,
        status: int,
        response: bytes,
    ) -> None:
        crosses = connection.request_open
        too_late = asyncio.get_running_loop().time() > latest
        if connection.writer.is_closing() or too_late or (crosses and not repeats.crosses_requests):
            return
        connection.writer.write(response)
        self.repeated.append(RepeatedResponse(self.server, connection.number, status, time.time(), crosses))
