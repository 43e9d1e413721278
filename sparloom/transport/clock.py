"""The monotonic clock, as a timedelta."""

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
