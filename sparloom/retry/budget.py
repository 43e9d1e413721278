"""This node's sure share of the fleet's budget for further arrivals."""

from collections import deque
from datetime import timedelta

from attrs import define, field


@define(slots=True)
class RetryBudget:
    """Further arrivals of one service within a sliding window.

    A node spends a part of ``ratio`` times the asks that it took itself, which
    adds up over all nodes whoever they are, and an equal part of the slack.
    A node that starts doesn't know what its former lives spent. So within its
    first window it has only what the margin leaves of its part of the slack,
    building up from nothing; then nothing of a former life is in the window
    any more. The slack is shared among the most nodes told within two windows,
    so one that joins doesn't stretch the sum.

    >>> b = RetryBudget(timedelta(seconds=10), 0.2, 0, timedelta(0)); b.allows(timedelta(0), 1)
    False
    >>> b.on_request(timedelta(0), 20); b.allows(timedelta(0), 1)
    True
    """

    window: timedelta
    ratio: float
    slack: float
    born: timedelta
    margin: float = 0.7
    asks: deque = field(factory=deque)
    total: int = 0
    spent: deque = field(factory=deque)
    crowd: deque = field(factory=deque)

    def _trim(self, now):
        while self.asks and now - self.asks[0][0] > self.window:
            self.total -= self.asks.popleft()[1]
        while self.spent and now - self.spent[0] > self.window:
            self.spent.popleft()
        while self.crowd and now - self.crowd[0][0] > 2 * self.window:
            self.crowd.popleft()

    def on_request(self, now, n=1):
        """Counts asks taken from requesters.

        >>> b = RetryBudget(timedelta(seconds=1), 0.2, 0, timedelta(0)); b.on_request(timedelta(0)); b.total
        1
        """
        tick = self.window / 40
        if self.asks and now - self.asks[-1][0] < tick:
            self.asks[-1][1] += n
        else:
            self.asks.append([now, n])
        self.total += n

    def _share(self, now, nodes):
        if not self.crowd or self.crowd[-1][1] != nodes or now - self.crowd[-1][0] > self.window / 10:
            self.crowd.append((now, nodes))
        most = max(n for _, n in self.crowd)
        age = (now - self.born) / self.window
        return self.slack / (most + 1) * (1.0 if age > 1 else age * (1 / self.margin - 1))

    def allows(self, now, nodes):
        """Whether one more arrival fits, with that many nodes about.

        >>> RetryBudget(timedelta(seconds=10), 0.0, 40, timedelta(0)).allows(timedelta(seconds=10), 1)
        True
        """
        self._trim(now)
        return len(self.spent) + 1 <= self.margin * (self.ratio * self.total + self._share(now, nodes))

    def spend(self, now):
        """Counts a further arrival.

        >>> b = RetryBudget(timedelta(seconds=1), 0.2, 0, timedelta(0)); b.spend(timedelta(0)); len(b.spent)
        1
        """
        self.spent.append(now)
