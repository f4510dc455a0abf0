"""Blocking client for operators' commands: one connection, one request and one response."""

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

CONNECT_TIMEOUT = 5.0  # seconds
RESPONSE_TIMEOUT = 180.0  # seconds; validating a first change of some hundred thousand entries takes long
PROPOSAL_PART_BYTES = 48 << 10
KEY_BYTES = 24  # of an encoded key besides its name, at most
LENGTH_PREFIX_BYTES = 4


class UnreachableError(Exception):
    """No controller responded; whether it accepted a proposed change is unknown."""


def proposal_bodies(change: Change) -> Iterator[bytes]:
    """Split a change into bodies of `Propose` messages, at least one."""
    for entries in grouped(change.puts, encoded_size, PROPOSAL_PART_BYTES):
        yield encode_change(Change(tuple(entries)))
    for keys in grouped(change.removals, key_size, PROPOSAL_PART_BYTES):
        yield encode_change(Change((), tuple(keys)))
    if not change.puts and not change.removals:
        yield encode_change(change)


def key_size(key: EntryKey) -> int:
    """Upper bound of the bytes of an encoded key."""
    return len(key.name.encode()) + KEY_BYTES


def propose(address: str, change: Change, expected_version: int = -1) -> Accepted | Rejected:
    """Propose a change. `expected_version`: refuse unless this is the newest version; -1 for any.

    Raises UnreachableError.
    """
    bodies = list(proposal_bodies(change))
    last = len(bodies) - 1
    proposals = (Propose(body, number == last, expected_version) for number, body in enumerate(bodies))
    response = request(address, proposals)
    if not isinstance(response, Accepted | Rejected):
        raise UnreachableError(f"unexpected response from {address}")
    return response


def status(address: str) -> Status:
    """Request the status. Raises UnreachableError."""
    response = request(address, iter([StatusRequest()]))
    if not isinstance(response, Status):
        raise UnreachableError(f"unexpected response from {address}")
    return response


def request(address: str, requests: Iterator[Message]) -> Message:
    """Send the messages and return the response. Raises UnreachableError."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), CONNECT_TIMEOUT) as connection:
            connection.settimeout(RESPONSE_TIMEOUT)
            with contextlib.suppress(ConnectionError):  # it may respond before everything was sent
                for message in requests:
                    payload = messages.encode(message)
                    connection.sendall(len(payload).to_bytes(LENGTH_PREFIX_BYTES, "big") + payload)
            return read_response(connection)
    except (OSError, ValueError, MalformedMessageError) as error:
        raise UnreachableError(f"no answer from {address}: {error}") from None


def read_response(connection: socket.socket) -> Message:
    """Read one message. Raises OSError, MalformedMessageError."""
    with connection.makefile("rb") as stream:
        head = stream.read(LENGTH_PREFIX_BYTES)
        length = int.from_bytes(head, "big")
        if len(head) < LENGTH_PREFIX_BYTES or length > MAX_FRAME_BYTES:
            raise MalformedMessageError(
                "the connection was closed without a response" if not head else "not a message"
            )
        return messages.decode(stream.read(length))
