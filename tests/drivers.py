"""Test drivers without sockets or a real clock: `PolicyDriver` and `InMemoryDispatcher`.

Both record what is decided or sent as a trace of lines, which tests compare with files in `traces/`.
"""

from __future__ import annotations

import dataclasses
import json
import os
import re
from math import inf
from pathlib import Path
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from laureldock import interface
from laureldock.assembly import Assembly
from laureldock.delivery_policy import DeliveryPolicy
from laureldock.interface import AttemptResult, RepeatSafety
from laureldock.setup.platform import plan_from_platform

DELIVERY_SETTINGS = interface.DeliverySettings(
    seed=7, instances=2, slots=8, room=40, max_attempts=4, may_cancel=True, may_probe=False, may_hedge=False,
    must_fetch_list=False, over_quota=0.2, max_retry_after=3.0, key_cooldown_time=0.3, start_capacity=0.2,
    tip_multiple=2.0, fall_time=3.0, warm_time=10.0, listed_rates="nominal", list_is_local=False,
    has_notices=False,
)  # fmt: skip
QUEUE_CLASSES = {
    "redeliverable": interface.QueueClass(RepeatSafety.REDELIVERABLE, 1, 2, 10, 0.5, False),
    "tagged": interface.QueueClass(RepeatSafety.TAGGED, 1, 2, 10, 0.5, False, tag_memory_time=6),
    "once-only": interface.QueueClass(RepeatSafety.ONCE_ONLY, 5, 2, 10, 0.5, False),
    "one-zone": interface.QueueClass(
        RepeatSafety.TAGGED, 1, 2, 10, 0.5, False, tag_memory_time=6, one_zone=True
    ),
    "in-order": interface.QueueClass(
        RepeatSafety.TAGGED, 1, 2, 10, 0.5, False, in_order=True, tag_memory_time=10
    ),
    "fading": interface.QueueClass(RepeatSafety.REDELIVERABLE, 1, 1, 5, 0.0, True),
}
for class_name, queue_class in QUEUE_CLASSES.items():
    queue_class.name = class_name


class Trace:
    """Lines that start with the time in seconds since the driver started, at clock time 100."""

    def __init__(self) -> None:
        self.now = 100.0
        self.lines: list[str] = []

    def record(self, text: str) -> None:
        self.lines.append(f"{self.now - 100:6.2f} {text}")

    def matches_trace(self, name: str) -> bool:
        """Whether the trace equals `traces/<name>.txt`; prints both if it does not.

        With KEEP_TRACES set in the environment, the file is overwritten by the new trace.
        """
        path = Path(__file__).parent / "traces" / f"{name}.txt"
        kept = path.read_text().splitlines() if path.exists() else []
        if os.environ.get("KEEP_TRACES"):  # the diff is to be read before it is committed
            path.write_text("".join(f"{line}\n" for line in self.lines))
        if kept != self.lines:
            print("\n".join(["decided now:", *self.lines, "kept:", *kept]))
        return kept == self.lines


