"""The seams of the core: what it asks of each peer, and what each peer may ask of it.

A front hands mails in and hears answers, a carrier makes attempts and tells their outcomes, a source tells
the list, an outlet takes notices, a store keeps what is owed. The core imports none of them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from laureldock import interface
from laureldock.core.ends import End
from laureldock.core.invariants import Invariants
from laureldock.core.messages import HeldMessage, Reply, StoredMessage, Submitter
from laureldock.core.peer_view import PeerView, RouteRecord
from laureldock.delivery_settings import ListedEndpoint


class NotAMailError(Exception):
    """What was handed in is whole, and names something that there is not. The text may be shown."""


class ListenError(Exception):
    """A front cannot listen; `transient` where a later try may succeed."""

    def __init__(self, reason: str, transient: bool) -> None:
        super().__init__(reason)
        self.transient = transient


class Timer(Protocol):
    def active(self) -> bool: ...

    def cancel(self) -> Any: ...


class Clock(Protocol):
    """Twisted's reactor, as far as the core needs it. Seconds are monotonic."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Timer: ...  # noqa: N802


# What the core asks of its peers


class Front(Protocol):
    @property
    def busy(self) -> int:
        """Connections that are open."""

    def open(self) -> None:
        """Listen. ListenError."""

    def shut(self) -> None:
        """Listen no more, and close connections once they are answered."""

    def set_lameduck(self, on: bool) -> None:
        """Tell health checks no, and close connections once they are answered; or take clients again."""


class Carrier(Protocol):
    @property
    def out(self) -> int:
        """Connects without an outcome."""

    def listed(self, route: interface.Route, dial: str) -> None: ...

    def forget(self, routes: Iterable[interface.Route]) -> None:
        """Close what leads to them: they are gone from the list."""

    def attempt(self, attempt: interface.Attempt, message: HeldMessage) -> None: ...

    def cancel(self, attempt: interface.Attempt) -> None: ...

    def probe(self, probe: interface.Probe) -> None: ...

    def hang_up(self, route: interface.Route) -> None: ...

    def close(self) -> None: ...


class Source(Protocol):
    def start(self) -> None:
        """Tell the list as it was last known."""

    def ask(self, asked: interface.FetchList) -> None: ...

    @property
    def settled(self) -> bool:
        """Whether what has been listed up to this start is known, or cannot be had now."""

    def close(self) -> None: ...


class Outlet(Protocol):
    @property
    def waiting(self) -> int:
        """Notices not taken yet."""

    def owes(self, name: bytes) -> bool: ...

    def put(self, name: bytes, line: bytes) -> None:
        """Take a notice (`messages.encode_notice`); `noticed` follows once it will not be lost."""

    def close(self) -> None: ...


class Store(Protocol):
    """What is owed, beyond the life of the process. Times are seconds of the monotonic clock.

    A call that writes raises OSError if it cannot write now. `out`, `notice` and `refuse` have changed
    nothing then; `back`, `end`, `over`, `wait`, `rest` and `route` hold all the same, and `flush` writes
    them later. `take` says whether it did.
    """

    @property
    def owed(self) -> Mapping[bytes, StoredMessage]: ...

    @property
    def torn(self) -> int:
        """Bytes at its end that could not be read."""

    @property
    def behind(self) -> bool:
        """Whether something waits for `flush`."""

    def open(self) -> None: ...

    def flush(self) -> None:
        """Write what failed before."""

    def take(self, mail: StoredMessage) -> bool:
        """Whether it is owed from now on: there was room for it, and it is written."""

    def out(self, name: bytes, at: float, route: str) -> None:
        """An attempt begins, over a route."""

    def back(self, name: bytes) -> None:
        """Its last attempt has not run."""

    def end(self, name: bytes) -> None:
        """Its last attempt has ended, and may have run."""

    def notice(self, name: bytes, line: bytes) -> None:
        """It ends by this notice, once that is taken."""

    def refuse(self, name: bytes) -> None:
        """It is owed no more: its sender is told so next."""

    def over(self, name: bytes) -> None:
        """It is owed no more."""

    @property
    def sharing(self) -> bool:
        """Whether another process of this dispatcher writes the folder too, while it hands over."""

    def share_disk(self, processes: int) -> None:
        """Keep to this process's part of the folder's limit, of so many."""

    def adopt(self) -> list[StoredMessage]:
        """What processes that have ended since owe, now owed by this one."""

    @property
    def rests(self) -> Mapping[str, float]:
        """Keys that rest, by the records of earlier lives and of this one, and until when."""

    def read_peers(self) -> PeerView:
        """What other living processes of this dispatcher have recorded. OSError: it cannot be told now."""

    def wait(self, route: str, until: float, now: float) -> None:
        """A route told this process to wait: for the others to read."""

    def rest(self, key: str, until: float, now: float) -> None:
        """A key rests: for the others and for the next life."""

    def route(self, route: str, record: RouteRecord) -> None:
        """A route failed or came back: for the others and for the next life."""

    def inherit_routes(self) -> Mapping[str, RouteRecord]:
        """What became of routes in earlier lives and in ended processes, each told once."""


# What its peers ask of the core


class Timing(Protocol):
    counters: Counter[str]

    def now(self) -> float: ...

    def later(self, after: float, call: Callable[..., None], *args: Any) -> Timer: ...


class Intake(Timing, Protocol):
    """The core as fronts see it."""

    invariants: Invariants

    def put(self, submitter: Submitter, stored: StoredMessage, left: float) -> Reply | HeldMessage | None:
        """Take a message on: its reply, or the message whose submitter hears later. NotAMailError.

        None: the submitter hears later, and nothing was taken on.
        """

    def withdrawn(self, message: HeldMessage) -> None:
        """Its client went before its answer could leave: whatever becomes of it counts for nothing."""

    def malformed(self, why: str) -> None: ...

    def full(self, full: bool) -> None:
        """Clients wait to be accepted, or no longer."""

    def short(self) -> None:
        """The process is out of descriptors before the limit on clients is reached."""

    def figures(self) -> dict[str, float]: ...


class Outcomes(Timing, Protocol):
    """The core as carriers see it."""

    @property
    def tariff(self) -> interface.DeliverySettings: ...

    def may_begin(self, attempt: interface.Attempt, message: HeldMessage) -> bool: ...

    def sending(self, attempt: interface.Attempt, message: HeldMessage) -> None:
        """Its first byte is about to leave: `may_begin` has allowed it."""

    def sent(self, message: HeldMessage) -> None:
        """The last byte of a call with it has left."""

    def ended(
        self, attempt: interface.Attempt, message: HeldMessage, end: End, outcome: interface.Outcome
    ) -> None: ...

    def probed(self, route: interface.Route, outcome: interface.Outcome) -> None: ...


class News(Timing, Protocol):
    """The core as sources see it."""

    running: bool

    def guard(self, call: Callable[..., Any], *args: Any) -> Any: ...

    def news(self, hosts: list[tuple[ListedEndpoint, str]], whole: bool) -> None:
        """Entries of the list, each with where to dial; `whole` replaces the list held."""

    def list_failed(self, why: str) -> None: ...


class Noticed(Timing, Protocol):
    """The core as outlets see it."""

    log: Any

    def noticed(self, name: bytes) -> None: ...
