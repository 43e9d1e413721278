"""What became of the requests that this router has read: one count for each way to end."""

from collections import Counter
from enum import Enum


class Outcome(Enum):
    """How a request ended here."""

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
    """Counts of outcomes; each request that was read whole is counted once.

    >>> outcomes = Outcomes(); outcomes.add(Outcome.ANSWERED); outcomes.figures()
    {'answered': 1}
    """

    def __init__(self):
        self.counts = Counter()

    def add(self, outcome):
        """Counts a request that has ended."""
        self.counts[outcome] += 1

    def figures(self):
        """The counts by their names."""
        return {outcome.value: count for outcome, count in self.counts.items()}
