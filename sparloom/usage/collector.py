"""``UsageCollector``: a controller's sums of the routers' usage reports, until their windows are decided. No I/O.

The primary and the controllers that may succeed it all collect, so that
reported counts survive the loss of both the router and the primary. Each count
is applied once: a report replaces the previous one if both have the same base,
and is added to it if the previous one is its base.
"""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .clock import FleetClock

if TYPE_CHECKING:
    from collections.abc import Collection

    from .records import ServiceLoad, UsageEntry, UsageReport

# Limit of undecided windows; the oldest ones beyond it are dropped.
MAX_UNDECIDED_WINDOWS = 720
# A router's reported load is ignored after this time.
MAX_LOAD_AGE = timedelta(seconds=10)
# A router process that has left the membership is removed after this time without a report.
REPORTER_EXPIRY = timedelta(seconds=60)


@define(slots=True)
class _Reporter:
    """The last applied report of one router process.

    Attributes
    ----------
    base, sequence, entries
        From the last applied report.
    complete_through_us
        True time up to which the process has reported all requests.
    loads
        The reported load by service.
    received_at
        Monotonic time at which the report was received.
    """

    base: int = 0
    sequence: int = 0
    entries: list[UsageEntry] = field(factory=list)
    complete_through_us: int = 0
    loads: list[ServiceLoad] = field(factory=list)
    received_at: timedelta = timedelta(0)


@define(slots=True)
class UsageCollector:
    """The usage sums of one controller process.

    Attributes
    ----------
    id
        Random, so that routers detect a new collector.
    clock
        The true time.
    decided_through
        The counts of the windows up to this one are decided and final.
    late
        Requests that were reported after their window was decided here.
    """

    id: int
    clock: FleetClock
    decided_through: int = 0
    late: int = 0
    _totals: dict[int, Counter[str]] = field(factory=dict)
    _reporters: dict[tuple[str, int], _Reporter] = field(factory=dict)

    def on_report(self, now: timedelta, report: UsageReport) -> int:
        """Apply a report; return the sequence number of the newest applied report of the router process, 0 for none."""
        self.clock.on_report(report.node, now, report.wall_us, report.round_trip_us)
        reporter = self._reporters.get((report.node, report.instance_id))
        if reporter is None and not report.base:
            reporter = self._reporters[report.node, report.instance_id] = _Reporter()
        if reporter is None or (report.base and report.collector_id != self.id):
            return 0
        self._apply(now, reporter, report)
        return reporter.sequence

    def _apply(self, now: timedelta, reporter: _Reporter, report: UsageReport) -> None:
        if report.sequence <= reporter.sequence:
            return
        if report.base == reporter.base:
            self._add(reporter.entries, -1)
        elif report.base != reporter.sequence:
            return
        self._add(report.entries, 1)
        reporter.base, reporter.sequence, reporter.entries = report.base, report.sequence, report.entries
        reporter.complete_through_us = max(reporter.complete_through_us, report.complete_through_us)
        reporter.loads, reporter.received_at = report.loads, now

    def _add(self, entries: list[UsageEntry], sign: int) -> None:
        for entry in entries:
            if entry.window <= self.decided_through:
                self.late += entry.count * sign
                continue
            self._totals.setdefault(entry.window, Counter())[entry.tenant] += entry.count * sign
        while len(self._totals) > MAX_UNDECIDED_WINDOWS:
            del self._totals[min(self._totals)]

    def counts(self, window: int) -> dict[str, int]:
        """Return the number of requests reported so far for a window, by tenant."""
        return {tenant: count for tenant, count in self._totals.get(window, Counter()).items() if count > 0}

    def is_complete(self, end_us: int, alive: Collection[tuple[str, int]]) -> bool:
        """Return whether all these router processes have reported all requests that began up to a true time."""
        return all(
            (reporter := self._reporters.get(key)) is not None and reporter.complete_through_us >= end_us
            for key in alive
        )

    def decide(self, through: int) -> None:
        """Drop the counts of the windows up to ``through``, which are decided."""
        if through <= self.decided_through:
            return
        self.decided_through = through
        self._totals = {window: counts for window, counts in self._totals.items() if window > through}
        for reporter in self._reporters.values():
            reporter.entries = [entry for entry in reporter.entries if entry.window > through]

    def remove_departed(self, alive: Collection[tuple[str, int]], now: timedelta) -> None:
        """Remove departed router processes without recent reports; their counts remain in the sums."""
        departed = [
            key
            for key, reporter in self._reporters.items()
            if key not in alive and now - reporter.received_at > REPORTER_EXPIRY
        ]
        for key in departed:
            del self._reporters[key]

    def has_recent_reports(self, now: timedelta, alive: Collection[tuple[str, int]]) -> bool:
        """Return whether there are live routers and all of them have reported within ``MAX_LOAD_AGE``."""
        recent = {key for key, reporter in self._reporters.items() if now - reporter.received_at <= MAX_LOAD_AGE}
        return bool(alive) and recent.issuperset(alive)

    def loads(self, now: timedelta) -> dict[str, list[ServiceLoad]]:
        """Return the loads that were reported within ``MAX_LOAD_AGE``, by service."""
        by_service: dict[str, list[ServiceLoad]] = {}
        for reporter in self._reporters.values():
            if now - reporter.received_at <= MAX_LOAD_AGE:
                for load in reporter.loads:
                    by_service.setdefault(load.service, []).append(load)
        return by_service
