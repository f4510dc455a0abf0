"""Recovery: takes over messages that previous or peer processes left pending."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock.core.messages import HeldMessage, StoredMessage
from laureldock.interface import QueueClass

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

# Seconds between checks for a peer process that has started; and, while there is one, between checks for
# messages that it has finished, for which the next message of their ordering key waits.
ADOPT_INTERVAL, PEER_INTERVAL = 0.05, 0.02

# Seconds; for an attempt whose age is unknown, after a reboot with the wall clock set back.
UNKNOWN_AGE = 1e9


class Recovery:
    """Takes over messages and records from the store, at the start of a dispatcher and during a handover."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def send_notices(self, messages: list[StoredMessage]) -> None:
        """Send the notices of these messages again that were not acknowledged."""
        for message in messages:
            if message.notice:
                self._dispatcher.outlet.send_notice(message.name, message.notice)

    def restore_messages(self, messages: list[StoredMessage]) -> None:
        """Hold messages again, in the order in which they were accepted."""
        now = self._dispatcher.now()
        for message in sorted(messages, key=lambda each: each.accepted_at):
            self._restore(message, now)

    def apply_inherited_records(self) -> None:
        """Apply what previous or ended processes have recorded, whether or not they left any message.

        What a receiver can take, and how long it is to be left alone, does not depend on which process calls;
        and a broken call of an ordering key may still run, whichever process made it.
        """
        core = self._dispatcher
        inherited = core.store.inherit_records()
        if inherited.is_empty:
            return
        core.log.info(
            "records taken over",
            waits=len(inherited.requested_waits) + len(inherited.destination_waits),
            keys=len(inherited.cooldowns),
            routes=len(inherited.routes),
        )
        core.binding_records.apply(inherited)

    def watch_peer_processes(self) -> None:
        """During a possible handover, poll peer processes, and take over from those that have ended."""
        core = self._dispatcher
        if not core.running or not core.peers.may_exist:
            return
        if not core.stop_began_at:
            self.adopt()
        core.record_keeping.retry_if_unwritten()
        core.peers.read()
        core.call_later(PEER_INTERVAL if core.store.is_shared else ADOPT_INTERVAL, self.watch_peer_processes)

    def adopt(self) -> None:
        """Take over the pending messages and records of peer processes that have ended."""
        core = self._dispatcher
        adopted = core.store.adopt()
        self.apply_inherited_records()  # first: nothing of a file binds by `peers` any more
        if adopted:
            core.log.info("taken over", owed=len(adopted))
            self.send_notices(adopted)
            self.restore_messages(adopted)
        if not core.store.is_shared:
            core.peers.all_ended()

    def _restore(self, stored: StoredMessage, now: float) -> None:
        core = self._dispatcher
        queue_class = self._class_of(stored)
        if queue_class is None:
            if not stored.notice:
                core.finish_by_notice(stored.name, handed_back=False)
            return
        time_left = stored.expires_at - now
        message = core.registry.new_message(
            queue_class, stored.destination, time_left, stored.customer, stored.key
        )
        message.earlier_attempts, message.age_of_first_run = stored.attempts, age_of_first_run(stored, now)
        message.accepted_at, message.awaits_notice = stored.accepted_at, bool(stored.notice)
        message.call_interrupted = stored.in_flight_since is not None
        core.hold_message(HeldMessage(stored.name, stored.tag, stored.body, message, now + message.time_left))
        core.call_policy(core.policy.message_accepted, message)

    def _class_of(self, stored: StoredMessage) -> QueueClass | None:
        """The queue class under which a message was accepted, whatever the settings have by now.

        What an older release accepted has the class of that name in the settings, from now on until its end;
        None if there is none.
        """
        registry = self._dispatcher.registry
        if stored.accepted_class is not None:
            return registry.class_as_accepted(stored.accepted_class)
        queue_class = registry.classes.get(stored.queue_class)
        if queue_class is not None:
            self._dispatcher.store.set_accepted_class(stored, queue_class)
        return queue_class


def age_of_first_run(message: StoredMessage, now: float) -> float | None:
    """Seconds since the first attempt that may have run was sent; None if there was none."""
    sent_at = [at for at in (message.first_may_have_run_at, message.in_flight_since) if at is not None]
    if not sent_at:
        return None
    age = now - min(sent_at)
    return age if age >= 0 else UNKNOWN_AGE
