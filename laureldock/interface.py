"""The types and calls between the decisions (`delivery_policy.DeliveryPolicy`) and the adapters around them.

The adapters (`laureldock.core` with its fronts, carriers and sources on sockets; `laureldock.benchlink` on
the simulator's wire) turn their protocol into these objects and calls, and the effects back into their
protocol. Nothing here decides. Times are float seconds of one monotonic clock. Objects refer to each other
directly; ids of a protocol stay in its adapter. A field `policy_state` belongs to the decisions: adapters
neither read nor write it.

Calls, in the order of the events of one turn, then `turn` once:

    DeliveryPolicy(settings, now)                 start of an instance
    list_updated(now, routes, full)               endpoints were listed; `full`: they replace the list held
    list_failed(now)                              fetching the list failed, or the watch of it broke
    message_accepted(now, message)                a message was accepted; exactly one outcome is owed for it
    attempt_ended(now, attempt, outcome)          an attempt ended
    probe_ended(now, route, outcome)              a probe ended
    note_received(now, peer, data)                a note of another instance arrived
    timer_expired(now, name)                      a timer set earlier is due
    message_withdrawn(now, message)               its client gave it up: nobody waits for it any more
    notice_acknowledged(now, message)             its notice was acknowledged (where there are notices)
    may_start(now, attempt) -> bool               whether an attempt may be sent, once its connection is up
    hold_sends(now, hold)                         nothing new may be sent from now on, or may again
    begin_shutdown(now, time_left, hands_over)    the process ends in so many seconds
    update_settings(now, settings)                a reload changed limits, or figures of the rules
    update_peer_load(now, load)                   what peer processes have pending and in flight
    cool_down_key(now, key, until)                a call of that key broke, in a peer or previous process
    route_requested_wait(now, route, wait)        a receiver requested a wait, from this or a peer process
    destination_requested_wait(now, destination, wait)
                                                  likewise, for all routes of a destination
    route_failed_elsewhere(now, route, at, shut)  a peer process, or the previous one, saw a route fail
    route_recovered_elsewhere(now, route, since)  it saw the route recover; the route is cold since then
    turn(now) -> list[Effect]                     all effects of the turn, in the order to be carried out
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any


class RepeatSafety(Enum):
    """What a second run of a message does at its receiver."""

    REDELIVERABLE = "redeliverable"  # nothing worse: it may be sent as often as needed
    TAGGED = "tagged"  # nothing, as long as the receiver remembers its tag
    ONCE_ONLY = "once-only"  # harm: once it may have run it must not be sent again


class AttemptResult(Enum):
    """How an attempt or a probe ended. Adapters map the results of their protocol onto these."""

    SERVED = "served"
    ERROR = "error"  # the receiver responded with a failure
    REFUSED = "full"  # the receiver turned it away unprocessed
    TIMEOUT = "time-out"
    NO_CONNECTION = "no connection"  # no connection came up, or it broke before the request was sent
    RESET = "reset"  # the connection broke after the request was sent
    CANCELLED = "cancelled"
    MOOT = "moot"  # it was not carried out, for reasons that say nothing of its route


# After these a call may still run at its receiver: the ordering key of its message cools down.
RESULTS_THAT_MAY_STILL_RUN = frozenset({AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED})


class ListedState(Enum):
    """The state of an endpoint in the list. Only one that is up gets anything new."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(eq=False, slots=True)
class QueueClass:
    """What holds for all messages accepted under a queue class. Durations are seconds.

    A message keeps it until its end, whichever process holds the message. Once the settings change, messages
    are accepted under another `QueueClass` of the same name, so that several of one name may be in use.
    """

    repeat_safety: RepeatSafety
    importance: float
    target_delay: float
    lifetime: float
    late_share: float  # the fraction of its importance that a message has left at the end of its lifetime
    halves_importance_when_late: bool  # it fades by halving past the target delay; otherwise linearly
    in_order: bool = False  # messages of one key are sent one after the other, in the order of acceptance
    tag_memory_time: float = inf  # of tagged messages: for how long a receiver recognizes a repeat
    one_zone: bool = False  # of tagged messages: a repeat is recognized only in the zone of the first attempt
    stop_if_may_have_run: bool = False  # nothing more is sent once a message may have run
    sent_once: bool = False  # there is no second attempt, whatever became of the first
    name: str = ""


