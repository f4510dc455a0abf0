"""What Twisted's transports do not report by themselves: the last byte written, and bytes not read yet."""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable

from twisted.internet.interfaces import IPullProducer
from twisted.internet.tcp import Connection
from zope.interface import implementer

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def peek_unread(transport: Connection, size: int = 1) -> bytes | None:
    """The first `size` bytes, if so many, that were received but not read yet.

    b"" if what comes next is the close of the connection; None if nothing has been received.
    """
    try:
        return transport.socket.recv(size, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def peer_has_closed(transport: Connection) -> bool:
    """Whether the other side has closed or shut down its sending, also if bytes before that are unread."""
    if peek_unread(transport) == b"":
        return True
    poll = select.poll()
    with contextlib.suppress(OSError, ValueError):  # ValueError: the descriptor is closed
        poll.register(transport.socket, CLOSED_EVENTS)
        return any(event & CLOSED_EVENTS for _, event in poll.poll(0))
    return False


def half_close(transport: Connection) -> None:
    """Half-close at once; the write buffer must be empty.

    The transport's own half-close waits for the next reactor iteration, and a request read between the
    decision and that iteration would be dropped without a reply.
    """
    with contextlib.suppress(OSError):  # reset by the other side, which the reactor reports
        transport.socket.shutdown(socket.SHUT_WR)


@implementer(IPullProducer)
class FlushProducer:
    """A pull producer of one write: when asked a second time, the transport's write buffer is empty."""

    def __init__(self, transport: Connection, data: bytes, on_flushed: Callable[[], None]) -> None:
        self.transport, self.on_flushed = transport, on_flushed
        self.data: bytes | None = data
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        if self.data is not None:
            data, self.data = self.data, None
            self.transport.write(data)
        else:
            self.transport.unregisterProducer()
            self.on_flushed()

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing to do: the connection is lost, which its protocol is told."""
