"""Clients' calls about jobs: read from HTTP, handed to the job primary, answered."""

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
# A call without a deadline is answered within this; one with a deadline a little before it.
DEFAULT_TIME = timedelta(seconds=3)
ANSWER_MARGIN = timedelta(milliseconds=60)
# The part of its time that a call may spend on finding the primary: the client may then still try elsewhere.
SEARCH_PART = 0.6

_ACTIONS = {"POST": JobAction.SUBMIT, "GET": JobAction.SHOW, "DELETE": JobAction.CANCEL}


def _answer(status: int, body: dict[str, object] | None = None, retry: bool = False) -> web.Response:
    raw = json.dumps(body or {}, separators=(",", ":")).encode()
    headers = RETRY_AFTER if retry else None
    return web.Response(status=status, body=raw, content_type="application/json", headers=headers)


def refuse() -> web.Response:
    """Return the answer to a call that was not carried out and never will be.

    >>> refuse().status
    503
    """
    return _answer(HTTPStatus.SERVICE_UNAVAILABLE, retry=True)


def job_id(text: str) -> int | None:
    """Return the job's id in the rest of a path; None where it is none.

    >>> job_id("00000000000000ab"), job_id("ab"), job_id("zz000000000000ab")
    (171, None, None)
    """
    if len(text) != JOB_ID_DIGITS or not set(text) <= set("0123456789abcdefABCDEF"):
        return None
    return int(text, 16)


class JobRequests:
    """Answers the calls of the queues that the configuration names."""

    def __init__(self, state: RouterState, channel: JobChannel) -> None:
        self._state, self._channel = state, channel

    def close(self) -> None:
        """Close the connection to the job primary."""
        self._channel.close()

    async def answer(self, http_request: web.BaseRequest, body: bytes, route: Route) -> web.Response:
        """Answer a call whose path and host lead to a queue."""
        rest = http_request.raw_path.partition("?")[0].removeprefix(route.prefix)
        action = JobAction.COUNT if not rest and http_request.method == "GET" else _ACTIONS.get(http_request.method)
        job = 0 if action is JobAction.COUNT else job_id(rest)
        if action is None:
            return _answer(HTTPStatus.METHOD_NOT_ALLOWED)
        if job is None:
            return _answer(HTTPStatus.NOT_FOUND, {"error": f"a job's id has {JOB_ID_DIGITS} hex digits"})
        configuration = self._state.configuration
        if configuration is None:
            return refuse()
        call = self._call(action, job, route, configuration, body)
        service = configuration.services.get(call.policy.service)
        if action is JobAction.SUBMIT and service is not None and not service.supported:
            return refuse()
        time_left = time_remaining(http_request.headers, DEFAULT_TIME) - ANSWER_MARGIN
        try:
            reply = await self._channel.call(call, monotonic() + time_left * SEARCH_PART)
        except JobChannelError as error:
            uncertain = error.may_have_run and action in (JobAction.SUBMIT, JobAction.CANCEL)
            return _answer(HTTPStatus.GATEWAY_TIMEOUT) if uncertain else refuse()
        return self._response(action, reply)

    @staticmethod
    def _call(action: JobAction, job: int, route: Route, configuration: Configuration, body: bytes) -> JobCall:
        service, _ = max(route.split, key=lambda part: part[1])
        policy = QueuePolicy(configuration.revision, service, route.priority, route.max_attempts)
        return JobCall(0, action, job, f"{route.host} {route.prefix}", policy, body)

    @staticmethod
    def _response(action: JobAction, reply: JobReply) -> web.Response:
        if reply.outcome == JobOutcome.GONE:
            return _answer(HTTPStatus.GONE)
        if reply.outcome == JobOutcome.INVALID:
            return _answer(HTTPStatus.BAD_REQUEST, {"error": reply.text})
        if reply.outcome == JobOutcome.UNKNOWN:
            return _answer(HTTPStatus.GATEWAY_TIMEOUT)
        if reply.outcome != JobOutcome.OK:
            return refuse()
        if action is JobAction.SHOW:
            return _answer(HTTPStatus.OK, {"state": JobState(reply.state).name.lower()})
        if action is JobAction.COUNT:
            return _answer(HTTPStatus.OK, {"queued": reply.count})
        return _answer(HTTPStatus.OK)
