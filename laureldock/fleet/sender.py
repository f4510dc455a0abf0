"""Building and sending datagrams: a header with the local member's state, then gossip in the space left."""

from __future__ import annotations

from collections.abc import Callable

from laureldock.fleet import messages
from laureldock.fleet.effects import SendDatagram
from laureldock.fleet.members import Member
from laureldock.fleet.messages import ALIVE, Datagram, MemberRecord, MessageHeader
from laureldock.fleet.state import ViewState

# Upper bound on all numbers of a datagram plus the name and address of a `PingRequest`, without the header's
# texts.
FIXED_FIELDS_BYTES = 260
SITE_REPORT_BYTES = 8  # of one site's reachability in the header, without the site's name
MAX_GOSSIP_RECORDS = 64

DatagramFactory = Callable[[MessageHeader, int], Datagram]
"""Builds a datagram from a header and the number of bytes left for gossip."""


class DatagramSender:
    """Encodes datagrams and appends them to the effects of the view."""

    def __init__(self, state: ViewState) -> None:
        self._state = state

    def header(self, now: float) -> MessageHeader:
        """Return the header of a message that is sent now."""
        state, record = self._state, self._state.local.record
        return MessageHeader(
            fleet=state.settings.fleet,
            sender=record.name,
            generation=record.generation,
            boot_id=record.boot_id,
            address=record.address,
            load=state.load,
            digest=state.members.digest,
            reachability=state.reachability.own_report(now),
        )

    def send(self, now: float, address: str, build: DatagramFactory) -> None:
        """Send the datagram that `build` returns to an address."""
        header = self.header(now)
        data = messages.encode(build(header, max_gossip_bytes(header)))
        counters = self._state.counters
        counters.sent += 1
        counters.bytes_sent += len(data)
        self._state.effects.append(SendDatagram(address, data))

    def select_gossip(self, max_bytes: int, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        """Return records to piggyback on a datagram; `first` is always included."""
        present = self._state.members.present_count
        return self._state.gossip_queue.select(max_bytes, present, MAX_GOSSIP_RECORDS, first)

    def send_ping(self, now: float, member: Member, sequence: int) -> None:
        """Ping a member.

        A ping to a suspect or failed member carries that record, so that it can refute at once (Lifeguard's
        buddy system).
        """
        record = member.record
        first = record if record.state != ALIVE else None

        def build(header: MessageHeader, max_bytes: int) -> messages.Ping:
            return messages.Ping(header, sequence, record.name, self.select_gossip(max_bytes, first))

        self.send(now, record.address, build)

    def send_ack(self, now: float, address: str, sequence: int) -> None:
        """Acknowledge a ping, or relay the ack of a ping that was sent on behalf of another member."""
        self.send(
            now,
            address,
            lambda header, max_bytes: messages.Ack(header, sequence, self.select_gossip(max_bytes)),
        )


def max_gossip_bytes(header: MessageHeader) -> int:
    """Return the number of bytes left for gossip in a datagram with this header."""
    texts = sum(len(each.site) + SITE_REPORT_BYTES for each in header.reachability)
    texts += len(header.fleet) + len(header.sender) + len(header.address)
    return messages.MAX_DATAGRAM_BYTES - FIXED_FIELDS_BYTES - texts
