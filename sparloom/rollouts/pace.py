"""Measures the pace of answers and compares it with the old version's recent pace on the same route. No I/O.

The pace of a stream is the mean time between two chunks. Unlike the time to the
first chunk, it does not depend on how much of the prompt is in a runner's cache,
and the caches of a new version's runners are still empty. The pace of an answer
that is not a stream is its total latency.
"""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from datetime import timedelta

# An answer is slow if its pace exceeds this multiple of the old version's median.
SLOW_FACTOR = 2.5
# Minimum number of chunks from which the pace of a stream is computed.
MINIMUM_CHUNKS = 3
# Number of recent paces per route that the median is computed from.
MAXIMUM_SAMPLES = 64
# Minimum number of recent paces per route for a median.
MINIMUM_SAMPLES = 8


def measure_pace(
    sent_at: timedelta, first_chunk_at: timedelta | None, last_chunk_at: timedelta | None, chunks: int, is_stream: bool
) -> timedelta | None:
    """Return the pace of an answer so far; None while it can't be computed.

    Parameters
    ----------
    sent_at
        When the request was sent.
    first_chunk_at, last_chunk_at, chunks
        When the first and the last chunk arrived, and the number of chunks.
    is_stream
        Whether the answer is a stream.

    >>> from datetime import timedelta
    >>> second = timedelta(seconds=1)
    >>> measure_pace(0 * second, 5 * second, 9 * second, 3, True)
    datetime.timedelta(seconds=2)
    >>> measure_pace(0 * second, 5 * second, 9 * second, 3, False)
    datetime.timedelta(seconds=9)
    """
    if first_chunk_at is None or last_chunk_at is None:
        return None
    if not is_stream:
        return last_chunk_at - sent_at
    return (last_chunk_at - first_chunk_at) / (chunks - 1) if chunks >= MINIMUM_CHUNKS else None


@define(slots=True)
class PaceBaseline:
    """The recent paces of the old version's answers, by route.

    >>> from datetime import timedelta
    >>> baseline, ms = PaceBaseline(), timedelta(milliseconds=1)
    >>> for _ in range(8): baseline.add("r", 30 * ms)
    >>> baseline.is_slow("r", 70 * ms), baseline.is_slow("r", 80 * ms), baseline.is_slow("q", 80 * ms)
    (False, True, None)
    """

    _paces_s: dict[str, deque[float]] = field(factory=dict)

    def add(self, route: str, pace: timedelta) -> None:
        """Record the pace of an answer of the old version."""
        self._paces_s.setdefault(route, deque(maxlen=MAXIMUM_SAMPLES)).append(pace.total_seconds())

    def is_slow(self, route: str, pace: timedelta) -> bool | None:
        """Return whether a pace is slow compared with the old version; None if there are too few samples."""
        samples_s = self._paces_s.get(route, ())
        if len(samples_s) < MINIMUM_SAMPLES:
            return None
        return pace.total_seconds() > median(samples_s) * SLOW_FACTOR
