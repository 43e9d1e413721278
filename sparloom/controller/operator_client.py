"""The operator's side of the control address: an order is sent again, to any controller, until it is acknowledged."""

from __future__ import annotations

import http.client
import itertools
import json
import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from attrs import define
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Sequence

EVACUATIONS_PATH = "/-/evacuation"
ROLLOUTS_PATH = "/-/rollouts"
# Seconds for which one controller may be silent, and between two calls.
CALL_TIMEOUT_S = 2.0
PAUSE_S = 0.2
MAXIMUM_REDIRECTS = 2
CALL_ERRORS = (OSError, http.client.HTTPException, ValueError)


@define(frozen=True, slots=True)
class Answer:
    """A controller's answer.

    Attributes
    ----------
    status
        Of HTTP.
    body
        The JSON body, or None.
    location
        Where a redirect points, HOST:PORT; empty without one.
    """

    status: int
    body: Any
    location: str


def _call_once(address: str, method: str, path: str, body: Any = None) -> Answer:
    """One call of one controller; a body is sent as JSON.

    Raises
    ------
    OSError, http.client.HTTPException, ValueError
        No answer came, or none that can be read.
    """
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content, {"Content-Type": "application/json"} if content else {})
        response = connection.getresponse()
        raw = response.read()
        location = response.headers.get("Location", "").removeprefix("http://").partition("/")[0]
        return Answer(response.status, json.loads(raw) if raw else None, location)
    finally:
        connection.close()


def _call(address: str, method: str, path: str, body: Any) -> Answer:
    """One call, redirects followed; raises as ``_call_once`` does."""
    answer = _call_once(address, method, path, body)
    for _ in range(MAXIMUM_REDIRECTS):
        if answer.status != HTTPStatus.TEMPORARY_REDIRECT or not answer.location:
            break
        answer = _call_once(answer.location, method, path, body)
    return answer


def call_until_answered(
    addresses: Sequence[str], method: str, path: str, patience_s: float, body: Any = None
) -> Result[Any, str]:
    """Call controllers in turn until one answers 200 or refuses.

    Parameters
    ----------
    addresses
        HOST:PORT of control addresses.
    patience_s
        After so many seconds it is given up.
    body
        What is sent as JSON; None for nothing.

    Returns
    -------
    Result
        The body of the answer, or a sentence that says why there is none.

    >>> call_until_answered(["127.0.0.1:1"], "GET", "/-/evacuation", 0.0).failure()[:37]
    'no controller has answered in 0 s: th'
    """
    given_up_at = time.monotonic() + patience_s
    last = ""
    for address in itertools.cycle(addresses):
        try:
            answer = _call(address, method, path, body)
        except CALL_ERRORS as error:
            last = f"the last one, {address}, can't be reached ({error})"
        else:
            if answer.status == HTTPStatus.OK:
                return Success(answer.body)
            said = answer.body.get("error", "") if isinstance(answer.body, dict) else ""
            if HTTPStatus.BAD_REQUEST <= answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return Failure(f"{address} refuses it: {said}")
            last = f"the last one, {address}, said: {said}"
        if time.monotonic() >= given_up_at:
            break
        time.sleep(PAUSE_S)
    return Failure(f"no controller has answered in {patience_s:.0f} s: {last}")
