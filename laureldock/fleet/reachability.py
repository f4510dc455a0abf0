"""How much of each site is heard: calls to its members within the last while, and those answered. No I/O."""

from __future__ import annotations

from collections import deque

from laureldock.fleet.messages import SiteReachability

# Three sites give each some three calls in ten periods: enough to tell a cut link from a lost datagram.
WINDOW_PERIODS = 10.0
MAX_REPORTED_SITES = 8  # told in a datagram


class ReachabilityTracker:
    def __init__(self, period: float) -> None:
        self.window = WINDOW_PERIODS * period
        self.calls_by_site: dict[
            str, deque[tuple[float, bool]]
        ] = {}  # when a call went, and whether it was answered
        self.reports: dict[str, tuple[float, tuple[SiteReachability, ...]]] = {}  # by others, and when

    def record_call(self, now: float, site: str, answered: bool) -> None:
        self.calls_by_site.setdefault(site, deque(maxlen=255)).append((now, answered))

    def own_report(self, now: float) -> tuple[SiteReachability, ...]:
        """For datagrams: the sites called of late."""
        report = []
        for site in sorted(self.calls_by_site):
            calls = self.calls_by_site[site]
            while calls and calls[0][0] < now - self.window:
                calls.popleft()
            if calls:
                report.append(SiteReachability(site, len(calls), sum(answered for _, answered in calls)))
            else:
                del self.calls_by_site[site]
        return tuple(report[:MAX_REPORTED_SITES])

    def record_report(self, now: float, name: str, reports: tuple[SiteReachability, ...]) -> None:
        self.reports[name] = (now, reports)

    def forget(self, name: str) -> None:
        self.reports.pop(name, None)

    def answered_shares(self, now: float, own_name: str) -> dict[str, dict[str, float]]:
        """Of each site: who heard what share of the calls to it, as told within the span."""
        report: dict[str, dict[str, float]] = {}
        fresh = {name: reports for name, (at, reports) in self.reports.items() if at >= now - self.window}
        for name, reports in [(own_name, self.own_report(now)), *sorted(fresh.items())]:
            for each in reports:
                report.setdefault(each.site, {})[name] = each.answered / each.calls if each.calls else 0.0
        return report
