"""Reads and parses a client's request, and builds the headers of the requests sent to backends.

``RequestBody`` reads the body, accounted for until the request has ended: it
is kept complete, because it may be sent again to another backend.
``Request`` is the parsed request. ``response_head`` extracts the part of a
backend's response that the verdict on an attempt depends on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging
from aiohttp.web import RequestPayloadError
from attrs import define

from sparloom.admission import HoldingKind, process_budget
from sparloom.errors import SparloomError
from sparloom.load_balancing import parse_parts
from sparloom.retry.verdict import ResponseHead
from sparloom.transport import monotonic
from sparloom.transport.http_client import PIECE_BYTES

from . import headers as names
from .headers import MILLISECOND, end_to_end, time_remaining

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import timedelta
    from types import TracebackType

    from aiohttp import ClientResponse
    from aiohttp.web import BaseRequest
    from multidict import CIMultiDict

    from sparloom.configuration import RequestLimits, Route
    from sparloom.isolation import Isolation

    from .access import Access
    from .backends import Backend

# Urgency ranges from 0, the most urgent, to 9.
LOWEST_URGENCY = 9
# A request without a prompt takes its affinity key from the last bytes of its attempt id.
AFFINITY_KEY_BYTES = 8
STATUSES_WITHOUT_BODY = (204, 304)
BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
REQUEST_TIMEOUT = 408
UNAVAILABLE = 503
# Bytes that are granted before the first ones arrive, where the client declares no length.
UNDECLARED_BYTES = 32 << 10
# Most bytes of a body that wait in the send buffer of a connection to a backend.
SEND_BUFFER_BYTES = 2 * PIECE_BYTES


@define(frozen=True, slots=True, eq=False)
class Request:
    """One request with its complete body; it doesn't change while it is forwarded.

    Attributes
    ----------
    attempt_id: the id that the client gave it; "" without one.
    path: the request target, byte for byte.
    headers: the client's end-to-end headers.
    route: the route that it matched.
    deadline: when the client or the route stops waiting, on the monotonic clock.
    parts: the prompt's prefixes, as (hash of the prefix, tokens of its last part).
    member: the name of the member whose share it counts against.
    part_ids: the ids of the prompt's parts; empty without isolation.
    priority: the tenant's priority, or else the route's; the lowest number is served first.
    tenant: the name of the tenant that the client's key belongs to; "" without one.
    """

    attempt_id: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    route: Route
    deadline: timedelta
    parts: tuple[tuple[int, int], ...]
    member: str = ""
    part_ids: tuple[str, ...] = ()
    priority: int = 0
    tenant: str = ""

    @property
    def shared_parts(self) -> tuple[tuple[int, int], ...]:
        """The parts that other prompts may share: all but the last."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> int:
        """The hash that ranks backends by affinity: that of the longest shared part.

        Without shared parts it is that of the longest part, and without a prompt it is taken from the attempt id.
        """
        candidates = self.shared_parts or self.parts
        if not candidates:
            return int.from_bytes(self.attempt_id.encode(errors="surrogateescape")[-AFFINITY_KEY_BYTES:])
        return max(candidates, key=lambda part: part[1])[0]


class RequestBodyError(SparloomError):
    """The request body could not be read completely; ``status`` is the status code of the response."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class RequestBody:
    """The body of one request and the bytes that it takes from the process's budget; used in a ``with`` statement.

    Bytes are granted before they are read, by the declared length. A client
    that sends too slowly is refused when others need its bytes.
    """

    def __init__(self, http_request: BaseRequest) -> None:
        self._http_request = http_request
        self._budget = process_budget()
        self._holding = self._budget.open(HoldingKind.REQUEST_BODIES, http_request.remote or "", monotonic())
        self._declared = http_request.content_length if http_request.body_exists else 0
        self._timeout: asyncio.Timeout | None = None

    def __enter__(self) -> RequestBody:
        """Return the body."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Give the bytes back."""
        self._budget.close(self._holding)

    def reserve(self, limits: RequestLimits) -> None:
        """Take the declared bytes from the budget, as many as the limit allows.

        Raises
        ------
        RequestBodyError: there is no memory for them.
        """
        declared = UNDECLARED_BYTES if self._declared is None else self._declared
        self._grant(min(declared, limits.maximum_body_bytes))

    async def read(self, limits: RequestLimits) -> bytes:
        """Return the complete body; from then on its bytes are not given up for others.

        Raises
        ------
        RequestBodyError: the body is too large or invalid, doesn't arrive within the idle timeout, or was given up.
        """
        if self._declared is not None and self._declared > limits.maximum_body_bytes:
            raise RequestBodyError(
                CONTENT_TOO_LARGE,
                f"request body of {self._declared} bytes exceeds the limit of {limits.maximum_body_bytes}",
            )
        body = bytearray()
        self._holding.evict = self._give_up
        try:
            async with asyncio.timeout(limits.idle_timeout.total_seconds()) as self._timeout:
                async for chunk in self._http_request.content.iter_any():
                    body += chunk
                    self._holding.record_progress(len(chunk), monotonic())
                    self._check_size(len(body), limits)
        except TimeoutError as error:
            if self._holding.evicted:
                raise self._out_of_memory(len(body)) from error
            raise RequestBodyError(
                REQUEST_TIMEOUT, f"request body incomplete after {limits.idle_timeout}, {len(body)} bytes received"
            ) from error
        except RequestPayloadError as error:
            raise RequestBodyError(BAD_REQUEST, f"invalid request body after {len(body)} bytes") from error
        finally:
            self._holding.evict = None
        return bytes(body)

    def _check_size(self, size: int, limits: RequestLimits) -> None:
        if size > limits.maximum_body_bytes:
            raise RequestBodyError(
                CONTENT_TOO_LARGE, f"request body exceeds the limit of {limits.maximum_body_bytes} bytes"
            )
        self._grant(size)

    def _grant(self, size: int) -> None:
        """Take a body's bytes from the budget, and those that wait in the send buffer to a backend."""
        needed = size + min(size, SEND_BUFFER_BYTES)
        if needed > self._holding.size and not self._budget.resize(self._holding, needed, monotonic()):
            raise self._out_of_memory(size)

    def _give_up(self) -> None:
        """End the wait for the rest of the body."""
        if self._timeout is not None:
            self._timeout.reschedule(0.0)

    def _out_of_memory(self, size: int) -> RequestBodyError:
        logging.log_every_n_seconds(
            logging.INFO,
            "frontend: no memory for a request body peer=%s bytes=%d held=%s",
            1,
            self._holding.peer,
            size,
            self._budget.figures(),
        )
        return RequestBodyError(UNAVAILABLE, f"no memory for a request body of {size} bytes")


