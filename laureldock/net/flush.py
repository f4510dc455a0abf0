"""What transports don't tell by themselves: when the last byte has left, and whether a close has come."""

from __future__ import annotations

import socket
from collections.abc import Callable

from twisted.internet.interfaces import IPullProducer
from twisted.internet.tcp import Connection
from zope.interface import implementer


def close_has_come(transport: Connection) -> bool:
    """Whether the other side has closed right behind what was read, though that has not been read yet."""
    try:
        return not transport.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


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
