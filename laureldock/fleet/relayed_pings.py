"""Indirect probes for other members: pings on their behalf, with the acks relayed (SWIM's ping-req)."""

from __future__ import annotations

from dataclasses import dataclass

from laureldock.fleet import messages
from laureldock.fleet.probing import DIRECT_TIMEOUT
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.state import ViewState

MAX_RELAYED_PINGS = 64  # in progress at once


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """The address of the member that requested a ping, and the sequence number of its request."""

    address: str
    sequence: int


class RelayedPings:
    """Pings members on behalf of others, and responds with an ack, or with a nack on a timeout."""

    def __init__(self, state: ViewState, sender: DatagramSender) -> None:
        self._state, self._sender = state, sender
        self.pending: dict[int, RelayedPing] = {}  # by sequence number of the relayed ping

    def relay(self, now: float, request: messages.PingRequest) -> None:
        """Ping a member on behalf of another, unless too many such pings are in progress."""
        is_self = request.target == self._state.settings.name
        if is_self or len(self.pending) >= MAX_RELAYED_PINGS:
            return
        sequence, target = next(self._state.counter), request.target
        self.pending[sequence] = RelayedPing(request.header.address, request.sequence)

        def build(header: messages.MessageHeader, max_bytes: int) -> messages.Ping:
            return messages.Ping(header, sequence, target, self._sender.select_gossip(max_bytes))

        self._sender.send(now, request.address, build)
        self._state.schedule(now, DIRECT_TIMEOUT, self._expire, sequence)

    def acknowledge(self, now: float, message: messages.Ack) -> None:
        """Relay an ack to the member that requested the ping."""
        if ping := self.pending.pop(message.sequence, None):
            self._sender.send_ack(now, ping.address, ping.sequence)

    def abandon(self) -> None:
        """Drop all pings in progress."""
        self.pending.clear()

    def _expire(self, now: float, sequence: int) -> None:
        ping = self.pending.pop(sequence, None)
        if ping is None:
            return
        requested_by = ping

        def build(header: messages.MessageHeader, max_bytes: int) -> messages.Nack:
            return messages.Nack(header, requested_by.sequence, self._sender.select_gossip(max_bytes))

        self._sender.send(now, requested_by.address, build)
