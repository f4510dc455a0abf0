"""Messages as the core keeps them: stored ones, which outlive the process, and those it holds now."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Any, Protocol

from laureldock import interface

# Seconds before the end of a message's lifetime by which its last call is given up: an answer that crosses
# that, or is read a moment later, is still in time.
ANSWER_MARGIN = 0.04


@dataclass(eq=False, slots=True)
class StoredMessage:
    """A message as the store knows it. Times are of the monotonic clock, which goes on between processes."""

    name: bytes
    key: str | None
    queue_class: str
    customer: str
    tag: bytes
    destination: Any  # a number or a name, as the list of receivers has it
    expires_at: float
    body: bytes
    attempts: int = 0
    first_may_have_run_at: float | None = None  # when the first attempt that may have run was sent
    in_flight_since: float | None = None  # when the last one was sent, unless it is known not to have run
    route: str = ""  # over which that one was sent
    # When it was accepted; messages of a key go in that order. Earliest where an older release took it.
    accepted_at: float = -inf
    notice: bytes = b""  # by which it ends undelivered, not taken yet
    reserved_bytes: int = 0  # bytes reserved for it in the store


class ReplyKind(Enum):
    """What the sender of a message hears."""

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
    """Submitted a message, and waits for the reply."""

    def reply(self, reply: Reply) -> None:
        """Take the reply; called once for each message."""


@dataclass(eq=False, slots=True)
class HeldMessage:
    """A message that this process holds, with what the decisions know of it (`mail`)."""

    name: bytes
    tag: bytes
    body: bytes
    message: interface.Message
    expires_at: float  # of its lifetime, in seconds of the clock of the process
    submitter: Submitter | None = None  # until it has been replied to
    refusal: Reply | None = None
    recorded_attempt: interface.Attempt | None = None  # the last attempt that the store holds to be under way
    attempts: int = 0  # by this process

    def call_timeout(self, time_out: float, now: float) -> float:
        """Seconds that a call may take: `time_out`, or less where the lifetime is nearly over."""
        return max(0.0, min(time_out, self.expires_at - now - ANSWER_MARGIN))


def encode_notice(name: bytes, handed_back: bool, retry_after: float) -> bytes:
    """The notice by which an accepted message ends undelivered: a line of JSON."""
    fields: dict[str, object] = {"message": name.decode("ascii"), "outcome": "given_up"}
    if handed_back:
        fields["outcome"] = "handed_back"
        if wait := round(retry_after * 1000):
            fields["retry_in_ms"] = wait
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
