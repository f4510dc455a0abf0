"""Where members stand: regions, zones, the delays between them, and each member's address. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import combinations

from msgspec import Struct

# One way, in seconds. Between two regions: spread evenly over the pairs, nearest first.
WITHIN_ZONE = 0.0005
BETWEEN_ZONES = 0.002
BETWEEN_REGIONS = (0.030, 0.150)
ZONES_OF_REGIONS = (3, 3, 3, 2, 2, 2)  # the world that is aimed at: 6 regions with 15 zones
RACK_MEMBERS = 20  # members of one rack, at most: neighbours in a zone
FLEET_PORT = 7946
CONTROLLER_PORT = 7950
CONTROLLER_BLOCK = 250  # its address is 127.NET.250.1
MEMBERS_OF_BLOCK = 250  # addresses 127.NET.BLOCK.1 to .250
MAX_MEMBERS = 240 * MEMBERS_OF_BLOCK
SEEDS = 3


class World(Struct, frozen=True):
    """What all processes of a run agree on; each makes the same members and delays of it."""

    hollow: int
    real: int
    net: int  # second octet of all addresses, so that two runs may go on at once
    seed: int = 1
    zones: tuple[int, ...] = ZONES_OF_REGIONS
    delay_factor: float = 1.0  # 0.5: the delays above are round trips


@dataclass(frozen=True, slots=True)
class Place:
    """A member and where it stands."""

    name: str
    host: str
    region: str
    zone: str  # with its region; the `site` of its view
    real: bool

    @property
    def address(self) -> str:
        return f"{self.host}:{FLEET_PORT}"


@dataclass(slots=True)
class Topology:
    """All members by name and by host address, and the delay between any two zones."""

    world: World
    places: dict[str, Place] = field(default_factory=dict)
    by_host: dict[str, Place] = field(default_factory=dict)
    regions: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    region_delays: dict[tuple[str, str], float] = field(default_factory=dict)
    controller_place: Place = field(init=False)  # the control machine: in the zone of the real dispatchers

    def __post_init__(self) -> None:
        world = self.world
        if not 0 < world.hollow + world.real <= MAX_MEMBERS:
            raise ValueError(f"1 to {MAX_MEMBERS} members, not {world.hollow + world.real}")
        self.regions = [f"r{number}" for number in range(1, len(world.zones) + 1)]
        self.zones = [
            f"{region}-z{number}"
            for region, count in zip(self.regions, world.zones, strict=True)
            for number in range(1, count + 1)
        ]
        zone = self.zones[0]
        host = f"127.{world.net}.{CONTROLLER_BLOCK}.1"
        self.controller_place = Place("controller", host, zone.partition("-")[0], zone, real=True)
        self.by_host[host] = self.controller_place
        self._spread_region_delays()
        # Real dispatchers stand in one zone: no model stands between them, and within a zone none is missed.
        for number in range(world.real):
            self._place(f"real{number:03}", number, self.zones[0], real=True)
        for number in range(world.hollow):
            zone = self.zones[(number + 1) % len(self.zones)]
            self._place(f"hollow{number:04}", world.real + number, zone, real=False)

    def _place(self, name: str, number: int, zone: str, real: bool) -> None:
        block, last = divmod(number, MEMBERS_OF_BLOCK)
        host = f"127.{self.world.net}.{block}.{last + 1}"
        place = Place(name, host, zone.partition("-")[0], zone, real)
        self.places[name] = self.by_host[host] = place

    def _spread_region_delays(self) -> None:
        pairs = list(combinations(self.regions, 2))
        nearest, farthest = BETWEEN_REGIONS
        step = (farthest - nearest) / max(1, len(pairs) - 1)
        for number, (one, other) in enumerate(pairs):
            self.region_delays[one, other] = self.region_delays[other, one] = nearest + step * number

    def place_at(self, host: str) -> Place | None:
        """Who has this address: a member, or the controller."""
        return self.by_host.get(host)

    def delay(self, one: Place, other: Place) -> float:
        """Seconds, one way."""
        if one.zone == other.zone:
            seconds = WITHIN_ZONE
        elif one.region == other.region:
            seconds = BETWEEN_ZONES
        else:
            seconds = self.region_delays[one.region, other.region]
        return seconds * self.world.delay_factor

    def members_of(self, zone: str = "", region: str = "", real: bool | None = None) -> list[str]:
        """Names in their order, of all that fit."""
        return [
            place.name
            for place in self.places.values()
            if zone in ("", place.zone) and region in ("", place.region) and real in (None, place.real)
        ]

    def seeds(self) -> list[str]:
        """Names of the members that others ask at their start: one in each of several regions."""
        chosen: dict[str, str] = {}
        for place in self.places.values():
            if not place.real:
                chosen.setdefault(place.region, place.name)
        return list(chosen.values())[:SEEDS]
