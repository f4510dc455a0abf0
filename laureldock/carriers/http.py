"""Receivers: attempts and probes over kept connections, a pool for each route."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from itertools import islice
from math import inf

from twisted.internet.defer import Deferred
from twisted.internet.posixbase import PosixReactorBase
from twisted.python.failure import Failure

from laureldock.core import MAX_BODY_BYTES
from laureldock.core.call_results import ATTEMPT_RESULTS, RESULTS_BY_STATUS, CallResult
from laureldock.core.messages import HeldMessage
from laureldock.core.protocols import AttemptListener, Timer
from laureldock.interface import Attempt, AttemptResult, ListedState, Outcome, Probe, Route
from laureldock.sockets.flush import peek_unread
from laureldock.sockets.http_client import HttpConnection, open_connection
from laureldock.sockets.socket_budget import SocketBudget
from laureldock.wire.http1 import Headers

# Seconds for which the answer to a call that is given up may still be on its way: receivers see the end of
# the sending within a moment, and either close the connection or had written their answer before.
LAST_ANSWER_TIME = 0.03


class Pool:
    """The connections to one route. `resting` are the idle ones of all routes, the longest idle first."""

    def __init__(
        self, route: Route, dial: str, now: Callable[[], float], resting: dict[HttpConnection, Pool]
    ) -> None:
        self.route, self.dial, self.now, self.resting = route, dial, now, resting
        self.idle: list[tuple[float, HttpConnection]] = []  # since when, the longest first

    def hang_up(self, idle_for: float = 0.0) -> None:
        """Close what has been idle for so long."""
        while self.idle and self.idle[0][0] <= self.now() - idle_for:
            self.drop_oldest()

    def drop_oldest(self) -> None:
        _, line = self.idle.pop(0)
        del self.resting[line]
        line.discard()

    def take_newest(self) -> tuple[float, HttpConnection]:
        """An idle connection, and since when it is that."""
        since, line = self.idle.pop()
        del self.resting[line]
        return since, line

    def free(self, line: HttpConnection) -> None:
        if self.route.listed_state is ListedState.UP:
            self.idle.append((self.now(), line))
            self.resting[line] = self
        else:
            line.discard()

    def gone(self, line: HttpConnection) -> None:
        if self.resting.pop(line, None):
            self.idle = [(since, other) for since, other in self.idle if other is not line]


class Receivers:
    def __init__(self, core: AttemptListener, reactor: PosixReactorBase, room: SocketBudget) -> None:
        self.core, self.reactor, self.room = core, reactor, room
        self.pools: dict[Route, Pool] = {}
        self.resting: dict[HttpConnection, Pool] = {}  # idle connections, the longest idle first
        self.errands: dict[Attempt, Errand] = {}
        room.free_socket = self.spare

    @property
    def attempts_in_flight(self) -> int:
        return len(self.errands)

    def update_route(self, route: Route, dial: str) -> None:
        pool = self.pools.setdefault(route, Pool(route, dial, self.core.now, self.resting))
        if route.listed_state is not ListedState.UP or pool.dial != dial:
            pool.hang_up()
        pool.dial = dial

    def remove_routes(self, routes: Iterable[Route]) -> None:
        for route in routes:
            if pool := self.pools.pop(route, None):
                pool.hang_up()

    def start_attempt(self, attempt: Attempt, message: HeldMessage) -> None:
        time_out = message.call_timeout(attempt.timeout, self.core.now())
        head = [b"POST /hook HTTP/1.1", b"X-Call-Id: " + message.name]
        head += [b"Idempotency-Key: " + message.tag] if message.tag else []
        head += [
            b"X-Budget: %dm" % max(1, time_out * 1000),
            b"Content-Length: %d" % len(message.body),
        ]

        def may_begin() -> bool:
            return self.core.may_start(attempt, message)

        def ended(end: CallResult, outcome: Outcome) -> None:
            del self.errands[attempt]
            self.core.attempt_ended(attempt, message, end, outcome)

        pool = self.pools[attempt.route]
        errand = Errand(
            self, pool, head, message.body, time_out, may_begin, ended, attempt.max_connection_idle_time
        )
        errand.message, errand.sending = message, partial(self.core.attempt_sending, attempt, message)
        self.errands[attempt] = errand
        errand.start()

    def cancel_attempt(self, attempt: Attempt) -> None:
        if attempt in self.errands:
            self.errands[attempt].stop(CallResult.CANCELLED)

    def start_probe(self, probe: Probe) -> None:
        head, route = [b"GET /alive HTTP/1.1"], probe.route

        def ended(end: CallResult, outcome: Outcome) -> None:
            self.core.probe_ended(route, outcome)

        def may_begin() -> bool:
            return route.listed_state is ListedState.UP

        if route in self.pools:
            Errand(self, self.pools[route], head, b"", probe.timeout, may_begin, ended).start()

    def close_idle_connections(self, route: Route) -> None:
        if route in self.pools:
            self.pools[route].hang_up()

    def take(self, pool: Pool, rest: float) -> tuple[float, HttpConnection] | None:
        """A kept connection, surely not closed yet, with nothing on it to be taken for the next answer."""
        # In the time for which one may take to come up, a call gets there too.
        tariff = self.core.settings
        pool.hang_up(tariff.idle_time - tariff.connect_timeout)
        while pool.idle:
            since, line = pool.take_newest()
            rested = self.core.now() - since
            if rested <= rest and peek_unread(line.transport) is None:
                return rested, line
            line.discard()
        return None

    def spare(self) -> None:
        """Room for one more connection, a client's or our own: those idle for longest give way."""
        over = self.room.receivers + self.room.clients - self.room.max_sockets
        if over < 0:
            return
        for pool in list(islice(self.resting.values(), over + 1)):
            pool.drop_oldest()

    def close(self) -> None:
        for pool in self.pools.values():
            pool.hang_up()


