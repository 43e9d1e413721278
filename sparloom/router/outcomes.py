"""How requests ended that matched a route: one count for each way to end."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class Outcome(Enum):
    """How a request ended here; the values are shown to operators."""

    ANSWERED = "answered"
    REFUSED = "refused"
    REFUSED_AT_END = "refused, since this router ends"
    FAILED = "failed"
    RUNNER_BROKE_OFF = "cut: the runner broke off"
    TIME_OVER = "cut: its time was over"
    BROKEN_OFF_AT_END = "cut: this router ends"
    CLIENT_LEFT = "the client left"
    UNANSWERED = "ended without an answer"


class Outcomes:
    """Counts of outcomes; each request that matched a route is counted once.

    A 404, 408, 413, 431 and the 503 of a router without a configuration are not counted.

    >>> outcomes = Outcomes()
    >>> outcomes.add(Outcome.ANSWERED)
    >>> outcomes.figures()
    {'answered': 1}
    """

    def __init__(self) -> None:
        self._counts: Counter[Outcome] = Counter()

    def add(self, outcome: Outcome) -> None:
        """Count a request that has ended."""
        self._counts[outcome] += 1

    def figures(self) -> dict[str, int]:
        """Return the counts by the outcomes' values."""
        return {outcome.value: count for outcome, count in self._counts.items()}