class PolicyDriver(Trace):
    """Drives a `DeliveryPolicy` by hand, on a clock that the test sets, and records its effects.

    Messages are referred to by a name that the test gives them. Routes are named by destination and number,
    as in `north/1`. `attempt_started_at` is filled by callers that need it.
    """

    def __init__(self, **changes: Any) -> None:
        super().__init__()
        self.policy = DeliveryPolicy(dataclasses.replace(DELIVERY_SETTINGS, **changes), self.now)
        self.messages: dict[str, interface.Message] = {}
        self.message_names: dict[interface.Message, str] = {}
        self.attempts: dict[str, interface.Attempt] = {}
        self.attempt_started_at: dict[interface.Attempt, float] = {}
        self.destinations: dict[str, interface.Destination] = {}
        self.routes: dict[str, interface.Route] = {}

    def update_list(
        self, *names: str, rate: float = 100.0, batch_size: int = 1, limits_per_route: bool = True,
        state: str = "up", zone: str = "zone",
    ) -> None:  # fmt: skip
        """Passes a list update with these routes to the policy; creates those that are new."""
        for name in names:
            destination = self.destinations.setdefault(name.split("/")[0], interface.Destination())
            new_route = interface.Route(
                destination,
                zone,
                interface.DestinationKind(batch_size, limits_per_route),
                rate,
                interface.ListedState.UP,
                name,
            )
            self.routes.setdefault(name, new_route).listed_state = interface.ListedState(state)
        self.policy.list_updated(self.now, [self.routes[name] for name in names], False)

    def accept(
        self, name: str, queue_class: str, destination_name: str = "north", lifetime: float | None = None,
        key: str | None = None, terms: interface.Terms | None = None,
    ) -> None:  # fmt: skip
        """A new message is accepted; `queue_class` is a key of `QUEUE_CLASSES`, `lifetime` is in seconds."""
        destination = self.destinations.setdefault(destination_name, interface.Destination())
        message_class = QUEUE_CLASSES[queue_class]
        message = interface.Message(
            message_class, destination, message_class.lifetime if lifetime is None else lifetime, None, key,
            terms=terms,
        )  # fmt: skip
        message.accepted_at = self.now
        self.messages[name], self.message_names[message] = message, name
        self.policy.message_accepted(self.now, message)

    def end_attempt(
        self, name: str, result: str, requested_wait: float = 0.0,
        rate_report: tuple[float, float] | None = None, duration: float = 0.1,
    ) -> None:  # fmt: skip
        """The current attempt of the message ends with the `AttemptResult` of that value.

        `rate_report` is the response's rate report: the fraction of the limit that is left, and the limit.
        """
        attempt_result, attempt = AttemptResult(result), self.attempts.pop(name)
        remaining, limit = rate_report or (1.0, None)
        outcome = interface.Outcome(
            attempt_result, duration, attempt_result is AttemptResult.SERVED, requested_wait, limit, remaining
        )  # fmt: skip
        self.record(f"{name}: {result}" + (f", wait {requested_wait:g}" if requested_wait else ""))
        self.policy.attempt_ended(self.now, attempt, outcome)

    def withdraw(self, name: str) -> None:
        self.record(f"{name}: withdrawn")
        self.policy.message_withdrawn(self.now, self.messages[name])

    def turn(self) -> None:
        """One turn of the policy; records its effects and keeps the attempts that it starts."""
        for effect in self.policy.turn(self.now):
            match effect:
                case interface.Attempt(message=message, route=route, timeout=timeout):
                    self.attempts[self.message_names[message]] = effect
                    self.record(f"-> {self.message_names[message]} to {route.name}, {timeout:.2f} s")
                case interface.Defer(message=message, retry_after=retry_after):
                    self.record(f"-> {self.message_names[message]} deferred, back in {retry_after:.2f} s")
                case interface.Bounce(message=message):
                    self.record(f"-> {self.message_names[message]} bounced")
                case interface.Cancel(attempt=attempt):
                    self.record(f"-> {self.message_names[attempt.message]} called off")
                case interface.Probe(route=route):
                    self.record(f"-> probe of {route.name}")
                case interface.FetchList(watch=watch):
                    self.record("-> watch the list" if watch else "-> ask for the list")
                case interface.StartTimer(name="sweep"):
                    self.policy.timer_expired(self.now, "sweep")
                case interface.StartTimer(name="idle") | interface.RouteFailed() | interface.RouteRecovered():
                    pass  # the test takes turns anyway, and there is no peer process
                case interface.StartTimer(delay=delay, name=name):
                    self.record(f"-> Timer(after={delay!r}, name={name!r})")
                case interface.CloseIdleConnections(route=route):
                    self.record(f"-> idle connections to {route.name} closed")
                case _:
                    self.record(f"-> {effect}")

    def advance(self, seconds: float) -> None:
        """Advances the clock in steps of 0.05 s, with a turn at each."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.turn()


PLATFORM_SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "news", "effect": "retryable", "points": 1, "aim_ns": 2e9, "deadline_ns": 9e9},
        {"name": "order", "effect": "dedup", "points": 1, "aim_ns": 2e9, "deadline_ns": 9e9, "window_ns": 9e9,
         "dedup_scope": "all", "in_order": True},
        {"name": "stamp", "effect": "dedup", "points": 1, "aim_ns": 2e9, "deadline_ns": 9e9, "window_ns": 1e9,
         "dedup_scope": "all"},
        {"name": "charge", "effect": "fragile", "points": 5, "aim_ns": 2e9, "deadline_ns": 9e9},
    ],
    "kinds": ["any"], "n_instances": 1, "telemetry": {"fields": ["x0", "x1"], "via": "inline"},
    "family_info": {"call_slots": 8, "batch_by_kind": [1], "routes_apart": [True], "fades": "linear"},
    "limits": {"most_held": 40, "max_attempts": 4, "may_cancel": True, "connect_timeout_ns": 1e9,
               "conn_idle_ns": 15e9, "retry_after": True, "max_retry_after_ns": 3e9},
    "invariants": {"start_capacity": 0.3, "tip_multiple": 2, "fall_ns": 2e9, "warm_after_ns": 9e9,
                   "key_rest_ns": 3e8},
}  # fmt: skip


class MemoryConnection(StringTransport):
    """The transport of an in-memory connection: bytes are sent at once, unless it is `blocked`."""

    def __init__(self, name: str, protocol: Any) -> None:
        super().__init__()
        self.name, self.protocol, self.blocked, self.awaits_response = name, protocol, False, False
        self.list_version, self.watch_until = 0, inf  # of a watch: version it has, time of its response
        self.ignores_close = False  # the other side does not close when the dispatcher does
        self.unread_bytes: bytes | None = None  # received, not read yet; b"" means the other side has closed

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        super().registerProducer(producer, streaming)
        producer.resumeProducing()
        if not self.blocked:
            producer.resumeProducing()

    @property
    def socket(self) -> MemoryConnection:
        return self

    def fileno(self) -> int:
        return -1

    def recv(self, size: int, flags: int) -> bytes:
        if self.unread_bytes is None:
            raise BlockingIOError
        return self.unread_bytes[:size]

    def loseWriteConnection(self) -> None:  # noqa: N802
        """The other side closes too, unless it `ignores_close`."""
        if not self.ignores_close:
            self.loseConnection()

    def shutdown(self, how: int) -> None:
        self.loseWriteConnection()

    def resumeProducing(self) -> None:  # noqa: N802
        if not self.disconnecting:  # a real connection ignores this call while it is closing
            super().resumeProducing()

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """No effect: bytes are sent at once in any case."""


class InMemoryDispatcher(Trace):
    """A whole dispatcher on an in-memory reactor, with a clock that the test sets.

    Clients, receivers, the endpoint list and the notice server exist only as `MemoryConnection`s. Receivers
    are named by their ports; `routes` are those of destination 7 that are listed from the start. While
    `answers_list` is set, a watch of the list gets an empty update once its wait has passed.
    """

    def __init__(self, state: Path, monkeypatch: Any, disk: float = 1e6, routes: str = "1") -> None:
        super().__init__()
        self.reactor = MemoryReactorClock()
        self.reactor.advance(100)
        monkeypatch.setattr("time.time", lambda: 1e9 + self.reactor.seconds())
        settings = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.9:9", "seed": "7"}
        limits = {"cores": 1, "memory_mb": 64, "sockets": 64, "disk_mb": disk / 1e6}
        config, self.folder = state / "config.json", state / "state"
        self.folder.mkdir()
        document = {
            **settings,
            "limits": limits,
            "known": self.endpoint_list(routes),
            "settings": PLATFORM_SETTINGS,
        }
        config.write_text(json.dumps(document))
        self.plan, _ = plan_from_platform({"LB_CONFIG": str(config), "LB_STATE": str(self.folder)})
        self.refusing: set[str] = set()  # receivers that refuse connections
        self.not_connecting: set[str] = set()  # receivers to which connects do not complete yet
        self.accepts_notices = self.answers_list = True
        self.start()

    def start(self) -> None:
        """Starts a new process with the folder that the previous one left."""
        if (previous := getattr(self, "assembly", None)) and previous.core.store.file >= 0:
            previous.core.store.close()  # releases the lock, as the end of its process would
        self.reactor.tcpClients.clear()
        self.reactor.connectors.clear()
        self.pending_connects: list[tuple[Any, Any]] = []  # connects not completed yet
        self.connections: list[MemoryConnection] = []
        self.faults: list[str] = []
        self.assembly = Assembly(self.plan, self.folder, self.reactor, self.faults.append)  # type: ignore
        self.core, self.front = self.assembly.core, self.assembly.clients[0]
        self.assembly.start()
        self.process_events()

    @staticmethod
    def endpoint_list(names: str, health: str = "Ready", seq: int = 1, full: bool = True) -> dict[str, Any]:
        """A list in the platform's form; each character of `names` is the port of one endpoint."""
        entry = {"site": "a", "class": "any", "block": 7, "share": 100.0, "health": health}
        hosts = [{"host": f"r{name}", "dial": f"127.0.0.2:{name}", **entry} for name in names]
        return {"seq": seq, "whole": full, "hosts": hosts}

    def process_events(self) -> None:
        """Completes or fails connects, passes bytes on and lets the reactor run, six rounds long."""
        for _ in range(6):
            self.pending_connects += zip(self.reactor.tcpClients, self.reactor.connectors, strict=True)
            self.reactor.tcpClients.clear()
            self.reactor.connectors.clear()
            connects, self.pending_connects = self.pending_connects, []
            for arguments, connector in connects:
                host, port = arguments[0], str(arguments[1])
                factory: Any = arguments[2]
                if connector.stoppedConnecting:
                    self.record(f"{port}: not waited for")
                elif port in self.not_connecting:
                    self.pending_connects.append((arguments, connector))
                elif port in self.refusing:
                    self.record(f"{port}: no connection")
                    factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
                else:
                    self.connect({"127.0.0.9": "list", "127.0.0.8": "new list"}.get(host, port), factory)
            self.reactor.advance(0)
            for connection in list(self.connections):
                self.record_output(connection)
                if connection.disconnecting and connection in self.connections:
                    self.record(f"{connection.name}: closed by the dispatcher")
                    self.disconnect(connection)

    def connect(self, name: str, factory: Any) -> MemoryConnection:
        connection = MemoryConnection(name, factory.buildProtocol(None))
        self.connections.append(connection)
        connection.protocol.makeConnection(connection)
        return connection

    def disconnect(self, connection: MemoryConnection) -> None:
        self.connections.remove(connection)
        connection.protocol.connectionLost(Failure(ConnectionDone()))

    def record_output(self, connection: MemoryConnection) -> None:
        """Records what the dispatcher wrote; responds at once to notices, and to watches that are due."""
        data = connection.value()
        connection.clear()
        if data.startswith(b"POST /v1/notices"):
            connection.name = "notices"
        if data:
            head, _, body = data.decode("latin-1").partition("\r\n\r\n")
            head_lines = [line for line in head.split("\r\n") if not re.match("Host|Content-", line)]
            self.record(
                f"-> {connection.name}: " + " | ".join(part for part in [*head_lines, *body.split()] if part)
            )
            connection.awaits_response = True
        if connection.name == "notices" and connection.awaits_response and self.accepts_notices:
            connection.awaits_response = False
            connection.protocol.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
        if watch := re.match(rb"GET \S+\?after=(\d+)&wait_ms=(\d+)", data):
            connection.list_version, connection.watch_until = (
                int(watch[1]),
                self.now + int(watch[2]) / 1000 - 0.01,
            )
        if (
            connection.name == "list"
            and connection.awaits_response
            and self.answers_list
            and connection.watch_until <= self.now
        ):
            self.send_list(connection, self.endpoint_list("", seq=connection.list_version, full=False))

    # Actions of the other sides

    def connect_client(self, name: str = "client") -> MemoryConnection:
        return self.connect(name, self.front)

    def send(self, connection: MemoryConnection, data: bytes) -> None:
        connection.protocol.dataReceived(data)
        self.process_events()

    def put(
        self,
        client: MemoryConnection,
        name: str,
        queue_class: str = "news",
        key: str = "0",
        lifetime: int = 9000,
    ) -> None:
        """The client hands in a message for destination 7; `lifetime` is in milliseconds."""
        self.send(
            client, self.command("MSG.PUT", key, name, f"c={queue_class},t=x,d={lifetime},dest=7", "hello")
        )

    @staticmethod
    def command(*words: str) -> bytes:
        parts = [b"$%d\r\n%s\r\n" % (len(word), word.encode()) for word in words]
        return b"*%d\r\n" % len(words) + b"".join(parts)

    def waiting_connection(self, name: str) -> MemoryConnection:
        """The oldest connection of that name, or of these one-letter names, that waits for a response."""
        found = next(
            (
                connection
                for connection in self.connections
                if connection.name in (name, *name) and connection.awaits_response
            ),
            None,
        )
        assert found, "\n".join([f"nothing waits at {name}", *self.lines])
        return found

    def respond(self, name: str, status: str, *headers: str, body: str = "") -> None:
        connection = self.waiting_connection(name)
        connection.awaits_response = False
        self.record(f"{connection.name}: " + " | ".join([status, *headers]))
        lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}", "", body]
        self.send(connection, "\r\n".join(lines).encode())

    def rest(self) -> None:
        """Lets connections that had a response rest, so that they can carry the next call."""
        self.advance(0.05)

    def break_connection(self, name: str) -> None:
        connection = self.waiting_connection(name)
        self.record(f"{connection.name}: connection broken")
        self.disconnect(connection)
        self.process_events()

    def update_list(self, names: str, health: str, seq: int) -> None:
        self.record(f"list: {names} {health}")
        self.send_list(self.waiting_connection("list"), self.endpoint_list(names, health, seq, full=False))
        self.process_events()

    @staticmethod
    def send_list(connection: MemoryConnection, endpoint_list: dict[str, Any]) -> None:
        connection.awaits_response, connection.watch_until, body = False, inf, json.dumps(endpoint_list)
        connection.protocol.dataReceived(
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        )

    def advance(self, seconds: float) -> None:
        """Advances the clock in steps of 0.05 s."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.reactor.advance(self.now - self.reactor.seconds())
            self.process_events()
