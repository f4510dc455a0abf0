"""The RESP2 front: clients hand mails in by `MSG.PUT`, one command at a time on each connection."""

from __future__ import annotations

import re
from collections.abc import Callable
from itertools import islice
from math import inf

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Connection, Port
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from laureldock import __version__
from laureldock.core import MOST_BODY
from laureldock.core.messages import HeldMessage, Reply, ReplyKind, StoredMessage
from laureldock.core.seams import Intake, NotAMailError
from laureldock.sockets.flush import Flush, half_close, unread
from laureldock.sockets.reactor import Door
from laureldock.sockets.room import Room
from laureldock.wire import resp
from laureldock.wire.resp import Commands, MalformedError

# By the platform's protocol: who sends nothing whole is told so within 3 s of connecting, 6 s if there is
# much to read.
PATIENCE, DRAINED, LOOK = 2.0, 5.0, 0.25
# After the half-close of a connection at rest a client that hears it closes within a few round trips.
LINGER = 0.5
# Who has said nothing for two looks gives way when room is short: clients open a connection to send.
QUIET = 2 * LOOK
# A client waits so long for its answer, by the platform's protocol: what it sent has lain unread no longer.
# As the door opens, it may have been refused for as long before, with its mail's lifetime running.
PATIENT, REFUSED = 0.4, 0.8
# Errors that a connection may have at once, and how many are forgiven a second: a program that asks a few
# commands which this is not a database for goes on; one that repeats what was turned away is closed.
MOST_ERRORS, FORGIVEN = 16, 2.0
WORD = re.compile(rb"[!-~]{1,256}")  # what may go on in a header or a notice
NOT_IN_A_NAME = re.compile(r"[^a-z0-9]+")  # of a figure, as clients read them
PAIR = re.compile(rb"([a-z]+)=([^,]*)")
NAME = re.compile(rb"[A-Za-z_][A-Za-z0-9_.-]{0,63}")  # a destination that is not a number


def encoded(answer: Reply) -> bytes:
    if answer.kind is ReplyKind.ACCEPTED:
        return b"+OK\r\n"
    if answer.kind is ReplyKind.FAILED:
        return b"-ERR\r\n"
    wait = round(answer.retry_after * 1000)
    return b"-BUSY %d\r\n" % wait if wait else b"-BUSY\r\n"


def destination(word: bytes) -> int | str:
    if word.isdigit() and len(word) <= 9:
        return int(word)
    if NAME.fullmatch(word):
        return word.decode()
    raise NotAMailError("no destination")


