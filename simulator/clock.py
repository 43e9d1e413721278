"""Simulated time: callbacks that run in the order of their due times."""

import heapq
from datetime import timedelta
from itertools import count

MS = timedelta(milliseconds=1)


class Clock:
    """A simulated clock; its time advances only while it is run.

    >>> clock, called = Clock(), []
    >>> clock.at(5 * MS, lambda: called.append("late")); clock.at(MS, lambda: called.append("soon"))
    >>> clock.run(10); called, clock.now
    (['soon', 'late'], datetime.timedelta(microseconds=10000))
    """

    def __init__(self):
        self.now, self.sequence, self.scheduled = 0 * MS, count(), []

    def at(self, delay, callback):
        """Schedule ``callback`` after a delay; callbacks due at the same time run in the order of their scheduling."""
        heapq.heappush(self.scheduled, (self.now + delay, next(self.sequence), callback))

    def run(self, ms):
        """Advance the time by a number of ms."""
        self.run_for(ms * MS)

    def run_for(self, duration):
        """Advance the time by a duration, and run the callbacks due within it."""
        end = self.now + duration
        while self.scheduled and self.scheduled[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.scheduled)
            callback()
        self.now = end
