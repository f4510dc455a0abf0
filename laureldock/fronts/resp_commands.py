"""Commands of the RESP2 front: `MSG.PUT`, and the few that Redis clients and their health checks send."""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from laureldock import __version__
from laureldock.core.messages import HeldMessage, Reply, ReplyKind, StoredMessage
from laureldock.core.protocols import InvalidMessageError
from laureldock.sockets.flush import peer_has_closed
from laureldock.wire import resp

if TYPE_CHECKING:
    from laureldock.fronts.resp import ClientConnection

# Seconds. By the platform's protocol a client waits CLIENT_TIMEOUT for its reply, so its command has waited
# unread no longer than that. When the front has just begun to listen, the client may have been refused for as
# long before, with the lifetime of its message running: RECONNECT_WINDOW in all.
CLIENT_TIMEOUT, RECONNECT_WINDOW = 0.4, 0.8
TOKEN = re.compile(rb"[!-~]{1,256}")  # what may be copied into a header or a notice
NON_NAME_CHARACTERS = re.compile(r"[^a-z0-9]+")  # in the names of metrics that `INFO` prints
FIELD = re.compile(rb"([a-z]+)=([^,]*)")
DESTINATION_NAME = re.compile(rb"[A-Za-z_][A-Za-z0-9_.-]{0,63}")  # of a destination that is not a number
MAX_CLIENT_NAME = 256  # bytes, of `CLIENT SETNAME`
MAX_FIELDS_BYTES = 4096  # of names and values; the longest ones that are known take a fifth of it


def encode_reply(reply: Reply) -> bytes:
    """The bytes of a reply to `MSG.PUT`."""
    if reply.kind is ReplyKind.ACCEPTED:
        return b"+OK\r\n"
    if reply.kind is ReplyKind.FAILED:
        return b"-ERR\r\n"
    wait_ms = round(reply.retry_after * 1000)
    return b"-BUSY %d\r\n" % wait_ms if wait_ms else b"-BUSY\r\n"


def parse_destination(word: bytes) -> int | str:
    """A destination: a number, or a name. InvalidMessageError for anything else."""
    if word.isdigit() and len(word) <= 9:
        return int(word)
    if DESTINATION_NAME.fullmatch(word):
        return word.decode()
    raise InvalidMessageError("no destination")


def printable(word: bytes) -> str:
    """The start of a word that a client sent, for an error reply."""
    return word[:64].decode("ascii", "replace")


def put(connection: ClientConnection, key: bytes, name: bytes, encoded_fields: bytes, body: bytes) -> None:
    """`MSG.PUT`: submit a message; the reply may follow later. InvalidMessageError."""
    if len(encoded_fields) > MAX_FIELDS_BYTES:
        raise InvalidMessageError("a list of names and values too long")
    fields = dict(FIELD.findall(encoded_fields))
    lifetime_ms, tag = fields.get(b"d", b""), fields.get(b"k", b"")
    tokens = [key, name, *([tag] if tag else [])]
    if not all(TOKEN.fullmatch(token) for token in tokens):
        raise InvalidMessageError("a key or id that cannot go on")
    if not lifetime_ms.isdigit() or len(lifetime_ms) > 9:
        raise InvalidMessageError("no lifetime")
    destination = parse_destination(fields.get(b"dest", b""))
    queue_class, customer = (fields.get(field, b"").decode(errors="replace") for field in (b"c", b"t"))
    ordering_key = None if not key.strip(b"0") else key.decode()
    # The lifetime begins when the client sends the command, which a busy process reads later.
    waited = max(connection.server.max_unread_time(), connection.backlog_wait)
    waited = RECONNECT_WINDOW if waited == inf else min(CLIENT_TIMEOUT, waited)
    time_left = max(0.0, int(lifetime_ms) / 1000 - waited)
    core = connection.server.core
    expires_at = core.now() + time_left
    message = StoredMessage(name, ordering_key, queue_class, customer, tag, destination, expires_at, body)
    if peer_has_closed(connection.transport):  # as after a stall of this process
        connection.close_after_reply = True  # the reactor reads the close
        return
    result = core.submit(connection, message, time_left)
    if isinstance(result, HeldMessage):
        connection.paused, connection.unreplied = True, result
    elif result is None:
        connection.paused = connection.replying = True
    else:
        connection.reply(result)


