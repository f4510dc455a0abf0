"""Submissions: messages that clients hand in, until the reply is sent or the client disconnects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock import interface
from laureldock.core.messages import ACCEPTED, HeldMessage, Reply, ReplyKind, StoredMessage, Submitter
from laureldock.core.protocols import InvalidMessageError
from laureldock.delivery_memory import MemoryKind, MemoryRefusal, message_bytes

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

# Seconds until a client is told that its message failed because a peer process has it. By the platform's
# protocol the client has given the message up by then, so that an attempt still made for it does no harm.
PEER_REPLY_DELAY = 0.6


class Submissions:
    """Accepts messages for a dispatcher, and withdraws those whose client has disconnected."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._awaiting_reply: list[HeldMessage] = []  # accepted since the last turn

    def submit(
        self, submitter: Submitter, stored: StoredMessage, time_left: float
    ) -> Reply | HeldMessage | None:
        """Accept or refuse a message with `time_left` seconds of its lifetime left.

        Returns the reply; or the accepted message, whose reply comes after the turn; or None if nothing was
        accepted and the reply comes later. Raises InvalidMessageError if the queue class or the destination
        is unknown.
        """
        core = self._dispatcher
        queue_class = self._class_of(stored)
        if reply := core.reattachment.claim(stored.name):
            return reply
        if stored.name in core.messages_by_name:  # a repeat, after a close that crossed the first request
            return ACCEPTED
        if not core.peers.read():
            core.counters["refused: other processes cannot be read"] += 1
            return Reply(ReplyKind.BUSY)
        if (reply := self._reply_to_finished(stored.name)) is not None:
            return reply
        if core.peers.view.knows(stored.name) or core.store.finished_by_peer(stored.name):
            return self._submit_known_to_peer(submitter, stored.name)
        if not core.memory.may_hold(MemoryKind.MESSAGES, message_bytes(stored.body)):
            core.report_memory_refusal(
                MemoryRefusal.MESSAGE_REFUSED,
                mail=stored.name.decode(errors="replace"),
                held=core.memory.held_bytes,
            )
            core.count(stored.queue_class, "deferred")
            return Reply(ReplyKind.BUSY)
        stored.accepted_class = queue_class
        stored.accepted_at = core.now()  # read after the records of peer processes, whose messages come first
        if not core.store.accept(stored):
            core.counters["spool full"] += 1
            core.count(stored.queue_class, "deferred")
            return Reply(ReplyKind.BUSY)
        return self._hold(submitter, stored, queue_class, time_left)

    def _reply_to_finished(self, name: bytes) -> Reply | None:
        """The reply to a request that comes again after its message has finished, here or elsewhere."""
        core = self._dispatcher
        accepted = core.store.finished_reply(name)
        if accepted is None:
            return None
        core.counters["repeated after their end"] += 1
        return ACCEPTED if accepted else Reply(ReplyKind.FAILED)

    def reply_to_all(self) -> None:
        """Reply to all messages accepted since the last turn; those that it ended undelivered are refused."""
        messages, self._awaiting_reply = self._awaiting_reply, []
        for message in messages:
            if message.submitter:
                submitter, message.submitter = message.submitter, None
                if message.refusal:
                    self._dispatcher.invariants.refusal_sending(message)
                submitter.reply(message.refusal or ACCEPTED)

    def client_withdrew(self, message: HeldMessage) -> None:
        """The client disconnected before its reply could be sent: it may come again, or wants no result."""
        core = self._dispatcher
        message.submitter = None
        if message.attempts and core.holds(message):
            core.reattachment.wait_for_client(message)
        else:
            self.withdraw(message)

    def withdraw(self, held: HeldMessage) -> None:
        """Drop a message that nobody waits for any more."""
        core = self._dispatcher
        if not core.holds(held) or core.outlet.has_pending(held.name):
            return
        core.counters["withdrawn"] += 1
        if held.recorded_attempt and core.peers.may_exist:  # the call may take that long
            core.record_cooldown(held, held.recorded_attempt.timeout + core.settings.key_cooldown_time)
        core.record_keeping.drop_notice(held.name)
        core.call_policy(core.policy.message_withdrawn, held.message)
        core.forget_message(held, accepted=False if core.may_not_run_again(held) else None)

    def _class_of(self, stored: StoredMessage) -> interface.QueueClass:
        """The queue class of a message. Raises InvalidMessageError if it or the destination is unknown."""
        core = self._dispatcher
        queue_class = core.registry.classes.get(stored.queue_class)
        if queue_class is None:
            core.count(stored.queue_class, "bounced")
            raise InvalidMessageError("unknown class")
        if stored.destination not in core.registry.destinations:  # no endpoint was ever listed for it
            core.count(stored.queue_class, "bounced")
            raise InvalidMessageError("unknown destination")
        return queue_class

    def _hold(
        self, submitter: Submitter, stored: StoredMessage, queue_class: interface.QueueClass, time_left: float
    ) -> HeldMessage:
        core = self._dispatcher
        message = core.registry.new_message(
            queue_class, stored.destination, time_left, stored.customer, stored.key
        )
        message.accepted_at = stored.accepted_at
        held = HeldMessage(stored.name, stored.tag, stored.body, message, core.now() + time_left, submitter)
        core.hold_message(held)
        self._awaiting_reply.append(held)
        core.counters["taken"] += 1
        if core.logs_messages:
            core.log_step("mail taken", held)
        core.call_policy(core.policy.message_accepted, message)
        return held

    def _submit_known_to_peer(self, submitter: Submitter, name: bytes) -> Reply | None:
        """Reply to a message that a peer process has, or had a moment ago."""
        core = self._dispatcher
        core.recovery.adopt()  # that process may just have ended
        if name in core.messages_by_name:
            return ACCEPTED
        core.call_later(PEER_REPLY_DELAY, self._reply_after_delay, submitter, name)
        return None

    def _reply_after_delay(self, submitter: Submitter, name: bytes) -> None:
        """Reply to a client that still waits, although the peer process may deliver its message."""
        core = self._dispatcher
        known = name in core.messages_by_name  # taken over since
        core.counters["refused: another process has it"] += not known
        submitter.reply(ACCEPTED if known else Reply(ReplyKind.FAILED))
