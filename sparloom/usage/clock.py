"""The true time, estimated from wall clocks, which may jump, and monotonic clocks, which do not.

``FleetClock`` is the primary's estimate: the median of the offsets between the
routers' reported wall clocks and its own monotonic clock. A jump on fewer than
half of the machines does not change it. ``RouterClock`` is a router's estimate:
it adopts the primary's time from the recent exchange with the shortest round
trip. All times are integers in microseconds.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from attrs import define, field

MICROSECOND = timedelta(microseconds=1)
# Number of recent exchanges of which the one with the shortest round trip sets the clock.
RECENT_EXCHANGES = 12
# A router's reported wall clock is ignored after this time.
MAX_OFFSET_AGE = timedelta(seconds=30)


def microseconds(time: timedelta) -> int:
    """Return a duration as an integer number of microseconds.

    >>> microseconds(timedelta(milliseconds=2))
    2000
    """
    return time // MICROSECOND


def window_number(true_us: int, length: timedelta) -> int:
    """Return the number of the window that contains a time; window k begins k window lengths after the Unix epoch.

    >>> window_number(10_000_000, timedelta(seconds=5)), window_number(9_999_999, timedelta(seconds=5))
    (2, 1)
    """
    return true_us // microseconds(length)


@define(slots=True)
class RouterClock:
    """A router's estimate of the true time.

    Before the first exchange it follows the machine's wall clock as read when
    the process started, so a later jump of the wall clock has no effect.

    Parameters
    ----------
    now, wall_us
        The monotonic and the wall clock when the process started.

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
        """The shortest round trip of the recent exchanges; 0 before the first exchange."""
        return min(self._exchanges)[0] if self._exchanges else 0

    def on_exchange(self, sent_at: timedelta, now: timedelta, true_us: int) -> None:
        """Update the clock from a reply received now to a report sent at ``sent_at``."""
        round_trip = max(0, microseconds(now - sent_at))
        self._exchanges.append((round_trip, true_us + round_trip // 2 - microseconds(now)))
        self._offset_us = min(self._exchanges)[1]

    def clear_exchanges(self) -> None:
        """Drop the recent exchanges after a change of collector, whose time may differ; the offset remains in use."""
        self._exchanges.clear()

    def true_us(self, now: timedelta) -> int:
        """Return the true time at a monotonic time."""
        return microseconds(now) + self._offset_us


@define(slots=True)
class FleetClock:
    """The primary's estimate of the true time: the median of the routers' wall clocks and its own.

    Parameters
    ----------
    now, wall_us
        The primary's monotonic and wall clock when the process started.

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
        """Record a node's wall clock from a report received now."""
        self._offsets[node] = (wall_us + round_trip_us // 2 - microseconds(now), now)

    def true_us(self, now: timedelta) -> int:
        """Return the true time at a monotonic time."""
        return microseconds(now) + self._median(now)

    def _median(self, now: timedelta) -> int:
        self._offsets = {node: sample for node, sample in self._offsets.items() if now - sample[1] <= MAX_OFFSET_AGE}
        offsets = sorted([self._own_offset_us, *(offset for offset, _ in self._offsets.values())])
        # Lower median. The statistics module is not used because it loads many other modules at each start.
        return offsets[(len(offsets) - 1) // 2]
