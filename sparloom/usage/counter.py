"""A router's counts of usage: what began, what the collector has taken in, what is to be told next. No I/O.

A report holds what was counted since the last one that the collector is known
to have: a lost report is contained in the next one, and a repeated one is
recognised by its number. Counts are held until their window is decided, so
that another collector can be told all of them.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field

from .records import UsageEntry

if TYPE_CHECKING:
    Counts = Counter[tuple[int, str]]

# Beyond so many windows that nobody decides, the oldest are given up.
MAXIMUM_WINDOWS = 720
# In one datagram.
MAXIMUM_ENTRIES = 1000


# A router remembers what it has told so many collectors: the primary may change there and back.
MAXIMUM_COLLECTORS = 4


@define(slots=True)
class _Told:
    """What one collector is known to have taken in: all counts of a report and those before it."""

    base: int = 0
    counts: Counts = field(factory=Counter)


@define(slots=True)
class UsageCounter:
    """Counts by (window, tenant).

    Attributes
    ----------
    collector_id
        The collector that replied last; 0 before the first reply.
    decided_through
        Of this window and those before it nothing is counted any more.
    late
        How many requests began in a window that was decided already.

    >>> counter = UsageCounter()
    >>> counter.add(7, "a"); counter.add(7, "a")
    >>> sequence, entries = counter.next_report()
    >>> sequence, [(entry.window, entry.tenant, entry.count) for entry in entries]
    (1, [(7, 'a', 2)])
    >>> counter.on_reply(collector_id=5, sequence=1, decided_through=0)
    >>> counter.next_report()[0]
    2
    >>> counter.on_reply(collector_id=5, sequence=2, decided_through=0)
    >>> counter.next_report(), counter.base
    ((3, []), 2)
    """

    collector_id: int = 0
    decided_through: int = 0
    late: int = 0
    _sequence: int = 0
    _counts: Counts = field(factory=Counter)
    _told: dict[int, _Told] = field(factory=dict)
    # The entries of the newest report, until the collector that it was made for has it.
    _last_entries: Counts | None = None

    def _present(self) -> _Told:
        """What the present collector is known to have."""
        return self._told.setdefault(self.collector_id, _Told())

    @property
    def base(self) -> int:
        """The report that the present collector was last known to have taken in; 0 for none."""
        return self._present().base

    def add(self, window: int, tenant: str) -> None:
        """Count one request of a tenant that began in a window."""
        if window <= self.decided_through:
            self.late += 1
            return
        self._counts[window, tenant] += 1

    def next_report(self) -> tuple[int, list[UsageEntry]]:
        """Return the number of the next report, and what was counted since ``base``."""
        self._sequence += 1
        told = self._present().counts
        # The oldest windows are decided first.
        changed = sorted(key for key, count in self._counts.items() if count > told[key])[:MAXIMUM_ENTRIES]
        entries = Counter({key: self._counts[key] - told[key] for key in changed})
        self._last_entries = entries
        return self._sequence, [UsageEntry(window, tenant, count) for (window, tenant), count in entries.items()]

    def on_reply(self, collector_id: int, sequence: int, decided_through: int) -> None:
        """Take note of what a collector has; ``sequence`` is the newest report of this process that it took in.

        Only a reply to the newest report moves the base: so a collector meets
        no base but that of the last report that it took in, or that report.
        """
        if collector_id != self.collector_id:
            self._change_collector(collector_id)
        elif sequence == self._sequence and self._last_entries is not None:
            told = self._present()
            told.counts.update(self._last_entries)
            told.base = sequence
            self._last_entries = None
        self.decided_through = max(self.decided_through, decided_through)
        self._forget_decided()

    def _change_collector(self, collector_id: int) -> None:
        """The next reports go to another collector, on top of what that was told before."""
        # It becomes the last one of those that are remembered.
        self._told[collector_id] = self._told.pop(collector_id, _Told())
        while len(self._told) > MAXIMUM_COLLECTORS:
            del self._told[next(iter(self._told))]
        # The newest report was counted from another base.
        self.collector_id, self._last_entries = collector_id, None

    def _forget_decided(self) -> None:
        windows = sorted({window for window, _ in self._counts})
        oldest = windows[-MAXIMUM_WINDOWS] if len(windows) > MAXIMUM_WINDOWS else 0
        first = max(self.decided_through + 1, oldest)
        if not windows or windows[0] >= first:
            return
        self._counts = _from_window(self._counts, first)
        if self._last_entries is not None:
            self._last_entries = _from_window(self._last_entries, first)
        for told in self._told.values():
            told.counts = _from_window(told.counts, first)


def _from_window(counts: Counts, first: int) -> Counts:
    return Counter({key: count for key, count in counts.items() if key[0] >= first})
