"""What the decisions remember of routes, destinations and mails: plain records.

Nothing here decides, and no value here is tuned: every field starts empty, or is given by `control`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import Any

from laureldock.interface import Attempt, Destination, Message, QueueClass, Route, Terms, UndeliveredReason


@dataclass(eq=False, slots=True)
class RouteState:
    """A route, as one instance sees it."""

    route: Route
    destination_state: DestinationState
    circuit: Any  # of control's route states
    durations: Any  # how long its calls took
    rate_factor: float = 1.0  # scales its share, and what this instance takes of its limit
    credit: float = 1.0  # calls it may be sent now
    recovered_at: float = -inf  # when its last trial after an outage was served
    failure_rate: float = 0.0  # how much of what it did lately was failing
    advertised_rate: float | None = (
        None  # its limit, in calls a second; 0 where it has none, None while not told
    )
    advertised_left: float = 1.0  # of its limit, what is left
    wait_until: float = 0.0  # nothing is sent before: told, or refused
    backoff_until: float = 0.0  # nothing is sent before, since it was silent or failed
    trial_backoff: float = 0.0  # between its trials
    opened_by_failures: bool = False  # it went to nought by a run of failures
    first_failed_at: float = 0.0  # when it first failed, of what failed since it was last served
    first_outage_at: float = 0.0  # of these, the first that was no refusal and no want of a connection
    first_refused_at: float = 0.0  # when it was first refused, of the refusals since it was last served
    refusal_backoff: float = 0.0  # after its latest refusal
    refilled_at: float = 0.0  # when its credit was last filled
    last_response_at: float = 0.0  # when it last answered anything
    last_call_ended_at: float = 0.0  # when its last call ended
    drained_at: float = -inf  # when it was told to drain, or to be gone
    slot_time: float = 0.0  # seconds of a slot that a mail takes
    calls: dict[Call, None] = field(default_factory=dict)  # those out

    @property
    def no_sends_until(self) -> float:
        return max(self.wait_until, self.backoff_until)


@dataclass(eq=False, slots=True)
class DestinationState:
    """A destination: its routes, its window, and the mails that wait for it."""

    destination: Destination
    window: float  # calls that may be out
    batch_size: int = 1  # mails that may share a call
    calls_in_flight: int = 0  # calls out
    overdue_calls: int = 0  # of them, those overdue
    slot_time: float = 0.0  # seconds of a slot that a mail takes
    window_halved_at: float = 0.0  # when the window was last halved
    wait_until: float = 0.0  # nothing is sent before
    first_refused_at: float = 0.0  # when it was first refused, of the refusals since it was last served
    refusal_backoff: float = 0.0  # after its latest refusal
    queue_length: int = 0  # mails in all of its lines
    route_states: dict[Route, RouteState] = field(default_factory=dict)
    first_attempts: dict[QueueClass, deque[MessageState]] = field(default_factory=dict)
    retries: deque[MessageState] = field(default_factory=deque)
    late: deque[MessageState] = field(default_factory=deque)


@dataclass(eq=False, slots=True)
class MessageState:
    """A mail, as one instance sees it."""

    message: Message
    destination_state: DestinationState
    stage: Any  # of control's stages of a mail
    handed_in_at: float  # when it was first handed in, to whichever instance
    expires_at: float  # of its queue lifetime
    fades_at: float  # when its importance begins to fade fast
    once_only: bool  # once-only
    never_repeated: bool  # nothing more may be sent for it once it may have run
    terms: Terms
    queued: bool = False  # in a line; not while an earlier mail of its key has the turn
    attempts: int = 0
    outstanding: int = 0  # attempts without an outcome
    may_have_run_at: float = 0.0  # when the first attempt that may have run was sent
    bound_zone: str | None = None  # the only one that may get it now, since it may have run or runs there
    last_route_state: RouteState | None = None  # the route of its last attempt
    key_queue: KeyQueue | None = None
    reason: UndeliveredReason | None = None  # why it ends undelivered, where its state does not tell


@dataclass(eq=False, slots=True)
class KeyQueue:
    """The mails of one key, of which only the first may be sent."""

    key: str
    messages: deque[MessageState] = field(default_factory=deque)
    cooldown_until: float = 0.0  # nothing goes before then, but the one whose call was broken
    cooldown_exempt: MessageState | None = None  # that one


@dataclass(eq=False, slots=True)
class Call:
    """What one turn sends over one route: an attempt, or several that share its fate."""

    route_state: RouteState
    sent_at: float
    overdue_after: float  # overdue after so long
    trial: bool
    once_only: bool  # its first mail is once-only
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0  # attempts without an outcome
    evaluated: bool = False  # it has spoken for its route
    overdue: bool = False  # it spoke before its outcome, by taking too long
