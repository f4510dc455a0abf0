"""Writes to the store that may fail: retries, and the notices that wait for them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

RETRY_INTERVAL = 0.05  # seconds between retries while writes to the store fail


class RecordKeeping:
    """Writes to the store of a dispatcher.

    A notice is sent only once its record is in the store: else the next process might send the message,
    although its client was told that it had ended. If the record still cannot be written when the message's
    lifetime is over, the notice is sent all the same, since no attempt follows any more.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._delayed_notices: dict[bytes, bytes] = {}  # notices that are not recorded yet, by message name
        self._timer_set = False
        self.failing = False

    def write(self, record: Callable[..., None], *args: object) -> bool:
        """Call a `record_` method of the store; false if it could not write now."""
        try:
            record(*args)
        except OSError as error:
            self._failed(error)
            return False
        return True

    def finish_by_notice(self, name: bytes, notice: bytes) -> None:
        """Send a notice once its record is in the store."""
        core = self._dispatcher
        if name not in self._delayed_notices and self.write(core.store.record_notice, name, notice):
            self._send(name, notice)
        else:
            self.delay_notice(name, notice)

    def delay_notice(self, name: bytes, notice: bytes) -> None:
        """Send a notice at the next retry, if it can be recorded by then."""
        self._delayed_notices[name] = notice
        self._set_timer()

    def drop_notice(self, name: bytes) -> None:
        """Drop the notice of a message that was withdrawn."""
        self._delayed_notices.pop(name, None)

    def retry_if_unwritten(self) -> None:
        """Schedule a retry if the store has unwritten changes."""
        if self._dispatcher.store.has_unwritten:
            self._set_timer()

    def _send(self, name: bytes, notice: bytes) -> None:
        self._dispatcher.invariants.notice_sending(name, notice)
        self._dispatcher.outlet.send_notice(name, notice)

    def _failed(self, error: OSError) -> None:
        core = self._dispatcher
        core.counters["spool writes failed"] += 1
        if not self.failing:
            core.log.error("spool cannot be written", fault=str(error))
        self.hold_sends()

    def hold_sends(self) -> None:
        """Send nothing new until records can be written, and those of peer processes read."""
        core = self._dispatcher
        if not self.failing:
            self.failing = True
            core.call_policy(core.policy.hold_sends, True)
        self._set_timer()

    def _set_timer(self) -> None:
        if not self._timer_set:
            self._timer_set = True
            self._dispatcher.call_later(RETRY_INTERVAL, self._retry)

    def _retry(self) -> None:
        self._timer_set = False
        core = self._dispatcher
        succeeded = self.write(core.store.flush)
        succeeded = core.peers.read() and succeeded
        for name, notice in list(self._delayed_notices.items()):
            succeeded = succeeded and self.write(core.store.record_notice, name, notice)
            if succeeded or self._lifetime_over(name):
                del self._delayed_notices[name]
                self._send(name, notice)
        if succeeded and self.failing:
            self.failing = False
            core.log.info("spool can be written again")
            core.call_policy(core.policy.hold_sends, False)
        if self._delayed_notices or core.store.has_unwritten or not succeeded:
            self._set_timer()

    def _lifetime_over(self, name: bytes) -> bool:
        message = self._dispatcher.messages_by_name.get(name)
        return message is None or message.expires_at <= self._dispatcher.now()
