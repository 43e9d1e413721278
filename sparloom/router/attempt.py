"""One attempt at a backend: its slot, its HTTP call, and the verdict on its response head."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
from absl import logging
from attrs import define

from sparloom.retry import MAY_HAVE_RUN, NOT_RUN, judge_head
from sparloom.transport import monotonic
from sparloom.transport.http_client import read_body, request_data

from .inactivity_timer import InactivityTimer
from .request import response_head, upstream_headers
from .target import url_for

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.dynamic_timeout import Slot
    from sparloom.retry import Verdict

    from .backends import Backend
    from .request import Request
    from .router_state import RouterState

REJECTION_BODY_TIMEOUT = timedelta(milliseconds=50)
# Largest body of a rejection that is read.
MAXIMUM_REJECTION_BYTES = 64 << 10
MINIMUM_CONNECT_TIMEOUT_S = 0.05
# The connect timeout as a fraction of the route's latency target.
CONNECT_TIMEOUT_FRACTION = 1 / 3
# Silence of a backend for up to this fraction of the route's latency target is not evidence against its zone.
ZONE_SILENCE_FRACTION = 1 / 2
MISDIRECTED = 421
# How long a backend is suspected after each kind of failure, as a fraction of the contact bound.
SUSPICION_CONNECT_FAILED = 1 / 3
SUSPICION_DISCONNECTED = 1 / 6
SUSPICION_UNRESPONSIVE = 1 / 6
SUSPICION_MISDIRECTED = 1
SUSPICION_REJECTED = 1 / 30
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
BACKEND_ERRORS = (aiohttp.ClientError, OSError, ValueError)


@define(frozen=True, slots=True, eq=False)
class BackendChoice:
    """The backend chosen for one attempt, and the slot taken there.

    ``deprioritized``: the prefill is heavy at this backend, so the request is sent with lower urgency.
    ``in_flight``: requests of all routers that were in flight at the backend before this one.
    """

    backend: Backend
    slot: Slot
    deprioritized: bool
    in_flight: int = 0


class AttemptEnd(Enum):
    """How an attempt ended, by what it says about the backend."""

    COMPLETE = "the response was complete"
    FAILED = "the backend returned a server error, an incomplete response or none"
    NOT_RUN = "the backend did not run the request"
    ABANDONED = "the client disconnected, or a hedged attempt replaced this one"


class Attempt:
    """One attempt to send a request to a backend, which holds a slot there until it ends.

    Parameters
    ----------
    on_unresponsive: called when the backend has sent nothing for the slot's timeout.

    Attributes
    ----------
    connected: False once no connection could be opened, so that no byte of the request left the router.
    in_flight_before: requests of all routers that were in flight at the backend before this one.
    timed_out: whether this router stopped waiting for the backend.
    first_chunk_at, last_chunk_at: when the first and the last chunk of the response arrived.
    chunks: the number of chunks; chunks are recorded only while rollouts are watched.
    inactivity: the timer that detects an unresponsive backend.
    """

    def __init__(
        self,
        state: RouterState,
        request: Request,
        choice: BackendChoice,
        on_unresponsive: Callable[[], None],
    ) -> None:
        self._state = state
        self._request = request
        self._deprioritized = choice.deprioritized
        self.backend = choice.backend
        self.slot = choice.slot
        self.in_flight_before = choice.in_flight
        self._response: aiohttp.ClientResponse | None = None
        self._sent_at = monotonic()
        self.first_chunk_at: timedelta | None = None
        self.last_chunk_at: timedelta | None = None
        self.chunks = 0
        self.timed_out = False
        self.connected = True
        self._misdirected = False
        self.backend.begin_call()
        self.inactivity = InactivityTimer(
            self.backend,
            self.slot,
            lambda: self._suspect(SUSPICION_UNRESPONSIVE),
            on_unresponsive,
            state.zones,
            request.route.target * ZONE_SILENCE_FRACTION,
        )

    @property
    def opened(self) -> bool:
        """Whether a response head has arrived."""
        return self._response is not None

    @property
    def sent_at(self) -> timedelta:
        """When the request was sent; before that, when the attempt was created."""
        return self._sent_at

    def record_chunk(self, now: timedelta) -> None:
        """Record the arrival of a chunk of the response."""
        self.first_chunk_at = now if self.first_chunk_at is None else self.first_chunk_at
        self.last_chunk_at = now
        self.chunks += 1

    @property
    def status(self) -> int | None:
        """The status code of the backend's response; None before it has arrived."""
        return None if self._response is None else self._response.status

    @property
    def misdirected(self) -> bool:
        """Whether another instance responded at the address of the intended one."""
        return self._misdirected

    @property
    def response(self) -> aiohttp.ClientResponse:
        """The backend's response.

        Raises
        ------
        RuntimeError: the attempt is not open yet.
        """
        if self._response is None:
            raise RuntimeError("the attempt has no response yet")
        return self._response

    def _record_absence(self) -> None:
        self.backend.record_absence(monotonic(), self._state.settings.bounds.contact)

    def _suspect(self, fraction: float) -> None:
        self.backend.record_failure(monotonic(), self._state.settings.bounds.contact * fraction)

    async def open(self, last_event_id: str | None) -> Verdict | None:
        """Send the request; return None once a response head that may be relayed has arrived, else the verdict."""
        self.inactivity.arm(self.slot.grant.timeout)
        try:
            self._response = await self._send(last_event_id)
        except CONNECT_ERRORS as error:
            # No byte of the request has left the router.
            self.connected = False
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                self.inactivity.on_connect_timeout()
            self._record_absence()
            self._suspect(SUSPICION_CONNECT_FAILED)
            return NOT_RUN
        except BACKEND_ERRORS as error:
            return self.on_backend_error(error)
        return await self._evaluate_response(self._response)

    async def _send(self, last_event_id: str | None) -> aiohttp.ClientResponse:
        request = self._request
        self._sent_at = monotonic()
        connect_timeout = max(
            MINIMUM_CONNECT_TIMEOUT_S, request.route.target.total_seconds() * CONNECT_TIMEOUT_FRACTION
        )
        return await self.backend.session().request(
            request.method,
            url_for(self.backend.address, request.path),
            data=request_data(request.body),
            headers=upstream_headers(request, self.backend, monotonic(), last_event_id, self._deprioritized),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout),
        )

    def on_backend_error(self, error: Exception) -> Verdict:
        """Suspect a backend that closed the connection or sent an invalid response, and return the verdict."""
        self._suspect(SUSPICION_DISCONNECTED)
        logging.info("attempt: backend connection failed id=%s error=%s", self.backend.id, type(error).__name__)
        return MAY_HAVE_RUN

    async def _evaluate_response(self, response: aiohttp.ClientResponse) -> Verdict | None:
        self._state.zones.note_activity(self.backend.zone, monotonic())
        head = response_head(response, self._request.attempt_id)
        verdict, may_relay = judge_head(head)
        if head.matches_request:
            self.backend.record_response(self._sent_at, "close" in response.headers.get("Connection", "").lower())
        if "Keep-Alive" in response.headers and head.matches_request:
            self.backend.apply_keep_alive(response.headers["Keep-Alive"])
        if verdict is NOT_RUN:
            self._misdirected = response.status == MISDIRECTED
            if self._misdirected:
                self._record_absence()
            self._suspect(SUSPICION_MISDIRECTED if self._misdirected else SUSPICION_REJECTED)
            await self._drain_rejection(response)
            return NOT_RUN
        if not may_relay:
            response.close()
            return MAY_HAVE_RUN
        self.backend.record_success()
        return None

    async def _drain_rejection(self, response: aiohttp.ClientResponse) -> None:
        """Read the body of a rejection so that its connection can be reused; the verdict needs only the head."""
        try:
            async with asyncio.timeout(REJECTION_BODY_TIMEOUT.total_seconds()):
                await read_body(response, MAXIMUM_REJECTION_BYTES)
        except (TimeoutError, *BACKEND_ERRORS):
            response.close()

    def end(self) -> None:
        """Release the slot and the connection; the connection is closed if the response was not read completely."""
        self.inactivity.stop()
        if self._response is not None:
            self._response.release()
        if self.slot.open:
            self.backend.end_call()
            self.slot.release(monotonic())
