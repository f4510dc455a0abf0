"""The spool's file format: records of a length, a CRC-32, a line of JSON and, for a message, its body."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from struct import Struct
from typing import Any

from laureldock.core.messages import StoredMessage

RECORD_HEADER = Struct(">II")  # length and CRC-32 of what follows


def encode_record(fields: list[Any], body: bytes = b"") -> bytes:
    """A record of fields that JSON can hold, and a body."""
    data = json.dumps(fields, separators=(",", ":")).encode() + b"\n" + body
    return RECORD_HEADER.pack(len(data), zlib.crc32(data)) + data


def encode_message(message: StoredMessage) -> bytes:
    """The record by which a message is owed."""
    fields = [
        "mail", message.name.decode(), message.key, message.queue_class, message.customer,
        message.tag.decode(), message.destination, message.end, message.attempts, message.ran, message.out,
    ]  # fmt: skip
    return encode_record(fields, message.body)


def decode_message(fields: list[Any], body: bytes) -> StoredMessage:
    """The message of a record that `encode_message` made; `fields` without the first, its kind."""
    name, key, queue_class, customer, tag, destination, end, attempts, ran, out = fields
    return StoredMessage(
        name.encode(), key, queue_class, customer, tag.encode(), destination, end, body, attempts, ran, out
    )


def decode_records(data: bytes) -> Iterator[tuple[int, list[Any], bytes]]:
    """The end offset, fields and body of each whole record; a torn or damaged one ends them."""
    offset = 0
    while offset + RECORD_HEADER.size <= len(data):
        size, checksum = RECORD_HEADER.unpack_from(data, offset)
        offset += RECORD_HEADER.size + size
        payload = data[offset - size : offset]
        if len(payload) < size or zlib.crc32(payload) != checksum:
            return
        line, _, body = payload.partition(b"\n")
        yield offset, json.loads(line), body
