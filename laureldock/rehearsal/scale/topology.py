"""Regions and zones, the delays between them, and the location and address of each member. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import combinations

from msgspec import Struct

# One-way delays in seconds. Those between regions are spread evenly over the pairs, shortest first.
WITHIN_ZONE_DELAY = 0.0005
BETWEEN_ZONES_DELAY = 0.002
BETWEEN_REGIONS_DELAYS = (0.030, 0.150)
ZONES_PER_REGION = (3, 3, 3, 2, 2, 2)  # of the target deployment: 6 regions with 15 zones
RACK_MEMBERS = 20  # at most, of one rack; its members are consecutive members of a zone
FLEET_PORT = 7946
CONTROLLER_PORT = 7950
CONTROLLER_BLOCK = 250  # the controller has the address 127.NET.250.1
MEMBERS_PER_BLOCK = 250  # addresses 127.NET.BLOCK.1 to .250
MAX_MEMBERS = 240 * MEMBERS_PER_BLOCK
SEEDS = 3


class World(Struct, frozen=True):
    """Parameters that all processes of a run share; each derives the same members and delays from them."""

    hollow: int
    real: int
    net: int  # second octet of all addresses, so that two runs can coexist on one machine
    seed: int = 1
    zones: tuple[int, ...] = ZONES_PER_REGION
    delay_factor: float = 1.0  # 0.5 makes the delays above round-trip times


@dataclass(frozen=True, slots=True)
class MemberLocation:
    """A member (or the controller) and where it is located."""

    name: str
    host: str
    region: str
    zone: str  # qualified by the region; also the `site` of the member's view
    real: bool

    @property
    def address(self) -> str:
        return f"{self.host}:{FLEET_PORT}"


@dataclass(slots=True)
class Topology:
    """All members by name and by host address, and the delay between any two zones.

    Raises ValueError if there are no members, or more than the address range holds.
    """

    world: World
    locations: dict[str, MemberLocation] = field(default_factory=dict)
    by_host: dict[str, MemberLocation] = field(default_factory=dict)
    regions: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    region_delays: dict[tuple[str, str], float] = field(default_factory=dict)
    controller_location: MemberLocation = field(init=False)  # in the zone of the real dispatchers

    def __post_init__(self) -> None:
        world = self.world
        if not 0 < world.hollow + world.real <= MAX_MEMBERS:
            raise ValueError(f"number of members must be 1 to {MAX_MEMBERS}, not {world.hollow + world.real}")
        self.regions = [f"r{number}" for number in range(1, len(world.zones) + 1)]
        self.zones = [
            f"{region}-z{number}"
            for region, count in zip(self.regions, world.zones, strict=True)
            for number in range(1, count + 1)
        ]
        zone = self.zones[0]
        host = f"127.{world.net}.{CONTROLLER_BLOCK}.1"
        self.controller_location = MemberLocation("controller", host, zone.partition("-")[0], zone, real=True)
        self.by_host[host] = self.controller_location
        self._spread_region_delays()
        # Real dispatchers share one zone: delays between them are not simulated, and negligible in a zone.
        for number in range(world.real):
            self._add_member(f"real{number:03}", number, self.zones[0], real=True)
        for number in range(world.hollow):
            zone = self.zones[(number + 1) % len(self.zones)]
            self._add_member(f"hollow{number:04}", world.real + number, zone, real=False)

    def _add_member(self, name: str, number: int, zone: str, real: bool) -> None:
        block, last = divmod(number, MEMBERS_PER_BLOCK)
        host = f"127.{self.world.net}.{block}.{last + 1}"
        location = MemberLocation(name, host, zone.partition("-")[0], zone, real)
        self.locations[name] = self.by_host[host] = location

    def _spread_region_delays(self) -> None:
        pairs = list(combinations(self.regions, 2))
        nearest, farthest = BETWEEN_REGIONS_DELAYS
        step = (farthest - nearest) / max(1, len(pairs) - 1)
        for number, (one, other) in enumerate(pairs):
            self.region_delays[one, other] = self.region_delays[other, one] = nearest + step * number

    def location_of_host(self, host: str) -> MemberLocation | None:
        """The member or controller that has this address, if any."""
        return self.by_host.get(host)

    def delay(self, one: MemberLocation, other: MemberLocation) -> float:
        """One-way delay in seconds."""
        if one.zone == other.zone:
            seconds = WITHIN_ZONE_DELAY
        elif one.region == other.region:
            seconds = BETWEEN_ZONES_DELAY
        else:
            seconds = self.region_delays[one.region, other.region]
        return seconds * self.world.delay_factor

    def members_of(self, zone: str = "", region: str = "", real: bool | None = None) -> list[str]:
        """Names of the members that match all filters, in order of creation."""
        return [
            location.name
            for location in self.locations.values()
            if zone in ("", location.zone)
            and region in ("", location.region)
            and real in (None, location.real)
        ]

    def seeds(self) -> list[str]:
        """Names of the seed members, which others contact at their start: one in each of several regions."""
        chosen: dict[str, str] = {}
        for location in self.locations.values():
            if not location.real:
                chosen.setdefault(location.region, location.name)
        return list(chosen.values())[:SEEDS]
