"""Outcomes counted over a sliding window."""
from collections import deque
from datetime import timedelta

from attrs import define, field


@define(slots=True)
class Window:
    """Good and bad outcomes within ``span``, in eighths of it.

    >>> w = Window(timedelta(seconds=2)); w.note(timedelta(0), True); w.note(timedelta(seconds=1), False)
    >>> w.sums(timedelta(seconds=1)), w.sums(timedelta(seconds=2.5)), w.sums(timedelta(seconds=9))
    ((1, 1), (0, 1), (0, 0))
    """

    span: timedelta
    parts: deque = field(factory=deque)
    good: int = 0
    bad: int = 0

    def note(self, now, good):
        """Counts one outcome.

        >>> w = Window(timedelta(seconds=2)); w.note(timedelta(0), False); w.bad
        1
        """
        if not self.parts or now - self.parts[-1][0] >= self.span / 8:
            self.sums(now)
            self.parts.append([now, 0, 0])
        self.parts[-1][1 if good else 2] += 1
        self.good, self.bad = self.good + bool(good), self.bad + (not good)

    def sums(self, now):
        """(good, bad) within the span before ``now``.

        >>> Window(timedelta(seconds=2)).sums(timedelta(0))
        (0, 0)
        """
        while self.parts and now - self.parts[0][0] > self.span:
            _, g, b = self.parts.popleft()
            self.good, self.bad = self.good - g, self.bad - b
        return self.good, self.bad

    def clear(self):
        """Forgets all.

        >>> w = Window(timedelta(seconds=2)); w.note(timedelta(0), False); w.clear(); w.sums(timedelta(0))
        (0, 0)
        """
        self.parts.clear()
        self.good = self.bad = 0
