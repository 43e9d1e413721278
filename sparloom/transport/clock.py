"""The monotonic clock as a timedelta, and the wall clock as an integer."""

from __future__ import annotations

import time
from datetime import timedelta


def monotonic() -> timedelta:
    """Return the time of the system's monotonic clock.

    Decisions use this clock, because the wall clock can be set at any moment.

    Examples
    --------
    >>> monotonic() <= monotonic()
    True
    """
    return timedelta(seconds=time.monotonic())


def wall_clock_us() -> int:
    """Return the wall clock in microseconds since 1970; it can jump, so no decision depends on it alone.

    Examples
    --------
    >>> wall_clock_us() > 1_600_000_000_000_000
    True
    """
    return time.time_ns() // 1000


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since 1970; see ``wall_clock_us``.

    Examples
    --------
    >>> wall_clock_ms() > 1_600_000_000_000
    True
    """
    return wall_clock_us() // 1000
