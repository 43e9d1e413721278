"""HTTP handler for clients' job requests (``JobRequests``): forwards them to the job primary and returns its reply."""

from __future__ import annotations

import json
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from sparloom.scheduler.messages import JobAction, JobCall, JobOutcome, JobState, QueuePolicy
from sparloom.transport import monotonic

from .headers import time_remaining
from .job_channel import JobChannel, JobChannelError

if TYPE_CHECKING:
    from sparloom.configuration import Configuration, Route
    from sparloom.scheduler.messages import JobReply

    from .router_state import RouterState

JOB_ID_DIGITS = 16
RETRY_AFTER = {"Retry-After": "0.3"}
# Timeout of a request that states no deadline.
DEFAULT_TIMEOUT = timedelta(seconds=3)
# Time before the deadline by which a request is answered.
ANSWER_MARGIN = timedelta(milliseconds=60)
# Fraction of the remaining time for which the call to the primary is tried. The client can use the rest to retry on
# another router.
CALL_TIME_FRACTION = 0.6

_ACTIONS = {"POST": JobAction.SUBMIT, "GET": JobAction.SHOW, "DELETE": JobAction.CANCEL}


def _json_response(status: int, body: dict[str, object] | None = None, retry: bool = False) -> web.Response:
    raw = json.dumps(body or {}, separators=(",", ":")).encode()
    headers = RETRY_AFTER if retry else None
    return web.Response(status=status, body=raw, content_type="application/json", headers=headers)


def unavailable_response() -> web.Response:
    """Return the response to a request that has not been executed and will not be.

    >>> unavailable_response().status
    503
    """
    return _json_response(HTTPStatus.SERVICE_UNAVAILABLE, retry=True)


def job_id(text: str) -> int | None:
    """Return the job ID that a path ends with; None if it is malformed.

    >>> job_id("00000000000000ab"), job_id("ab"), job_id("zz000000000000ab")
    (171, None, None)
    """
    if len(text) != JOB_ID_DIGITS or not set(text) <= set("0123456789abcdefABCDEF"):
        return None
    return int(text, 16)


class JobRequests:
    """Answers the requests to the job queues that the configuration defines."""

    def __init__(self, state: RouterState, channel: JobChannel) -> None:
        self._state, self._channel = state, channel

    def close(self) -> None:
        """Close the connection to the job primary."""
        self._channel.close()

    async def answer(self, http_request: web.BaseRequest, body: bytes, route: Route) -> web.Response:
        """Answer a request whose host and path match the route of a queue."""
        suffix = http_request.raw_path.partition("?")[0].removeprefix(route.prefix)
        action = JobAction.COUNT if not suffix and http_request.method == "GET" else _ACTIONS.get(http_request.method)
        job = 0 if action is JobAction.COUNT else job_id(suffix)
        if action is None:
            return _json_response(HTTPStatus.METHOD_NOT_ALLOWED)
        if job is None:
            return _json_response(HTTPStatus.NOT_FOUND, {"error": f"a job's id has {JOB_ID_DIGITS} hex digits"})
        configuration = self._state.configuration
        if configuration is None:
            return unavailable_response()
        call = self._call(action, job, route, configuration, body)
        service = configuration.services.get(call.policy.service)
        if action is JobAction.SUBMIT and service is not None and not service.supported:
            return unavailable_response()
        remaining = time_remaining(http_request.headers, DEFAULT_TIMEOUT) - ANSWER_MARGIN
        try:
            reply = await self._channel.call(call, monotonic() + remaining * CALL_TIME_FRACTION)
        except JobChannelError as error:
            uncertain = error.may_have_run and action in (JobAction.SUBMIT, JobAction.CANCEL)
            return _json_response(HTTPStatus.GATEWAY_TIMEOUT) if uncertain else unavailable_response()
        return self._response(action, reply)

    @staticmethod
    def _call(action: JobAction, job: int, route: Route, configuration: Configuration, body: bytes) -> JobCall:
        service, _ = max(route.weighted_services, key=lambda part: part[1])
        policy = QueuePolicy(configuration.revision, service, route.priority, route.max_attempts)
        return JobCall(0, action, job, f"{route.host} {route.prefix}", policy, body)

    @staticmethod
    def _response(action: JobAction, reply: JobReply) -> web.Response:
        if reply.outcome == JobOutcome.GONE:
            return _json_response(HTTPStatus.GONE)
        if reply.outcome == JobOutcome.INVALID:
            return _json_response(HTTPStatus.BAD_REQUEST, {"error": reply.text})
        if reply.outcome == JobOutcome.UNKNOWN:
            return _json_response(HTTPStatus.GATEWAY_TIMEOUT)
        if reply.outcome != JobOutcome.OK:
            return unavailable_response()
        if action is JobAction.SHOW:
            return _json_response(HTTPStatus.OK, {"state": JobState(reply.state).name.lower()})
        if action is JobAction.COUNT:
            return _json_response(HTTPStatus.OK, {"queued": reply.count})
        return _json_response(HTTPStatus.OK)
