"""Effects: what a membership view asks its transport to do. The view itself does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send one datagram to an address, host:port."""

    address: str
    data: bytes


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Open a stream to an address, send the view's `first_frame`, and pass what comes to `receive_frame`.

    Each answer of `receive_frame` is sent back; the stream ends when it has none.
    """

    address: str


@dataclass(frozen=True, slots=True)
class ViewEvent:
    """Something that operators should see: a name and its fields, as they appear in the log."""

    name: str
    fields: dict[str, Any]


Effect = SendDatagram | OpenStream | ViewEvent
