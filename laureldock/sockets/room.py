"""The sockets that a process may hold, shared by its clients and its receivers as needed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(eq=False, slots=True)
class Room:
    most: int  # for clients and receivers together
    clients: int = 0
    receivers: int = 0
    spare: Callable[[], None] = lambda: None  # makes room for one more of either

    @classmethod
    def of(cls, sockets: int) -> Room:
        """Three quarters; the rest is for files and what is brief."""
        return cls(sockets * 3 // 4)
