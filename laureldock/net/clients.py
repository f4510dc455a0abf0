"""Clients: RESP2 commands, one at a time on each connection."""

from __future__ import annotations

import json
import re
import time
from itertools import islice
from typing import TYPE_CHECKING

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Connection, Port
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from laureldock.net import MOST_BODY
from laureldock.net.flush import Flush, unread
from laureldock.net.spool import Owed

if TYPE_CHECKING:
    from laureldock.net.dispatcher import Dispatcher, Letter

MOST_WORDS = 8  # in a command; MSG.PUT has five
MOST_BEHIND = 16  # commands behind one that waits; clients of the protocol send none
# By the platform's protocol: who sends nothing whole is told so within 3 s of connecting, 6 s if there is
# much to read.
PATIENCE, DRAINED, LOOK = 2.0, 5.0, 0.25
# Who has said nothing for two looks gives way when room is short: clients open a connection to send.
QUIET = 2 * LOOK
WORD = re.compile(rb"[!-~]{1,256}")  # what may go on in a header or a notice
PAIR = re.compile(rb"([a-z]+)=([^,]*)")


class MalformedError(Exception):
    """A request that is not one."""


class Client(LineReceiver):
    transport: Connection  # type: ignore[assignment]
    MAX_LENGTH = 1024  # far over a length or count, and enough for a command typed by hand

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.words: list[bytes] = []
        self.due = 0  # words still to come
        self.bulk, self.size = bytearray(), 0
        self.pending: Letter | None = None  # taken on, and its client has not been told
        self.answering = False
        self.closing = self.leaving = False  # nothing more is read; nothing after this request
        self.asked = False  # something whole
        self.since = clients.dispatcher.now()  # what is to come next is awaited

    @property
    def idle(self) -> bool:
        """Between requests, as far as has been read."""
        return not (self.answering or self.pending or self.closing or self.leaving or self.half)

    @property
    def half(self) -> bool:
        return bool(self.words or self.due or self._buffer)

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.clients.joined(self)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.clients.left(self)
        if self.pending:
            self.clients.dispatcher.withdrawn(self.pending)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closing:
            return  # read on all the same: a close with bytes unread would take the error line with it
        if self.idle and self.asked:
            self.since = self.clients.dispatcher.now()
        super().dataReceived(data)
        if self.paused and len(self._buffer) > MOST_BODY:
            self.transport.pauseProducing()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        try:
            self.read(line)
        except MalformedError as fault:
            self.refuse(str(fault))

    def read(self, line: bytes) -> None:
        if self.due:
            if line[:1] != b"$":
                raise MalformedError("a bulk string was due")
            self.size = self.count(line[1:], MOST_BODY)
            self.bulk.clear()
            self.setRawMode()
        elif line[:1] == b"*":
            self.words, self.due = [], self.count(line[1:], MOST_WORDS)
        elif line.strip():
            self.command(line.split())

    def count(self, digits: bytes, most: int) -> int:
        if not digits.isdigit() or len(digits) > 9 or int(digits) > most:
            raise MalformedError("a count that cannot be")
        return int(digits)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        part = data[: self.size + 2 - len(self.bulk)]
        self.bulk += part
        if len(self.bulk) < self.size + 2:
            return
        self._buffer = data[len(part) :]
        self.setLineMode()
        if self.bulk[self.size :] != b"\r\n":
            self.refuse("a bulk string without its end")
            return
        self.words.append(bytes(self.bulk[: self.size]))
        self.due -= 1
        if not self.due:
            words, self.words = self.words, []
            try:
                self.command(words)
            except MalformedError as fault:
                self.refuse(str(fault))

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.refuse("a line too long")

    def command(self, words: list[bytes]) -> None:
        if self._buffer.count(b"\r\n*") >= MOST_BEHIND:
            raise MalformedError("too many commands at once")
        self.asked = True
        match [words[0].upper(), *words[1:]]:
            case [b"MSG.PUT", key, name, pairs, body]:
                self.put(key, name, pairs, body)
            case [b"PING"]:
                self.answer(b"+PONG\r\n")
            case [b"PING", word]:
                self.answer(b"$%d\r\n%s\r\n" % (len(word), word))
            case [b"INFO", *_]:
                text = json.dumps(self.clients.dispatcher.figures()).encode()
                self.answer(b"$%d\r\n%s\r\n" % (len(text), text))
            case [b"QUIT"]:
                self.closing = True
                self.answer(b"+OK\r\n")
            case _:
                raise MalformedError("unknown command or wrong number of words")

    def put(self, key: bytes, name: bytes, pairs: bytes, body: bytes) -> None:
        fields = dict(PAIR.findall(pairs))
        told, tag = fields.get(b"d", b""), fields.get(b"k", b"")
        words = [key, name, *([tag] if tag else [])]
        if not all(WORD.fullmatch(word) for word in words):
            raise MalformedError("a key or id that cannot go on")
        number = fields.get(b"dest", b"")
        if not told.isdigit() or len(told) > 9 or not number.isdigit() or len(number) > 9:
            raise MalformedError("no lifetime or no destination")
        sort, customer = (fields.get(field, b"").decode(errors="replace") for field in (b"c", b"t"))
        order = None if not key.strip(b"0") else key.decode()
        left, destination = int(told) / 1000, int(number)
        owed = Owed(name, order, sort, customer, tag, destination, time.time() + left, body)
        if unread(self.transport) == b"":  # as after a stall of this process: it has given up
            self.finish()
            return
        self.paused = True
        answer = self.clients.dispatcher.put(self, owed, left)
        if answer:
            self.answer(answer)

    def answer(self, data: bytes) -> None:
        """What else has come waits until the answer has left; a close by the client is still seen."""
        self.answering = self.paused = True
        Flush(self.transport, data, self.answered)

    def answered(self) -> None:
        self.answering = False
        self.pending = None
        self.since = self.clients.dispatcher.now()
        if self.closing:
            self.transport.loseWriteConnection()  # the rest of the close when the other side has closed
        elif self.leaving and not self._buffer:
            self.transport.loseConnection()
        else:
            self.resumeProducing()

    def refuse(self, why: str) -> None:
        """One error, and the close."""
        if not self.closing:
            self.closing = True
            self.words, self._buffer = [], b""
            self.bulk.clear()
            self.clients.dispatcher.malformed(why)
            self.answer(b"-ERR " + why.encode() + b"\r\n")

    def look(self, now: float) -> None:
        """What has not come in time is not waited for."""
        waited = now - self.since
        if self.closing:
            if waited >= (PATIENCE if self.answering else DRAINED):
                self.transport.abortConnection()
        elif waited >= PATIENCE and not self.answering and not self.pending and (self.half or not self.asked):
            self.refuse("no whole command in time")

    def finish(self) -> None:
        """Close between requests; one that has begun to come is answered before."""
        idle, self.leaving = self.idle, True
        if idle:
            self.transport.loseConnection()


