"""Dissemination of records: piggybacked on all datagrams, and on gossip datagrams while any are queued."""

from __future__ import annotations

from laureldock.fleet import messages
from laureldock.fleet.messages import MemberRecord
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.state import ViewState

GOSSIP_INTERVAL = 0.25  # periods between gossip rounds
GOSSIP_FANOUT = 2  # members that each round is sent to


class Dissemination:
    """Runs gossip rounds as long as records are queued."""

    def __init__(self, state: ViewState, sender: DatagramSender) -> None:
        self._state, self._sender = state, sender
        self._round_scheduled = False

    def enqueue(self, now: float, record: MemberRecord) -> None:
        """Queue a record for gossip, and start gossip rounds if none are scheduled."""
        self._state.gossip_queue.enqueue(record)
        if not self._round_scheduled:
            self._round_scheduled = True
            self._state.schedule(now, 0.0, self._gossip_round)

    def _gossip_round(self, now: float) -> None:
        self._round_scheduled = len(self._state.gossip_queue) > 0
        if self._round_scheduled:
            self.send_to_random(now, GOSSIP_FANOUT)
            self._state.schedule(now, GOSSIP_INTERVAL, self._gossip_round)

    def send_to_random(self, now: float, limit: int) -> None:
        """Send gossip to up to `limit` random members at once."""
        for member in self._state.random_members(limit):
            self._sender.send(
                now,
                member.record.address,
                lambda header, max_bytes: messages.Gossip(header, self._sender.select_gossip(max_bytes)),
            )