class Client(LineReceiver):
    transport: Connection  # type: ignore[assignment]
    MAX_LENGTH = 1024  # far over a length or count, and enough for a command typed by hand

    def __init__(self, clients: Clients, number: int) -> None:
        self.clients, self.number = clients, number
        self.commands = Commands(MOST_BODY)
        self.pending: HeldMessage | None = None  # taken on, and its client has not been told
        self.answering = self.reading = False
        self.closing = self.leaving = False  # nothing more is read; nothing after this request
        self.released = False  # closing with nothing owed: its client was answered, or has asked nothing
        self.asked = False  # something whole
        self.since = clients.core.now()  # what is to come next is awaited
        self.errors, self.erred = 0.0, self.since
        self.title = b""

    @property
    def resting(self) -> bool:
        """Between requests, as far as has been read."""
        return not (self.answering or self.pending or self.closing or self.half)

    @property
    def half(self) -> bool:
        return bool(self.commands.half or self._buffer)

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.clients.joined(self)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.clients.left(self)
        if self.pending:
            self.clients.core.withdrawn(self.pending)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closing:
            return  # read on all the same: a close with bytes unread would take the error line with it
        if self.resting and self.asked:
            self.since = self.clients.core.now()
        if not self.reading:
            data = self.read_whole(data)
        super().dataReceived(data)
        if self.paused and len(self._buffer) > MOST_BODY:
            self.transport.pauseProducing()

    def read_whole(self, data: bytes) -> bytes:
        """Takes commands that have come whole, as nearly all do; what is left is read line by line."""
        if not self.line_mode or self.paused:
            return data
        self.reading = True
        self._buffer += data
        while not (self.paused or self.closing) and (found := self.commands.whole(self._buffer)):
            words, used = found
            self._buffer = self._buffer[used:]
            self.command(words)
        self.reading = False
        data, self._buffer = self._buffer, b""
        return data

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        try:
            words = self.commands.line(line)
        except MalformedError as fault:
            self.refuse(str(fault))
            return
        if self.commands.wants_bulk:
            self.setRawMode()
        elif words:
            self.command(words)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            words, rest = self.commands.raw(data)
        except MalformedError as fault:
            self.refuse(str(fault))
            return
        if not self.commands.wants_bulk:
            self._buffer = rest
            self.setLineMode()
            if words:
                self.command(words)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.refuse("a line too long")

    def command(self, words: list[bytes]) -> None:
        if self._buffer.count(b"\r\n*") >= self.clients.pipeline:
            self.refuse("too many commands at once")
            return
        self.asked = True
        name = words[0].upper()
        if name not in COMMANDS:
            self.error(f"unknown command '{shown(words[0])}'")
            return
        least, most, call = COMMANDS[name]
        if not least <= len(words) - 1 <= most:
            self.error(f"wrong number of arguments for '{shown(words[0].lower())}'")
            return
        try:
            call(self, *words[1:])
        except NotAMailError as fault:
            self.error(str(fault))

    # Commands

    def put(self, key: bytes, name: bytes, pairs: bytes, body: bytes) -> None:
        fields = dict(PAIR.findall(pairs))
        told, tag = fields.get(b"d", b""), fields.get(b"k", b"")
        words = [key, name, *([tag] if tag else [])]
        if not all(WORD.fullmatch(word) for word in words):
            raise NotAMailError("a key or id that cannot go on")
        if not told.isdigit() or len(told) > 9:
            raise NotAMailError("no lifetime")
        to = destination(fields.get(b"dest", b""))
        sort, customer = (fields.get(field, b"").decode(errors="replace") for field in (b"c", b"t"))
        order = None if not key.strip(b"0") else key.decode()
        # It counts from when the client sent it: read late, by a busy process, mails ended late by as much.
        lain = self.clients.unread()
        left = max(0.0, int(told) / 1000 - (REFUSED if lain == inf else min(PATIENT, lain)))
        core = self.clients.core
        owed = StoredMessage(name, order, sort, customer, tag, to, core.wall() + left, body)
        if unread(self.transport) == b"":  # as after a stall of this process: it has given up
            self.leaving = True  # the reactor reads the close
            return
        got = core.put(self, owed, left)
        if isinstance(got, HeldMessage):
            self.paused, self.pending = True, got
        else:
            self.reply(got)

    def ping(self, word: bytes | None = None) -> None:
        if self.clients.lameduck:  # a front's health check: send no more here
            self.answer(resp.error("LAMEDUCK this dispatcher is being emptied"))
            return
        self.answer(b"+PONG\r\n" if word is None else resp.bulk(word))

    def echo(self, word: bytes) -> None:
        self.answer(resp.bulk(word))

    def info(self, *sections: bytes) -> None:
        lines = [f"laureldock_version:{__version__}"]
        figures = self.clients.core.figures().items()
        lines += [f"{NOT_IN_A_NAME.sub('_', name)}:{value}" for name, value in figures]
        self.answer(resp.bulk("\r\n".join(["# laureldock", *lines, ""]).encode()))

    def quit(self, *words: bytes) -> None:
        self.closing = True
        self.answer(b"+OK\r\n")

    def hello(self, version: bytes = b"2", *options: bytes) -> None:
        if version != b"2":
            self.answer(resp.error("NOPROTO only RESP2 is spoken here"))
            return
        told: list[tuple[bytes, bytes]] = [
            (b"server", resp.bulk(b"laureldock")),
            (b"version", resp.bulk(__version__.encode())),
            (b"proto", resp.integer(2)),
            (b"id", resp.integer(self.number)),
            (b"mode", resp.bulk(b"standalone")),
            (b"role", resp.bulk(b"master")),
            (b"modules", resp.array([])),
        ]
        self.answer(resp.array([part for name, value in told for part in (resp.bulk(name), value)]))

    def client(self, what: bytes, *words: bytes) -> None:
        match what.upper(), words:
            case b"ID", ():
                self.answer(resp.integer(self.number))
            case b"GETNAME", ():
                self.answer(resp.bulk(self.title))
            case b"SETNAME", (title,) if len(title) <= 256:
                self.title = title
                self.answer(b"+OK\r\n")
            case b"SETINFO", (_, _):
                self.answer(b"+OK\r\n")
            case _:
                self.error(f"unknown subcommand or wrong number of arguments for 'client|{shown(what)}'")

    def described(self, what: bytes = b"", *words: bytes) -> None:
        """`COMMAND`: name, number of words (negative: at least), flags, and no keys."""
        match what.upper():
            case b"COUNT":
                self.answer(resp.integer(len(COMMANDS)))
            case b"DOCS" | b"GETKEYS":
                self.answer(resp.array([]))
            case _:
                self.answer(
                    resp.array(
                        [
                            resp.array(
                                [
                                    resp.bulk(name.lower()),
                                    resp.integer(least + 1 if least == most else -least - 1),
                                    resp.array([]),
                                    *[resp.integer(0)] * 3,
                                ]
                            )
                            for name, (least, most, _) in COMMANDS.items()
                        ]
                    )
                )

    def error(self, why: str) -> None:
        """What was whole and cannot be done: an error, on a connection that stays unless there are many."""
        now = self.clients.core.now()
        self.errors = max(0.0, self.errors - FORGIVEN * (now - self.erred)) + 1
        self.erred = now
        if self.errors > MOST_ERRORS:
            self.refuse("too many errors")
            return
        self.clients.core.malformed(why)
        self.answer(resp.error(f"ERR {why}"))

    # Answers

    def reply(self, answer: Reply) -> None:
        self.answer(encoded(answer))

    def answer(self, data: bytes) -> None:
        """What else has come waits until the answer has left; a close by the client is still seen."""
        self.answering = self.paused = True
        Flush(self.transport, data, self.answered)

    def answered(self) -> None:
        self.answering = False
        self.pending = None
        self.since = self.clients.core.now()
        self.leaving = self.leaving or self.clients.lameduck
        if self.closing:
            self.half_close()
        elif self.leaving and not self._buffer and unread(self.transport) is None:
            self.released = True
            self.half_close()
        else:  # what has come, read or not, is answered before
            self.resumeProducing()

    def half_close(self) -> None:
        """End writing and read on for a while: a close over unread bytes would reset the connection and take
        the last answer with it. What comes from here on is read, and never sent on."""
        self.closing = True
        half_close(self.transport)
        self.transport.resumeProducing()  # much that came behind an error may have stopped it

    def refuse(self, why: str) -> None:
        """One error, and the close."""
        if not self.closing:
            self.closing = True
            self._buffer = b""
            self.commands.clear()
            self.clients.core.malformed(why)
            self.answer(resp.error(f"ERR {why}"))

    def look(self, now: float) -> None:
        """What has not come in time is not waited for."""
        waited = now - self.since
        if self.closing:
            if self.released and waited >= LINGER:
                self.transport.loseConnection()
            elif waited >= (PATIENCE if self.answering else DRAINED):
                self.transport.abortConnection()
        elif waited >= PATIENCE and not self.answering and not self.pending and (self.half or not self.asked):
            self.refuse("no whole command in time")
        elif self.leaving and self.resting:
            self.finish()

    def finish(self) -> None:
        """Close between requests; one that has begun to come, read or not, is answered before."""
        self.leaving = True
        now = self.clients.core.now()
        fresh = not self.asked and now - self.since < QUIET  # clients open a connection to send
        if self.resting and not fresh and unread(self.transport) is None:
            self.released, self.since = True, now
            self.half_close()


