"""Drives the decisions (`Dock`) or the whole dispatcher (`Quay`) by hand and prints what they do."""

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

TARIFF = interface.DeliverySettings(
    seed=7, instances=2, slots=8, room=40, max_attempts=4, may_cancel=True, may_probe=False, may_hedge=False,
    must_fetch_list=False, over_quota=0.2, max_retry_after=3.0, key_cooldown_time=0.3, start_capacity=0.2,
    tip_multiple=2.0, fall_time=3.0, warm_time=10.0, listed_rates="nominal", list_is_local=False,
    has_notices=False,
)  # fmt: skip
SORTS = {
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


class Trace:
    def __init__(self) -> None:
        self.now = 100.0
        self.lines: list[str] = []

    def say(self, text: str) -> None:
        self.lines.append(f"{self.now - 100:6.2f} {text}")

    def same_as(self, name: str) -> bool:
        """Whether the trace is the one that is kept; shows where it is not."""
        path = Path(__file__).parent / "traces" / f"{name}.txt"
        kept = path.read_text().splitlines() if path.exists() else []
        if os.environ.get("KEEP_TRACES"):  # to be read in the diff before it is committed
            path.write_text("".join(f"{line}\n" for line in self.lines))
        if kept != self.lines:
            print("\n".join(["decided now:", *self.lines, "kept:", *kept]))
        return kept == self.lines


class Dock(Trace):
    def __init__(self, **changes: Any) -> None:
        super().__init__()
        self.control = DeliveryPolicy(dataclasses.replace(TARIFF, **changes), self.now)
        self.mails: dict[str, interface.Message] = {}
        self.names: dict[interface.Message, str] = {}
        self.out: dict[str, interface.Attempt] = {}
        self.calls: dict[interface.Attempt, float] = {}
        self.destinations: dict[str, interface.Destination] = {}
        self.routes: dict[str, interface.Route] = {}

    def listed(
        self, *names: str, rate: float = 100.0, batch: int = 1, apart: bool = True, state: str = "up",
        zone: str = "zone",
    ) -> None:  # fmt: skip
        """Routes are named by destination and number, as in `north/1`."""
        for name in names:
            owner = self.destinations.setdefault(name.split("/")[0], interface.Destination())
            fresh = interface.Route(
                owner, zone, interface.DestinationKind(batch, apart), rate, interface.ListedState.UP, name
            )
            self.routes.setdefault(name, fresh).listed_state = interface.ListedState(state)
        self.control.list_updated(self.now, [self.routes[name] for name in names], False)

    def mail(
        self, name: str, sort: str, to: str = "north", left: float | None = None, key: str | None = None,
        terms: interface.Terms | None = None,
    ) -> None:  # fmt: skip
        owner = self.destinations.setdefault(to, interface.Destination())
        kind = SORTS[sort]
        mail = interface.Message(kind, owner, kind.lifetime if left is None else left, None, key, terms=terms)
        mail.accepted_at = self.now
        self.mails[name], self.names[mail] = mail, name
        self.control.message_accepted(self.now, mail)

    def end(
        self, name: str, ending: str, wait: float = 0.0, report: tuple[float, float] | None = None,
        took: float = 0.1,
    ) -> None:  # fmt: skip
        """The attempt of a mail that is out ends; `report` is what is left of the limit, and the limit."""
        kind, attempt = AttemptResult(ending), self.out.pop(name)
        left, limit = report or (1.0, None)
        outcome = interface.Outcome(kind, took, kind is AttemptResult.SERVED, wait, limit, left)
        self.say(f"{name}: {ending}" + (f", wait {wait:g}" if wait else ""))
        self.control.attempt_ended(self.now, attempt, outcome)

    def withdraw(self, name: str) -> None:
        self.say(f"{name}: withdrawn")
        self.control.message_withdrawn(self.now, self.mails[name])

    def turn(self) -> None:
        for effect in self.control.turn(self.now):
            match effect:
                case interface.Attempt(message=mail, route=route, timeout=time_out):
                    self.out[self.names[mail]] = effect
                    self.say(f"-> {self.names[mail]} to {route.name}, {time_out:.2f} s")
                case interface.Defer(message=mail, retry_after=retry_after):
                    self.say(f"-> {self.names[mail]} deferred, back in {retry_after:.2f} s")
                case interface.Bounce(message=mail):
                    self.say(f"-> {self.names[mail]} bounced")
                case interface.Cancel(attempt=attempt):
                    self.say(f"-> {self.names[attempt.message]} called off")
                case interface.Probe(route=route):
                    self.say(f"-> probe of {route.name}")
                case interface.FetchList(watch=watch):
                    self.say("-> watch the list" if watch else "-> ask for the list")
                case interface.StartTimer(name="sweep"):
                    self.control.timer_expired(self.now, "sweep")
                case interface.StartTimer(name="idle") | interface.RouteFailed() | interface.RouteRecovered():
                    pass  # turns come anyway; there is no other process
                case interface.StartTimer(delay=delay, name=name):
                    self.say(f"-> Timer(after={delay!r}, name={name!r})")
                case interface.CloseIdleConnections(route=route):
                    self.say(f"-> idle connections to {route.name} closed")
                case _:
                    self.say(f"-> {effect}")

    def after(self, wait: float) -> None:
        """Let time pass in steps of a twentieth of a second, with a turn at each."""
        for _ in range(round(wait / 0.05)):
            self.now += 0.05
            self.turn()


SETTINGS: dict[str, Any] = {
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


class Pipe(StringTransport):
    """A connection whose bytes leave at once, unless it is `stuck`."""

    def __init__(self, name: str, protocol: Any) -> None:
        super().__init__()
        self.name, self.protocol, self.stuck, self.asked = name, protocol, False, False
        self.version, self.due = 0, inf  # of a watch: what it has, and when its wait is over
        self.deaf = False  # goes on whatever it is sent
        self.unread: bytes | None = None  # what has come and is not read yet; nothing is a close

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        super().registerProducer(producer, streaming)
        producer.resumeProducing()
        if not self.stuck:
            producer.resumeProducing()

    @property
    def socket(self) -> Pipe:
        return self

    def recv(self, size: int, flags: int) -> bytes:
        if self.unread is None:
            raise BlockingIOError
        return self.unread[:size]

    def loseWriteConnection(self) -> None:  # noqa: N802
        """The other side closes in its turn once it has seen this."""
        if not self.deaf:
            self.loseConnection()

    def shutdown(self, how: int) -> None:
        self.loseWriteConnection()

    def resumeProducing(self) -> None:  # noqa: N802
        if not self.disconnecting:  # as a real connection, which lets it pass
            super().resumeProducing()

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Bytes leave at once in any case."""


class Quay(Trace):
    """A dispatcher among clients, receivers, the list and notices, none of them real, on a clock set by hand.

    Receivers are named by their ports; those of destination 7 are listed from the start. The list answers a
    watch, with no news, once its wait is over, while it `lists`.
    """

    def __init__(self, state: Path, monkeypatch: Any, disk: float = 1e6, routes: str = "1") -> None:
        super().__init__()
        self.reactor = MemoryReactorClock()
        self.reactor.advance(100)
        monkeypatch.setattr("time.time", lambda: 1e9 + self.reactor.seconds())
        told = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.9:9", "seed": "7"}
        limits = {"cores": 1, "memory_mb": 64, "sockets": 64, "disk_mb": disk / 1e6}
        config, self.state = state / "config.json", state / "state"
        self.state.mkdir()
        all_told = {**told, "limits": limits, "known": self.hosts(routes), "settings": SETTINGS}
        config.write_text(json.dumps(all_told))
        self.plan, _ = plan_from_platform({"LB_CONFIG": str(config), "LB_STATE": str(self.state)})
        self.down: set[str] = set()  # receivers that refuse connections
        self.late: set[str] = set()  # those whose connections do not come up yet
        self.takes_notices = self.lists = True
        self.start()

    def start(self) -> None:
        """A new life, with the folder that the one before left."""
        if (old := getattr(self, "assembly", None)) and old.core.store.file >= 0:
            old.core.store.close()  # as the end of its process does, with its lock
        self.reactor.tcpClients.clear()
        self.reactor.connectors.clear()
        self.opens: list[tuple[Any, Any]] = []  # connections that are to come up
        self.pipes: list[Pipe] = []
        self.faults: list[str] = []
        self.assembly = Assembly(self.plan, self.state, self.reactor, self.faults.append)  # type: ignore
        self.dispatcher, self.front = self.assembly.core, self.assembly.clients[0]
        self.assembly.start()
        self.flow()

    @staticmethod
    def hosts(names: str, health: str = "Ready", seq: int = 1, whole: bool = True) -> dict[str, Any]:
        entry = {"site": "a", "class": "any", "block": 7, "share": 100.0, "health": health}
        hosts = [{"host": f"r{name}", "dial": f"127.0.0.2:{name}", **entry} for name in names]
        return {"seq": seq, "whole": whole, "hosts": hosts}

    def flow(self) -> None:
        """Connections come up or fail, bytes arrive and turns are taken, until nothing moves any more."""
        for _ in range(6):
            self.opens += zip(self.reactor.tcpClients, self.reactor.connectors, strict=True)
            self.reactor.tcpClients.clear()
            self.reactor.connectors.clear()
            opens, self.opens = self.opens, []
            for each, connector in opens:
                host, port = each[0], str(each[1])
                factory: Any = each[2]
                if connector.stoppedConnecting:
                    self.say(f"{port}: not waited for")
                elif port in self.late:
                    self.opens.append((each, connector))
                elif port in self.down:
                    self.say(f"{port}: no connection")
                    factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
                else:
                    self.join({"127.0.0.9": "list", "127.0.0.8": "new list"}.get(host, port), factory)
            self.reactor.advance(0)
            for pipe in list(self.pipes):
                self.show(pipe)
                if pipe.disconnecting and pipe in self.pipes:
                    self.say(f"{pipe.name}: closed by the dispatcher")
                    self.lose(pipe)

    def join(self, name: str, factory: Any) -> Pipe:
        pipe = Pipe(name, factory.buildProtocol(None))
        self.pipes.append(pipe)
        pipe.protocol.makeConnection(pipe)
        return pipe

    def lose(self, pipe: Pipe) -> None:
        self.pipes.remove(pipe)
        pipe.protocol.connectionLost(Failure(ConnectionDone()))

    def show(self, pipe: Pipe) -> None:
        data = pipe.value()
        pipe.clear()
        if data.startswith(b"POST /v1/notices"):
            pipe.name = "notices"
        if data:
            head, _, body = data.decode("latin-1").partition("\r\n\r\n")
            asked = [line for line in head.split("\r\n") if not re.match("Host|Content-", line)]
            self.say(f"-> {pipe.name}: " + " | ".join(part for part in [*asked, *body.split()] if part))
            pipe.asked = True
        if pipe.name == "notices" and pipe.asked and self.takes_notices:
            pipe.asked = False
            pipe.protocol.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
        if watch := re.match(rb"GET \S+\?after=(\d+)&wait_ms=(\d+)", data):
            pipe.version, pipe.due = int(watch[1]), self.now + int(watch[2]) / 1000 - 0.01
        if pipe.name == "list" and pipe.asked and self.lists and pipe.due <= self.now:
            self.tell(pipe, self.hosts("", seq=pipe.version, whole=False))

    # What the others do

    def client(self, name: str = "client") -> Pipe:
        return self.join(name, self.front)

    def send(self, pipe: Pipe, data: bytes) -> None:
        pipe.protocol.dataReceived(data)
        self.flow()

    def put(self, client: Pipe, name: str, sort: str = "news", key: str = "0", left: int = 9000) -> None:
        self.send(client, self.command("MSG.PUT", key, name, f"c={sort},t=x,d={left},dest=7", "hello"))

    @staticmethod
    def command(*words: str) -> bytes:
        parts = [b"$%d\r\n%s\r\n" % (len(word), word.encode()) for word in words]
        return b"*%d\r\n" % len(words) + b"".join(parts)

    def pipe(self, name: str) -> Pipe:
        """The oldest of that name (or of these one-letter names) with a call that waits."""
        found = next((pipe for pipe in self.pipes if pipe.name in (name, *name) and pipe.asked), None)
        assert found, "\n".join([f"nothing waits at {name}", *self.lines])
        return found

    def answer(self, name: str, status: str, *headers: str, body: str = "") -> None:
        pipe = self.pipe(name)
        pipe.asked = False
        self.say(f"{pipe.name}: " + " | ".join([status, *headers]))
        lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}", "", body]
        self.send(pipe, "\r\n".join(lines).encode())

    def cut(self, name: str) -> None:
        pipe = self.pipe(name)
        self.say(f"{pipe.name}: connection broken")
        self.lose(pipe)
        self.flow()

    def news(self, names: str, health: str, seq: int) -> None:
        self.say(f"list: {names} {health}")
        self.tell(self.pipe("list"), self.hosts(names, health, seq, whole=False))
        self.flow()

    @staticmethod
    def tell(pipe: Pipe, news: dict[str, Any]) -> None:
        pipe.asked, pipe.due, body = False, inf, json.dumps(news)
        pipe.protocol.dataReceived(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    def after(self, wait: float) -> None:
        for _ in range(round(wait / 0.05)):
            self.now += 0.05
            self.reactor.advance(self.now - self.reactor.seconds())
            self.flow()
