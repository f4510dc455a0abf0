"""Reachability of sites: how many of the latest probes of a site's members were acknowledged. No I/O."""

from __future__ import annotations

from collections import deque

from laureldock.fleet.messages import SiteReachability

# With three sites, about three probes in ten periods go to each: enough to distinguish a cut link from a lost
# datagram.
WINDOW_PERIODS = 10.0
MAX_REPORTED_SITES = 8  # in a message header
MAX_COUNTED_PROBES = 255  # per site


class ReachabilityTracker:
    """The local member's probes by site, and the reports of other members on theirs. Times are seconds."""

    def __init__(self, period: float) -> None:
        self._window = WINDOW_PERIODS * period
        self._probes: dict[str, deque[tuple[float, bool]]] = {}  # by site: time, whether acknowledged
        self._reports: dict[str, tuple[float, tuple[SiteReachability, ...]]] = {}  # by member: time, report

    def record_probe(self, now: float, site: str, acknowledged: bool) -> None:
        """Record the outcome of a probe of a member of a site."""
        self._probes.setdefault(site, deque(maxlen=MAX_COUNTED_PROBES)).append((now, acknowledged))

    def own_report(self, now: float) -> tuple[SiteReachability, ...]:
        """Return the report for message headers, of the sites that were probed within the window."""
        report = []
        for site in sorted(self._probes):
            probes = self._probes[site]
            while probes and probes[0][0] < now - self._window:
                probes.popleft()
            if probes:
                report.append(
                    SiteReachability(site, len(probes), sum(acknowledged for _, acknowledged in probes))
                )
            else:
                del self._probes[site]
        return tuple(report[:MAX_REPORTED_SITES])

    def record_report(self, now: float, member: str, report: tuple[SiteReachability, ...]) -> None:
        """Store the report of another member."""
        self._reports[member] = (now, report)

    def forget(self, member: str) -> None:
        """Remove the report of a member."""
        self._reports.pop(member, None)

    def answered_fractions(self, now: float, own_name: str) -> dict[str, dict[str, float]]:
        """Return, by site and reporting member, the fraction of its probes acknowledged within the window."""
        fractions: dict[str, dict[str, float]] = {}
        recent = {name: report for name, (at, report) in self._reports.items() if at >= now - self._window}
        for name, report in [(own_name, self.own_report(now)), *sorted(recent.items())]:
            for each in report:
                fraction = each.answered / each.calls if each.calls else 0.0
                fractions.setdefault(each.site, {})[name] = fraction
        return fractions
