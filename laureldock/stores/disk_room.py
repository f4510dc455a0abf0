"""Whether the limit on the state folder has room to serve at all, and for the largest message."""

from __future__ import annotations

from math import ceil

from laureldock.core import MAX_BODY_BYTES
from laureldock.stores.spool import PENDING_FRACTION, RESERVED_BYTES, usable_bytes

MESSAGE_BYTES = 2048  # of a message without its body, with its queue class and its other records


class RefusedDiskError(Exception):
    """The limit on the state folder has no room for a single message. Amounts in bytes."""

    def __init__(self, limit: float) -> None:
        super().__init__(
            f"a limit of {limit / 1e3:g} kB on the state folder is too small: to hold a message this program"
            f" needs {ceil(required_disk(0) / 1e3)} kB"
        )


def required_disk(body_bytes: int, processes: int = 1) -> int:
    """The least limit, in bytes, with which each of so many processes can hold a message of that body."""
    pending = processes * (MESSAGE_BYTES + body_bytes + 1)  # a limit is divided into whole bytes
    return ceil(pending / PENDING_FRACTION) + RESERVED_BYTES + 1


def check_disk(limit: float) -> None:
    """Raises RefusedDiskError if the limit, in bytes, has no room for a message."""
    if int(usable_bytes(limit) * PENDING_FRACTION) < MESSAGE_BYTES:
        raise RefusedDiskError(limit)


def holds_largest_message(limit: float, processes: int) -> bool:
    """Whether each of so many processes can hold a message with the largest body."""
    return limit >= required_disk(MAX_BODY_BYTES, processes)
