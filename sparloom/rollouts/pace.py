"""How fast answers come, and how fast the old version's came lately on the same route. No I/O.

The pace of a stream is the time between two of its parts: unlike the time to
the first one it does not depend on how much of the prompt a runner has cached,
and a new version's runners have cached nothing yet. For an answer that is no
stream it is the whole time.
"""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from datetime import timedelta

# An answer is slow at so many times the old version's median.
SLOW_FACTOR = 2.5
# Of a stream with fewer parts the pace isn't known.
MINIMUM_PARTS = 3
# A median is of so many answers at most, and of so many at least.
REMEMBERED = 64
MINIMUM_REMEMBERED = 8


def pace_of(
    asked_at: timedelta, first_at: timedelta | None, last_at: timedelta | None, parts: int, streamed: bool
) -> timedelta | None:
    """Return an answer's pace so far; None while it isn't known.

    Parameters
    ----------
    asked_at
        When the request was sent.
    first_at, last_at, parts
        When the first and the last part came, and how many.
    streamed
        Whether it is a stream.

    >>> from datetime import timedelta
    >>> second = timedelta(seconds=1)
    >>> pace_of(0 * second, 5 * second, 9 * second, 3, True), pace_of(0 * second, 5 * second, 9 * second, 3, False)
    (datetime.timedelta(seconds=2), datetime.timedelta(seconds=9))
    """
    if first_at is None or last_at is None:
        return None
    if not streamed:
        return last_at - asked_at
    return (last_at - first_at) / (parts - 1) if parts >= MINIMUM_PARTS else None


@define(slots=True)
class PaceReference:
    """The paces of the old version's answers of late, by route.

    >>> from datetime import timedelta
    >>> reference, ms = PaceReference(), timedelta(milliseconds=1)
    >>> for _ in range(8): reference.add("r", 30 * ms)
    >>> reference.is_slow("r", 70 * ms), reference.is_slow("r", 80 * ms), reference.is_slow("q", 80 * ms)
    (False, True, None)
    """

    # In seconds.
    _paces: dict[str, deque[float]] = field(factory=dict)

    def add(self, route: str, pace: timedelta) -> None:
        """Note the pace of an answer of the old version."""
        self._paces.setdefault(route, deque(maxlen=REMEMBERED)).append(pace.total_seconds())

    def is_slow(self, route: str, pace: timedelta) -> bool | None:
        """Return whether a pace is several times that of the old version; None where that isn't known."""
        known = self._paces.get(route, ())
        if len(known) < MINIMUM_REMEMBERED:
            return None
        return pace.total_seconds() > median(known) * SLOW_FACTOR
