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
    update_settings(now, settings)                a reload changed the limits on attempts and waits
    update_peer_load(now, load)                   what peer processes have pending and in flight
    cool_down_key(now, key, until)                a call of that key broke, in a peer or previous process
    route_requested_wait(now, route, wait)        a receiver requested a wait, from this or a peer process
    route_failed_elsewhere(now, route, at)        a peer process, or the previous one, saw a route fail
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
    """What a second run of a mail does."""

    REDELIVERABLE = "redeliverable"
    TAGGED = "tagged"
    ONCE_ONLY = "once-only"


class AttemptResult(Enum):
    """How an attempt or a probe ended. The door maps its own protocol's endings onto these."""

    SERVED = "served"
    ERROR = "error"
    REFUSED = "full"
    TIMEOUT = "time-out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


# After these a call may run on: its key rests.
RESULTS_THAT_MAY_STILL_RUN = frozenset({AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED})


class ListedState(Enum):
    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(eq=False, slots=True)
class QueueClass:
    repeat_safety: RepeatSafety
    importance: float
    target_delay: float
    lifetime: float
    late_share: float
    halves_importance_when_late: bool
    in_order: bool = False
    tag_memory_time: float = inf  # for tagged mails: how long a repeat is known
    one_zone: bool = False  # for tagged mails: a repeat is known only in the zone of its first attempt
    never_if_may_have_run: bool = False  # nothing more is sent once it may have run


@dataclass(eq=False, slots=True)
class Customer:
    quota: float
    policy_state: Any = None


@dataclass(eq=False, slots=True)
class DestinationKind:
    batch_size: int = 1
    limits_per_route: bool = False


@dataclass(eq=False, slots=True)
class DeliverySettings:
    """What an instance is told at its start."""

    seed: int
    instances: int
    slots: int
    room: int
    max_attempts: int
    may_cancel: bool
    may_probe: bool
    may_hedge: bool
    must_fetch_list: bool
    list_is_local: bool  # it answers at no cost
    has_notices: bool  # a mail deferred or bounced is over only once its notice is answered
    over_quota: float
    max_retry_after: float
    key_cooldown_time: float
    start_capacity: float
    tip_multiple: float
    fall_time: float
    warm_time: float
    listed_rates: str
    connect_timeout: float = 0.0  # a connection not up within it counts as none
    idle_time: float = inf  # for which a receiver keeps an unused connection
    drain_grace: float = 0.0  # for which an attempt being opened may still go to a route that drains since
    handshake_cost: float = 0.0  # price of a new connection, in mails of importance 1
    zone_fees: dict[str, float] = field(
        default_factory=dict
    )  # for each mail, by the zone of its route; the same


@dataclass(frozen=True, slots=True)
class Terms:
    """What operators set for mails of a queue class at a destination, instead of what holds for all."""

    importance: float
    max_attempts: int
    max_retry_after: float
    max_copies: int  # attempts that may be out at once
    copy_after: float  # when a second copy goes, counted from the first


@dataclass(eq=False, slots=True)
class Destination:
    policy_state: Any = None
    window: float = inf  # of calls in flight, as operators set it


@dataclass(eq=False, slots=True)
class Route:
    """An endpoint of a destination, as listed."""

    destination: Destination
    zone: str
    kind: DestinationKind
    listed_rate: float
    listed_state: ListedState
    name: str = ""
    policy_state: Any = None
    window: float = inf  # of calls in flight, as operators set it
    timeouts: dict[QueueClass, float] = field(default_factory=dict)  # those that operators set


@dataclass(eq=False, slots=True)
class Message:
    queue_class: QueueClass
    destination: Destination
    time_left: float
    customer: Customer | None = None
    key: str | None = None
    earlier_attempts: int = 0  # that an earlier life of this dispatcher had
    age_of_first_run: float | None = (
        None  # seconds since the first of those that may have run was sent; None: none may
    )
    policy_state: Any = None
    terms: Terms | None = None  # None: nothing was set
    accepted_at: float = 0.0  # when; messages of a key go in that order, whichever process accepted them
    awaits_notice: bool = False  # in an earlier life; its notice is not answered yet
    call_interrupted: bool = False  # a call with it was out when the process that made it ended


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Living processes of this dispatcher beside this one, while one hands over to the next."""

    processes: int = 0
    calls_in_flight: int = 0
    calls_by_route: Mapping[str, int] = field(default_factory=dict)  # the same, by name of the route
    pending: int = 0  # messages
    first_accepted_at: Mapping[str, float] = field(default_factory=dict)  # of those owed, by key


@dataclass(eq=False, slots=True)
class Outcome:
    result: AttemptResult
    duration: float
    finished: bool = False
    requested_wait: float = 0.0
    advertised_rate: float | None = (
        None  # of the route, in calls a second; 0 where it has none, None where not told
    )
    advertised_left: float = 1.0  # of the limit, what is left as a share
    started: bool = True  # not where it was held back before its first byte
    connection_idle_time: float = (
        0.0  # for how long its connection had been unused; 0 where it was new, or is not known
    )


@dataclass(eq=False, slots=True)
class Attempt:
    message: Message
    route: Route
    timeout: float
    policy_state: Any = None
    max_connection_idle_time: float = inf  # a connection unused for longer is not for it


@dataclass(eq=False, slots=True)
class Cancel:
    attempt: Attempt


class UndeliveredReason(Enum):
    """Why a mail ends undelivered."""

    LIFETIME_OVER = "its lifetime is over"
    TAG_MAY_BE_FORGOTTEN = "its tag may be forgotten"
    NO_ATTEMPT_LEFT = "no attempt left"
    MAY_HAVE_RUN = "it may have run"
    NO_CALL_IN_TIME = "no call would come in time"
    NO_ROOM = "no room"
    STOPPING = "the process ends"


@dataclass(eq=False, slots=True)
class Defer:
    message: Message
    reason: UndeliveredReason
    retry_after: float = 0.0


@dataclass(eq=False, slots=True)
class Bounce:
    message: Message
    reason: UndeliveredReason


@dataclass(eq=False, slots=True)
class Probe:
    route: Route
    timeout: float


@dataclass(eq=False, slots=True)
class CloseIdleConnections:
    """Close the connections to a route that no call uses just now."""

    route: Route


@dataclass(eq=False, slots=True)
class PeerNote:
    peer: int
    data: bytes


@dataclass(eq=False, slots=True)
class FetchList:
    watch: bool
    max_wait: float  # how long the list may hold its answer back until there is news
    timeout: float  # after which, past that, no answer is a failure


@dataclass(eq=False, slots=True)
class StartTimer:
    delay: float
    name: str


@dataclass(eq=False, slots=True)
class RouteFailed:
    """A route went to nought: for other processes of this dispatcher."""

    route: Route


@dataclass(eq=False, slots=True)
class RouteRecovered:
    """It was served again; `back_at`: since when it is cold, in seconds; 0: it is not."""

    route: Route
    recovered_at: float


@dataclass(eq=False, slots=True)
class LogLine:
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
