"""Bytes that the records of a spool file take at most, whatever happens to what they are about.

The limit on the folder has room for a rewritten file only if all that may stand in it was counted before: a
pending message with every record that it can have, the names of finished messages, waits, cooldowns and
records of routes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from json.encoder import encode_basestring_ascii as encode_text

from laureldock.stores.spool_records import RECORD_HEADER

MAX_FLOAT_BYTES = 20  # of the text of a time, as in -123456.78901234567
MAX_INTEGER_BYTES = 10  # of the number of a class, or of attempts
INCLUDED_ROUTE_BYTES = 64  # of a route's name as JSON; a longer one is counted when it is called
CLOCK_RECORD_BYTES = 128
FIELD_BYTES = len('["accepted",,]\n')  # around the fields of a record, with the longest kind of record
# A notice within a record: its own text, with each quotation mark and its line end escaped.
NOTICE_BYTES = (
    len('"{\\"message\\":,\\"outcome\\":\\"handed_back\\",\\"retry_in_ms\\":}\\n"') + MAX_INTEGER_BYTES
)
# Two times and the number of attempts, where the record of a message had `null` and one digit; and the
# end of its lifetime, which may be longer as text after a step of the clock.
MESSAGE_GROWTH_BYTES = 3 * MAX_FLOAT_BYTES + MAX_INTEGER_BYTES


def json_bytes(text: str) -> int:
    """Bytes of a text as JSON, with its quotation marks."""
    return len(encode_text(text))


def record_bytes(name: str, values: int) -> int:
    """Bytes of a record with a name and so many numbers, at most."""
    return RECORD_HEADER.size + FIELD_BYTES + json_bytes(name) + values * (MAX_FLOAT_BYTES + 1)


def pending_message_bytes(name: str, payload_bytes: int) -> int:
    """Bytes of a pending message whose record has a payload of this size, at most.

    That is its record, the number of its class, when it was accepted, its route, and its notice.
    """
    message = RECORD_HEADER.size + payload_bytes + MESSAGE_GROWTH_BYTES
    under_and_accepted = 2 * record_bytes(name, 1)
    route = record_bytes(name, 0) + INCLUDED_ROUTE_BYTES
    notice = record_bytes(name, 0) + NOTICE_BYTES + json_bytes(encode_text(name))
    return message + under_and_accepted + route + notice


def long_route_bytes(route: str) -> int:
    """Bytes of a route's name beyond those that each pending message includes."""
    return max(0, json_bytes(route) - INCLUDED_ROUTE_BYTES)


def finished_name_bytes(name: str) -> int:
    """Bytes of the record of a finished message's name, at most."""
    return record_bytes(name, 1) + len(",false")


def kept_records_bytes(records: Iterable[Mapping[str, object]]) -> int:
    """Bytes of the records of waits, cooldowns and routes, at most."""
    return sum(record_bytes(name, 2) for by_name in records for name in by_name)