def shown(word: bytes) -> str:
    return word[:64].decode("ascii", "replace")


COMMANDS: dict[bytes, tuple[int, float, Callable[..., None]]] = {
    b"MSG.PUT": (4, 4, Client.put),
    b"PING": (0, 1, Client.ping),
    b"ECHO": (1, 1, Client.echo),
    b"INFO": (0, inf, Client.info),
    b"QUIT": (0, inf, Client.quit),
    b"HELLO": (0, inf, Client.hello),
    b"CLIENT": (1, inf, Client.client),
    b"COMMAND": (0, inf, Client.described),
}


class Clients(Factory):
    noisy = False

    def __init__(
        self, core: Intake, reactor: PosixReactorBase, room: Room, listen: str, most: int, pipeline: int
    ) -> None:
        self.core, self.reactor, self.room, self.listen = core, reactor, room, listen
        self.most, self.pipeline = most, pipeline  # connections, and commands behind one that waits
        # Half of what the protocol's clients hold at most, so that as many find room.
        self.most_idle = most // 3
        self.clients: dict[Client, None] = {}
        self.numbers = 0
        self.full = self.looking = self.lameduck = False
        self.port: Port | None = None
        self.unread: Callable[[], float] = lambda: 0.0  # for how long what is read now may have lain
        self.passed = -1  # a descriptor that listens already

    @property
    def busy(self) -> int:
        return len(self.clients)

    def open(self) -> str:
        if self.passed >= 0:  # the platform listens, and every process of this dispatcher accepts
            try:
                self.port = self.reactor.adopt(self.passed, self)  # type: ignore[attr-defined]
            except OSError as fault:
                return f"descriptor {self.passed}: {fault}"
            return ""
        host, _, port = self.listen.rpartition(":")
        try:
            self.port = self.reactor.listenTCP(int(port), self, backlog=512, interface=host)
        except CannotListenError as fault:
            return str(fault)
        return ""

    def shut(self) -> None:
        if self.port:
            # Closing the door would reset those that wait at it, their requests unread.
            while isinstance(self.port, Door) and len(self.clients) < self.most and self.port.accept_some():
                pass
            self.port.stopListening()
            self.port = None
        for client in list(self.clients):
            client.finish()

    def set_lameduck(self, on: bool) -> None:
        """Connections close once answered; those between requests at once. New ones are still served."""
        self.lameduck = on
        if on:
            for client in list(self.clients):
                client.finish()

    def buildProtocol(self, addr: IAddress | None) -> Client:  # noqa: N802
        self.numbers += 1
        return Client(self, self.numbers)

    def joined(self, client: Client) -> None:
        self.clients[client] = None
        self.room.clients += 1
        self.room.spare()
        self.make_room()
        if not self.looking:
            self.looking = True
            self.core.later(LOOK, self.look)

    def look(self) -> None:
        now = self.core.now()
        for client in list(self.clients):
            client.look(now)
        self.make_room()
        self.looking = bool(self.clients)
        if self.looking:
            self.core.later(LOOK, self.look)

    def crowded(self, most: int) -> None:
        """The process is out of descriptors, whatever its limit says: so many give way."""
        self.core.short()
        self.make_room(most)

    def make_room(self, short: int = 0) -> None:
        """Those between requests give way, the longest idle first, so that clients find connections to open.

        At the limit also those that have said nothing; where there is nobody, the next ones wait unaccepted.
        """
        if len(self.clients) <= self.most_idle and not short:
            return  # as on most days: nobody need be looked at
        now, full = self.core.now(), len(self.clients) >= self.most
        staying = [client for client in self.clients if not client.leaving]
        idle = [client for client in staying if client.resting]
        answered = [client for client in idle if client.asked]
        over = max(short, len(answered) - self.most_idle)
        if full:
            over = max(over, len(staying) + 1 - self.most)
            answered += [client for client in idle if not client.asked and client.since <= now - QUIET]
        answered.sort(key=lambda client: (client.asked, client.since))
        quiet = (client for client in answered if unread(client.transport) is None)
        for client in islice(quiet, max(0, over)):
            client.finish()
        if full:  # those that linger need not, once they have had a moment; the next ones wait until then
            for client in self.clients:
                if client.released and client.since <= now - LOOK:
                    client.transport.loseConnection()
            if not self.full:
                self.turn_away(True)

    def left(self, client: Client) -> None:
        if client in self.clients:
            del self.clients[client]
            self.room.clients -= 1
        if self.full and len(self.clients) < self.most:
            self.turn_away(False)

    def turn_away(self, full: bool) -> None:
        self.full = full
        self.core.full(full)
        if self.port:
            (self.port.stopReading if full else self.port.startReading)()
