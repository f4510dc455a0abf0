"""How a dispatcher divides its limit on memory, and what gives way when it runs short.

All that peers can make the process hold is charged to one budget, by what the objects cost and not by their
bytes alone. The order, from what gives way first to what never does:

1. requests of clients that have arrived in part, and replies that their clients do not read: the connection
   that has held the most for the longest gets `-BUSY` and is closed;
2. new messages: refused with `-BUSY`, harmless to repeat;
3. new connections of clients, beyond their share: they wait to be accepted;
4. lists of endpoints that do not fit: the list known before stays in force;
5. what belongs to accepted messages (bodies, notices, responses of receivers) is charged and never refused.

Nothing here does I/O. Amounts are in bytes, times in seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from math import inf
from typing import Protocol, TypeVar


class MemoryKind(StrEnum):
    """What memory is held for; the values are names of metrics and log fields."""

    CONNECTIONS = "connections"
    REQUESTS = "requests"  # received from clients and not carried out yet
    REPLIES = "replies"  # written to clients that have not read them yet
    MESSAGES = "messages"  # accepted and not finished, and calls with them
    FINISHED = "finished names"  # of messages that finished a moment ago
    RESPONSES = "responses"  # of receivers and of the platform, as far as they have arrived
    LISTS = "lists"  # of endpoints, and what is known of each


class MemoryRefusal(StrEnum):
    """What gave way for want of memory; the values are names of metrics and log fields."""

    REQUEST_CLOSED = "request closed"
    REPLY_ABANDONED = "reply abandoned"
    MESSAGE_REFUSED = "message refused"
    CLIENTS_WAIT = "clients wait"
    LIST_REFUSED = "list refused"


# Bytes that a peer's object costs beside the bytes received.
CLIENT_CONNECTION_BYTES = 3_000
RECEIVER_CONNECTION_BYTES = 4_000
MESSAGE_BYTES = 1_600
CALL_BYTES = 2_000
FINISHED_NAME_BYTES = 250
ROUTE_BYTES = 2_700
BUFFER_BYTES = 64  # header of a bytes object, and the rounding of its allocation
# Bytes held for each byte of a list while it is decoded.
LIST_DECODE_FACTOR = 5
SMALL_LIST_BYTES = 100_000

# Fractions of the budget that one kind may take at most, so that none starves the others.
MAX_SHARES = {
    MemoryKind.CONNECTIONS: 0.7,
    MemoryKind.REQUESTS: 0.35,
    MemoryKind.REPLIES: 0.2,
    MemoryKind.MESSAGES: 0.75,
    MemoryKind.FINISHED: 1.0,
    MemoryKind.RESPONSES: 1.0,
    MemoryKind.LISTS: 0.7,
}
# The smallest budget with which a dispatcher serves, and what is kept apart for short-lived objects and for
# memory that freed objects leave between others.
MIN_BUDGET_BYTES = 4_000_000
RESERVED_BYTES = 3_000_000
RESERVED_FRACTION = 0.1  # of what is left for peers
TRIM_AFTER_BYTES = 1_000_000


def required_bytes(resident: float, endpoints: int, processes: int = 1) -> float:
    """The least limit for so many processes, each with `resident` bytes at first and these endpoints."""
    return processes * (resident + RESERVED_BYTES + MIN_BUDGET_BYTES + endpoints * ROUTE_BYTES)


class MemoryBudget:
    """What one process may hold for its peers, and what it holds now, by kind.

    `limit` is that of all processes of the dispatcher together, infinite where none is set; `resident` is
    what this process had before it served.
    """

    def __init__(self, limit: float = inf, resident: float = 0.0, processes: int = 1) -> None:
        self.limit, self.resident = limit, resident
        self.held: dict[MemoryKind, int] = dict.fromkeys(MemoryKind, 0)
        self.held_bytes = 0  # the sum of all kinds
        self.refusals: Counter[MemoryRefusal] = Counter()
        self.highest = 0  # of the sum of all kinds, so far
        self._highest_since_trim = 0
        self.set_processes(processes)

    def set_processes(self, processes: int) -> None:
        """Share the limit with so many processes, this one included, each as large as this one."""
        left = self.limit / processes - self.resident - RESERVED_BYTES
        self.total = max(MIN_BUDGET_BYTES, left - RESERVED_FRACTION * max(0.0, left)) if left < inf else inf

    def set_limit(self, limit: float, processes: int) -> None:
        """Another limit for so many processes from now on; what is held stays."""
        self.limit = limit
        self.set_processes(processes)

    def change(self, kind: MemoryKind, amount: int) -> None:
        """Hold so many bytes more of a kind, or fewer; never refused."""
        self.held[kind] += amount
        self.held_bytes += amount
        if self.held_bytes > self._highest_since_trim:
            self._highest_since_trim = self.held_bytes
            self.highest = max(self.highest, self.held_bytes)

    def set_held(self, kind: MemoryKind, amount: int) -> None:
        """Hold just so many bytes of a kind."""
        self.change(kind, amount - self.held[kind])

    def is_within_share(self, kind: MemoryKind, amount: int) -> bool:
        """Whether a kind has room for so many bytes more in its own share."""
        return self.held[kind] + amount <= MAX_SHARES[kind] * self.total

    def may_hold(self, kind: MemoryKind, amount: int) -> bool:
        """Whether so many bytes more of a kind fit."""
        return self.is_within_share(kind, amount) and self.held_bytes + amount <= self.total

    def is_short_of(self, kind: MemoryKind) -> bool:
        """Whether something of a kind has to give way now."""
        return not self.may_hold(kind, 0)

    def trim_is_due(self) -> bool:
        """Whether so much was freed that it should go back to the system; once for each such time."""
        if self._highest_since_trim - self.held_bytes < TRIM_AFTER_BYTES:
            return False
        self._highest_since_trim = self.held_bytes
        return True

    def start_figures(self) -> dict[str, float]:
        """How the limit is divided, in MB, for the log at the start; nothing where there is none."""
        if self.limit == inf:
            return {}
        parts = {"memory_limit_mb": self.limit, "program_mb": self.resident, "memory_budget_mb": self.total}
        return {name: round(amount / 1e6, 1) for name, amount in parts.items()}

    def figures(self, resident: int) -> dict[str, float]:
        """Metrics by name, in bytes where no other unit is named; `resident` is what the process has now.

        A limit or budget of 0 stands for none.
        """
        figures: dict[str, float] = {
            "limit": 0 if self.limit == inf else round(self.limit),
            "budget": 0 if self.total == inf else round(self.total),
            "resident": resident,
            "held": self.held_bytes,
            "held at most": self.highest,
        }
        figures |= {f"held: {kind}": amount for kind, amount in self.held.items()}
        return figures | {f"gave way: {refusal}": self.refusals[refusal] for refusal in MemoryRefusal}

    def refused(self, refusal: MemoryRefusal) -> None:
        """Count what gave way."""
        self.refusals[refusal] += 1


def buffer_bytes(data: bytes) -> int:
    """What received bytes cost; nothing if there are none."""
    return len(data) + BUFFER_BYTES if data else 0


def message_bytes(body: bytes) -> int:
    """What an accepted message costs until it is finished."""
    return len(body) + MESSAGE_BYTES


def call_bytes(body: bytes) -> int:
    """What a call costs while it is out, with its copy of the message's body."""
    return len(body) + CALL_BYTES


