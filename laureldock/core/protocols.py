"""The seams of the core: what it asks of each peer, and what each peer may ask of it.

A front hands mails in and hears answers, a carrier makes attempts and tells their outcomes, a source tells
the list, an outlet takes notices, a store keeps what is owed. The core imports none of them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from laureldock import interface
from laureldock.core.call_results import CallResult
from laureldock.core.invariants import Invariants
from laureldock.core.messages import HeldMessage, Reply, StoredMessage, Submitter
from laureldock.core.peer_view import PeerView, RouteRecord
from laureldock.delivery_settings import ListedEndpoint


class InvalidMessageError(Exception):
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
    def connection_count(self) -> int:
        """Connections that are open."""

    def open(self) -> None:
        """Listen. ListenError."""

    def stop_accepting(self) -> None:
        """Listen no more, and close connections once they are answered."""

    def set_lameduck(self, on: bool) -> None:
        """Tell health checks no, and close connections once they are answered; or take clients again."""


class Carrier(Protocol):
    @property
    def attempts_in_flight(self) -> int:
        """Connects without an outcome."""

    def update_route(self, route: interface.Route, dial: str) -> None: ...

    def remove_routes(self, routes: Iterable[interface.Route]) -> None:
        """Close what leads to them: they are gone from the list."""

    def start_attempt(self, attempt: interface.Attempt, message: HeldMessage) -> None: ...

    def cancel_attempt(self, attempt: interface.Attempt) -> None: ...

    def start_probe(self, probe: interface.Probe) -> None: ...

    def close_idle_connections(self, route: interface.Route) -> None: ...

    def close(self) -> None: ...


class Source(Protocol):
    def start(self) -> None:
        """Tell the list as it was last known."""

    def fetch_list(self, asked: interface.FetchList) -> None: ...

    @property
    def settled(self) -> bool:
        """Whether what has been listed up to this start is known, or cannot be had now."""

    def close(self) -> None: ...


class Outlet(Protocol):
    @property
    def pending_count(self) -> int:
        """Notices not taken yet."""

    def has_pending(self, name: bytes) -> bool: ...

    def send_notice(self, name: bytes, line: bytes) -> None:
        """Take a notice (`messages.encode_notice`); `notice_acknowledged` follows once it is safe."""

    def close(self) -> None: ...


class Store(Protocol):
    """What is owed, beyond the life of the process. Times are seconds of the monotonic clock.

    A call that writes raises OSError if it cannot write now. `record_attempt_start`,
    `record_notice` and `record_refusal` have changed nothing then; the other `record_` calls hold all the
    same, and `flush` writes them later. `accept` says whether it did.
    """

    @property
    def pending(self) -> Mapping[bytes, StoredMessage]: ...

    @property
    def torn_bytes(self) -> int:
        """Bytes at its end that could not be read."""

    @property
    def has_unwritten(self) -> bool:
        """Whether something waits for `flush`."""

    def open(self) -> None: ...

    def flush(self) -> None:
        """Write what failed before."""

    def accept(self, mail: StoredMessage) -> bool:
        """Whether it is owed from now on: there was room for it, and it is written."""

    def record_attempt_start(self, name: bytes, at: float, route: str) -> None:
        """An attempt begins, over a route."""

    def record_not_run(self, name: bytes) -> None:
        """Its last attempt has not run."""

    def record_attempt_end(self, name: bytes) -> None:
        """Its last attempt has ended, and may have run."""

    def record_notice(self, name: bytes, line: bytes) -> None:
        """It ends by this notice, once that is taken."""

    def record_refusal(self, name: bytes) -> None:
        """It is owed no more: its sender is told so next."""

    def record_finished(self, name: bytes) -> None:
        """It is owed no more."""

    @property
    def is_shared(self) -> bool:
        """Whether another process of this dispatcher writes the folder too, while it hands over."""

    def share_disk(self, processes: int) -> None:
        """Keep to this process's part of the folder's limit, of so many."""

    def adopt(self) -> list[StoredMessage]:
        """What processes that have ended since owe, now owed by this one."""

    @property
    def cooldowns(self) -> Mapping[str, float]:
        """Keys that rest, by the records of earlier lives and of this one, and until when."""

    def read_peers(self) -> PeerView:
        """What other living processes of this dispatcher have recorded. OSError: it cannot be told now."""

    def record_requested_wait(self, route: str, until: float, now: float) -> None:
        """A route told this process to wait: for the others to read."""

    def record_cooldown(self, key: str, until: float, now: float) -> None:
        """A key rests: for the others and for the next life."""

    def record_route(self, route: str, record: RouteRecord) -> None:
        """A route failed or came back: for the others and for the next life."""

    def inherit_routes(self) -> Mapping[str, RouteRecord]:
        """What became of routes in earlier lives and in ended processes, each told once."""


# What its peers ask of the core


class CoreServices(Protocol):
    counters: Counter[str]

    def now(self) -> float: ...

    def call_later(self, after: float, call: Callable[..., None], *args: Any) -> Timer: ...


class SubmissionHandler(CoreServices, Protocol):
    """The core as fronts see it."""

    invariants: Invariants

    def submit(self, submitter: Submitter, stored: StoredMessage, left: float) -> Reply | HeldMessage | None:
        """Take a message on: its reply, or the message whose submitter hears later. NotAMailError.

        None: the submitter hears later, and nothing was taken on.
        """

    def client_withdrew(self, message: HeldMessage) -> None:
        """Its client went before its answer could leave: whatever becomes of it counts for nothing."""

    def report_malformed_request(self, why: str) -> None: ...

    def report_accepting_paused(self, full: bool) -> None:
        """Clients wait to be accepted, or no longer."""

    def report_out_of_descriptors(self) -> None:
        """The process is out of descriptors before the limit on clients is reached."""

    def metrics(self) -> dict[str, float]: ...


class AttemptListener(CoreServices, Protocol):
    """The core as carriers see it."""

    @property
    def settings(self) -> interface.DeliverySettings: ...

    def may_start(self, attempt: interface.Attempt, message: HeldMessage) -> bool: ...

    def attempt_sending(self, attempt: interface.Attempt, message: HeldMessage) -> None:
        """Its first byte is about to leave: `may_start` has allowed it."""

    def message_sent(self, message: HeldMessage) -> None:
        """The last byte of a call with it has left."""

    def attempt_ended(
        self, attempt: interface.Attempt, message: HeldMessage, end: CallResult, outcome: interface.Outcome
    ) -> None: ...

    def probe_ended(self, route: interface.Route, outcome: interface.Outcome) -> None: ...


class EndpointListListener(CoreServices, Protocol):
    """The core as sources see it."""

    running: bool

    def guard(self, call: Callable[..., Any], *args: Any) -> Any: ...

    def list_updated(self, hosts: list[tuple[ListedEndpoint, str]], whole: bool) -> None:
        """Entries of the list, each with where to dial; `whole` replaces the list held."""

    def list_failed(self, why: str) -> None: ...


class NoticeListener(CoreServices, Protocol):
    """The core as outlets see it."""

    log: Any

    def notice_acknowledged(self, name: bytes) -> None: ...
