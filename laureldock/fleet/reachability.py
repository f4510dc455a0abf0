"""Reachability of sites: how many of the latest probes of a site's members were answered. No I/O."""

from __future__ import annotations

from collections import deque

from laureldock.fleet.messages import SiteReachability

# Of three sites each gets some three probes in ten periods: enough to tell a cut link from a lost datagram.
WINDOW_PERIODS = 10.0
MAX_REPORTED_SITES = 8  # in the header of a message
MAX_COUNTED_CALLS = 255  # of one site


class ReachabilityTracker:
    """This member's own probes by site, and what other members reported of theirs. Times are seconds."""

    def __init__(self, period: float) -> None:
        self._window = WINDOW_PERIODS * period
        self._calls: dict[str, deque[tuple[float, bool]]] = {}  # by site: when, and whether it was answered
        self._reports: dict[str, tuple[float, tuple[SiteReachability, ...]]] = {}  # by member: when, and what

    def record_call(self, now: float, site: str, answered: bool) -> None:
        """Count a probe of a member of a site."""
        self._calls.setdefault(site, deque(maxlen=MAX_COUNTED_CALLS)).append((now, answered))

    def own_report(self, now: float) -> tuple[SiteReachability, ...]:
        """For the header of messages: sites probed within the window."""
        report = []
        for site in sorted(self._calls):
            calls = self._calls[site]
            while calls and calls[0][0] < now - self._window:
                calls.popleft()
            if calls:
                report.append(SiteReachability(site, len(calls), sum(answered for _, answered in calls)))
            else:
                del self._calls[site]
        return tuple(report[:MAX_REPORTED_SITES])

    def record_report(self, now: float, member: str, report: tuple[SiteReachability, ...]) -> None:
        """Keep what another member reported."""
        self._reports[member] = (now, report)

    def forget(self, member: str) -> None:
        """Drop what a member reported."""
        self._reports.pop(member, None)

    def answered_shares(self, now: float, own_name: str) -> dict[str, dict[str, float]]:
        """By site, then by reporting member: the share of its probes that was answered within the window."""
        shares: dict[str, dict[str, float]] = {}
        recent = {name: report for name, (at, report) in self._reports.items() if at >= now - self._window}
        for name, report in [(own_name, self.own_report(now)), *sorted(recent.items())]:
            for each in report:
                share = each.answered / each.calls if each.calls else 0.0
                shares.setdefault(each.site, {})[name] = share
        return shares
