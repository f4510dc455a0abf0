"""What transports don't tell by themselves: when the last byte has left, and whether something has come."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from twisted.internet.interfaces import IPullProducer
from twisted.internet.tcp import Connection
from zope.interface import implementer


def unread(transport: Connection) -> bytes | None:
    """A byte of what has come behind what was read; none (b"") if that is a close, None if nothing has."""
    try:
        return transport.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def half_close(transport: Connection) -> None:
    """Half-close at once, with nothing left to write. The transport's own waits for its next look, and a
    request read between the decision and that look would be dropped with no answer."""
    with contextlib.suppress(OSError):  # the other side has reset it: the reactor hears of that
        transport.socket.shutdown(socket.SHUT_WR)


@implementer(IPullProducer)
class Flush:
    """A pull producer of one write: asked a second time, the transport's buffer is empty."""

    def __init__(self, transport: Connection, data: bytes, written: Callable[[], None]) -> None:
        self.transport, self.written = transport, written
        self.data: bytes | None = data
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        if self.data is not None:
            data, self.data = self.data, None
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.written()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost; its protocol is told so."""
