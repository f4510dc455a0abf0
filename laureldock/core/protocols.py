"""The protocols between the core and its adapters: what the core calls on them, and what they call on it.

A front submits messages of clients and sends the replies, a carrier makes attempts and reports their results,
a source has the endpoint list, an outlet sends notices, a store keeps pending messages. The core imports none
of them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sized
from typing import Any, Protocol

from laureldock import interface
from laureldock.core.call_results import CallResult
from laureldock.core.invariants import Invariants
from laureldock.core.messages import HeldMessage, Reply, StoredMessage, Submitter
from laureldock.core.peer_view import PeerView, RouteRecord, SharedRecords
from laureldock.delivery_connections import ExtraBytes
from laureldock.delivery_memory import MemoryBudget, MemoryRefusal
from laureldock.delivery_settings import ListedEndpoint


class InvalidMessageError(Exception):
    """A well-formed message cannot be accepted, for example because its destination is unknown.

    The text may be shown to the client.
    """


class ListenError(Exception):
    """A front cannot listen; `transient` if a later try may succeed."""

    def __init__(self, reason: str, transient: bool) -> None:
        super().__init__(reason)
        self.transient = transient


class Timer(Protocol):
    """A call that is scheduled, as Twisted has it."""

    def active(self) -> bool:
        """Whether the call is still to come."""

    def cancel(self) -> Any:
        """Drop the call; only while it is active."""


class Clock(Protocol):
    """The part of Twisted's reactor that the core uses. Times are seconds of the monotonic clock."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Timer: ...  # noqa: N802


# Adapters, as the core sees them


class Front(Protocol):
    """Listens for clients and submits their messages."""

    @property
    def connection_count(self) -> int:
        """Number of open connections, including those that are still to be accepted while it stops."""

    def open(self) -> None:
        """Start to listen, unless it listens already. Raises ListenError."""

    def stop_accepting(self) -> None:
        """Stop listening, and close each connection once its requests have been answered."""

    def set_lameduck(self, on: bool) -> None:
        """Fail health checks and close each connection once its requests have been answered; or undo that."""


class Carrier(Protocol):
    """Makes attempts and probes over connections to receivers."""

    @property
    def attempts_in_flight(self) -> int:
        """Number of attempts that have not ended."""

    def update_route(self, route: interface.Route, address: str) -> None:
        """A route was listed, with its address."""

    def remove_routes(self, routes: Iterable[interface.Route]) -> None:
        """Close the connections to routes that were removed from the list."""

    def start_attempt(self, attempt: interface.Attempt, message: HeldMessage) -> None:
        """Make an attempt; `AttemptListener.attempt_ended` is called once it has ended."""

    def cancel_attempt(self, attempt: interface.Attempt) -> None:
        """End an attempt early; it may have run all the same."""

    def start_probe(self, probe: interface.Probe) -> None:
        """Probe a route; `AttemptListener.probe_ended` is called once that has ended."""

    def close_idle_connections(self, route: interface.Route) -> None:
        """Close the connections to a route that carry no call."""

    def close(self) -> None:
        """Close all idle connections."""


class Source(Protocol):
    """Has the endpoint list."""

    def start(self) -> None:
        """Report the list as it was last known."""

    def fetch_list(self, request: interface.FetchList) -> None:
        """Fetch the list, or watch it for updates."""

    @property
    def settled(self) -> bool:
        """Whether the list as of this start is known, or cannot be fetched now."""

    def close(self) -> None:
        """Stop fetching."""


class Outlet(Protocol):
    """Sends notices."""

    @property
    def pending_count(self) -> int:
        """Number of notices that are not acknowledged yet."""

    def has_pending(self, name: bytes) -> bool:
        """Whether the notice of a message is not acknowledged yet."""

    def send_notice(self, name: bytes, notice: bytes) -> None:
        """Send a notice (`messages.encode_notice`), again and again until it is acknowledged.

        `NoticeListener.notice_acknowledged` is called once it cannot be lost any more.
        """

    def close(self) -> None:
        """Stop sending; the store still has the notices that were not acknowledged."""


