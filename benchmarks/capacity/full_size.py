"""The deployment size that the page is computed for: figures of the operators, and assumptions."""

from __future__ import annotations

from dataclasses import dataclass

DAY = 86_400.0  # seconds


@dataclass(frozen=True, slots=True)
class FullSize:
    """The operators' figures."""

    dispatchers: int = 1_500
    events: float = 360_000.0  # per second, of all dispatchers
    destinations: int = 370_000
    down_share: float = 0.018
    backlog: float = 29e9  # pending messages, of all dispatchers
    regions: int = 6
    zones: int = 15
    changes: float = 2_700.0  # of configuration, per day
    in_force_within: float = 15.0  # seconds
    control_core: float = 0.031  # fraction of a core, per dispatcher
    control_memory: float = 32e6  # bytes, per dispatcher
    control_bytes: float = 6e3  # bytes per second, per dispatcher
    control_machines: int = 19
    failed_machines: int = 2  # on an average day
    restarted_machines: int = 340  # per day

    @property
    def events_per_dispatcher(self) -> float:
        """Events per second of one dispatcher."""
        return self.events / self.dispatchers

    @property
    def pending_per_dispatcher(self) -> float:
        return self.backlog / self.dispatchers

    @property
    def destinations_down(self) -> float:
        """Number of destinations that are down at any time."""
        return self.destinations * self.down_share

    @property
    def changes_per_second(self) -> float:
        return self.changes / DAY

    @property
    def event_interval(self) -> float:
        """Seconds between two events of one destination at one dispatcher."""
        return self.dispatchers * self.destinations / self.events

    @property
    def dispatchers_per_zone(self) -> float:
        """Number of dispatchers in one zone."""
        return self.dispatchers / self.zones

    @property
    def dispatchers_per_region(self) -> float:
        """Number of dispatchers in one region."""
        return self.dispatchers / self.regions


# Assumed: the operators gave no figure.
RACK_DISPATCHERS = 20  # dispatchers behind one rack or switch
VIEW_PERIOD = 1.0  # seconds; the default of [fleet] period
DESTINATION_RATE = 20.0  # calls per second that a destination accepts from all dispatchers
