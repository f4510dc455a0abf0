"""Types and calls between the decisions (`control.Control`) and the door in front of them.

The door (`laureldock.net` on sockets, `laureldock.benchlink` on the bench) turns its protocol into these
objects and calls, and the effects back into its protocol. Nothing here decides. Times are float seconds of
one monotonic clock. Objects point to each other; ids stay at the door. Where a type has a `notes` field, it
belongs to the decisions: the door neither reads nor writes it.

Calls, in the order of the events of one turn, then `turn` once:

    Control(tariff, now)                       start of an instance
    news(now, routes, whole)                   list news; `whole` replaces the list held
    list_failed(now)                           an ask for the list failed, or the watch broke
    taken(now, mail)                           a mail was handed in; one final answer is now owed
    ended(now, attempt, outcome)               an attempt ended
    probed(now, route, outcome)                a probe ended
    heard(now, peer, data)                     a note of a peer
    timer(now, name)                           a timer set earlier is due
    withdrawn(now, mail)                       nobody wants this mail any more
    noticed(now, mail)                         its notice was answered (where the tariff has notices)
    may_begin(now, attempt) -> bool            whether an attempt, put off by its door, may still be sent
    hold_sends(now, hold)                      nothing new may be sent for now, or may again
    closing(now, left, keeps)                  the process ends in so many seconds; `keeps`: others take over
    other_processes(now, others)               what others of this dispatcher owe and have out
    rest_key(now, key, until)                  a call of that key was broken, here or there
    told_to_wait(now, route, wait)             a route told another process to wait
    route_failed(now, route, at)               another process, or an earlier life, saw a route fail
    route_returned(now, route, back_at)        it saw it come back then, and cold
    turn(now) -> list[Effect]                  all effects of the turn, in the order to be carried out
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any


class Rerun(Enum):
    """What a second run of a mail does."""

    REDELIVERABLE = "redeliverable"
    TAGGED = "tagged"
    ONCE_ONLY = "once-only"


class Ending(Enum):
    """How an attempt or a probe ended. The door maps its own protocol's endings onto these."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIME_OUT = "time-out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


# After these a call may run on: its key rests.
MAY_RUN_ON = frozenset({Ending.TIME_OUT, Ending.RESET, Ending.CANCELLED})


class Listed(Enum):
    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(eq=False, slots=True)
class QueueClass:
    rerun: Rerun
    importance: float
    target_delay: float
    lifetime: float
    late_share: float
    halving: bool
    in_order: bool = False
    memory: float = inf  # for tagged mails: how long a repeat is known
    one_zone: bool = False  # for tagged mails: a repeat is known only in the zone of its first attempt
    proven: bool = False  # nothing more is sent once it may have run


@dataclass(eq=False, slots=True)
class Customer:
    quota: float
    notes: Any = None


@dataclass(eq=False, slots=True)
class Kind:
    batch: int = 1
    apart: bool = False


@dataclass(eq=False, slots=True)
class Tariff:
    """What an instance is told at its start."""

    seed: int
    instances: int
    slots: int
    room: int
    most_attempts: int
    may_cancel: bool
    may_probe: bool
    may_copy: bool
    must_ask: bool
    near_list: bool  # it answers at no cost
    notices: bool  # a mail deferred or bounced is over only once its notice is answered
    over_quota: float
    most_retry_after: float
    key_rest: float
    start_capacity: float
    tip_multiple: float
    fall_time: float
    warm_time: float
    rates: str
    connect_time: float = 0.0  # a connection not up within it counts as none
    idle_time: float = inf  # for which a receiver keeps an unused connection
    drain_grace: float = 0.0  # for which an attempt being opened may still go to a route that drains since
    handshake: float = 0.0  # price of a new connection, in mails of importance 1
    fees: dict[str, float] = field(default_factory=dict)  # for each mail, by the zone of its route; the same


@dataclass(frozen=True, slots=True)
class Terms:
    """What operators set for mails of a queue class at a destination, instead of what holds for all."""

    importance: float
    most_attempts: int
    most_retry_after: float
    copies: int  # attempts that may be out at once
    copy_after: float  # when a second copy goes, counted from the first


