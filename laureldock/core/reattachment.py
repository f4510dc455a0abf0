"""Keeps messages for a moment whose client's connection ended before the reply could be sent.

Such a client repeats its request with the same id on a new connection. Attempts that were already made for
the message cannot be undone, so the repeat continues the same message, or gets the outcome that it had.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock.core.messages import HeldMessage, Reply
from laureldock.core.protocols import Timer

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

# Seconds; a reconnect from the same place takes no longer, and a client waits for only 0.4 s in all.
REATTACH_TIME = 0.4


class Reattachment:
    """Messages whose client may reconnect, until it does or `REATTACH_TIME` is over."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._waiting: dict[bytes, Timer] = {}  # by message name; each withdraws its message
        self._replies: dict[bytes, Reply] = {}  # of messages that were finished since

    def wait_for_client(self, message: HeldMessage) -> None:
        """A client's connection has ended: withdraw its message unless the client reconnects in time."""
        core = self._dispatcher
        self._waiting[message.name] = core.call_later(REATTACH_TIME, self._expire, message)

    def is_waiting(self, message: HeldMessage) -> bool:
        """Whether the client of a message may still reconnect."""
        return message.name in self._waiting

    def message_finished(self, message: HeldMessage, reply: Reply) -> None:
        """A message is finished: keep the reply for its client, if it may still reconnect."""
        if message.name in self._waiting:
            self._replies[message.name] = reply

    def claim(self, name: bytes) -> Reply | None:
        """A client has reconnected: returns the reply if its message is finished, else None."""
        if (timer := self._waiting.pop(name, None)) is not None:
            timer.cancel()
        return self._replies.pop(name, None)

    def _expire(self, message: HeldMessage) -> None:
        del self._waiting[message.name]
        if self._replies.pop(message.name, None) is None:
            self._dispatcher.submissions.withdraw(message)