class Store(Protocol):
    """Pending messages, kept beyond the end of the process. Times are seconds of the monotonic clock.

    A call that writes raises OSError if it cannot write now. `record_attempt_start`, `record_notice` and
    `record_refusal` have changed nothing then; the other `record_` methods take effect in memory all the
    same, and `flush` writes them later. `accept` returns whether it succeeded instead.
    """

    @property
    def pending(self) -> Mapping[bytes, StoredMessage]:
        """Accepted messages without a final outcome, by name."""

    @property
    def torn_bytes(self) -> int:
        """Bytes at the end of the file that are no complete record."""

    @property
    def has_unwritten(self) -> bool:
        """Whether `flush` has something to write."""

    def open(self) -> None:
        """Begin to write."""

    def flush(self) -> None:
        """Write what could not be written before."""

    def accept(self, message: StoredMessage) -> bool:
        """Add a pending message; false if there is no room for it, or it cannot be written."""

    def set_accepted_class(self, message: StoredMessage, queue_class: interface.QueueClass) -> None:
        """A pending message that an older release accepted belongs to this queue class until its end."""

    def record_attempt_start(self, name: bytes, at: float, route: str) -> None:
        """An attempt over a route is about to start."""

    def record_not_run(self, name: bytes) -> None:
        """The last attempt of a message has not run."""

    def record_attempt_end(self, name: bytes) -> None:
        """The last attempt of a message has ended, and may have run."""

    def record_notice(self, name: bytes, notice: bytes) -> None:
        """A message ends undelivered by this notice, once that is acknowledged."""

    def record_refusal(self, name: bytes, may_have_run: bool = False) -> None:
        """A message is no longer pending, since its client is about to be told that it was refused.

        One that `may_have_run` is told so again if its request is repeated.
        """

    def record_finished(self, name: bytes, accepted: bool | None = None) -> None:
        """A message is no longer pending.

        `accepted`: whether its request is accepted or has failed if it is repeated; None: a new message then.
        """

    def finished_reply(self, name: bytes) -> bool | None:
        """What a repeat of a finished message's request is told: accepted, or failed; None if unknown."""

    def finished_by_peer(self, name: bytes) -> bool:
        """Whether a running peer process has finished a message, by the latest read of its records."""

    @property
    def finished(self) -> Sized:
        """Names of messages that finished a moment ago."""

    @property
    def is_shared(self) -> bool:
        """Whether a peer process uses the store too, during a handover."""

    def share_disk(self, processes: int) -> None:
        """Use this process's part of the limit on disk space, shared by so many processes."""

    def adopt(self) -> list[StoredMessage]:
        """Take over the pending messages of peer processes that have ended."""

    def read_peers(self) -> PeerView:
        """What running peer processes have recorded. Raises OSError if it cannot be read now."""

    def record_requested_wait(self, route: str, until: float, now: float) -> None:
        """A receiver requested a wait; peer processes read this."""

    def record_destination_wait(self, destination: str, until: float, now: float) -> None:
        """A receiver requested a wait for all routes of a destination; peer processes read this."""

    def record_cooldown(self, key: str, until: float, now: float) -> None:
        """An ordering key cools down; peer processes and the next process read this."""

    def record_route(self, route: str, record: RouteRecord) -> None:
        """A route failed or recovered; peer processes and the next process read this."""

    def inherit_records(self) -> SharedRecords:
        """What previous processes, and peer processes that ended, have recorded; each is returned once.

        A requested wait is returned only if a process of this dispatcher has run ever since.
        """


# The core, as adapters see it


class CoreServices(Protocol):
    """Counters, time and timers, for every adapter."""

    counters: Counter[str]
    memory: MemoryBudget

    def now(self) -> float:
        """The monotonic time in seconds."""

    def call_later(self, delay: float, call: Callable[..., None], *args: Any) -> Timer:
        """Call a function after so many seconds."""

    def report_extra_bytes(self, peer: str, kind: ExtraBytes) -> None:
        """A peer, by its name or address, sent bytes that answer no request."""

    def report_memory_refusal(self, refusal: MemoryRefusal, **facts: object) -> None:
        """Something gave way for want of memory."""


class SubmissionHandler(CoreServices, Protocol):
    """What fronts call on the core."""

    invariants: Invariants

    def submit(
        self, submitter: Submitter, stored: StoredMessage, time_left: float
    ) -> Reply | HeldMessage | None:
        """Accept or refuse a message with so many seconds of its lifetime left.

        Returns the reply; or the accepted message, whose reply comes later through `submitter`; or None if
        nothing was accepted and the reply comes later. Raises InvalidMessageError.
        """

    def client_withdrew(self, message: HeldMessage) -> None:
        """The client disconnected before its reply could be sent: nobody waits for the message any more."""

    def report_malformed_request(self, reason: str, client: int, held: int) -> None:
        """A request of a client could not be parsed or carried out; so many bytes were held for it."""

    def report_accepting_paused(self, paused: bool, clients: int) -> None:
        """The front is at its limit on connections, so that clients wait to be accepted; or no longer."""

    def report_out_of_descriptors(self) -> None:
        """The process ran out of file descriptors below the limit on clients."""

    def metrics(self) -> dict[str, float]:
        """Present values and all counters, by name."""


class AttemptListener(CoreServices, Protocol):
    """What carriers call on the core."""

    @property
    def settings(self) -> interface.DeliverySettings:
        """The delivery settings in force."""

    def may_start(self, attempt: interface.Attempt, message: HeldMessage) -> bool:
        """Whether an attempt may be sent now that its connection is up; if so, its start is recorded."""

    def attempt_sending(self, attempt: interface.Attempt, message: HeldMessage) -> None:
        """The first byte is about to be sent; `may_start` has allowed it."""

    def message_sent(self, message: HeldMessage) -> None:
        """The last byte of a call with this message was sent."""

    def attempt_ended(
        self, attempt: interface.Attempt, message: HeldMessage, result: CallResult, outcome: interface.Outcome
    ) -> None:
        """An attempt has ended, sent or not; called once for each."""

    def probe_ended(self, route: interface.Route, outcome: interface.Outcome) -> None:
        """A probe has ended."""


class EndpointListListener(CoreServices, Protocol):
    """What sources call on the core."""

    running: bool

    def guard(self, call: Callable[..., Any], *args: Any) -> Any:
        """Call a function; an exception is logged and counted, and goes no further."""

    def list_fits(self, endpoints: list[tuple[ListedEndpoint, str]], full: bool) -> bool:
        """Whether there is memory for the endpoints that a list adds; false is logged and counted."""

    def list_updated(self, endpoints: list[tuple[ListedEndpoint, str]], full: bool) -> None:
        """Endpoints were listed, each with its address; a `full` list replaces the known one."""

    def list_failed(self, reason: str) -> None:
        """Fetching the endpoint list failed."""


class NoticeListener(CoreServices, Protocol):
    """What outlets call on the core."""

    log: Any

    def notice_acknowledged(self, name: bytes) -> None:
        """The notice of a message cannot be lost any more."""
