"""Responses that the router itself generates when it has none from a backend to relay."""

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
# Retry-After of a request whose body there was no memory for.
RETRY_AFTER_UNREAD_S = "0.2"
# The default Retry-After as a fraction of the route's latency target.
RETRY_AFTER_FRACTION = 1 / 16


def refusal_status(step: GiveUp, worst_verdict: Verdict) -> int:
    """Return the status code of the response to a request that is given up.

    503 promises that the request did not run, so it is used only if this is true of every attempt.
    """
    if step.status == UNAVAILABLE and worst_verdict is not NOT_RUN:
        return BAD_GATEWAY
    return step.status


def refusal_response(status: int, route: Route, retry_after: timedelta) -> web.Response:
    """Return an empty response; a 503 has a Retry-After header of at least ``retry_after``."""
    headers = {}
    if status == UNAVAILABLE:
        seconds = max(default_retry_after_s(route), retry_after.total_seconds())
        headers["Retry-After"] = f"{seconds:.2f}"
    return web.Response(status=status, headers=headers, text="")


def default_retry_after_s(route: Route) -> float:
    """Return the default Retry-After of a refused request, in seconds."""
    return max(MINIMUM_RETRY_AFTER_S, route.target.total_seconds() * RETRY_AFTER_FRACTION)


def refusal_outcome(status: int) -> Outcome:
    """Return the outcome of a request that was given up with this status code."""
    return Outcome.REFUSED if status == UNAVAILABLE else Outcome.FAILED


def closing_response(status: int) -> web.Response:
    """Return a response after which the connection is closed, because the request was not read completely."""
    headers = {"Retry-After": RETRY_AFTER_UNREAD_S} if status == UNAVAILABLE else None
    response = web.Response(status=status, headers=headers)
    response.force_close()
    return response