class Errand:
    """One attempt or probe on the wire, from its start to its one end."""

    def __init__(
        self,
        receivers: Receivers,
        pool: Pool,
        head: list[bytes],
        body: bytes,
        time_out: float,
        may_begin: Callable[[], bool],
        ended: Callable[[CallResult, Outcome], None],
        rest: float = inf,
    ) -> None:
        self.receivers, self.pool, self.head, self.body = receivers, pool, head, body
        self.time_out, self.may_begin, self.ended = time_out, may_begin, ended
        self.rest, self.rested = rest, 0.0
        self.began, self.over = receivers.core.now(), False
        self.line: HttpConnection | None = None
        self.message: HeldMessage | None = None  # of an attempt
        self.sending: Callable[[], None] = lambda: None  # told just before the first byte leaves
        self.opening: Deferred[HttpConnection] | None = None
        self.timer: Timer | None = None
        self.given_up: CallResult | None = None  # as what; its last answer may be on its way

    def start(self) -> None:
        core = self.receivers.core
        self.timer = core.call_later(self.time_out, self.stop, CallResult.TIMED_OUT)
        kept = self.receivers.take(self.pool, self.rest)
        if kept:
            self.rested, line = kept
            self.go(line)
            return
        self.receivers.spare()
        self.receivers.room.receivers += 1
        core.counters["connections opened"] += 1
        patience = core.settings.connect_timeout
        self.opening = open_connection(self.receivers.reactor, self.pool.dial, MAX_BODY_BYTES, patience)
        self.opening.addCallbacks(self.opened, self.failed)

    def opened(self, line: HttpConnection) -> None:
        self.opening = None
        line.on_idle, line.on_closed = self.pool.free, self.gone
        self.receivers.core.call_later(0, self.go, line)  # when all that has come in is read

    def gone(self, line: HttpConnection) -> None:
        self.receivers.room.receivers -= 1
        self.pool.gone(line)

    def failed(self, failure: Failure) -> None:
        self.receivers.room.receivers -= 1
        self.finish(CallResult.NOT_CONNECTED)

    def go(self, line: HttpConnection) -> None:
        if line.closed:
            self.finish(CallResult.NOT_CONNECTED)
            return
        if self.over or not self.may_begin():
            self.pool.free(line)
            self.finish(CallResult.NOT_STARTED)
            return
        self.line = line
        self.sending()
        line.send_request([*self.head, b"Host: " + self.pool.dial.encode()], self.body, self)

    def stop(self, end: CallResult) -> None:
        """Not waited for any more; what was not written whole has not run. An answer on its way counts."""
        if self.over or self.given_up:
            return
        if self.line and self.line.request_flushed:
            self.hush()
            self.given_up = end
            self.line.end_sending()
            self.timer = self.receivers.core.call_later(LAST_ANSWER_TIME, self.line.fail, end)
            return
        if self.opening:
            self.opening.cancel()
        if self.line:
            self.line.fail(CallResult.NOT_CONNECTED)
        else:
            self.finish(CallResult.NOT_CONNECTED)

    def response_started(self, status: int, headers: Headers) -> None:
        """A first line of 200 is true whatever follows: the rest is read for the connection's sake alone."""
        if status == 200 and not self.over and self.line:
            self.finish(CallResult.DELIVERED, headers)
            core = self.receivers.core
            self.timer = core.call_later(core.settings.connect_timeout, self.line.discard)

    def response_received(self, status: int, headers: Headers, body: bytes) -> None:
        end = RESULTS_BY_STATUS.get(status, CallResult.UNEXPECTED_STATUS)
        if end is CallResult.REFUSED and headers.get(b"x-over-slots") == b"1":
            end = CallResult.NO_SLOT
        self.finish(end, headers)

    def request_written(self) -> None:
        if self.message:  # not of a probe
            self.receivers.core.message_sent(self.message)

    def request_failed(self, end: CallResult) -> None:
        self.finish(self.given_up or end)

    def hush(self) -> None:
        if self.timer and self.timer.active():
            self.timer.cancel()

    def finish(self, end: CallResult, headers: Headers | None = None) -> None:
        self.hush()
        if self.over:
            return
        self.over = True
        headers = headers or {}
        ending, finished = ATTEMPT_RESULTS[end]
        told = report(headers.get(b"x-load-report", b""))
        wait = number(headers.get(b"x-ratelimit-wait-ms", b"")) if ending is AttemptResult.REFUSED else None
        wait, took = (wait or 0.0) / 1000, self.receivers.core.now() - self.began
        limit, left = told.get("x1"), told.get("x0", 1.0)
        begun = end is not CallResult.NOT_STARTED
        self.ended(end, Outcome(ending, took, finished, wait, limit, left, begun, self.rested))


def number(text: bytes) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e9 else None


def report(text: bytes) -> dict[str, float]:
    """The names and values of a load report; what cannot be read is left out."""
    pairs = (part.partition(b"=") for part in text.split(b",") if part)
    read = ((name.strip().decode("latin-1"), number(value)) for name, _, value in pairs)
    return {name: value for name, value in read if value is not None}
