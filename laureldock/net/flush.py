"""Writes bytes and tells when the last of them has left this process."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IPullProducer
from twisted.internet.tcp import Connection
from zope.interface import implementer


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
