"""The true time, from wall clocks that may jump and monotonic clocks that don't.

The primary takes the median of the wall clocks that routers tell, each against
its own monotonic clock: a jump on fewer than half of the machines moves
nothing. Routers take the primary's time over, by the quickest of their last
exchanges. All times are in microseconds, whole numbers.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from attrs import define, field

MICROSECOND = timedelta(microseconds=1)
# Of so many exchanges the quickest one counts.
RECENT_EXCHANGES = 12
# What a router told of its wall clock longer ago doesn't count.
OFFSET_VALID = timedelta(seconds=30)


def microseconds(time: timedelta) -> int:
    """Return a time as a whole number of microseconds.

    >>> microseconds(timedelta(milliseconds=2))
    2000
    """
    return time // MICROSECOND


def window_number(true_us: int, length: timedelta) -> int:
    """Return the number of the window that a moment lies in; window k begins k times its length after 1970 began.

    >>> window_number(10_000_000, timedelta(seconds=5)), window_number(9_999_999, timedelta(seconds=5))
    (2, 1)
    """
    return true_us // microseconds(length)


@define(slots=True)
class RouterClock:
    """A router's view of the true time.

    Before the first exchange it is the machine's wall clock as it was at the
    start of the process: a later jump changes nothing.

    Parameters
    ----------
    now, wall_us
        The monotonic and the wall clock at the start.

    >>> clock, second = RouterClock(timedelta(seconds=1), 50_000_000), timedelta(seconds=1)
    >>> clock.true_us(2 * second)
    51000000
    >>> clock.on_exchange(sent_at=3 * second, now=3.2 * second, true_us=62_000_000)
    >>> clock.true_us(4 * second), clock.round_trip_us
    (62900000, 200000)
    """

    now: timedelta
    wall_us: int
    _offset_us: int = field(init=False)
    _exchanges: deque[tuple[int, int]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._offset_us = self.wall_us - microseconds(self.now)
        self._exchanges = deque(maxlen=RECENT_EXCHANGES)

    @property
    def round_trip_us(self) -> int:
        """The quickest of the last exchanges; 0 before the first."""
        return min(self._exchanges)[0] if self._exchanges else 0

    def on_exchange(self, sent_at: timedelta, now: timedelta, true_us: int) -> None:
        """Take the true time from a reply that came now to what was sent at ``sent_at``."""
        round_trip = max(0, microseconds(now - sent_at))
        self._exchanges.append((round_trip, true_us + round_trip // 2 - microseconds(now)))
        self._offset_us = min(self._exchanges)[1]

    def forget_exchanges(self) -> None:
        """Another collector replies from now on, whose time may differ a little; the offset holds until it does."""
        self._exchanges.clear()

    def true_us(self, now: timedelta) -> int:
        """Return the true time at a moment of the monotonic clock."""
        return microseconds(now) + self._offset_us


@define(slots=True)
class FleetClock:
    """The primary's view of the true time: the median of the wall clocks that it knows of.

    Parameters
    ----------
    now, wall_us
        The monotonic and the wall clock at the start; the own wall clock counts as one of them.

    >>> clock, second = FleetClock(timedelta(0), 10_000_000), timedelta(seconds=1)
    >>> clock.true_us(second)
    11000000
    >>> for node in "ab":
    ...     clock.on_report(node, second, 13_000_000, 0)
    >>> clock.true_us(second)
    13000000
    """

    now: timedelta
    wall_us: int
    _own_offset_us: int = field(init=False)
    _offsets: dict[str, tuple[int, timedelta]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._own_offset_us = self.wall_us - microseconds(self.now)

    def on_report(self, node: str, now: timedelta, wall_us: int, round_trip_us: int) -> None:
        """Take the wall clock of a node from a report that came now."""
        self._offsets[node] = (wall_us + round_trip_us // 2 - microseconds(now), now)

    def true_us(self, now: timedelta) -> int:
        """Return the true time at a moment of the monotonic clock."""
        return microseconds(now) + self._median(now)

    def _median(self, now: timedelta) -> int:
        self._offsets = {node: told for node, told in self._offsets.items() if now - told[1] <= OFFSET_VALID}
        offsets = sorted([self._own_offset_us, *(offset for offset, _ in self._offsets.values())])
        # The lower of two in the middle; the library's median would load much else at each start.
        return offsets[(len(offsets) - 1) // 2]