class Door(Port):
    """Accepts a few at each look; the reactor's own takes a hundred and more, past any limit of sockets."""

    def doRead(self) -> None:  # noqa: N802
        self.numberAccepts = 4
        super().doRead()


class Clients(Factory):
    noisy = False

    def __init__(self, dispatcher: Dispatcher, most: int) -> None:
        self.dispatcher, self.most = dispatcher, most
        # Half of what the protocol's clients hold at most, so that as many find room.
        self.most_idle = most // 3
        self.open: dict[Client, None] = {}
        self.full = self.looking = False

    def buildProtocol(self, addr: IAddress | None) -> Client:  # noqa: N802
        return Client(self)

    def joined(self, client: Client) -> None:
        self.open[client] = None
        self.dispatcher.receivers.spare()
        self.make_room()
        if not self.looking:
            self.looking = True
            self.dispatcher.later(LOOK, self.look)

    def look(self) -> None:
        now = self.dispatcher.now()
        for client in list(self.open):
            client.look(now)
        self.make_room()
        self.looking = bool(self.open)
        if self.looking:
            self.dispatcher.later(LOOK, self.look)

    def make_room(self) -> None:
        """Those between requests give way, the longest idle first, so that clients find connections to open.

        At the limit also those that have said nothing; where there is nobody, the next ones wait unaccepted.
        """
        if len(self.open) <= self.most_idle:
            return  # as on most days: nobody need be looked at
        staying = [client for client in self.open if not client.leaving]
        idle = [client for client in staying if client.idle]
        answered = [client for client in idle if client.asked]
        over, quiet = len(answered) - self.most_idle, self.dispatcher.now() - QUIET
        if len(staying) >= self.most:
            over = max(over, len(staying) + 1 - self.most)
            answered += [client for client in idle if not client.asked and client.since <= quiet]
        if over > 0:
            answered.sort(key=lambda client: (client.asked, client.since))
            gone = list(islice((client for client in answered if unread(client.transport) is None), over))
            for client in gone:
                client.finish()
            if not gone and len(self.open) >= self.most and not self.full:
                self.full = True
                self.dispatcher.full(True)

    def left(self, client: Client) -> None:
        self.open.pop(client, None)
        if self.full and len(self.open) < self.most:
            self.full = False
            self.dispatcher.full(False)

    def finish(self) -> None:
        for client in list(self.open):
            client.finish()
