"""A router's usage counts, and the reports of them to each collector. No I/O.

``UsageCounter`` counts requests by window and tenant. ``UsageChannel`` makes
the reports to one controller. A report contains the counts since the last
report that the collector is known to have applied: a lost report is included in
the next one, and a duplicate is recognised by its sequence number. Counts
remain until their window is decided, so that a new collector can get all of
them.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field

from .records import UsageEntry

if TYPE_CHECKING:
    Counts = Counter[tuple[int, str]]

# Limit of undecided windows; the oldest ones beyond it are dropped.
MAX_UNDECIDED_WINDOWS = 720
# Limit of entries in a report, which is one datagram.
MAX_REPORT_ENTRIES = 1000


@define(slots=True)
class UsageCounter:
    """Counts requests by (window, tenant).

    Attributes
    ----------
    counts
        The counts of the windows that are not decided.
    decided_through
        Windows up to this one are decided; their requests are no longer counted.
    late
        Number of requests that began in a window that was already decided.

    >>> counter = UsageCounter()
    >>> counter.add(7, "a"); counter.decide(7); counter.add(7, "a")
    >>> counter.counts, counter.late
    (Counter(), 1)
    """

    counts: Counts = field(factory=Counter)
    decided_through: int = 0
    late: int = 0

    def add(self, window: int, tenant: str) -> None:
        """Count one request of a tenant that began in a window."""
        if window <= self.decided_through:
            self.late += 1
            return
        self.counts[window, tenant] += 1

    def decide(self, through: int) -> None:
        """Drop the counts of the windows up to ``through``, which are decided."""
        self.decided_through = max(self.decided_through, through)
        windows = sorted({window for window, _ in self.counts})
        oldest = windows[-MAX_UNDECIDED_WINDOWS] if len(windows) > MAX_UNDECIDED_WINDOWS else 0
        self.counts = _from_window(self.counts, max(self.decided_through + 1, oldest))


@define(slots=True)
class UsageChannel:
    """The state of a router's reports to one controller.

    Attributes
    ----------
    collector_id
        The collector that replied last; 0 before the first reply. A restarted process is a new collector.
    base
        Sequence number of the last report that the collector is known to have applied; 0 for none.

    >>> counter, channel = UsageCounter(), UsageChannel()
    >>> counter.add(7, "a"); counter.add(7, "a")
    >>> sequence, entries = channel.next_report(counter)
    >>> sequence, [(entry.window, entry.tenant, entry.count) for entry in entries]
    (1, [(7, 'a', 2)])
    >>> channel.on_reply(collector_id=5, sequence=1)
    >>> channel.next_report(counter)[0]
    2
    >>> channel.on_reply(collector_id=5, sequence=2)
    >>> channel.next_report(counter), channel.base
    ((3, []), 2)
    """

    collector_id: int = 0
    base: int = 0
    _sequence: int = 0
    _acknowledged: Counts = field(factory=Counter)
    # The entries of the newest report until its collector acknowledges it; None afterwards.
    _last_entries: Counts | None = None

    def next_report(self, counter: UsageCounter) -> tuple[int, list[UsageEntry]]:
        """Return the sequence number of the next report, and the counts since ``base``."""
        self._sequence += 1
        self._acknowledged = _from_window(self._acknowledged, counter.decided_through + 1)
        # The oldest windows go first because they are decided first.
        changed = sorted(key for key, count in counter.counts.items() if count > self._acknowledged[key])[
            :MAX_REPORT_ENTRIES
        ]
        entries = Counter({key: counter.counts[key] - self._acknowledged[key] for key in changed})
        self._last_entries = entries
        return self._sequence, [UsageEntry(window, tenant, count) for (window, tenant), count in entries.items()]

    def on_reply(self, collector_id: int, sequence: int) -> None:
        """Process a reply to the newest report; ``sequence`` is the newest report that the collector has applied.

        Replies to earlier reports must not be passed in. Thus the base of each
        report is either the last applied report or the base of that report.
        """
        if collector_id != self.collector_id:
            # A new process at the address has none of the acknowledged counts. The newest report was for the old one.
            self.collector_id, self.base, self._last_entries = collector_id, 0, None
            self._acknowledged.clear()
        elif not sequence and self.base:
            # The collector has removed this router process, but its sums still include the acknowledged counts.
            self.base, self._last_entries = 0, None
        elif sequence == self._sequence and self._last_entries is not None:
            self._acknowledged.update(self._last_entries)
            self.base, self._last_entries = sequence, None


def _from_window(counts: Counts, first: int) -> Counts:
    if all(window >= first for window, _ in counts):
        return counts
    return Counter({key: count for key, count in counts.items() if key[0] >= first})
