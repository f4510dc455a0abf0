"""Commands of the RESP2 front: `MSG.PUT`, and the few that clients and health checks of Redis send."""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from laureldock import __version__
from laureldock.core.messages import HeldMessage, Reply, ReplyKind, StoredMessage
from laureldock.core.protocols import InvalidMessageError
from laureldock.sockets.flush import unread
from laureldock.wire import resp

if TYPE_CHECKING:
    from laureldock.fronts.resp import Client

# A client waits so long for its reply, by the platform's protocol: what it sent has lain unread no longer.
# As the front opens, it may have been refused for as long before, with its message's lifetime running.
CLIENT_TIMEOUT, RECONNECT_WINDOW = 0.4, 0.8  # seconds
WORD = re.compile(rb"[!-~]{1,256}")  # what may go on in a header or a notice
NOT_IN_A_NAME = re.compile(r"[^a-z0-9]+")  # of a figure, as clients read them
PAIR = re.compile(rb"([a-z]+)=([^,]*)")
DESTINATION = re.compile(rb"[A-Za-z_][A-Za-z0-9_.-]{0,63}")  # one that is not a number
MAX_TITLE = 256  # bytes, of `CLIENT SETNAME`


def encode_reply(reply: Reply) -> bytes:
    """A reply to `MSG.PUT` as it is written."""
    if reply.kind is ReplyKind.ACCEPTED:
        return b"+OK\r\n"
    if reply.kind is ReplyKind.FAILED:
        return b"-ERR\r\n"
    wait = round(reply.retry_after * 1000)
    return b"-BUSY %d\r\n" % wait if wait else b"-BUSY\r\n"


def parse_destination(word: bytes) -> int | str:
    """A destination: a number, or a name. NotAMailError for anything else."""
    if word.isdigit() and len(word) <= 9:
        return int(word)
    if DESTINATION.fullmatch(word):
        return word.decode()
    raise InvalidMessageError("no destination")


def printable(word: bytes) -> str:
    """What a client sent, as it may stand in an error."""
    return word[:64].decode("ascii", "replace")


def put(client: Client, key: bytes, name: bytes, pairs: bytes, body: bytes) -> None:
    """`MSG.PUT`: submit a message; the reply may follow later. NotAMailError."""
    fields = dict(PAIR.findall(pairs))
    lifetime, tag = fields.get(b"d", b""), fields.get(b"k", b"")
    words = [key, name, *([tag] if tag else [])]
    if not all(WORD.fullmatch(word) for word in words):
        raise InvalidMessageError("a key or id that cannot go on")
    if not lifetime.isdigit() or len(lifetime) > 9:
        raise InvalidMessageError("no lifetime")
    destination = parse_destination(fields.get(b"dest", b""))
    queue_class, customer = (fields.get(field, b"").decode(errors="replace") for field in (b"c", b"t"))
    order = None if not key.strip(b"0") else key.decode()
    # The lifetime counts from when the client sent the command, which a busy process reads later.
    waited = max(client.clients.unread(), client.backlog_wait)
    waited = RECONNECT_WINDOW if waited == inf else min(CLIENT_TIMEOUT, waited)
    left = max(0.0, int(lifetime) / 1000 - waited)
    core = client.clients.core
    end = core.now() + left
    message = StoredMessage(name, order, queue_class, customer, tag, destination, end, body)
    if unread(client.transport) == b"":  # the client has given up, as after a stall of this process
        client.leaving = True  # the reactor reads the close
        return
    result = core.submit(client, message, left)
    if isinstance(result, HeldMessage):
        client.paused, client.pending = True, result
    elif result is None:
        client.paused = client.answering = True
    else:
        client.reply(result)


def ping(client: Client, word: bytes | None = None) -> None:
    """`PING`, a health check: an error while this dispatcher is being emptied."""
    if client.clients.lameduck:
        client.answer(resp.error("LAMEDUCK this dispatcher is being emptied"))
        return
    client.answer(b"+PONG\r\n" if word is None else resp.bulk(word))


def echo(client: Client, word: bytes) -> None:
    """`ECHO`."""
    client.answer(resp.bulk(word))


def info(client: Client, *sections: bytes) -> None:
    """`INFO`: the version, and all counters."""
    lines = [f"laureldock_version:{__version__}", f"process_id:{os.getpid()}"]
    figures = client.clients.core.metrics().items()
    lines += [f"{NOT_IN_A_NAME.sub('_', name)}:{value}" for name, value in figures]
    client.answer(resp.bulk("\r\n".join(["# laureldock", *lines, ""]).encode()))


def quit_connection(client: Client, *words: bytes) -> None:
    """`QUIT`: reply, and close."""
    client.closing = True
    client.answer(b"+OK\r\n")


def hello(client: Client, version: bytes = b"2", *options: bytes) -> None:
    """`HELLO`: what this server is; RESP2 alone."""
    if version != b"2":
        client.answer(resp.error("NOPROTO only RESP2 is spoken here"))
        return
    properties: list[tuple[bytes, bytes]] = [
        (b"server", resp.bulk(b"laureldock")),
        (b"version", resp.bulk(__version__.encode())),
        (b"proto", resp.integer(2)),
        (b"id", resp.integer(client.number)),
        (b"mode", resp.bulk(b"standalone")),
        (b"role", resp.bulk(b"master")),
        (b"modules", resp.array([])),
    ]
    client.answer(resp.array([part for name, value in properties for part in (resp.bulk(name), value)]))


def client_command(client: Client, what: bytes, *words: bytes) -> None:
    """`CLIENT ID`, `GETNAME`, `SETNAME` and `SETINFO`."""
    match what.upper(), words:
        case b"ID", ():
            client.answer(resp.integer(client.number))
        case b"GETNAME", ():
            client.answer(resp.bulk(client.title))
        case b"SETNAME", (title,) if len(title) <= MAX_TITLE:
            client.title = title
            client.answer(b"+OK\r\n")
        case b"SETINFO", (_, _):
            client.answer(b"+OK\r\n")
        case _:
            client.error(f"unknown subcommand or wrong number of arguments for 'client|{printable(what)}'")


def command(client: Client, what: bytes = b"", *words: bytes) -> None:
    """`COMMAND`: the table of commands."""
    match what.upper():
        case b"COUNT":
            client.answer(resp.integer(len(COMMANDS)))
        case b"DOCS" | b"GETKEYS":
            client.answer(resp.array([]))
        case _:
            client.answer(resp.array([describe(name) for name in COMMANDS]))


def describe(name: bytes) -> bytes:
    """One entry of `COMMAND`: name, number of words (negative: at least so many), no flags, no keys."""
    least, most, _ = COMMANDS[name]
    words = least + 1 if least == most else -least - 1
    no_keys = [resp.integer(0)] * 3
    return resp.array([resp.bulk(name.lower()), resp.integer(words), resp.array([]), *no_keys])


# By name: the least and the most arguments, and what carries the command out.
COMMANDS: dict[bytes, tuple[int, float, Callable[..., None]]] = {
    b"MSG.PUT": (4, 4, put),
    b"PING": (0, 1, ping),
    b"ECHO": (1, 1, echo),
    b"INFO": (0, inf, info),
    b"QUIT": (0, inf, quit_connection),
    b"HELLO": (0, inf, hello),
    b"CLIENT": (1, inf, client_command),
    b"COMMAND": (0, inf, command),
}
