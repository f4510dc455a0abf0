"""What the decisions remember of routes, destinations, messages, keys and calls: plain records.

Nothing here decides. Every field starts empty, or is given by `delivery_policy`. Moments (`..._at` and
`..._until`) are seconds of the monotonic clock; one is 0 where there was none, unless another value is named.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any

from laureldock.interface import Attempt, Destination, Message, QueueClass, Route, Terms, UndeliveredReason


class MessageStage(Enum):
    """How far a message has come."""

    WAITING = 1  # for its first or a further attempt
    IN_FLIGHT = 2  # an attempt has no outcome yet
    FINISHED = 3  # it has its final outcome


@dataclass(eq=False, slots=True)
class RouteState:
    """A route, as one instance knows it."""

    listed: Route  # as the adapter listed it
    destination: DestinationState
    circuit: Any  # delivery_policy.CircuitState
    durations: Any  # delivery_policy.DurationHistogram: of its served calls
    # Multiplies its share, and the fraction of its limit that this instance uses: below 1 after refusals and
    # failures, above 1 where other instances leave much of the limit.
    rate_factor: float = 1.0
    credit: float = 1.0  # calls that may be sent to it now (a token bucket)
    recovered_at: float = -inf  # when its last outage ended, since when it is cold; -inf if it had none
    failure_rate: float = 0.0  # moving average of failures, from 0 to 1; recent calls weigh most
    # Its limit in calls a second, as advertised; 0 if it stated that it has none, None if it stated nothing.
    advertised_rate: float | None = None
    advertised_left: float = 1.0  # fraction of its limit that is left, as advertised
    wait_until: float = 0.0  # nothing is sent before: it requested a wait, refused, or had no connection left
    backoff_until: float = 0.0  # nothing is sent before: it was silent or failed
    trial_backoff: float = 0.0  # seconds between its trials
    opened_by_failures: bool = False  # its circuit was opened by a run of failures
    # It was shut, or another process saw an outage: it is cold once it serves again.
    cold_when_served: bool = False
    first_failed_at: float = 0.0  # the first failure of any kind since it was last served
    first_outage_at: float = (
        0.0  # likewise, without refusals and connects that found its connection table full
    )
    first_refused_at: float = 0.0  # the first refusal since it was last served
    last_refused_at: float = 0.0
    refusals: int = 0  # since it was last served, of calls that were sent one after another
    refusal_backoff: float = 0.0  # seconds, after its latest refusal
    refilled_at: float = 0.0  # when its credit was last filled up
    last_response_at: float = 0.0  # when it last responded in any way
    last_call_ended_at: float = 0.0
    drained_at: float = -inf  # when it was listed as draining or removed
    slot_time: float = 0.0  # seconds that a message takes a slot, on average
    calls: dict[Call, None] = field(default_factory=dict)  # in flight

    @property
    def no_sends_until(self) -> float:
        """The later one of `wait_until` and `backoff_until`."""
        return max(self.wait_until, self.backoff_until)


@dataclass(eq=False, slots=True)
class DestinationState:
    """A destination: its routes, its window, and the messages that wait for it."""

    listed: Destination  # as the adapter knows it
    window: float  # calls that may be in flight; grows with served calls, is halved by failed ones
    batch_size: int = 1  # messages that may share a call
    calls_in_flight: int = 0
    overdue_calls: int = 0  # those in flight that are overdue
    slot_time: float = 0.0  # seconds that a message takes a slot, on average
    window_halved_at: float = 0.0
    wait_until: float = 0.0  # nothing is sent before: a route of it requested a wait or refused
    first_refused_at: float = 0.0  # the first refusal since it was last served
    last_refused_at: float = 0.0
    refusals: int = 0  # since it was last served, of calls that were sent one after another
    refusal_backoff: float = 0.0  # seconds, after its latest refusal
    queue_length: int = 0  # messages in all of its queues
    routes: dict[Route, RouteState] = field(default_factory=dict)  # those listed as up
    first_attempts: dict[QueueClass, deque[MessageState]] = field(default_factory=dict)
    retries: deque[MessageState] = field(default_factory=deque)
    late: deque[MessageState] = field(default_factory=deque)  # first attempts after `fades_at`


@dataclass(eq=False, slots=True)
class MessageState:
    """A message, as one instance knows it."""

    submitted: Message  # as the adapter handed it in
    destination: DestinationState
    stage: MessageStage
    handed_in_at: float  # when its client first handed it in, to whichever instance
    expires_at: float  # end of its lifetime
    fades_at: float  # when its importance begins to fade fast
    once_only: bool
    stop_if_may_have_run: bool  # nothing more may be sent for it once it may have run
    terms: Terms
    queued: bool = False  # in a queue of its destination; not while it waits for an earlier one of its key
    attempts: int = 0  # made so far
    outstanding: int = 0  # attempts without an outcome, and its notice until that is acknowledged
    may_have_run_at: float = 0.0  # when the first attempt that may have run was sent
    bound_zone: str | None = None  # the only zone that may get it now, since it runs or may have run there
    last_route: RouteState | None = None  # of its last attempt
    key_queue: KeyQueue | None = None  # if messages of its key go in order
    reason: UndeliveredReason | None = None  # why it ends undelivered, where the other fields do not tell


@dataclass(eq=False, slots=True)
class KeyQueue:
    """The messages of one ordering key, of which only the first may be sent."""

    key: str
    messages: deque[MessageState] = field(default_factory=deque)
    cooldown_until: float = 0.0  # nothing is sent before, except for the message whose call broke
    cooldown_exempt: MessageState | None = None  # that message


@dataclass(eq=False, slots=True)
class Call:
    """What one turn sends over one route: an attempt, or a batch of attempts that share its fate."""

    route: RouteState
    sent_at: float
    overdue_after: float  # seconds
    trial: bool  # the one call of a half-open circuit
    once_only: bool  # its first message is once-only, or could be repeated over no other route
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0  # those without an outcome
    evaluated: bool = False  # its outcome, or its lateness, has been counted for its route and destination
    overdue: bool = False  # it was evaluated before its outcome, since it took too long
