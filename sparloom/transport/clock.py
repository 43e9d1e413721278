"""The steady clock, as a timedelta."""

import time
from datetime import timedelta


def monotonic():
    """Time on the steady clock; the time of day is never asked.

    >>> monotonic() <= monotonic()
    True
    """
    return timedelta(seconds=time.monotonic())