def deadline_of(headers: Mapping[str, str], route: Route, now: timedelta) -> timedelta:
    """Return when the client or the route stops waiting, on the monotonic clock."""
    return now + time_remaining(headers, route.timeout)


def _part_ids(prompt: str | None) -> tuple[str, ...]:
    # Imported here to save startup time and memory on routers without isolation.
    from sparloom.isolation import part_ids

    ids: tuple[str, ...] = part_ids(prompt)
    return ids


def parse_request(
    http_request: BaseRequest,
    body: bytes,
    route: Route,
    now: timedelta,
    member: str = "",
    isolation: Isolation | None = None,
    access: Access | None = None,
) -> Request:
    """Build a request from the server's request and its body.

    With isolation the prompt's parts are hashed with the member's key, so that
    equal prompts of two members have different hashes.
    """
    headers = end_to_end(http_request.raw_headers)
    if access is not None:
        access.rewrite_headers(headers)
    prompt = headers.get(names.PROMPT_PREFIX)
    return Request(
        attempt_id=headers.get(names.ATTEMPT_ID, ""),
        method=http_request.method,
        path=http_request.raw_path,
        headers=headers,
        body=body,
        route=route,
        deadline=deadline_of(headers, route, now),
        parts=parse_parts(prompt, isolation.newest.part_key(member) if isolation else b""),
        member=member,
        part_ids=_part_ids(prompt) if isolation else (),
        priority=access.priority(route) if access else route.priority,
        tenant=access.tenant.name if access and access.tenant else "",
    )


def upstream_headers(
    request: Request,
    backend: Backend,
    now: timedelta,
    last_event_id: str | None,
    deprioritized: bool = False,
) -> CIMultiDict[str]:
    """Return the headers of one attempt.

    They name the expected instance, so that another instance that has taken
    over the address rejects the request. The urgency is the request's
    priority. A ``deprioritized`` request has a heavy prefill and is sent one
    level less urgent. ``last_event_id`` is where a stream is resumed.
    """
    headers = request.headers.copy()
    headers[names.DEADLINE_REMAINING] = str(max(1, int((request.deadline - now) / MILLISECOND)))
    headers[names.EXPECTED_INSTANCE] = backend.id
    headers[names.REQUEST_URGENCY] = str(min(LOWEST_URGENCY, request.priority + deprioritized))
    if last_event_id is not None:
        headers[names.LAST_EVENT_ID] = last_event_id
    return headers


def response_head(response: ClientResponse, attempt_id: str) -> ResponseHead:
    """Return the parts of a response that the verdict on the attempt depends on; ``attempt_id`` is "" for none."""
    response_ids = response.headers.getall(names.ATTEMPT_ID, [])
    encoding = response.headers.get("Transfer-Encoding")
    if encoding is None:
        framed = "Content-Length" in response.headers or response.status in STATUSES_WITHOUT_BODY
    else:
        framed = encoding.strip().lower() == "chunked"
    return ResponseHead(
        status=response.status,
        not_run=names.NOT_RUN in response.headers,
        sealed=names.RUNNER_SEAL in response.headers,
        attempt_id_matches=bool(attempt_id) and response_ids == [attempt_id],
        framed=framed,
        without_attempt_id=not attempt_id and not response_ids,
    )