@dataclass(eq=False, slots=True)
class Customer:
    """A customer, as operators set it."""

    quota: float  # messages a second; 0: no quota
    policy_state: Any = None


@dataclass(eq=False, slots=True)
class DestinationKind:
    """What holds for all destinations of a kind."""

    batch_size: int = 1  # messages that may share a call
    limits_per_route: bool = False  # limits and waits bind one route, rather than all of a destination


@dataclass(eq=False, slots=True)
class DeliverySettings:
    """What an instance is given at its start. Durations are seconds."""

    seed: int
    instances: int  # dispatchers that share the limits of receivers, this one included
    slots: int  # calls that may be in flight at once
    room: int  # messages that may be pending at once
    max_attempts: int  # for each message
    may_cancel: bool
    may_probe: bool
    may_hedge: bool  # a second attempt may start while the first is in flight
    must_fetch_list: bool  # the list comes only when it is asked for
    list_is_local: bool  # fetching it costs nothing
    has_notices: bool  # a deferred or bounced message is finished only once its notice is acknowledged
    over_quota: float  # what a message above its customer's quota is worth, from 0 to 1
    max_retry_after: float  # the longest pause that a client is advised
    key_cooldown_time: float  # pause of an ordering key after a call that may still run
    start_capacity: float  # fraction of its capacity that a receiver has when it comes back cold
    # A cold receiver fails again when it is sent this many times its present capacity for `fall_time`.
    tip_multiple: float
    fall_time: float
    warm_time: float  # until a cold receiver has its full capacity
    listed_rates: str  # how far the rates of the list can be trusted: "nominal", "rough" or "off"
    connect_timeout: float = 0.0  # a connection that is not up within it counts as none; 0: no limit
    idle_time: float = inf  # for which a receiver keeps an idle connection
    drain_grace: float = 0.0  # for which an attempt that is being opened may still go to a draining route
    handshake_cost: float = 0.0  # of a new connection, in messages of importance 1
    zone_fees: dict[str, float] = field(
        default_factory=dict
    )  # for each message, by its route's zone; likewise


@dataclass(frozen=True, slots=True)
class Terms:
    """What operators set for messages of a queue class at a destination, in place of the general limits."""

    importance: float
    max_attempts: int
    max_retry_after: float  # seconds
    max_copies: int  # attempts of one message that may be in flight at once
    copy_after: float  # seconds from the first attempt to a hedged one


@dataclass(eq=False, slots=True)
class Destination:
    """The one for whom messages are."""

    policy_state: Any = None
    window: float = inf  # calls that may be in flight, as operators set it


