"""Building datagrams: a header of this member's own state, then gossip as far as there is room."""

from __future__ import annotations

from collections.abc import Callable

from laureldock.fleet import messages
from laureldock.fleet.effects import SendDatagram
from laureldock.fleet.members import Member
from laureldock.fleet.messages import ALIVE, Datagram, MemberRecord, MessageHeader
from laureldock.fleet.state import ViewState

# All numbers of a datagram, and the name and address of a `PingRequest`, take less beside the header's texts.
FIXED_FIELDS_BYTES = 260
SITE_REPORT_BYTES = 8  # of one site's reachability in the header, beside the site's name
MAX_GOSSIP_RECORDS = 64

DatagramFactory = Callable[[MessageHeader, int], Datagram]
"""Makes a datagram from a header and the bytes that are left for gossip."""


class DatagramSender:
    """Encodes datagrams and appends them to the effects of the view."""

    def __init__(self, state: ViewState) -> None:
        self._state = state

    def header(self, now: float) -> MessageHeader:
        """The header of whatever this member sends now."""
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

    def send(self, now: float, address: str, make: DatagramFactory) -> None:
        """Send what `make` gives to an address."""
        header = self.header(now)
        data = messages.encode(make(header, gossip_room(header)))
        counters = self._state.counters
        counters.sent += 1
        counters.bytes_sent += len(data)
        self._state.effects.append(SendDatagram(address, data))

    def select_gossip(self, max_bytes: int, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        """Records to piggyback on a datagram; `first` goes in any case."""
        present = self._state.members.present_count
        return self._state.gossip_queue.select(max_bytes, present, MAX_GOSSIP_RECORDS, first)

    def send_ping(self, now: float, member: Member, sequence: int) -> None:
        """Ping a member.

        One that is suspected or held to have failed is told so by the ping itself, so that it can refute at
        once (Lifeguard's buddy system).
        """
        record = member.record
        first = record if record.state != ALIVE else None

        def make(header: MessageHeader, room: int) -> messages.Ping:
            return messages.Ping(header, sequence, record.name, self.select_gossip(room, first))

        self.send(now, record.address, make)

    def send_ack(self, now: float, address: str, sequence: int) -> None:
        """Answer a ping, or pass on the answer to one that was relayed."""
        self.send(now, address, lambda header, room: messages.Ack(header, sequence, self.select_gossip(room)))


def gossip_room(header: MessageHeader) -> int:
    """Bytes left for gossip in a datagram with this header."""
    texts = sum(len(each.site) + SITE_REPORT_BYTES for each in header.reachability)
    texts += len(header.fleet) + len(header.sender) + len(header.address)
    return messages.MAX_DATAGRAM_BYTES - FIXED_FIELDS_BYTES - texts
