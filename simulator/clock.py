"""The simulated clock: things to do, in the order of their time."""

import heapq
from datetime import timedelta
from itertools import count

MS = timedelta(milliseconds=1)


class Clock:
    """Simulated time; it moves only when it is run.

    >>> c, seen = Clock(), []
    >>> c.at(5 * MS, lambda: seen.append("late")); c.at(MS, lambda: seen.append("soon"))
    >>> c.run(10); seen, c.now
    (['soon', 'late'], datetime.timedelta(microseconds=10000))
    """

    def __init__(self):
        self.now, self.tie, self.todo = 0 * MS, count(), []

    def at(self, delay, fn):
        """Calls ``fn`` after a delay; at the same time, in the order of asking."""
        heapq.heappush(self.todo, (self.now + delay, next(self.tie), fn))

    def run(self, ms):
        """Plays a number of ms."""
        self.run_for(ms * MS)

    def run_for(self, span):
        """Plays a span of time."""
        end = self.now + span
        while self.todo and self.todo[0][0] <= end:
            self.now, _, fn = heapq.heappop(self.todo)
            fn()
        self.now = end
