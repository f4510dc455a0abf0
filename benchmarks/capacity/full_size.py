"""The size that the page is worked out for, as the operators gave it, and what is assumed beside it."""

from __future__ import annotations

from dataclasses import dataclass

DAY = 86_400.0  # seconds


@dataclass(frozen=True, slots=True)
class FullSize:
    """The operators' figures."""

    dispatchers: int = 1_500
    events: float = 360_000.0  # a second, of all dispatchers
    destinations: int = 370_000
    down_share: float = 0.018
    backlog: float = 29e9  # owed mails, of all dispatchers
    regions: int = 6
    zones: int = 15
    changes: float = 2_700.0  # of configuration, a day
    in_force_within: float = 15.0  # seconds
    control_core: float = 0.031  # of a core, of each dispatcher
    control_memory: float = 32e6  # bytes, of each dispatcher
    control_bytes: float = 6e3  # a second, of each dispatcher
    control_machines: int = 19
    failed_machines: int = 2  # on an ordinary day
    restarted_machines: int = 340  # a day

    @property
    def events_each(self) -> float:
        """Events a second of one dispatcher."""
        return self.events / self.dispatchers

    @property
    def owed_each(self) -> float:
        return self.backlog / self.dispatchers

    @property
    def down(self) -> float:
        """Destinations that are down at any time."""
        return self.destinations * self.down_share

    @property
    def changes_a_second(self) -> float:
        return self.changes / DAY

    @property
    def between_events(self) -> float:
        """Seconds between two events of one destination at one dispatcher."""
        return self.dispatchers * self.destinations / self.events

    @property
    def zone(self) -> float:
        """Dispatchers of one zone."""
        return self.dispatchers / self.zones

    @property
    def region(self) -> float:
        """Dispatchers of one region."""
        return self.dispatchers / self.regions


# Assumed: the operators gave no figure.
RACK = 20  # dispatchers behind one rack or switch
VIEW_PERIOD = 1.0  # seconds; the default of [fleet] period
RATE = 20.0  # calls a second that a destination takes of all dispatchers
