"""What to do after an attempt has ended badly: a plan, made as data."""

from datetime import timedelta

from attrs import define

from .verdict import NOT_RUN, Verdict


@define(frozen=True, slots=True)
class RetryContext:
    """What is known when an attempt has ended."""

    idempotent: bool
    max_attempts: int
    attempts: int
    verdict: Verdict
    response_started: bool = False
    time_left: timedelta = timedelta(0)
    within_budget: bool = False
    has_alternatives: bool = False


@define(frozen=True, slots=True)
class Retry:
    """Try again, at another runner."""


@define(frozen=True, slots=True)
class GiveUp:
    """Answer now: 503 and a time to come back if it never ran, 502 or 504 otherwise, a cut once begun."""

    status: int
    cut: bool = False


def next_step(p):
    """The step after an attempt that brought no whole reply.

    >>> from sparloom.retry.verdict import MAY_HAVE_RUN
    >>> next_step(RetryContext(False, 2, 1, MAY_HAVE_RUN, time_left=timedelta(1), within_budget=True, has_alternatives=True))
    GiveUp(status=502, cut=False)
    >>> next_step(RetryContext(False, 2, 1, NOT_RUN, time_left=timedelta(1), within_budget=True, has_alternatives=True))
    Retry()
    >>> next_step(RetryContext(True, 2, 1, MAY_HAVE_RUN, response_started=True, time_left=timedelta(1), within_budget=True, has_alternatives=True))
    Retry()
    """
    may = p.idempotent or p.verdict is NOT_RUN
    if may and p.time_left > timedelta(0) and p.attempts < p.max_attempts and p.within_budget and p.has_alternatives:
        return Retry()
    if p.response_started:
        return GiveUp(0, cut=True)
    if p.verdict is NOT_RUN:
        return GiveUp(503)
    return GiveUp(502 if p.time_left > timedelta(0) else 504)
