"""The sockets that a process may hold, shared by its clients and its receivers as needed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(eq=False, slots=True)
class SocketBudget:
    """Open connections of clients and to receivers, and their common limit."""

    max_sockets: int  # for clients and receivers together
    clients: int = 0
    receivers: int = 0
    free_socket: Callable[[], None] = lambda: None  # makes room for one more connection of either kind

    @classmethod
    def of_limit(cls, sockets: int) -> SocketBudget:
        """Three quarters of the limit; the rest is for files and for short-lived sockets."""
        return cls(sockets * 3 // 4)
