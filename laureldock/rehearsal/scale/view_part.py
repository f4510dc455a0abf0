"""The membership view of a hollow member: `laureldock.fleet`, which no other module of the scale run uses."""

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
    """Creates new objects on each call, so that no two members share one."""
    return _decoder.decode(encoded)


class UnsavedState(PersistentState):
    """Keeps the state in memory only: hundreds of members that flush to one disk would measure the disk."""

    def save(self, generation: int, addresses: list[str]) -> None:
        self.generation, self.addresses = generation, addresses


class HollowView:
    """Datagrams, streams and timers of the membership protocol, for one start of a member."""

    def __init__(
        self,
        reactor: MemberReactor,
        seeds: list[str],
        period: float,
        random_seed: int,
        on_event: Callable[[str, str], None],
    ) -> None:
        """`on_event` is called with the name of an event and the member that it is about."""
        location = reactor.location
        settings = Fleet(
            name=FLEET_NAME,
            listen=Address(location.address),
            seeds=[Address(seed) for seed in seeds],
            site=location.zone,
            period=Seconds(period),
            members=4096,
        )

        def report_event(name: str, fields: dict[str, Any]) -> None:
            on_event(name, str(fields.get("member", "")))

        self.transport = FleetTransport(
            cast(PosixReactorBase, reactor),
            settings,
            location.name,
            random_seed,
            NO_FOLDER,
            report_event,
            lambda: 0.0,
        )
        self.transport.persistent_state = UnsavedState(NO_FOLDER)

    def start(self) -> None:
        """Raises CannotListenError."""
        self.transport.start()

    def own_record(self) -> MemberRecord:
        """This member's record of itself."""
        return self.transport.view.local.record

    def fill(self, records: tuple[MemberRecord, ...]) -> None:
        """Add these members to the view without gossiping about them, as if updates had spread before."""
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
        """Digest of the view; equal views have equal digests."""
        return self.transport.view.digest

    @property
    def present(self) -> int:
        """Number of members that this one considers present, including itself."""
        return self.transport.view.member_table.present_count

    @property
    def stalls(self) -> int:
        """How often this member noticed that it was late by half a period."""
        return self.transport.view.counters.slept

    @property
    def refutations(self) -> int:
        return self.transport.view.counters.refuted
