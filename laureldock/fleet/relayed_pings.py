"""Indirect probes of other members: pings in their place, and the answers passed back (SWIM's ping-req)."""

from __future__ import annotations

from dataclasses import dataclass

from laureldock.fleet import messages
from laureldock.fleet.probing import DIRECT_TIMEOUT
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.state import ViewState

MAX_RELAYED_PINGS = 64  # under way at once


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """Who asked for a ping, and the sequence number that the answer to it has to bear."""

    address: str
    sequence: int


class RelayedPings:
    """Pings members for others, and answers with an ack, or with a nack where none came in time."""

    def __init__(self, state: ViewState, sender: DatagramSender) -> None:
        self._state, self._sender = state, sender
        self.pending: dict[int, RelayedPing] = {}  # by sequence number of the ping

    def relay(self, now: float, request: messages.PingRequest) -> None:
        """Ping a member in another's place, unless too many such pings are under way."""
        is_self = request.target == self._state.settings.name
        if is_self or len(self.pending) >= MAX_RELAYED_PINGS:
            return
        sequence, target = next(self._state.counter), request.target
        self.pending[sequence] = RelayedPing(request.header.address, request.sequence)

        def make(header: messages.MessageHeader, room: int) -> messages.Ping:
            return messages.Ping(header, sequence, target, self._sender.select_gossip(room))

        self._sender.send(now, request.address, make)
        self._state.schedule(now, DIRECT_TIMEOUT, self._expire, sequence)

    def acknowledge(self, now: float, message: messages.Ack) -> None:
        """Pass an ack on to whoever asked for the ping."""
        if ping := self.pending.pop(message.sequence, None):
            self._sender.send_ack(now, ping.address, ping.sequence)

    def abandon(self) -> None:
        """Drop all pings that are under way."""
        self.pending.clear()

    def _expire(self, now: float, sequence: int) -> None:
        ping = self.pending.pop(sequence, None)
        if ping is None:
            return
        asked_by = ping

        def make(header: messages.MessageHeader, room: int) -> messages.Nack:
            return messages.Nack(header, asked_by.sequence, self._sender.select_gossip(room))

        self._sender.send(now, asked_by.address, make)
