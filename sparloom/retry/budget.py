"""Retry budget of one service at one node: a sliding window of requests and retries."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from attrs import define, field

# Resolution of the sliding window: requests are counted per 1/40 of it.
TICKS_PER_WINDOW = 40
# Number of windows over which the largest fleet size counts, so that the nodes' shares
# don't add up to more than the slack while a node joins.
FLEET_SIZE_WINDOWS = 2


@define(slots=True)
class _Tick:
    """Requests received within one tick of the window."""

    started_at: timedelta
    count: int


@define(slots=True)
class RetryBudget:
    """Retries of one service within a sliding window.

    A node may spend ``margin`` times the sum of two parts: ``ratio`` times the
    requests that it received itself, and an equal share of the slack. The first
    part adds up over all nodes without coordination.

    A node that starts doesn't know the retries of its previous instances. During
    its first window its share of the slack is therefore limited to what the
    margin leaves free, and grows linearly from zero. After that window the
    retries of previous instances no longer count.

    The slack is divided by the largest number of nodes observed within two
    windows, because nodes learn of a new one at different times and must not
    spend more than the slack together.

    Attributes:
        window: Length of the sliding window.
        ratio: Retries per request received.
        slack: Retries per window that the whole fleet may send beyond the ratio.
        started_at: When this node's instance started.
        margin: Fraction of the budget that may be spent.
        requests: Requests received within the window, per tick, oldest first.
        total: Number of requests received within the window.
        spent: When each retry within the window was sent, oldest first.
        fleet_sizes: (time, number of nodes) observations of the last two windows, oldest first.

    >>> budget = RetryBudget(timedelta(seconds=10), 0.2, 0, timedelta(0))
    >>> budget.allows(timedelta(0), 1)
    False
    >>> budget.on_request(timedelta(0), 20)
    >>> budget.allows(timedelta(0), 1)
    True
    """

    window: timedelta
    ratio: float
    slack: float
    started_at: timedelta
    margin: float = 0.7
    requests: deque[_Tick] = field(factory=deque)
    total: int = 0
    spent: deque[timedelta] = field(factory=deque)
    fleet_sizes: deque[tuple[timedelta, int]] = field(factory=deque)

    def _expire(self, now: timedelta) -> None:
        while self.requests and now - self.requests[0].started_at > self.window:
            self.total -= self.requests.popleft().count
        while self.spent and now - self.spent[0] > self.window:
            self.spent.popleft()
        while self.fleet_sizes and now - self.fleet_sizes[0][0] > FLEET_SIZE_WINDOWS * self.window:
            self.fleet_sizes.popleft()

    def on_request(self, now: timedelta, count: int = 1) -> None:
        """Counts requests received from clients.

        >>> budget = RetryBudget(timedelta(seconds=1), 0.2, 0, timedelta(0))
        >>> budget.on_request(timedelta(0))
        >>> budget.total
        1
        """
        if self.requests and now - self.requests[-1].started_at < self.window / TICKS_PER_WINDOW:
            self.requests[-1].count += count
        else:
            self.requests.append(_Tick(now, count))
        self.total += count

    def _slack_per_node(self, now: timedelta, nodes: int) -> float:
        newest = self.fleet_sizes[-1] if self.fleet_sizes else None
        if newest is None or newest[1] != nodes or now - newest[0] > self.window / 10:
            self.fleet_sizes.append((now, nodes))
        largest = max(size for _, size in self.fleet_sizes)
        age = (now - self.started_at) / self.window
        return self.slack / (largest + 1) * (1.0 if age > 1 else age * (1 / self.margin - 1))

    def allows(self, now: timedelta, nodes: int) -> bool:
        """Returns whether the budget allows one more retry.

        Args:
            now: The current monotonic time.
            nodes: The number of nodes. The slack is divided by one more, which leaves one share unused.

        >>> RetryBudget(timedelta(seconds=10), 0.0, 40, timedelta(0)).allows(timedelta(seconds=10), 1)
        True
        """
        self._expire(now)
        return len(self.spent) + 1 <= self.margin * (self.ratio * self.total + self._slack_per_node(now, nodes))

    def spend(self, now: timedelta) -> None:
        """Records a retry that is about to be sent.

        >>> budget = RetryBudget(timedelta(seconds=1), 0.2, 0, timedelta(0))
        >>> budget.spend(timedelta(0))
        >>> len(budget.spent)
        1
        """
        self.spent.append(now)
