"""Submissions: messages that clients hand in, from the command to its reply or the client's end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock import interface
from laureldock.core.messages import ACCEPTED, HeldMessage, Reply, ReplyKind, StoredMessage, Submitter
from laureldock.core.protocols import InvalidMessageError

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

# Seconds until a client hears that another process has its message: by the platform's protocol it has given
# the message up by then, so that what is still sent for it counts for nothing.
DOUBT_TIME = 0.6


class Submissions:
    """Accepts messages for a dispatcher, and withdraws those whose client has gone."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._unanswered: list[HeldMessage] = []  # accepted since the last turn

    def submit(self, submitter: Submitter, stored: StoredMessage, left: float) -> Reply | HeldMessage | None:
        """Accept a message with `left` seconds of its lifetime, or refuse it.

        The reply; or the message, whose submitter hears after the turn; None: the submitter hears later, and
        nothing was accepted. NotAMailError: it names no class or destination that is known.
        """
        core = self._dispatcher
        queue_class = self._class_of(stored)
        if reply := core.reattachment.claim(stored.name):
            return reply
        if stored.name in core.messages_by_name:  # sent once more, since a close had crossed it
            return ACCEPTED
        if not core.peers.read():
            core.counters["refused: other processes cannot be read"] += 1
            return Reply(ReplyKind.BUSY)
        if core.peers.view.knows(stored.name):
            return self._put_in_doubt(submitter, stored.name)
        stored.accepted_at = core.now()  # after what others have recorded: they come before
        if not core.store.accept(stored):
            core.counters["spool full"] += 1
            core.count(stored.queue_class, "deferred")
            return Reply(ReplyKind.BUSY)
        return self._hold(submitter, stored, queue_class, left)

    def reply_to_all(self) -> None:
        """Reply to all that were accepted since the last turn: what that has refused is refused."""
        unanswered, self._unanswered = self._unanswered, []
        for message in unanswered:
            if message.submitter:
                submitter, message.submitter = message.submitter, None
                if message.refusal:
                    self._dispatcher.invariants.refusing(message)
                submitter.reply(message.refusal or ACCEPTED)

    def client_withdrew(self, message: HeldMessage) -> None:
        """Its client went before its answer could leave: whatever becomes of it counts for nothing."""
        core = self._dispatcher
        message.submitter = None
        if message.attempts and core.holds(message):
            core.reattachment.wait_for_client(message)
        else:
            self.withdraw(message)

    def withdraw(self, held: HeldMessage) -> None:
        """Nobody wants it any more."""
        core = self._dispatcher
        if not core.holds(held) or core.outlet.has_pending(held.name):
            return
        core.counters["withdrawn"] += 1
        if held.recorded_attempt and core.peers.possible:  # which may be out for as long
            core.record_cooldown(held, held.recorded_attempt.timeout + core.settings.key_cooldown_time)
        core.records.withdraw(held.name)
        core.call_policy(core.policy.message_withdrawn, held.message)
        core.forget(held)

    def _class_of(self, stored: StoredMessage) -> interface.QueueClass:
        """NotAMailError: it names no class or destination that is known."""
        core = self._dispatcher
        queue_class = core.registry.classes.get(stored.queue_class)
        if queue_class is None:
            core.count(stored.queue_class, "bounced")
            raise InvalidMessageError("unknown class")
        if stored.destination not in core.registry.destinations:  # none was ever listed for it
            core.count(stored.queue_class, "bounced")
            raise InvalidMessageError("unknown destination")
        return queue_class

    def _hold(
        self, submitter: Submitter, stored: StoredMessage, queue_class: interface.QueueClass, left: float
    ) -> HeldMessage:
        core = self._dispatcher
        mail = core.registry.new_message(queue_class, stored.destination, left, stored.customer, stored.key)
        mail.accepted_at = stored.accepted_at
        message = HeldMessage(stored.name, stored.tag, stored.body, mail, core.now() + left, submitter)
        core.hold(message)
        self._unanswered.append(message)
        core.counters["taken"] += 1
        if core.logs_steps:
            core.log_step("mail taken", message)
        core.call_policy(core.policy.message_accepted, mail)
        return message

    def _put_in_doubt(self, submitter: Submitter, name: bytes) -> Reply | None:
        """Of a message that another process has, or had a moment ago."""
        core = self._dispatcher
        core.recovery.adopt()  # its process may just have ended
        if name in core.messages_by_name:
            return ACCEPTED
        core.call_later(DOUBT_TIME, self._reply_in_doubt, submitter, name)
        return None

    def _reply_in_doubt(self, submitter: Submitter, name: bytes) -> None:
        """To a client that has waited on: its message may run there."""
        core = self._dispatcher
        known = name in core.messages_by_name  # taken over meanwhile
        core.counters["refused: another process has it"] += not known
        submitter.reply(ACCEPTED if known else Reply(ReplyKind.FAILED))
