"""What the store has to know, while its writes may fail: what is tried again, and what waits for it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

RETRY_INTERVAL = 0.05  # seconds, between looks at a store whose writes fail


class RecordKeeping:
    """Writes to the store of a dispatcher.

    A notice leaves only once its record is in the store: else the message might be sent in the next life,
    though its sender was told that it had ended. Where the record still fails when the message's lifetime is
    over, the notice leaves all the same: nothing is sent for it any more.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._waiting: dict[bytes, bytes] = {}  # notices without their record, by message
        self._timer_set = False
        self.failing = False

    def write(self, record: Callable[..., None], *args: object) -> bool:
        """Make a record; whether it is in the store now."""
        try:
            record(*args)
        except OSError as fault:
            self._failed(fault)
            return False
        return True

    def end_by_notice(self, name: bytes, line: bytes) -> None:
        """Send a notice once its record is in the store."""
        core = self._dispatcher
        if name not in self._waiting and self.write(core.store.record_notice, name, line):
            self._send(name, line)
        else:
            self.delay_notice(name, line)

    def delay_notice(self, name: bytes, line: bytes) -> None:
        """Send a notice at the next look at the store, if its record is in it by then."""
        self._waiting[name] = line
        self._set_timer()

    def withdraw(self, name: bytes) -> None:
        """Nobody wants its notice any more."""
        self._waiting.pop(name, None)

    def retry_if_behind(self) -> None:
        """Look again soon where something is not in the store as it should be."""
        if self._dispatcher.store.has_unwritten:
            self._set_timer()

    def _send(self, name: bytes, line: bytes) -> None:
        self._dispatcher.invariants.noticing(name, line)
        self._dispatcher.outlet.send_notice(name, line)

    def _failed(self, fault: OSError) -> None:
        core = self._dispatcher
        core.counters["spool writes failed"] += 1
        if not self.failing:
            core.log.error("spool cannot be written", fault=str(fault))
        self.hold_sends()

    def hold_sends(self) -> None:
        """Nothing is sent until records can be written, and those of other processes read."""
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
        works = self.write(core.store.flush)
        works = core.peers.read() and works
        for name, line in list(self._waiting.items()):
            works = works and self.write(core.store.record_notice, name, line)
            if works or self._lifetime_over(name):
                del self._waiting[name]
                self._send(name, line)
        if works and self.failing:
            self.failing = False
            core.log.info("spool can be written again")
            core.call_policy(core.policy.hold_sends, False)
        if self._waiting or core.store.has_unwritten or not works:
            self._set_timer()

    def _lifetime_over(self, name: bytes) -> bool:
        message = self._dispatcher.messages_by_name.get(name)
        return message is None or message.expires_at <= self._dispatcher.now()
