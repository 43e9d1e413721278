"""The monotonic clock, as a timedelta, and the wall clock."""

from __future__ import annotations

import time
from datetime import timedelta


def monotonic() -> timedelta:
    """Time on the system's monotonic clock.

    No decision depends on the time of day, which may be set at any moment.

    Examples
    --------
    >>> monotonic() <= monotonic()
    True
    """
    return timedelta(seconds=time.monotonic())


def wall_clock_us() -> int:
    """The machine's time of day in microseconds since 1970; it may jump, and no decision rests on it alone.

    Examples
    --------
    >>> wall_clock_us() > 1_600_000_000_000_000
    True
    """
    return time.time_ns() // 1000


def wall_clock_ms() -> int:
    """The same in milliseconds.

    Examples
    --------
    >>> wall_clock_ms() > 1_600_000_000_000
    True
    """
    return wall_clock_us() // 1000
