"""HTTP client for the control address: retries a request on each controller in turn until one answers it."""

from __future__ import annotations

import http.client
import itertools
import json
import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from attrs import define
from returns.result import Failure, Result, Success

from sparloom.transport.blocking_reads import read_stream

if TYPE_CHECKING:
    from collections.abc import Sequence

EVACUATIONS_PATH = "/-/evacuation"
ROLLOUTS_PATH = "/-/rollouts"
# The socket timeout of a call to one controller.
CALL_TIMEOUT_S = 2.0
# The wait between two calls.
RETRY_INTERVAL_S = 0.2
MAXIMUM_REDIRECTS = 2
MAXIMUM_ANSWER_BYTES = 64 << 20
CALL_ERRORS = (OSError, http.client.HTTPException, ValueError)


@define(frozen=True, slots=True)
class Response:
    """The HTTP response of a controller.

    Attributes
    ----------
    status
        The HTTP status code.
    body
        The decoded JSON body, or None.
    location
        The HOST:PORT of a redirect's target; empty if there is none.
    """

    status: int
    body: Any
    location: str


def _call_once(address: str, method: str, path: str, body: Any = None) -> Response:
    """Calls one controller once; a body is sent as JSON.

    Raises
    ------
    OSError, http.client.HTTPException, ValueError
        The call failed, or its result is invalid.
    """
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content, {"Content-Type": "application/json"} if content else {})
        http_response = connection.getresponse()
        raw = read_stream(http_response, MAXIMUM_ANSWER_BYTES)
        location = http_response.headers.get("Location", "").removeprefix("http://").partition("/")[0]
        return Response(http_response.status, json.loads(raw) if raw else None, location)
    finally:
        connection.close()


def _call(address: str, method: str, path: str, body: Any) -> Response:
    """Calls one controller and follows redirects; raises the same exceptions as ``_call_once``."""
    response = _call_once(address, method, path, body)
    for _ in range(MAXIMUM_REDIRECTS):
        if response.status != HTTPStatus.TEMPORARY_REDIRECT or not response.location:
            break
        response = _call_once(response.location, method, path, body)
    return response


def call_until_answered(
    addresses: Sequence[str], method: str, path: str, timeout_s: float, body: Any = None
) -> Result[Any, str]:
    """Calls controllers in turn until one returns 200 or a client error (4xx).

    Parameters
    ----------
    addresses
        The control addresses, HOST:PORT.
    timeout_s
        The number of seconds after which no further call is made.
    body
        The value to send as JSON; None for no body.

    Returns
    -------
    Result
        The body of the response, or an error message.

    >>> call_until_answered(["127.0.0.1:1"], "GET", "/-/evacuation", 0.0).failure()[:37]
    'no controller answered within 0 s; la'
    """
    deadline_s = time.monotonic() + timeout_s
    last_error = ""
    for address in itertools.cycle(addresses):
        try:
            response = _call(address, method, path, body)
        except CALL_ERRORS as error:
            last_error = f"{address} is unreachable ({error})"
        else:
            if response.status == HTTPStatus.OK:
                return Success(response.body)
            message = response.body.get("error", "") if isinstance(response.body, dict) else ""
            if HTTPStatus.BAD_REQUEST <= response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return Failure(f"{address} rejected the request: {message}")
            last_error = f"{address} returned: {message}"
        if time.monotonic() >= deadline_s:
            break
        time.sleep(RETRY_INTERVAL_S)
    return Failure(f"no controller answered within {timeout_s:.0f} s; last error: {last_error}")
