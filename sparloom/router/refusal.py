"""Responses that the router makes itself, in place of a backend's."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from sparloom.retry import NOT_RUN

from .outcomes import Outcome

if TYPE_CHECKING:
    from datetime import timedelta

    from sparloom.configuration import Route
    from sparloom.retry import GiveUp, Verdict

UNAVAILABLE = 503
BAD_GATEWAY = 502
MINIMUM_RETRY_AFTER_S = 0.02
# A client may come back after this part of its route's latency target.
RETRY_AFTER_PART = 1 / 16


def status_of(step: GiveUp, worst_verdict: Verdict) -> int:
    """Return the status with which to give up.

    503 promises that the request did not run, which no attempt may contradict.
    """
    if step.status == UNAVAILABLE and worst_verdict is not NOT_RUN:
        return BAD_GATEWAY
    return step.status


def refusal_response(status: int, route: Route, retry_after: timedelta) -> web.Response:
    """Return a response without a body; one with 503 names a time to come back, ``retry_after`` at least."""
    headers = {}
    if status == UNAVAILABLE:
        seconds = max(default_retry_after(route), retry_after.total_seconds())
        headers["Retry-After"] = f"{seconds:.2f}"
    return web.Response(status=status, headers=headers, text="")


def default_retry_after(route: Route) -> float:
    """Return after how many seconds a rejected client may come back."""
    return max(MINIMUM_RETRY_AFTER_S, route.target.total_seconds() * RETRY_AFTER_PART)


def outcome_of(status: int) -> Outcome:
    """Return how a request ended that was given up with a status."""
    return Outcome.REFUSED if status == UNAVAILABLE else Outcome.FAILED


def closing_response(status: int) -> web.Response:
    """Return a response after which the client's connection is closed, since its request was not read whole."""
    response = web.Response(status=status)
    response.force_close()
    return response
