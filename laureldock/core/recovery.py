"""Recovery: messages that an earlier process, or one that hands over to this one, still owed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock.core.messages import HeldMessage, StoredMessage

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

# While a process hands over: its end, and a wait told to it, are seen within half of the tenth of a second
# for which calls under way are let through.
ADOPT_INTERVAL = 0.05  # seconds

UNKNOWN_AGE = 1e9  # seconds; for an attempt whose age cannot be told: a reboot, and the wall clock set back


class Recovery:
    """Takes over what the store holds for a dispatcher, at its start and while processes hand over."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def send_notices(self, messages: list[StoredMessage]) -> None:
        """Send the notices again that no outlet has taken yet."""
        for message in messages:
            if message.notice:
                self._dispatcher.outlet.put(message.name, message.notice)

    def revive(self, messages: list[StoredMessage], earlier: bool = False) -> None:
        """Hold messages again; `earlier`: they are older than all that this process accepted."""
        now = self._dispatcher.now()
        for message in messages:
            self._revive(message, earlier, now)

    def adopt(self) -> None:
        """Where processes hand over, take over what one leaves once it has ended; again and again.

        A key that another process still owes waits here, and a wait told to another is heeded here.
        """
        core = self._dispatcher
        if not core.running or not (core.handed_down or core.store.sharing):
            return
        adopted = [] if core.stopped_at else core.store.adopt()
        core.records.retry_if_behind()
        if adopted:
            core.log.info("taken over", owed=len(adopted))
            self.send_notices(adopted)
            self.revive(adopted, earlier=True)
        if core.handed_down:
            self._heed_other_processes()
        core.later(ADOPT_INTERVAL, self.adopt)

    def _revive(self, message: StoredMessage, earlier: bool, now: float) -> None:
        core = self._dispatcher
        queue_class = core.book.classes.get(message.queue_class)
        if queue_class is None:  # the settings have changed since
            if not message.notice:
                core.end_by_notice(message.name, handed_back=False)
            return
        left = message.end - now
        mail = core.book.mail(queue_class, message.destination, left, message.customer, message.key)
        mail.attempts, mail.ran = message.attempts, age_of_first_run(message, now)
        mail.earlier, mail.ended = earlier, bool(message.notice)
        core.hold(HeldMessage(message.name, message.tag, message.body, mail, now + mail.left))
        core.tell(core.control.taken, mail)

    def _heed_other_processes(self) -> None:
        core = self._dispatcher
        core.tell(core.control.elsewhere, core.store.keys_elsewhere())
        now = core.now()
        for name, until in core.store.waits_elsewhere().items():
            if until > now and (route := core.book.routes.get(name)) is not None:
                core.tell(core.control.told_to_wait, route, until - now)


def age_of_first_run(message: StoredMessage, now: float) -> float | None:
    """Seconds since the first attempt that may have run was sent; None if there was none."""
    starts = [at for at in (message.ran, message.out) if at is not None]
    if not starts:
        return None
    age = now - min(starts)
    return age if age >= 0 else UNKNOWN_AGE
