"""The dispatcher: events of the sockets become calls of the decisions, and their effects go out again."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.tcp import Port

from laureldock import interface as face
from laureldock.control import Control
from laureldock.net.clients import Client, Clients, MalformedError
from laureldock.net.directory import Directory
from laureldock.net.ends import End
from laureldock.net.notices import Notices, line_of
from laureldock.net.receivers import Receivers
from laureldock.net.spool import Owed, Spool
from laureldock.tariff import Book, Entry

# At a planned stop, by the platform's protocol: clients come for up to 0.4 s, and the kill after 3.7 s.
DOOR_STAYS, ALL_OVER = 0.6, 3.3

NOT_RUN = face.Ending.FULL, face.Ending.NO_CONNECTION, face.Ending.MOOT


@dataclass(frozen=True, slots=True)
class Place:
    """What a dispatcher is told of where it runs."""

    name: str
    listen: str
    directory: str
    state: Path
    seed: int
    sockets: int
    disk: float
    known: Any
    settings: dict[str, Any]


@dataclass(eq=False, slots=True)
class Letter:
    """A mail at the door."""

    name: bytes
    tag: bytes
    body: bytes
    mail: face.Mail
    client: Client | None = None  # has not been told yet that it is taken on
    refusal: bytes = b""
    noted: face.Connect | None = None  # the last connect that the spool says is out


class Dispatcher:
    def __init__(self, place: Place, reactor: PosixReactorBase) -> None:
        self.place, self.reactor = place, reactor
        self.log = structlog.get_logger().bind(dispatcher=place.name)
        self.counters: Counter[str] = Counter()
        self.book = Book(place.seed, place.settings, sockets=True)
        self.spool = Spool(place.state, place.disk)
        self.spool.open()
        self.letters: dict[face.Mail, Letter] = {}
        self.by_name: dict[bytes, Letter] = {}
        # Half of the sockets for clients at most, three quarters for them and receivers; the rest is for
        # files and what is brief.
        self.clients = Clients(self, place.sockets // 2)
        self.receivers = Receivers(self, place.sockets * 3 // 4)
        self.directory = Directory(self, place.directory)
        self.notices = Notices(self, place.directory)
        self.port: Port | None = None
        self.running, self.stopped_at = True, 0.0
        self.quiet_until = 0.0
        self.fault: str | None = None  # for which the process ends
        self.fresh: list[Letter] = []  # taken since the last turn
        self.turn_due = False
        self.control = Control(self.book.tariff, self.now())

    # The life of the process

    def start(self) -> None:
        self.log.info("starting", owed=len(self.spool.owed), torn_bytes=self.spool.torn)
        self.directory.known(self.place.known)
        self.reactor.addSystemEventTrigger("before", "shutdown", self.stop)
        for owed in list(self.spool.owed.values()):
            if owed.notice:
                self.notices.put(owed.name, owed.notice)
        self.recover()

    def recover(self) -> None:
        """First the notices that are owed: a key's next mail waits for the one before. Then the mails."""
        if self.stopped_at:
            return
        if self.notices.owed:
            self.later(0.01, self.recover)
            return
        clock = time.time()
        for owed in list(self.spool.owed.values()):
            kind = self.book.classes.get(owed.queue_class)
            if kind is None:  # the settings have changed since
                self.end_by_notice(owed.name, handed_back=False)
                continue
            starts = [at for at in (owed.ran, owed.out) if at is not None]
            mail = face.Mail(
                kind,
                self.book.destination(owed.destination),
                owed.end - clock,
                self.book.customers.get(owed.customer),
                owed.key,
                owed.connects,
                max(0.0, clock - min(starts)) if starts else None,
            )
            self.hold(Letter(owed.name, owed.tag, owed.body, mail))
            self.tell(self.control.taken, mail)
        self.open_door()

    def open_door(self) -> None:
        host, _, port = self.place.listen.rpartition(":")
        try:
            self.port = self.reactor.listenTCP(int(port), self.clients, backlog=512, interface=host)
        except CannotListenError as fault:
            self.log.error("cannot listen", listen=self.place.listen, fault=str(fault))
            self.fault = f"cannot listen: {fault}"
            self.later(0, self.reactor.stop)
            return
        self.log.info("ready", listen=self.place.listen, routes=len(self.book.routes), owed=len(self.letters))

    def stop(self) -> Deferred[None]:
        """A planned stop: still serve what comes, finish what is out, keep the rest for the next start."""
        self.log.info("stopping", out=len(self.receivers.out), held=len(self.letters))
        self.stopped_at = self.now()
        self.tell(self.control.closing, ALL_OVER)
        done: Deferred[None] = Deferred()
        self.later(DOOR_STAYS, self.shut_door)
        self.later(DOOR_STAYS, self.wind_up, done)
        return done

    def shut_door(self) -> None:
        if self.port:
            self.port.stopListening()
            self.port = None
        self.clients.finish()

    def wind_up(self, done: Deferred[None]) -> None:
        late = self.now() - self.stopped_at > ALL_OVER
        if not late and (self.letters or self.notices.owed or self.clients.open):
            self.later(0.02, self.wind_up, done)
            return
        self.running = False
        self.directory.close()
        self.notices.close()
        self.receivers.close()
        self.log.info("stopped", kept=len(self.letters), out=len(self.receivers.out), **self.counters)
        done.callback(None)

    def moved(self, reread: Callable[[], str]) -> None:
        """Told to read its configuration anew: the platform's door may stand elsewhere."""
        try:
            directory = reread()
        except ValueError as fault:
            self.log.error("configuration not read, the old one stays", fault=str(fault))
            return
        self.counters["configurations read"] += 1
        self.log.info("configuration read", directory=directory, notices=len(self.notices.owed))
        if directory != self.directory.dial and self.running:
            self.directory.move(directory)
            self.notices.move(directory)

    def later(self, after: float, call: Callable[..., None], *args: Any) -> DelayedCall:
        return self.reactor.callLater(max(0.0, after), call, *args)

    def now(self) -> float:
        return self.reactor.seconds()

    # Events: calls of the decisions; when all that has come in is read, one turn with its effects

    def tell(self, call: Callable[..., None], *args: Any) -> None:
        self.guard(call, self.now(), *args)
        if not self.turn_due:
            self.turn_due = True
            self.later(0, self.turn)

    def turn(self) -> None:
        self.turn_due = False
        for effect in self.guard(self.control.turn, self.now()) or ():
            self.guard(self.carry_out, effect)
        fresh, self.fresh = self.fresh, []
        for letter in fresh:
            if letter.client:
                client, letter.client = letter.client, None
                client.answer(letter.refusal or b"+OK\r\n")

    def guard(self, call: Callable[..., Any], *args: Any) -> Any:
        """A fault ends what it was about, not the process."""
        try:
            return call(*args)
        except Exception:
            self.counters["faults"] += 1
            self.log.exception("fault", call=call.__qualname__)
        return None

    def carry_out(self, effect: face.Effect) -> None:
        match effect:
            case face.Connect(mail=mail):
                self.counters["connects"] += 1
                self.receivers.connect(effect, self.letters[mail])
            case face.Cancel(connect=connect):
                self.receivers.cancel(connect)
            case face.Defer(mail=mail, retry_after=retry_after):
                self.answer(self.letters[mail], True, retry_after)
            case face.Bounce(mail=mail):
                self.answer(self.letters[mail], False, 0.0)
            case face.Probe():
                self.counters["probes"] += 1
                self.receivers.probe(effect)
            case face.HangUp(route=route):
                self.receivers.hang_up(route)
            case face.AskList():
                if self.running:
                    self.directory.ask(effect)
            case face.Timer(after=after, name=name):
                self.later(after, self.tell, self.control.timer, name)
            case face.Log(text=text):
                self.log.info(text)
            case face.Note():
                self.log.warning("notes to peers are not sent here")

    # Clients

    def put(self, client: Client, owed: Owed, left: float) -> bytes:
        """Take a mail on: its client is answered after the turn, or now with what is given back."""
        kind = self.book.classes.get(owed.queue_class)
        if kind is None:
            raise MalformedError("unknown class")
        if owed.destination not in self.book.destinations:  # none was ever listed for it
            raise MalformedError("unknown destination")
        if owed.name in self.by_name:  # sent once more, since a close had crossed it
            return b"+OK\r\n"
        if not self.spool.take(owed):
            self.counters["spool full"] += 1
            return b"-BUSY\r\n"
        customer = self.book.customers.get(owed.customer)
        mail = face.Mail(kind, self.book.destination(owed.destination), left, customer, owed.key)
        client.pending = letter = Letter(owed.name, owed.tag, owed.body, mail, client)
        self.hold(letter)
        self.fresh.append(letter)
        self.counters["taken"] += 1
        self.tell(self.control.taken, mail)
        return b""

    def withdrawn(self, letter: Letter) -> None:
        """Its client went before its answer could leave: whatever becomes of it counts for nothing."""
        if letter.name in self.by_name and letter.name not in self.notices.owed:
            self.counters["withdrawn"] += 1
            letter.client = None
            self.tell(self.control.withdrawn, letter.mail)
            self.forget(letter)

    def full(self, full: bool) -> None:
        self.log.warning("clients wait to be accepted" if full else "clients are accepted again")
        if self.port:
            (self.port.stopReading if full else self.port.startReading)()

    def malformed(self, why: str) -> None:
        self.counters["malformed requests"] += 1
        if self.now() >= self.quiet_until:  # the log is bounded, whoever sends
            self.quiet_until = self.now() + 1.0
            self.log.warning("malformed request", why=why, so_far=self.counters["malformed requests"])

    def hold(self, letter: Letter) -> None:
        self.letters[letter.mail] = self.by_name[letter.name] = letter

    def forget(self, letter: Letter) -> None:
        self.keep(self.spool.over, letter.name)
        self.by_name.pop(letter.name, None)
        self.letters.pop(letter.mail, None)

    def keep(self, record: Callable[..., None], *args: Any) -> bool:
        """Put it down in the spool."""
        try:
            record(*args)
            return True
        except OSError as fault:
            self.log.error("spool cannot be written", fault=str(fault))
            return False

    # Ends

    def answer(self, letter: Letter, handed_back: bool, retry_after: float) -> None:
        self.counters["deferred" if handed_back else "bounced"] += 1
        if letter.client:  # it has had no answer yet
            wait = round(retry_after * 1000)
            letter.refusal = (
                (b"-BUSY %d\r\n" % wait if wait else b"-BUSY\r\n") if handed_back else b"-ERR\r\n"
            )
            self.forget(letter)
            self.tell(self.control.noticed, letter.mail)
        else:
            self.end_by_notice(letter.name, handed_back, retry_after)

    def end_by_notice(self, name: bytes, handed_back: bool, retry_after: float = 0.0) -> None:
        line = line_of(name, handed_back, retry_after)
        self.keep(self.spool.notice, name, line)
        self.notices.put(name, line)

    def noticed(self, name: bytes) -> None:
        letter = self.by_name.get(name)
        if letter:
            self.forget(letter)
            self.tell(self.control.noticed, letter.mail)
        else:  # ended in an earlier life
            self.keep(self.spool.over, name)

    # Receivers

    def may_begin(self, connect: face.Connect, letter: Letter) -> bool:
        """Asked when the connection is up: what was told meanwhile may forbid it; and the spool must know."""
        if letter.name not in self.by_name or not self.control.may_begin(self.now(), connect):
            return False
        letter.noted = connect
        return self.keep(self.spool.out, letter.name, time.time())

    def ended(self, connect: face.Connect, letter: Letter, end: End, outcome: face.Outcome) -> None:
        self.counters[f"ended: {end.value}"] += 1
        if outcome.finished:
            self.counters["relayed"] += end is End.DELIVERED
            self.forget(letter)
        elif letter.noted is connect and outcome.ending in NOT_RUN:
            self.keep(self.spool.back, letter.name)
        self.tell(self.control.ended, connect, outcome)

    def probed(self, route: face.Route, outcome: face.Outcome) -> None:
        self.tell(self.control.probed, route, outcome)

    # The list

    def news(self, hosts: list[tuple[Entry, str]], whole: bool) -> None:
        up = [route for route in self.book.routes.values() if route.listed is face.Listed.UP]
        routes = self.book.listed([entry for entry, _ in hosts], whole)
        for route, (_, dial) in zip(routes, hosts, strict=True):
            self.receivers.listed(route, dial)
        drained = [route.name for route in up if route.listed is not face.Listed.UP]
        if drained:
            self.log.info("drained or gone", routes=drained)
        self.receivers.forget()
        self.tell(self.control.news, routes, whole)

    def list_failed(self, why: str) -> None:
        self.counters["list failures"] += 1
        self.log.warning("list failed", why=why)
        self.tell(self.control.list_failed)

    # Counters

    def log_counters(self) -> None:
        self.log.info("counters", **self.figures())

    def figures(self) -> dict[str, int]:
        held = {"held": len(self.letters), "out": len(self.receivers.out), "clients": len(self.clients.open)}
        return {**held, **dict(sorted(self.counters.items()))}
