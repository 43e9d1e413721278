"""Tracks start requests that timed out, until none of them can still be carried out.

A runner may carry such a request out seconds later. Its deadline is not a
sufficient bound: a runner may judge lateness by the request's own deadline or
by its hold, which later calls extend. Two facts prove that a start will not be
carried out. First, a runner that has accepted the stop of a run rejects every
later start of that run. So a run never started if a list that was requested
after the accepted stop contains neither the run nor its end. Second, a start
that arrives after the hold has lapsed is late by both criteria, its own
deadline and the hold, as long as the hold is not extended again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .events import HoldAnswered
    from .runners import Run

# Interval between stop requests for an abandoned start.
STOP_INTERVAL_S = 0.4
# A start request is carried out within seconds or never; after this time it no longer needs to be stopped.
ABANDONED_START_LIFETIME_S = 30.0


def proves_never_started(run: Run, answer: HoldAnswered, list_requested_at: float) -> bool:
    """Return whether a runner's list proves that a run has not started and never will.

    Parameters
    ----------
    run
        A run that is listed neither as running nor as ended.
    answer
        The answer to the hold call, with the runner's list of runs.
    list_requested_at
        When the hold call was sent, in monotonic seconds.
    """
    return answer.complete and run.stop_confirmed_at is not None and list_requested_at > run.stop_confirmed_at


@define(slots=True)
class _AbandonedStart:
    """A start request that may still be carried out although its run was dropped; times are in monotonic seconds."""

    number: int
    dropped_at: float
    last_stop_at: float


@define(slots=True)
class AbandonedStarts:
    """Start requests to one runner that may still be carried out although their runs were dropped.

    The runs were dropped because the runner's hold had certainly lapsed. The
    hold must not be extended until, for each of them, the runner has accepted
    the stop or ``ABANDONED_START_LIFETIME_S`` has passed.

    >>> starts = AbandonedStarts(); starts.add("a", 1, now=0.0); list(starts.due(0.0)), bool(starts)
    ([('a', 1)], True)
    >>> starts.confirm_stopped("a", 1); bool(starts)
    False
    """

    _starts: dict[str, _AbandonedStart] = field(factory=dict)

    def __bool__(self) -> bool:
        return bool(self._starts)

    def add(self, task: str, number: int, now: float) -> None:
        """Add the start request of a run; it replaces an earlier one of the same task, whose number is lower."""
        self._starts[task] = _AbandonedStart(number, now, now - STOP_INTERVAL_S)

    def due(self, now: float) -> Iterator[tuple[str, int]]:
        """Yield tasks and run numbers to stop now, and drop requests older than ``ABANDONED_START_LIFETIME_S``."""
        for task, start in list(self._starts.items()):
            if now - start.dropped_at > ABANDONED_START_LIFETIME_S:
                del self._starts[task]
            elif now - start.last_stop_at >= STOP_INTERVAL_S:
                start.last_stop_at = now
                yield task, start.number

    def confirm_stopped(self, task: str, number: int) -> None:
        """Record that the runner has accepted the stop of a run."""
        start = self._starts.get(task)
        if start is not None and start.number <= number:
            del self._starts[task]