@dataclass(eq=False, slots=True)
class Route:
    """An endpoint of a destination, as listed."""

    destination: Destination
    zone: str
    kind: DestinationKind
    listed_rate: float  # calls a second that it takes; 0 if not known
    listed_state: ListedState
    name: str = ""
    policy_state: Any = None
    window: float = inf  # calls that may be in flight, as operators set it
    # Seconds, where operators set them, by name of a queue class; under "" for classes not named here.
    timeouts: dict[str, float] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Message:
    """An accepted message, as far as it matters to the decisions."""

    queue_class: QueueClass
    destination: Destination
    time_left: float  # seconds of its lifetime
    customer: Customer | None = None
    key: str | None = None  # ordering key
    earlier_attempts: int = 0  # made by previous processes of this dispatcher
    # Seconds since the first earlier attempt that may have run was sent; None if none may have run.
    age_of_first_run: float | None = None
    policy_state: Any = None
    terms: Terms | None = None  # None if operators set none
    # Messages of a key go in the order of this moment, whichever process accepted them.
    accepted_at: float = 0.0
    awaits_notice: bool = False  # a previous process ended it; its notice is not acknowledged yet
    call_interrupted: bool = False  # a call with it was in flight when the process that made it ended


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What the peer processes of this dispatcher hold together, while one hands over to the next."""

    processes: int = 0  # peer processes that live
    calls_in_flight: int = 0
    calls_by_route: Mapping[str, int] = field(default_factory=dict)  # likewise, by the name of the route
    pending: int = 0  # messages
    first_accepted_at: Mapping[str, float] = field(default_factory=dict)  # of pending messages, by key


@dataclass(eq=False, slots=True)
class Outcome:
    """What came of an attempt or a probe."""

    result: AttemptResult
    duration: float  # seconds
    finished: bool = False  # the message is finished by it
    requested_wait: float = 0.0  # seconds for which the receiver asked to be sent nothing
    # The route's limit in calls a second; 0 if it stated that it has none, None if it stated nothing.
    advertised_rate: float | None = None
    advertised_left: float = 1.0  # the fraction of that limit that is left
    started: bool = True  # False if it was held back before its first byte
    connection_idle_time: float = 0.0  # seconds its connection had been idle; 0 if it was new, or not known


@dataclass(eq=False, slots=True)
class Attempt:
    """Effect: send a message over a route."""

    message: Message
    route: Route
    timeout: float  # seconds
    policy_state: Any = None
    max_connection_idle_time: float = inf  # a connection that was idle for longer must not be used, seconds


@dataclass(eq=False, slots=True)
class Cancel:
    """Effect: give up an attempt in flight. Its outcome still follows."""

    attempt: Attempt


class UndeliveredReason(Enum):
    """Why a message ends undelivered."""

    LIFETIME_OVER = "its lifetime is over"
    TAG_MAY_BE_FORGOTTEN = "its tag may be forgotten"
    NO_ATTEMPT_LEFT = "no attempt left"
    MAY_HAVE_RUN = "it may have run"
    NO_CALL_IN_TIME = "no call would come in time"
    NO_ROOM = "no room"
    STOPPING = "the process ends"


@dataclass(eq=False, slots=True)
class Defer:
    """Effect: hand a message back to its client, which may try again after so many seconds (0: no advice)."""

    message: Message
    reason: UndeliveredReason
    retry_after: float = 0.0


@dataclass(eq=False, slots=True)
class Bounce:
    """Effect: report that a message failed for good."""

    message: Message
    reason: UndeliveredReason


@dataclass(eq=False, slots=True)
class Probe:
    """Effect: check a route without a message."""

    route: Route
    timeout: float  # seconds


@dataclass(eq=False, slots=True)
class CloseIdleConnections:
    """Effect: close the connections to a route that no call uses at the moment."""

    route: Route


@dataclass(eq=False, slots=True)
class PeerNote:
    """Effect: send bytes to another instance."""

    peer: int
    data: bytes


@dataclass(eq=False, slots=True)
class FetchList:
    """Effect: ask for the endpoint list, or for updates of it (`watch`)."""

    watch: bool
    max_wait: float  # seconds for which the response may be held back until there is an update
    timeout: float  # seconds beyond that, after which no response is a failure


@dataclass(eq=False, slots=True)
class StartTimer:
    """Effect: call `timer_expired` with this name after so many seconds."""

    delay: float
    name: str


@dataclass(eq=False, slots=True)
class RouteFailed:
    """Effect: tell peer processes that the circuit of a route opened after failures, or while it is shut."""

    route: Route
    shut: bool = False  # it refused calls, and none failed otherwise


@dataclass(eq=False, slots=True)
class RouteRecovered:
    """Effect: tell peer processes that a route was served again, or when it will be.

    `recovered_at`: since when it is cold, in seconds of the clock; 0 if it is not cold.
    """

    route: Route
    recovered_at: float


@dataclass(eq=False, slots=True)
class LogLine:
    """Effect: log a line."""

    text: str


Effect = (
    Attempt
    | Cancel
    | Defer
    | Bounce
    | Probe
    | CloseIdleConnections
    | PeerNote
    | FetchList
    | StartTimer
    | RouteFailed
    | RouteRecovered
    | LogLine
)
