"""Messages as the core keeps them: those in the store, which outlive the process, and those in memory."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Any, Protocol

from laureldock import interface

# Seconds before the end of a message's lifetime at which its last call is given up, so that a response which
# arrives at that moment, or is read a little later, is still in time.
RESPONSE_MARGIN = 0.04


@dataclass(eq=False, slots=True)
class StoredMessage:
    """A message as the store has it. Times are seconds of the monotonic clock, which outlives the process."""

    name: bytes
    key: str | None
    queue_class: str
    customer: str
    tag: bytes
    destination: Any  # a number or a name, as in the endpoint list
    expires_at: float
    body: bytes
    attempts: int = 0
    first_may_have_run_at: float | None = None  # when the first attempt that may have run was sent
    in_flight_since: float | None = None  # when the last attempt was sent, unless its end is recorded
    route: str = ""  # of that attempt
    # When it was accepted; messages of a key are sent in that order. -inf if an older release accepted it.
    accepted_at: float = -inf
    # The queue class as it was when the message was accepted. None if an older release accepted it.
    accepted_class: interface.QueueClass | None = None
    notice: bytes = b""  # not acknowledged yet; by it the message ends undelivered
    reserved_bytes: int = 0  # bytes reserved for it in the store


class ReplyKind(Enum):
    """The replies that a client may get."""

    ACCEPTED = "taken on"
    BUSY = "come again"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a submitted message."""

    kind: ReplyKind
    retry_after: float = 0.0  # seconds; 0 for no advice


ACCEPTED = Reply(ReplyKind.ACCEPTED)


class Submitter(Protocol):
    """The client connection that submitted a message and waits for the reply."""

    def reply(self, reply: Reply) -> None:
        """Send the reply; called once for each message."""


@dataclass(eq=False, slots=True)
class HeldMessage:
    """A message that this process holds; `message` is what the delivery policy knows of it."""

    name: bytes
    tag: bytes
    body: bytes
    message: interface.Message
    expires_at: float  # seconds of the monotonic clock
    submitter: Submitter | None = None  # until the reply is sent
    refusal: Reply | None = None
    recorded_attempt: interface.Attempt | None = None  # the last attempt whose start is in the store
    attempts: int = 0  # by this process

    def call_timeout(self, timeout: float, now: float) -> float:
        """Seconds that a call may take: `timeout`, or less if the lifetime is nearly over."""
        return max(0.0, min(timeout, self.expires_at - now - RESPONSE_MARGIN))


def encode_notice(name: bytes, handed_back: bool, retry_after: float) -> bytes:
    """The notice that an accepted message ended undelivered: a line of JSON."""
    fields: dict[str, object] = {"message": name.decode("ascii"), "outcome": "given_up"}
    if handed_back:
        fields["outcome"] = "handed_back"
        if retry_ms := round(retry_after * 1000):
            fields["retry_in_ms"] = retry_ms
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
