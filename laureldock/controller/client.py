"""An operator's command as a client of a controller: one stream, one question, one answer. Blocking."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

from laureldock.replication import messages
from laureldock.replication.messages import (
    MAX_FRAME_BYTES,
    Accepted,
    MalformedMessageError,
    Message,
    Propose,
    Rejected,
    Status,
    StatusRequest,
)
from laureldock.replication.parts import encoded_size, grouped
from laureldock.setup.changes import Change, EntryKey, encode_change

CONNECT_LIMIT = 5.0  # seconds
ANSWER_LIMIT = 180.0  # seconds; a first fill of some hundred thousand entries is checked for long
PART_BYTES = 48 << 10
KEY_BYTES = 24  # of a key beside its name, at most
LENGTH_BYTES = 4


class UnreachableError(Exception):
    """No controller answered; whether it accepted what was proposed is not known then."""


def parts(change: Change) -> Iterator[bytes]:
    """A change as bodies of `Propose`, one at least."""
    for entries in grouped(change.puts, encoded_size, PART_BYTES):
        yield encode_change(Change(tuple(entries)))
    for keys in grouped(change.removals, key_size, PART_BYTES):
        yield encode_change(Change((), tuple(keys)))
    if not change.puts and not change.removals:
        yield encode_change(change)


def key_size(key: EntryKey) -> int:
    """Bytes of an encoded key, at most."""
    return len(key.name.encode()) + KEY_BYTES


def propose(address: str, change: Change, expected_version: int = -1) -> Accepted | Rejected:
    """UnreachableError."""
    bodies = list(parts(change))
    last = len(bodies) - 1
    proposals = (Propose(body, number == last, expected_version) for number, body in enumerate(bodies))
    answer = ask(address, proposals)
    if not isinstance(answer, Accepted | Rejected):
        raise UnreachableError(f"{address} answered something else")
    return answer


def status(address: str) -> Status:
    """UnreachableError."""
    answer = ask(address, iter([StatusRequest()]))
    if not isinstance(answer, Status):
        raise UnreachableError(f"{address} answered something else")
    return answer


def ask(address: str, questions: Iterator[Message]) -> Message:
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), CONNECT_LIMIT) as link:
            link.settimeout(ANSWER_LIMIT)
            with contextlib.suppress(ConnectionError):  # it may have answered before all was sent
                for question in questions:
                    payload = messages.encode(question)
                    link.sendall(len(payload).to_bytes(LENGTH_BYTES, "big") + payload)
            return answer_of(link)
    except (OSError, ValueError, MalformedMessageError) as fault:
        raise UnreachableError(f"no answer from {address}: {fault}") from None


def answer_of(link: socket.socket) -> Message:
    """OSError, MalformedMessageError."""
    with link.makefile("rb") as stream:
        head = stream.read(LENGTH_BYTES)
        length = int.from_bytes(head, "big")
        if len(head) < LENGTH_BYTES or length > MAX_FRAME_BYTES:
            raise MalformedMessageError("the stream ended without an answer" if not head else "not a message")
        return messages.decode(stream.read(length))
