"""Decides when a persistent connection may carry its next request. No I/O; times are seconds of one clock.

An HTTP/1.1 response does not say which request it answers. If a server sends one again a moment later, the
copy is read as the response to the next request, and that request's own response as the one to the request
after it: the connection stays one response behind. So a connection rests after each response. A copy that
arrives while it rests answers nothing, and ends the connection. Where copies come later, connections rest for
longer; where one was read as a response all the same, they carry one request each.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import Protocol

# Seconds for which a connection rests after a response, at least and at most.
MIN_REST, MAX_REST = 0.02, 0.25
# The rest as a multiple of the longest delay of a copy, once so many delays are known.
DELAY_MULTIPLE, ENOUGH_DELAYS = 2.0, 20
# Seconds that a request waits for a connection that rests. For a longer rest, a new connection is opened.
MAX_WAIT = 0.05
MIN_DELAY = 0.001  # seconds; what comes sooner was read with its original, and can cross no request
MEMORY_TIME = 600.0  # seconds for which it counts that copies were seen
COMPARED_BYTES = 512  # of a response, from its start
# A server may announce with this status that it closes an idle connection (RFC 9110, section 15.5.9).
IDLE_TIMEOUT_STATUS = b"408"


class ExtraBytes(StrEnum):
    """What arrived on a connection without a request. The values are names of counters and log fields."""

    COPY = "response repeated"  # the last response again
    # A response, but not the last one again: a copy was read as the response to an earlier request.
    ONE_BEHIND = "responses one behind"
    OTHER = "bytes without a request"


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """The start of a response, and when its last byte was read."""

    start: bytes
    ended_at: float


class ConnectionHistory:
    """The last two responses on one connection."""

    def __init__(self) -> None:
        self.responses: deque[ReceivedResponse] = deque(maxlen=2)
        self.had_equal_responses = False  # in a row, at any time

    def response_ended(self, now: float, start: bytes) -> None:
        """A response was read whole; `start`: its first bytes, `COMPARED_BYTES` at most."""
        if self.responses and self.responses[-1].start == start:
            self.had_equal_responses = True
        self.responses.append(ReceivedResponse(start, now))

    def classify(self, extra: bytes) -> ExtraBytes:
        """What bytes without a request are; `extra`: as far as they have arrived."""
        if self.responses and self.responses[-1].start.startswith(extra[:COMPARED_BYTES]):
            return ExtraBytes.COPY
        status = extra[len(b"HTTP/1.1 ") :][: len(IDLE_TIMEOUT_STATUS)]
        is_response = extra.startswith(b"HTTP/1.") and status != IDLE_TIMEOUT_STATUS
        return ExtraBytes.ONE_BEHIND if is_response and self.had_equal_responses else ExtraBytes.OTHER

    def delay(self, now: float, kind: ExtraBytes) -> float:
        """Seconds by which a copy came after its original, as far as is known."""
        if not self.responses:
            return 0.0
        if kind is ExtraBytes.ONE_BEHIND:  # the last response was the copy
            return self.responses[-1].ended_at - self.responses[0].ended_at
        return now - self.responses[-1].ended_at


class RestTimes:
    """For how long connections rest, by the copies that were seen on any of them."""

    def __init__(self) -> None:
        self.delay_count, self.longest_delay, self.seen_at = 0, 0.0, -inf

    def rest_time(self, now: float) -> float:
        """Seconds for which a connection rests after a response: the longest time while little is known."""
        if now > self.seen_at + MEMORY_TIME:
            self.delay_count, self.longest_delay = 0, 0.0
        if 0 < self.delay_count < ENOUGH_DELAYS:
            return MAX_REST
        return min(MAX_REST, max(MIN_REST, DELAY_MULTIPLE * self.longest_delay))

    def copy_seen(self, now: float, delay: float) -> None:
        """A copy came `delay` seconds after its original."""
        self.delay_count += 1
        self.longest_delay = max(self.longest_delay, delay)
        self.seen_at = now


class ConnectionReuse:
    """When the connections to one address may carry their next requests."""

    def __init__(self, rest_times: RestTimes) -> None:
        self.rest_times = rest_times
        self.single_use_until = -inf  # until then, a connection carries one request

    def ready_at(self, now: float) -> float:
        """When a connection whose response has just ended will have rested; infinity for never."""
        return inf if now < self.single_use_until else now + self.rest_times.rest_time(now)

    def extra_bytes_received(self, now: float, extra: bytes, history: ConnectionHistory) -> ExtraBytes:
        """Bytes arrived on a connection without a request; return what they are."""
        kind = history.classify(extra)
        delay = history.delay(now, kind)
        if delay >= MIN_DELAY and (kind is not ExtraBytes.OTHER or delay <= MAX_REST):
            self.rest_times.copy_seen(now, delay)
        if kind is ExtraBytes.ONE_BEHIND or (kind is ExtraBytes.COPY and delay > MAX_REST):
            self.single_use_until = now + MEMORY_TIME
        return kind


class RestingConnection(Protocol):
    """A connection, with the time at which it will have rested."""

    ready_at: float


def choose_connection(
    idle: Sequence[tuple[float, RestingConnection]], now: float, max_idle_time: float, time_limit: float
) -> int | None:
    """Choose the connection for the next request; return its index, None to open a new one.

    `idle`: connections with the times at which they became idle, the longest idle first. Those that were idle
    for longer than `max_idle_time` seconds are not used. The chosen one may have to rest yet, for `MAX_WAIT`
    and `time_limit` seconds at most.
    """
    usable = [index for index, (since, _) in enumerate(idle) if since >= now - max_idle_time]
    rested = [index for index in usable if idle[index][1].ready_at <= now]
    if rested:
        return rested[-1]  # the newest: it is the least likely to have gone stale
    next_ready = min(usable, key=lambda index: idle[index][1].ready_at, default=None)
    if next_ready is None or idle[next_ready][1].ready_at > now + min(MAX_WAIT, time_limit):
        return None
    return next_ready
