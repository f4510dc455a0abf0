"""Messages whose client's connection ended before its answer could leave, for a moment.

Such a client sends its request once more, under the same id, on a new connection. What has been sent for the
message is not undone by that: it goes on as the one that it is, or has the end that it had.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock.core.messages import HeldMessage, Reply
from laureldock.core.protocols import Timer

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

# Seconds: a connection takes no longer to come up in the same place, and a client waits only 0.4 s in all.
REATTACH_TIME = 0.4


class Reattachment:
    """Keeps them until their time is over, or until they are asked for again."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._waiting: dict[bytes, Timer] = {}  # by message, until it is withdrawn
        self._ends: dict[bytes, Reply] = {}  # of those that came to their end meanwhile

    def wait_for_client(self, message: HeldMessage) -> None:
        """Its connection has ended; it is withdrawn unless its client comes again."""
        core = self._dispatcher
        self._waiting[message.name] = core.call_later(REATTACH_TIME, self._expire, message)

    def waits(self, message: HeldMessage) -> bool:
        """Whether its client may come again."""
        return message.name in self._waiting

    def ended(self, message: HeldMessage, reply: Reply) -> None:
        """It came to its end; its client hears of it if it comes again."""
        if message.name in self._waiting:
            self._ends[message.name] = reply

    def claim(self, name: bytes) -> Reply | None:
        """Its client has come again: the reply to a message that is over, else None."""
        if (timer := self._waiting.pop(name, None)) is not None:
            timer.cancel()
        return self._ends.pop(name, None)

    def _expire(self, message: HeldMessage) -> None:
        del self._waiting[message.name]
        if self._ends.pop(message.name, None) is None:
            self._dispatcher.submissions.withdraw(message)
