"""Whether to retry after a failed attempt, or how to answer the client."""

from __future__ import annotations

from datetime import timedelta

from attrs import define

from .verdict import NOT_RUN, Verdict


@define(frozen=True, slots=True)
class RetryContext:
    """What is known when an attempt has failed.

    Attributes:
        idempotent: Whether the request may run more than once.
        max_attempts: Attempts that the route allows.
        attempts: Attempts so far.
        verdict: Whether the request may have run; of several attempts the worst.
        response_started: Whether the client has received a part of the response.
        time_left: Until the request's deadline.
        within_budget: Whether the retry budget allows another attempt.
        has_alternatives: Whether there is a runner that was not tried yet.
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
        status: 503 (with Retry-After) if the request did not run, else 502, or 504
            after the deadline; 0 where the response has started.
        truncate: Whether to close the connection, since the response has started.
    """

    status: int
    truncate: bool = False


def next_step(context: RetryContext) -> Retry | GiveUp:
    """The step after an attempt that brought no complete response.

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
    permitted = context.attempts < context.max_attempts and context.within_budget and context.has_alternatives
    if retryable and permitted and context.time_left > timedelta(0):
        return Retry()
    if context.response_started:
        return GiveUp(0, truncate=True)
    if context.verdict is NOT_RUN:
        return GiveUp(503)
    return GiveUp(502 if context.time_left > timedelta(0) else 504)
