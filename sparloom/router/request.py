"""Parses a client's request, and builds the headers of the requests sent to backends.

``Request`` is the parsed request. ``response_head`` extracts the part of a
backend's response that the verdict on an attempt depends on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from sparloom.load_balancing import parse_parts
from sparloom.retry.verdict import ResponseHead

from . import headers as names
from .headers import MILLISECOND, end_to_end, time_remaining

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import timedelta

    from aiohttp import ClientResponse
    from aiohttp.web import BaseRequest
    from multidict import CIMultiDict

    from sparloom.configuration import Route
    from sparloom.isolation import Isolation

    from .access import Access
    from .backends import Backend

# Urgency ranges from 0, the most urgent, to 9.
LOWEST_URGENCY = 9
# A request without a prompt takes its affinity key from the last bytes of its attempt id.
AFFINITY_KEY_BYTES = 8
STATUSES_WITHOUT_BODY = (204, 304)


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
            return int.from_bytes(self.attempt_id.encode()[-AFFINITY_KEY_BYTES:])
        return max(candidates, key=lambda part: part[1])[0]


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
