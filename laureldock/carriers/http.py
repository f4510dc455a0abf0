"""Carrier over HTTP/1.1: sends attempts and probes to receivers over a connection pool for each route."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from itertools import islice
from math import inf

from twisted.internet.defer import Deferred
from twisted.internet.posixbase import PosixReactorBase
from twisted.python.failure import Failure

from laureldock.carriers.connection_pool import ConnectionPool, IdleConnection
from laureldock.core import MAX_BODY_BYTES
from laureldock.core.call_results import ATTEMPT_RESULTS, RESULTS_BY_STATUS, CallResult
from laureldock.core.messages import HeldMessage
from laureldock.core.protocols import AttemptListener, Timer
from laureldock.delivery_connections import RestTimes
from laureldock.delivery_memory import MemoryKind, call_bytes
from laureldock.interface import Attempt, AttemptResult, ListedState, Outcome, Probe, Route
from laureldock.sockets.http_client import HttpConnection, open_connection
from laureldock.sockets.socket_budget import SocketBudget
from laureldock.wire.http1 import Headers

# Seconds to wait for the response to a call that was given up. Receivers see the half-close within a moment,
# and either close the connection or had written their response before.
LATE_RESPONSE_TIME = 0.03


class HttpCarrier:
    """Carries out attempts and probes as HTTP calls to receivers, and reports their outcomes to the core."""

    def __init__(self, core: AttemptListener, reactor: PosixReactorBase, room: SocketBudget) -> None:
        self.core, self.reactor, self.room = core, reactor, room
        self.pools: dict[Route, ConnectionPool] = {}
        self.rest_times = RestTimes()  # of the connections of all routes
        self.all_idle: dict[HttpConnection, ConnectionPool] = {}  # idle connections, the longest idle first
        self.calls: dict[Attempt, HttpCall] = {}  # in flight; probes are not among them
        room.free_socket = self.make_room

    @property
    def attempts_in_flight(self) -> int:
        return len(self.calls)

    def update_route(self, route: Route, address: str) -> None:
        pool = self.pools.get(route)
        if pool is None:
            pool = self.pools[route] = ConnectionPool(
                route, address, self.core.now, self.all_idle, self.rest_times, self.core.report_extra_bytes
            )
        if route.listed_state is not ListedState.UP or pool.address != address:
            pool.close_idle()
        pool.address = address

    def remove_routes(self, routes: Iterable[Route]) -> None:
        for route in routes:
            if pool := self.pools.pop(route, None):
                pool.close_idle()

    def start_attempt(self, attempt: Attempt, message: HeldMessage) -> None:
        time_limit = message.call_timeout(attempt.timeout, self.core.now())
        head = [b"POST /hook HTTP/1.1", b"X-Call-Id: " + message.name]
        head += [b"Idempotency-Key: " + message.tag] if message.tag else []
        head += [  # the budget is in milliseconds
            b"X-Budget: %dm" % max(1, time_limit * 1000),
            b"Content-Length: %d" % len(message.body),
        ]

        def may_send() -> bool:
            return self.core.may_start(attempt, message)

        def on_finished(result: CallResult, outcome: Outcome) -> None:
            del self.calls[attempt]
            self.core.memory.change(MemoryKind.MESSAGES, -call_bytes(message.body))
            self.core.attempt_ended(attempt, message, result, outcome)

        pool = self.pools[attempt.route]
        call = HttpCall(
            self,
            pool,
            head,
            message.body,
            time_limit,
            may_send,
            on_finished,
            attempt.max_connection_idle_time,
        )
        call.message, call.on_sending = message, partial(self.core.attempt_sending, attempt, message)
        self.calls[attempt] = call
        self.core.memory.change(MemoryKind.MESSAGES, call_bytes(message.body))
        call.start()

    def cancel_attempt(self, attempt: Attempt) -> None:
        if attempt in self.calls:
            self.calls[attempt].stop(CallResult.CANCELLED)

    def start_probe(self, probe: Probe) -> None:
        head, route = [b"GET /alive HTTP/1.1"], probe.route

        def on_finished(result: CallResult, outcome: Outcome) -> None:
            self.core.probe_ended(route, outcome)

        def may_send() -> bool:
            return route.listed_state is ListedState.UP

        if route in self.pools:
            HttpCall(self, self.pools[route], head, b"", probe.timeout, may_send, on_finished).start()

    def close_idle_connections(self, route: Route) -> None:
        if route in self.pools:
            self.pools[route].close_idle()

    def take_idle_connection(
        self, pool: ConnectionPool, max_connection_idle_time: float, time_limit: float
    ) -> IdleConnection | None:
        """Take an idle connection that the receiver has surely not closed yet, or None if there is none.

        It may have to rest, for `time_limit` seconds at most.
        """
        # Receivers close connections after `idle_time`. A call must reach the receiver before that; it is
        # given as long for this as connecting may take.
        delivery_settings = self.core.settings
        pool.close_idle(delivery_settings.idle_time - delivery_settings.connect_timeout)
        return pool.take(max_connection_idle_time, time_limit)

    def make_room(self) -> None:
        """Make room for one more connection, of a client or to a receiver: close the longest idle ones."""
        excess = self.room.receivers + self.room.clients - self.room.max_sockets
        if excess < 0:
            return
        for pool in list(islice(self.all_idle.values(), excess + 1)):
            pool.close_oldest()

    def close(self) -> None:
        for pool in self.pools.values():
            pool.close_idle()


class HttpCall:
    """One attempt or probe as an HTTP call, from its start to its one result.

    `may_send` is asked just before the first byte is sent. `on_finished` is called exactly once.
    """

    def __init__(
        self,
        carrier: HttpCarrier,
        pool: ConnectionPool,
        head: list[bytes],
        body: bytes,
        time_limit: float,
        may_send: Callable[[], bool],
        on_finished: Callable[[CallResult, Outcome], None],
        max_connection_idle_time: float = inf,
    ) -> None:
        self.carrier, self.pool, self.head, self.body = carrier, pool, head, body
        self.time_limit, self.may_send, self.on_finished = time_limit, may_send, on_finished
        self.max_connection_idle_time, self.connection_idle_time = max_connection_idle_time, 0.0
        self.started_at, self.finished = carrier.core.now(), False
        self.connection: HttpConnection | None = None
        self.resting: IdleConnection | None = None  # the connection that the call waits for
        self.message: HeldMessage | None = None  # None for a probe
        self.on_sending: Callable[[], None] = lambda: None  # called just before the first byte is sent
        self.connecting: Deferred[HttpConnection] | None = None
        self.timer: Timer | None = None
        # The result once the call has been given up, unless a late response still arrives.
        self.given_up_as: CallResult | None = None

    def start(self) -> None:
        self.timer = self.carrier.core.call_later(self.time_limit, self.stop, CallResult.TIMED_OUT)
        self.take_connection()

    def take_connection(self) -> None:
        """Send over an idle connection, once it has rested, or over a new one."""
        core = self.carrier.core
        time_left = self.started_at + self.time_limit - core.now()
        idle = self.carrier.take_idle_connection(self.pool, self.max_connection_idle_time, time_left)
        if idle is None:
            self.open_connection()
        elif idle.connection.ready_at <= core.now():
            self.send_over_idle(idle)
        else:
            self.resting = idle
            core.call_later(idle.connection.ready_at - core.now(), self.rest_ended)

    def rest_ended(self) -> None:
        """The connection that the call waited for has rested: send, or take another one.

        Meanwhile it may have closed, or the route may have moved to another address.
        """
        if (idle := self.resting) is None:
            return  # given up meanwhile
        self.resting = None
        if idle.connection.discard_if_unread():
            self.take_connection()
        else:
            self.send_over_idle(idle)

    def send_over_idle(self, idle: IdleConnection) -> None:
        self.connection_idle_time = self.carrier.core.now() - idle.idle_since
        self.send(idle.connection)

    def open_connection(self) -> None:
        core = self.carrier.core
        self.carrier.make_room()
        self.carrier.room.receivers += 1
        core.counters["connections opened"] += 1
        connect_time_limit = core.settings.connect_timeout
        self.connecting = open_connection(
            self.carrier.reactor, self.pool.address, MAX_BODY_BYTES, connect_time_limit, core.memory
        )
        self.connecting.addCallbacks(self.connected, self.connect_failed)

    def connected(self, connection: HttpConnection) -> None:
        self.connecting = None
        self.pool.adopt(connection)
        connection.on_closed = self.connection_closed
        # In the next iteration of the reactor, after it has read all input that is ready in this one.
        self.carrier.core.call_later(0, self.send, connection)

    def connection_closed(self, connection: HttpConnection) -> None:
        self.carrier.room.receivers -= 1
        self.pool.connection_closed(connection)

    def connect_failed(self, failure: Failure) -> None:
        self.carrier.room.receivers -= 1
        self.finish(CallResult.NOT_CONNECTED)

    def send(self, connection: HttpConnection) -> None:
        """Send over a connection, or over another one if the route has moved to another address meanwhile."""
        if connection.address != self.pool.address:
            connection.discard()
            if not self.finished:
                self.take_connection()
            return
        if connection.closed:
            self.finish(CallResult.NOT_CONNECTED)
            return
        if self.finished or not self.may_send():
            self.pool.release(connection)
            self.finish(CallResult.NOT_STARTED)
            return
        self.connection = connection
        self.on_sending()
        connection.send_request([*self.head, b"Host: " + self.pool.address.encode()], self.body, self)

    def stop(self, result: CallResult) -> None:
        """Give the call up; a response that is already on its way still counts.

        A call that was not written in full has not run, and ends as not connected.
        """
        if self.finished or self.given_up_as:
            return
        if self.connection and self.connection.request_flushed:
            self.cancel_timer()
            self.given_up_as = result
            self.connection.end_sending()
            self.timer = self.carrier.core.call_later(LATE_RESPONSE_TIME, self.connection.fail, result)
            return
        if self.connecting:
            self.connecting.cancel()
        if self.resting:
            resting, self.resting = self.resting, None
            self.pool.release(resting.connection)
            self.finish(CallResult.NOT_STARTED)
        elif self.connection:
            self.connection.fail(CallResult.NOT_CONNECTED)
        else:
            self.finish(CallResult.NOT_CONNECTED)

    def response_started(self, status: int, headers: Headers) -> None:
        """A status of 200 means delivered, whatever follows.

        The rest is read only to reuse the connection, for at most the time that connecting may take.
        """
        if status == 200 and not self.finished and self.connection:
            self.finish(CallResult.DELIVERED, headers)
            core = self.carrier.core
            self.timer = core.call_later(core.settings.connect_timeout, self.connection.discard)

    def response_received(self, status: int, headers: Headers, body: bytes) -> None:
        result = RESULTS_BY_STATUS.get(status, CallResult.UNEXPECTED_STATUS)
        if result is CallResult.REFUSED and headers.get(b"x-over-slots") == b"1":
            result = CallResult.NO_SLOT
        self.finish(result, headers)

    def request_written(self) -> None:
        if self.message:
            self.carrier.core.message_sent(self.message)

    def request_failed(self, end: CallResult) -> None:
        self.finish(self.given_up_as or end)

    def cancel_timer(self) -> None:
        if self.timer and self.timer.active():
            self.timer.cancel()

    def finish(self, result: CallResult, headers: Headers | None = None) -> None:
        """Report the result, unless the call has finished before."""
        self.cancel_timer()
        if self.finished:
            return
        self.finished = True
        headers = headers or {}
        attempt_result, message_finished = ATTEMPT_RESULTS[result]
        load_report = parse_load_report(headers.get(b"x-load-report", b""))
        wait_ms = (
            parse_number(headers.get(b"x-ratelimit-wait-ms", b""))
            if attempt_result is AttemptResult.REFUSED
            else None
        )
        requested_wait, duration = (wait_ms or 0.0) / 1000, self.carrier.core.now() - self.started_at
        advertised_rate, advertised_left = load_report.get("x1"), load_report.get("x0", 1.0)
        started = result is not CallResult.NOT_STARTED
        self.on_finished(
            result,
            Outcome(
                attempt_result,
                duration,
                message_finished,
                requested_wait,
                advertised_rate,
                advertised_left,
                started,
                self.connection_idle_time,
            ),
        )


def parse_number(text: bytes) -> float | None:
    """Parse a number of a header; None unless it is at least 0 and below 1e9."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e9 else None


def parse_load_report(text: bytes) -> dict[str, float]:
    """Parse the names and values of a load report, leaving out those that are malformed."""
    pairs = (part.partition(b"=") for part in text.split(b",") if part)
    parsed = ((name.strip().decode("latin-1"), parse_number(value)) for name, _, value in pairs)
    return {name: value for name, value in parsed if value is not None}
