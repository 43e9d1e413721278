"""One attempt at a backend: its slot, its HTTP call, and the verdict on the head of its response."""

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
MINIMUM_CONNECT_TIMEOUT_S = 0.05
# A connection must be there within this part of the route's latency target.
CONNECT_TIMEOUT_PART = 1 / 3
# Silence for this part of the route's latency target says nothing about a backend's zone.
ZONE_PATIENCE_PART = 1 / 2
MISDIRECTED = 421
# For how long a backend is suspected after a fault, as a part of the contact bound.
NOT_CONNECTED = 1 / 3
BROKE_OFF = 1 / 6
UNRESPONSIVE = 1 / 6
OTHER_INSTANCE = 1
REJECTED = 1 / 30
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
BACKEND_ERRORS = (aiohttp.ClientError, OSError, ValueError)


@define(frozen=True, slots=True, eq=False)
class BackendChoice:
    """A backend for one attempt, and the slot taken there.

    ``yields``: the prefill is heavy there, so the request lets others go first.
    ``in_flight``: requests that were at the backend before, of all routers.
    """

    backend: Backend
    slot: Slot
    yields: bool
    in_flight: int = 0


class AttemptEnd(Enum):
    """How an attempt ended, as far as it tells about the backend."""

    COMPLETE = "the answer was complete"
    FAILED = "the answer failed, broke off or did not come"
    NOT_RUN = "the backend did not run the request"
    BROKEN_OFF_HERE = "the client left, or another attempt was preferred"


class Attempt:
    """One send of a request to a backend on which a slot was taken for it.

    Parameters
    ----------
    on_unresponsive: called when the backend has sent nothing for the slot's time-out.

    Attributes
    ----------
    connected: whether the request may have left the router.
    in_flight_before: requests that were at the backend before this one, of all routers.
    timed_out: whether the wait for it was ended here.
    first_part_at, last_part_at, parts: when parts of the answer came, and how many; only where anybody asks.
    inactivity: the timer of the backend's silence.
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
        self._yields = choice.yields
        self.backend = choice.backend
        self.slot = choice.slot
        self.in_flight_before = choice.in_flight
        self._response: aiohttp.ClientResponse | None = None
        self._asked_at = monotonic()
        self.first_part_at: timedelta | None = None
        self.last_part_at: timedelta | None = None
        self.parts = 0
        self.timed_out = False
        self.connected = True
        self._misdirected = False
        self.backend.begin_call()
        self.inactivity = InactivityTimer(
            self.backend,
            self.slot,
            lambda: self._suspect(UNRESPONSIVE),
            on_unresponsive,
            state.zones,
            request.route.target * ZONE_PATIENCE_PART,
        )

    @property
    def opened(self) -> bool:
        """Whether the head of a response has come."""
        return self._response is not None

    @property
    def asked_at(self) -> timedelta:
        """When the request was sent, or the attempt began."""
        return self._asked_at

    def note_part(self, now: timedelta) -> None:
        """Note that a part of the answer has come."""
        self.first_part_at = now if self.first_part_at is None else self.first_part_at
        self.last_part_at = now
        self.parts += 1

    @property
    def status(self) -> int | None:
        """The status of the backend's response; None while there is none."""
        return None if self._response is None else self._response.status

    @property
    def misdirected(self) -> bool:
        """Whether another instance answered, at the address of the one that the request was for."""
        return self._misdirected

    @property
    def response(self) -> aiohttp.ClientResponse:
        """The backend's response; there is none before the attempt has opened."""
        if self._response is None:
            raise RuntimeError("the attempt has no response yet")
        return self._response

    def _note_absence(self) -> None:
        self.backend.record_absence(monotonic(), self._state.settings.bounds.contact)

    def _suspect(self, part: float) -> None:
        self.backend.record_failure(monotonic(), self._state.settings.bounds.contact * part)

    async def open(self, last_event_id: str | None) -> Verdict | None:
        """Send the request; None once a head has come that may be relayed, else the verdict."""
        self.inactivity.arm(self.slot.grant.timeout)
        try:
            self._response = await self._send(last_event_id)
        except CONNECT_ERRORS as error:
            # Not a byte of the request has left the router.
            self.connected = False
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                self.inactivity.not_connected()
            self._note_absence()
            self._suspect(NOT_CONNECTED)
            return NOT_RUN
        except BACKEND_ERRORS as error:
            return self.broke_off(error)
        return await self._judge(self._response)

    async def _send(self, last_event_id: str | None) -> aiohttp.ClientResponse:
        request = self._request
        self._asked_at = monotonic()
        connect_timeout = max(MINIMUM_CONNECT_TIMEOUT_S, request.route.target.total_seconds() * CONNECT_TIMEOUT_PART)
        return await self.backend.session().request(
            request.method,
            url_for(self.backend.address, request.path),
            data=request.body or None,
            headers=upstream_headers(request, self.backend, monotonic(), last_event_id, self._yields),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout),
        )

    def broke_off(self, error: Exception) -> Verdict:
        """Return the verdict after the backend closed the connection or sent an invalid response."""
        self._suspect(BROKE_OFF)
        logging.info("attempt: backend broke off id=%s error=%s", self.backend.id, type(error).__name__)
        return MAY_HAVE_RUN

    async def _judge(self, response: aiohttp.ClientResponse) -> Verdict | None:
        self._state.zones.note_sign(self.backend.zone, monotonic())
        head = response_head(response, self._request.attempt_id)
        verdict, may_relay = judge_head(head)
        if head.belongs:
            self.backend.note_answer(self._asked_at, "close" in response.headers.get("Connection", "").lower())
        if "Keep-Alive" in response.headers and head.belongs:
            self.backend.apply_keep_alive(response.headers["Keep-Alive"])
        if verdict is NOT_RUN:
            self._misdirected = response.status == MISDIRECTED
            if self._misdirected:
                self._note_absence()
            self._suspect(OTHER_INSTANCE if self._misdirected else REJECTED)
            await self._drain_rejection(response)
            return NOT_RUN
        if not may_relay:
            response.close()
            return MAY_HAVE_RUN
        self.backend.record_success()
        return None

    async def _drain_rejection(self, response: aiohttp.ClientResponse) -> None:
        """Read the rest of a rejection, so that its connection can be reused; the verdict needs only the head."""
        try:
            async with asyncio.timeout(REJECTION_BODY_TIMEOUT.total_seconds()):
                await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            response.close()

    def end(self) -> None:
        """Free the slot and the connection; a response not read whole closes its connection."""
        self.inactivity.stop()
        if self._response is not None:
            self._response.release()
        if self.slot.open:
            self.backend.end_call()
            self.slot.release(monotonic())
