"""How much of each site is heard: calls to its members within the last while, and those answered. No I/O."""

from __future__ import annotations

from collections import deque

from laureldock.fleet.messages import SiteReachability

# Three sites give each some three calls in ten periods: enough to tell a cut link from a lost datagram.
WINDOW_PERIODS = 10.0
MAX_REPORTED_SITES = 8  # told in a datagram


class ReachabilityTracker:
    def __init__(self, period: float) -> None:
        self.span = WINDOW_PERIODS * period
        self.sites: dict[str, deque[tuple[float, bool]]] = {}  # when a call went, and whether it was answered
        self.told: dict[str, tuple[float, tuple[SiteReachability, ...]]] = {}  # by others, and when

    def tried(self, now: float, site: str, answered: bool) -> None:
        self.sites.setdefault(site, deque(maxlen=255)).append((now, answered))

    def own(self, now: float) -> tuple[SiteReachability, ...]:
        """For datagrams: the sites called of late."""
        found = []
        for site in sorted(self.sites):
            calls = self.sites[site]
            while calls and calls[0][0] < now - self.span:
                calls.popleft()
            if calls:
                found.append(SiteReachability(site, len(calls), sum(answered for _, answered in calls)))
            else:
                del self.sites[site]
        return tuple(found[:MAX_REPORTED_SITES])

    def hear(self, now: float, name: str, told: tuple[SiteReachability, ...]) -> None:
        self.told[name] = (now, told)

    def forget(self, name: str) -> None:
        self.told.pop(name, None)

    def figures(self, now: float, me: str) -> dict[str, dict[str, float]]:
        """Of each site: who heard what share of the calls to it, as told within the span."""
        found: dict[str, dict[str, float]] = {}
        fresh = {name: told for name, (at, told) in self.told.items() if at >= now - self.span}
        for name, told in [(me, self.own(now)), *sorted(fresh.items())]:
            for each in told:
                found.setdefault(each.site, {})[name] = each.heard / each.tried if each.tried else 0.0
        return found
