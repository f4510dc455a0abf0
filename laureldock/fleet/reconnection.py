"""Reconnection: failed members are pinged, so that two sides of a partition rejoin when it heals.

All members together ping each failed member about once per period, whatever their number.
"""

from __future__ import annotations

from laureldock.fleet import messages
from laureldock.fleet.anti_entropy import AntiEntropy
from laureldock.fleet.members import PRESENT_STATES, Member
from laureldock.fleet.messages import FAILED
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.state import ViewState

MIN_INTERVAL = 2.0  # periods between two such pings from this member
MAX_BACKOFF = 2.0  # factor on the interval once the view has been stable for `BACKOFF_PERIODS`
BACKOFF_PERIODS = 60.0
ACK_TIMEOUT = 1.0  # periods


class Reconnection:
    """Pings failed members in rounds, and syncs with those that acknowledge."""

    def __init__(self, state: ViewState, sender: DatagramSender, anti_entropy: AntiEntropy) -> None:
        self._state, self._sender, self._anti_entropy = state, sender, anti_entropy
        self._round: list[str] = []  # names of failed members still to be pinged in this round
        self._pending: dict[int, str] = {}  # names of pinged members, by sequence number

    def start(self, now: float, delay: float) -> None:
        """Start after `delay` periods."""
        self._state.schedule(now, delay, self._ping_next)

    def ping(self, now: float, member: Member) -> None:
        """Ping a member that has failed or left."""
        member.last_pinged_at = now
        sequence = next(self._state.counter)
        self._pending[sequence] = member.record.name
        self._sender.send_ping(now, member, sequence)
        self._state.schedule(now, ACK_TIMEOUT, self._expire, sequence)

    def acknowledge(self, now: float, message: messages.Ack) -> None:
        """Sync with a member that acknowledged, if it is present again; its view may differ."""
        name = self._pending.pop(message.sequence, "")
        member = self._state.members.get(name)
        if member and member.record.state in PRESENT_STATES:
            self._anti_entropy.sync_with(now, member.record.address)

    def abandon(self) -> None:
        """Drop all pings in progress."""
        self._pending.clear()

    def _ping_next(self, now: float) -> None:
        members = self._state.members
        failed = [each.record.name for each in members.absent.values() if each.record.state == FAILED]
        stable_periods = self._state.stable_for(now) / (BACKOFF_PERIODS * self._state.period)
        backoff = min(MAX_BACKOFF, 1.0 + stable_periods)
        interval = max(MIN_INTERVAL, members.present_count / max(1, len(failed))) * backoff
        self._state.schedule(now, interval * self._state.random.jitter(), self._ping_next)
        while failed:
            if not self._round:
                self._round = self._state.random.shuffled(failed)
            member = members.get(self._round.pop())
            if member and member.record.state == FAILED:
                self.ping(now, member)
                return

    def _expire(self, now: float, sequence: int) -> None:
        self._pending.pop(sequence, None)
