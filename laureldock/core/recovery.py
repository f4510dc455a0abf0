"""Recovery: messages that an earlier process, or one that hands over to this one, still owed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock.core.messages import HeldMessage, StoredMessage

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

# Seconds between looks for a process that starts, and, while there is one, for what it ends: a key's next
# message waits for that look.
ADOPT_INTERVAL, PEER_INTERVAL = 0.05, 0.02

UNKNOWN_AGE = 1e9  # seconds; for an attempt whose age cannot be told: a reboot, and the wall clock set back


class Recovery:
    """Takes over what the store holds for a dispatcher, at its start and while processes hand over."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def send_notices(self, messages: list[StoredMessage]) -> None:
        """Send the notices again that no outlet has taken yet."""
        for message in messages:
            if message.notice:
                self._dispatcher.outlet.send_notice(message.name, message.notice)

    def revive(self, messages: list[StoredMessage]) -> None:
        """Hold messages again, in the order in which they were accepted."""
        now = self._dispatcher.now()
        for message in sorted(messages, key=lambda each: each.accepted_at):
            self._revive(message, now)

    def rest_keys(self) -> None:
        """Keys that rest since before, for as long as is left of it."""
        core = self._dispatcher
        for key, until in core.store.cooldowns.items():
            if until > core.now():
                core.call_policy(core.policy.cool_down_key, key, until)

    def inherit_routes(self) -> None:
        """Routes that an earlier life, or a process that has ended, saw fail or come back a moment ago.

        They are held off until a trial, or cold: what a receiver bears does not depend on who asks.
        """
        core = self._dispatcher
        for name, record in core.store.inherit_routes().items():
            if (route := core.registry.routes.get(name)) is not None:
                core.peers.heed_route(route, record)

    def watch_processes(self) -> None:
        """While processes may hand over, look what others have ended, and adopt what ended ones leave."""
        core = self._dispatcher
        if not core.running or not core.peers.possible:
            return
        if not core.stopped_at:
            self.adopt()
        core.records.retry_if_behind()
        core.peers.read()
        core.call_later(PEER_INTERVAL if core.store.is_shared else ADOPT_INTERVAL, self.watch_processes)

    def adopt(self) -> None:
        """Take over what processes that have ended owe."""
        core = self._dispatcher
        adopted = core.store.adopt()
        if adopted:
            core.log.info("taken over", owed=len(adopted))
            self.send_notices(adopted)
            self.rest_keys()
            self.revive(adopted)
        self.inherit_routes()

    def _revive(self, message: StoredMessage, now: float) -> None:
        core = self._dispatcher
        queue_class = core.registry.classes.get(message.queue_class)
        if queue_class is None:  # the settings have changed since
            if not message.notice:
                core.finish_by_notice(message.name, handed_back=False)
            return
        left = message.expires_at - now
        mail = core.registry.new_message(
            queue_class, message.destination, left, message.customer, message.key
        )
        mail.earlier_attempts, mail.age_of_first_run = message.attempts, age_of_first_run(message, now)
        mail.accepted_at, mail.awaits_notice = message.accepted_at, bool(message.notice)
        mail.call_interrupted = message.in_flight_since is not None
        core.hold(HeldMessage(message.name, message.tag, message.body, mail, now + mail.time_left))
        core.call_policy(core.policy.message_accepted, mail)


def age_of_first_run(message: StoredMessage, now: float) -> float | None:
    """Seconds since the first attempt that may have run was sent; None if there was none."""
    starts = [at for at in (message.first_may_have_run_at, message.in_flight_since) if at is not None]
    if not starts:
        return None
    age = now - min(starts)
    return age if age >= 0 else UNKNOWN_AGE
