"""Decides whether to retry a failed attempt, and otherwise which status the client gets."""

from __future__ import annotations

from datetime import timedelta

from attrs import define

from .verdict import NOT_RUN, Verdict


@define(frozen=True, slots=True)
class RetryContext:
    """State of a request after a failed attempt.

    Attributes:
        idempotent: Whether the request may run more than once.
        max_attempts: Maximum number of attempts that the route allows.
        attempts: Number of attempts so far.
        verdict: Whether the request may have run; the worst verdict of all attempts.
        response_started: Whether part of the response was sent to the client.
        time_left: Time until the request's deadline.
        within_budget: Whether the retry budget allows another attempt.
        has_alternatives: Whether an untried runner is available.
    """

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
    """Send the request to another runner."""


@define(frozen=True, slots=True)
class GiveUp:
    """Answer the client now.

    Attributes:
        status: 503 (with Retry-After) if the request did not run; otherwise 502, or
            504 after the deadline; 0 if the response has started.
        truncate: Whether to close the connection because the response has started.
    """

    status: int
    truncate: bool = False


def next_step(context: RetryContext) -> Retry | GiveUp:
    """Returns the next step after an attempt without a complete response.

    >>> from sparloom.retry.verdict import MAY_HAVE_RUN
    >>> rest = {"time_left": timedelta(1), "within_budget": True, "has_alternatives": True}
    >>> next_step(RetryContext(False, 2, 1, MAY_HAVE_RUN, **rest))
    GiveUp(status=502, truncate=False)
    >>> next_step(RetryContext(False, 2, 1, NOT_RUN, **rest))
    Retry()
    >>> next_step(RetryContext(True, 2, 1, MAY_HAVE_RUN, response_started=True, **rest))
    Retry()
    """
    retryable = context.idempotent or context.verdict is NOT_RUN
    allowed = context.attempts < context.max_attempts and context.within_budget and context.has_alternatives
    if retryable and allowed and context.time_left > timedelta(0):
        return Retry()
    if context.response_started:
        return GiveUp(0, truncate=True)
    if context.verdict is NOT_RUN:
        return GiveUp(503)
    return GiveUp(502 if context.time_left > timedelta(0) else 504)
