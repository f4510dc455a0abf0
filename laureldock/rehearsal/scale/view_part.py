"""The view of a hollow member: `laureldock.fleet` as it is. The scale run uses that package here alone."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import msgspec
from twisted.internet.posixbase import PosixReactorBase

from laureldock.fleet.messages import MemberRecord
from laureldock.fleet.settings import ViewStatus
from laureldock.fleet.transport import FleetTransport, PersistentState
from laureldock.rehearsal.scale.shaping import MemberReactor
from laureldock.setup.plan import Fleet
from laureldock.setup.units import Address, Seconds

FLEET_NAME = "scale"
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[MemberRecord, ...])
NO_FOLDER = Path("/nonexistent")


def encode_records(records: list[MemberRecord]) -> bytes:
    return _encoder.encode(records)


def decode_records(encoded: bytes) -> tuple[MemberRecord, ...]:
    """New objects each time: no two members share any."""
    return _decoder.decode(encoded)


class NothingSaved(PersistentState):
    """A hollow member writes no file: hundreds that flush to one disk would measure the disk."""

    def save(self, generation: int, addresses: list[str]) -> None:
        self.generation, self.addresses = generation, addresses


class ViewPart:
    """The datagrams, streams and timers of one start of a member."""

    def __init__(
        self,
        reactor: MemberReactor,
        seeds: list[str],
        period: float,
        random_seed: int,
        on_event: Callable[[str, str], None],
    ) -> None:
        """`on_event` is told an event's name and the member it is about."""
        place = reactor.place
        settings = Fleet(
            name=FLEET_NAME,
            listen=Address(place.address),
            seeds=[Address(seed) for seed in seeds],
            site=place.zone,
            period=Seconds(period),
            members=4096,
        )

        def told(name: str, fields: dict[str, Any]) -> None:
            on_event(name, str(fields.get("member", "")))

        self.transport = FleetTransport(
            cast(PosixReactorBase, reactor), settings, place.name, random_seed, NO_FOLDER, told, lambda: 0.0
        )
        self.transport.persistent_state = NothingSaved(NO_FOLDER)

    def start(self) -> None:
        """CannotListenError."""
        self.transport.start()

    def own_record(self) -> MemberRecord:
        """What this member says of itself."""
        return self.transport.view.local.record

    def fill(self, records: tuple[MemberRecord, ...]) -> None:
        """Know these members as if the news of them had gone round before: nothing of it is gossiped."""
        now, state = self.transport.now(), self.transport.view._state
        for record in records:
            if record.name != self.transport.view.settings.name:
                state.members.put(now, record)

    def leave(self) -> None:
        self.transport.leave()

    @property
    def active(self) -> bool:
        return self.transport.view.status is ViewStatus.ACTIVE

    @property
    def digest(self) -> int:
        """Equal where views are."""
        return self.transport.view.digest

    @property
    def present(self) -> int:
        """Members held to be there, this one among them."""
        return self.transport.view.member_table.present_count

    @property
    def stalls(self) -> int:
        """How often this member found itself late by half a period."""
        return self.transport.view.counters.slept

    @property
    def refutations(self) -> int:
        return self.transport.view.counters.refuted