def response_bytes(kind: MemoryKind, received: int) -> int:
    """What a response costs that has arrived so far, with the objects that a list is decoded to."""
    if not received:
        return 0
    return BUFFER_BYTES + (received * LIST_DECODE_FACTOR if kind is MemoryKind.LISTS else received)


def refuses_list(memory: MemoryBudget, kind: MemoryKind, size: int) -> bool:
    """Whether a response of the list server is too large; small ones, such as updates, are always taken."""
    return kind is MemoryKind.LISTS and size > SMALL_LIST_BYTES and memory.is_short_of(kind)


def list_fits(memory: MemoryBudget, known: int, added: int, full: bool) -> bool:
    """Whether a list may be applied that adds so many endpoints to those known; a small one always may."""
    more = max(0, added - known) if full else added
    size = more * ROUTE_BYTES
    return size <= SMALL_LIST_BYTES or memory.may_hold(MemoryKind.LISTS, size)


class MemoryHolder(Protocol):
    """A connection that holds memory for its peer."""

    @property
    def closable_bytes(self) -> int:
        """What a close would free; 0 if the connection may not be closed now."""

    @property
    def waiting_since(self) -> float:
        """Since when its peer is waited for."""


Holder = TypeVar("Holder", bound=MemoryHolder)
# Seconds added to each wait, so that connections which hold much count from their first moment.
MIN_WAIT = 0.05


def first_to_give_way(holders: Iterable[Holder], now: float) -> Holder | None:
    """The connection that has held the most for the longest; None if none may be closed."""

    def cost(holder: Holder) -> float:
        return holder.closable_bytes * (now - holder.waiting_since + MIN_WAIT)

    found = max(holders, key=cost, default=None)
    return found if found is not None and found.closable_bytes else None
