"""Counts the outcomes of requests that matched a route."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class Outcome(Enum):
    """How a request ended at this router; the values are shown to operators."""

    ANSWERED = "answered"
    REFUSED = "refused"
    REFUSED_ON_SHUTDOWN = "refused, since this router ends"
    FAILED = "failed"
    BACKEND_FAILED = "cut: the runner broke off"
    DEADLINE_EXCEEDED = "cut: its time was over"
    ABORTED_ON_SHUTDOWN = "cut: this router ends"
    CLIENT_DISCONNECTED = "the client left"
    NO_RESPONSE = "ended without an answer"


class Outcomes:
    """Counts of outcomes; each request that matched a route is counted once.

    Responses 404, 408, 413 and 431, and the 503 of a router without a configuration, are not counted.

    >>> outcomes = Outcomes()
    >>> outcomes.add(Outcome.ANSWERED)
    >>> outcomes.figures()
    {'answered': 1}
    """

    def __init__(self) -> None:
        self._counts: Counter[Outcome] = Counter()

    def add(self, outcome: Outcome) -> None:
        """Count the outcome of a request."""
        self._counts[outcome] += 1

    def figures(self) -> dict[str, int]:
        """Return the counts, keyed by the values of the outcomes."""
        return {outcome.value: count for outcome, count in self._counts.items()}