def ping(connection: ClientConnection, word: bytes | None = None) -> None:
    """`PING`, a health check: an error while this dispatcher is in lameduck mode."""
    if connection.server.lameduck:
        connection.write_reply(resp.error("LAMEDUCK this dispatcher is being emptied"))
        return
    connection.write_reply(b"+PONG\r\n" if word is None else resp.bulk(word))


def echo(connection: ClientConnection, word: bytes) -> None:
    """`ECHO`."""
    connection.write_reply(resp.bulk(word))


def info(connection: ClientConnection, *sections: bytes) -> None:
    """`INFO`: the version, and all metrics."""
    lines = [f"laureldock_version:{__version__}", f"process_id:{os.getpid()}"]
    named_values = connection.server.core.metrics().items()
    lines += [f"{NON_NAME_CHARACTERS.sub('_', name)}:{value}" for name, value in named_values]
    connection.write_reply(resp.bulk("\r\n".join(["# laureldock", *lines, ""]).encode()))


def quit_connection(connection: ClientConnection, *words: bytes) -> None:
    """`QUIT`: reply, and close."""
    connection.closing = True
    connection.write_reply(b"+OK\r\n")


def hello(connection: ClientConnection, version: bytes = b"2", *options: bytes) -> None:
    """`HELLO`: the properties of this server, which speaks RESP2 only."""
    if version != b"2":
        connection.write_reply(resp.error("NOPROTO only RESP2 is spoken here"))
        return
    properties: list[tuple[bytes, bytes]] = [
        (b"server", resp.bulk(b"laureldock")),
        (b"version", resp.bulk(__version__.encode())),
        (b"proto", resp.integer(2)),
        (b"id", resp.integer(connection.client_id)),
        (b"mode", resp.bulk(b"standalone")),
        (b"role", resp.bulk(b"master")),
        (b"modules", resp.array([])),
    ]
    connection.write_reply(
        resp.array([part for name, value in properties for part in (resp.bulk(name), value)])
    )


def client_command(connection: ClientConnection, subcommand: bytes, *words: bytes) -> None:
    """`CLIENT ID`, `GETNAME`, `SETNAME` and `SETINFO`."""
    match subcommand.upper(), words:
        case b"ID", ():
            connection.write_reply(resp.integer(connection.client_id))
        case b"GETNAME", ():
            connection.write_reply(resp.bulk(connection.client_name))
        case b"SETNAME", (name,) if len(name) <= MAX_CLIENT_NAME:
            connection.client_name = name
            connection.write_reply(b"+OK\r\n")
        case b"SETINFO", (_, _):
            connection.write_reply(b"+OK\r\n")
        case _:
            connection.reply_error(
                f"unknown subcommand or wrong number of arguments for 'client|{printable(subcommand)}'"
            )


def command(connection: ClientConnection, subcommand: bytes = b"", *words: bytes) -> None:
    """`COMMAND`: the table of commands."""
    match subcommand.upper():
        case b"COUNT":
            connection.write_reply(resp.integer(len(COMMANDS)))
        case b"DOCS" | b"GETKEYS":
            connection.write_reply(resp.array([]))
        case _:
            connection.write_reply(resp.array([describe_command(name) for name in COMMANDS]))


def describe_command(name: bytes) -> bytes:
    """One entry of `COMMAND`: name, number of words (negative: the minimum), no flags, no keys."""
    min_arguments, max_arguments, _ = COMMANDS[name]
    words = min_arguments + 1 if min_arguments == max_arguments else -min_arguments - 1
    no_keys = [resp.integer(0)] * 3
    return resp.array([resp.bulk(name.lower()), resp.integer(words), resp.array([]), *no_keys])


# By name: the minimum and the maximum number of arguments, and the function that carries the command out.
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
