"""Effects: operations that a membership view asks its transport to carry out. The view does no I/O itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send one datagram to an address (host:port)."""

    address: str
    data: bytes


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Open a stream to an address, send the view's `first_frame`, pass received frames to `receive_frame`.

    Each frame that `receive_frame` returns is sent; the stream is closed when it returns None.
    """

    address: str


@dataclass(frozen=True, slots=True)
class ViewEvent:
    """An event for operators: its name and fields, as they appear in the log."""

    name: str
    fields: dict[str, Any]


Effect = SendDatagram | OpenStream | ViewEvent