@dataclass(eq=False, slots=True)
class Destination:
    notes: Any = None
    window: float = inf  # of calls in flight, as operators set it


@dataclass(eq=False, slots=True)
class Route:
    """An endpoint of a destination, as listed."""

    destination: Destination
    zone: str
    kind: Kind
    rate: float
    listed: Listed
    name: str = ""
    notes: Any = None
    window: float = inf  # of calls in flight, as operators set it
    time_outs: dict[QueueClass, float] = field(default_factory=dict)  # those that operators set


@dataclass(eq=False, slots=True)
class Mail:
    queue_class: QueueClass
    destination: Destination
    left: float
    customer: Customer | None = None
    key: str | None = None
    attempts: int = 0  # that an earlier life of this dispatcher had
    ran: float | None = None  # seconds since the first of those that may have run was sent; None: none may
    notes: Any = None
    terms: Terms | None = None  # None: nothing was set
    accepted: float = 0.0  # when; messages of a key go in that order, whichever process accepted them
    ended: bool = False  # in an earlier life; its notice is not answered yet
    broken: bool = False  # a call with it was out when the process that made it ended


@dataclass(frozen=True, slots=True)
class OtherProcesses:
    """Living processes of this dispatcher beside this one, while one hands over to the next."""

    processes: int = 0
    calls_out: int = 0
    calls_to: Mapping[str, int] = field(default_factory=dict)  # the same, by name of the route
    owed: int = 0  # messages
    first_accepted: Mapping[str, float] = field(default_factory=dict)  # of those owed, by key


@dataclass(eq=False, slots=True)
class Outcome:
    ending: Ending
    took: float
    finished: bool = False
    wait: float = 0.0
    limit: float | None = None  # of the route, in calls a second; 0 where it has none, None where not told
    left: float = 1.0  # of the limit, what is left as a share
    begun: bool = True  # not where it was held back before its first byte
    rested: float = 0.0  # for how long its connection had been unused; 0 where it was new, or is not known


@dataclass(eq=False, slots=True)
class Attempt:
    mail: Mail
    route: Route
    time_out: float
    notes: Any = None
    rest: float = inf  # a connection unused for longer is not for it


@dataclass(eq=False, slots=True)
class Cancel:
    attempt: Attempt


class Reason(Enum):
    """Why a mail ends undelivered."""

    LIFETIME = "its lifetime is over"
    WINDOW = "its tag may be forgotten"
    ATTEMPTS = "no attempt left"
    MAY_HAVE_RUN = "it may have run"
    TOO_LATE = "no call would come in time"
    ROOM = "no room"
    STOPPING = "the process ends"


@dataclass(eq=False, slots=True)
class Defer:
    mail: Mail
    reason: Reason
    retry_after: float = 0.0


@dataclass(eq=False, slots=True)
class Bounce:
    mail: Mail
    reason: Reason


@dataclass(eq=False, slots=True)
class Probe:
    route: Route
    time_out: float


@dataclass(eq=False, slots=True)
class HangUp:
    """Close the connections to a route that no call uses just now."""

    route: Route


@dataclass(eq=False, slots=True)
class Note:
    peer: int
    data: bytes


@dataclass(eq=False, slots=True)
class AskList:
    watch: bool
    wait: float  # how long the list may hold its answer back until there is news
    time_out: float  # after which, past that, no answer is a failure


@dataclass(eq=False, slots=True)
class Timer:
    after: float
    name: str


@dataclass(eq=False, slots=True)
class RouteFailed:
    """A route went to nought: for other processes of this dispatcher."""

    route: Route


@dataclass(eq=False, slots=True)
class RouteReturned:
    """It was served again; `back_at`: since when it is cold, in seconds; 0: it is not."""

    route: Route
    back_at: float


@dataclass(eq=False, slots=True)
class Log:
    text: str


Effect = (
    Attempt
    | Cancel
    | Defer
    | Bounce
    | Probe
    | HangUp
    | Note
    | AskList
    | Timer
    | RouteFailed
    | RouteReturned
    | Log
)
