"""Forwards one request that ``frontend`` has read, matched and parsed.

Its steps, in order: choose a service (``backend_choice``), admit
(``admission_queues``), choose a backend (``backend_choice``), attempt
(``attempt``), hedge (``hedging``), relay (``response_relay``); where nothing
can be relayed, refuse (``refusal``).
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING, cast

from attrs import evolve

from sparloom.metrics import count_event
from sparloom.retry import MAY_HAVE_RUN, NOT_RUN, GiveUp, Retry, RetryContext, next_step
from sparloom.transport import monotonic

from . import refusal
from .admission_queues import Rejected
from .attempt import BACKEND_ERRORS, Attempt, AttemptEnd
from .backend_choice import BackendChooser
from .hedging import Hedging
from .outcomes import Outcome
from .response_relay import OK, ClientDisconnectedError, ResponseRelay

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientResponse, web

    from sparloom.retry import Verdict

    from .forwarding_services import ForwardingServices
    from .request import Request

ZERO = timedelta(0)
FIRST_SERVER_ERROR = 500


class RequestForwarder:
    """The way of one request through this router.

    Parameters
    ----------
    closing: whether the client's connection is to end with this request.

    Attributes
    ----------
    request: the request, as parsed.
    outcome: how it ended, once it has.
    """

    def __init__(
        self,
        services: ForwardingServices,
        http_request: web.BaseRequest,
        request: Request,
        closing: Callable[[], bool],
    ) -> None:
        self._services = services
        self.request = request
        self.outcome = Outcome.UNANSWERED
        self._chooser = BackendChooser(services, request)
        self._relay = ResponseRelay(http_request, request, self._on_progress, self._on_prefilled, closing)
        self._hedging = Hedging(self._is_preferable, self._end_wait, self._uncount)
        self._budget = services.budgets.of(self._chooser.service)
        self._deadline = request.deadline
        self._attempts = 0
        self._arrivals = 0
        self._reserved = False
        self._worst_verdict: Verdict = NOT_RUN
        self._wait: asyncio.Timeout | None = None
        self._expired = False
        self._began = False

    async def forward(self) -> web.StreamResponse:
        """Return the response, a backend's or the router's own, once it has been sent as far as it can be.

        Raises
        ------
        asyncio.CancelledError: the client has left.
        """
        self._budget.on_request(monotonic())
        try:
            return await self._admit()
        except ClientDisconnectedError as error:
            self.outcome = Outcome.CLIENT_LEFT
            raise asyncio.CancelledError from error
        except asyncio.CancelledError:
            self.outcome = Outcome.CLIENT_LEFT
            raise
        finally:
            self._hedging.drop()

    async def _admit(self) -> web.StreamResponse:
        """Wait for admission, then forward."""
        if not self._chooser.eligible():
            return self._give_up(GiveUp(refusal.UNAVAILABLE))
        service, queues = self._chooser.service, self._services.queues
        try:
            # Only expire() sets an end to this wait: the queue itself rejects what waits too long.
            async with asyncio.timeout(None) as self._wait:
                admission = await queues.enter(service, self.request)
        except TimeoutError:
            return self._give_up(GiveUp(refusal.UNAVAILABLE))
        if isinstance(admission, Rejected):
            return self._give_up(GiveUp(refusal.UNAVAILABLE), admission.retry_after)
        self._reserved = admission.reserved
        try:
            return await self._attempt_until_done()
        finally:
            queues.leave(service, admission.id)

    async def _attempt_until_done(self) -> web.StreamResponse:
        """Make attempts until one is complete or no further one is allowed."""
        if self._time_left() <= ZERO:
            return self._give_up(GiveUp(refusal.UNAVAILABLE))
        last_verdict: Verdict = NOT_RUN
        attempt = self._next_attempt()
        while attempt is not None:
            verdict = await self._carry_out(attempt)
            if verdict is None:
                self.outcome = Outcome.ANSWERED
                return self._relay.response
            last_verdict = verdict
            if verdict is not NOT_RUN:
                self._worst_verdict = verdict
            attempt = await self._hedging.take_over(self._seconds_left())
            if attempt is not None:
                continue
            step = next_step(self._retry_context(verdict if self.request.route.repeatable else self._worst_verdict))
            if isinstance(step, GiveUp):
                return self._give_up(step)
            attempt = self._next_attempt()
        # No backend has capacity; without alternatives the next step is never a retry.
        step = next_step(evolve(self._retry_context(last_verdict), has_alternatives=False))
        return self._give_up(cast("GiveUp", step))

    # -- attempts -----------------------------------------------------------------
    def _next_attempt(self) -> Attempt | None:
        """Start an attempt at the best backend not tried yet; None where none has capacity."""
        if self._services.rollouts is not None and not self._attempts:
            self._services.rollouts.on_request(self._chooser.service, self.request.route.name)
        choice = self._chooser.take(self._reserved)
        if choice is None:
            return None
        if self._arrivals:
            self._budget.spend(monotonic())
        self._attempts += 1
        self._arrivals += 1
        count_event("attempts")
        return Attempt(self._services.state, self.request, choice, self._hedge)

    async def _carry_out(self, attempt: Attempt) -> Verdict | None:
        """Carry an attempt out to its end, and tell the watcher of roll-outs how it was; None if it was complete."""
        rollouts, ended = self._services.rollouts, AttemptEnd.BROKEN_OFF_HERE
        if rollouts is not None:
            rollouts.on_sent(attempt.backend)
        try:
            verdict = await self._open_and_relay(attempt)
            ended = self._end_of(attempt, verdict)
            return verdict
        finally:
            if rollouts is not None:
                rollouts.on_ended(attempt, self.request.route, ended)

    def _end_of(self, attempt: Attempt, verdict: Verdict | None) -> AttemptEnd:
        """How an attempt ended, as far as it tells about the backend."""
        if verdict is NOT_RUN:
            return AttemptEnd.NOT_RUN
        if attempt.status is not None and attempt.status >= FIRST_SERVER_ERROR:
            return AttemptEnd.FAILED
        if verdict is None:
            return AttemptEnd.COMPLETE
        # A hedged attempt may have ended the wait for this one before its time was over.
        if attempt.timed_out and self._time_left() > ZERO:
            return AttemptEnd.BROKEN_OFF_HERE
        return AttemptEnd.FAILED

    async def _open_and_relay(self, attempt: Attempt) -> Verdict | None:
        """Open an attempt, unless it is open, and relay its response; None once that is complete."""
        try:
            async with asyncio.timeout(self._seconds_left()) as self._wait:
                if not attempt.opened:
                    verdict = await attempt.open(self._relay.last_event_id)
                    if verdict is not None:
                        return verdict
                if not self._may_relay(attempt.response):
                    return MAY_HAVE_RUN
                return await self._relay.relay(attempt)
        except TimeoutError:
            attempt.timed_out = True
            return MAY_HAVE_RUN
        except BACKEND_ERRORS as error:
            return attempt.broke_off(error)
        finally:
            self._uncount(attempt)
            attempt.end()

    def _uncount(self, attempt: Attempt) -> None:
        """Take back the count of an attempt that did not reach the backend that it was for.

        It is none of the route's attempts. One that reached another instance arrived all the same, so it stays
        charged to the retry budget.
        """
        if attempt.connected and not attempt.misdirected:
            return
        self._attempts -= 1
        if not attempt.connected:
            self._arrivals -= 1

    def _may_relay(self, response: ClientResponse) -> bool:
        """Whether a valid response is relayed: no error amid a stream, nor where a retry may do better."""
        if self._relay.begun:
            return response.status == OK
        if response.status < FIRST_SERVER_ERROR or not self.request.route.repeatable:
            return True
        return not self._may_retry()

    def _may_retry(self) -> bool:
        """Whether a further attempt is allowed after one that may have run."""
        return isinstance(next_step(self._retry_context(MAY_HAVE_RUN)), Retry)

    def _retry_context(self, verdict: Verdict) -> RetryContext:
        route = self.request.route
        return RetryContext(
            idempotent=route.repeatable,
            max_attempts=route.max_attempts,
            attempts=self._attempts,
            verdict=verdict,
            response_started=self._relay.begun,
            time_left=self._time_left(),
            within_budget=self._arrivals == 0 or self._within_budget(),
            has_alternatives=self._chooser.has_untried(),
        )

    def _within_budget(self) -> bool:
        return self._budget.allows(monotonic(), self._services.state.fleet_size.divisor)

    # -- hedging ------------------------------------------------------------------
    def _hedge(self) -> None:
        """The backend is unresponsive: an idempotent request is opened at another one as well."""
        if self._hedging.active or not self.request.route.repeatable or not self._may_retry():
            return
        attempt = self._next_attempt()
        if attempt is not None:
            self._hedging.start(attempt, self._relay.last_event_id, self._time_left())

    def _is_preferable(self, response: ClientResponse) -> bool:
        """Whether a response is worth leaving an unresponsive backend for."""
        return response.status == OK if self._relay.begun else response.status < FIRST_SERVER_ERROR

    def _on_progress(self, attempt: Attempt) -> None:
        """The backend has sent something: it keeps the request."""
        attempt.inactivity.progressed()
        if self._services.rollouts is not None:
            attempt.note_part(monotonic())
        if not self._began and attempt.response.status == OK:
            self._began = True
            if self._services.usage is not None:
                self._services.usage.on_began(self.request.tenant)
        if self._hedging.active:
            self._hedging.drop()
            # The hedged attempt may already have ended this wait; it goes on to the deadline.
            self._end_wait(self._seconds_left())

    def _on_prefilled(self, attempt: Attempt) -> None:
        self._services.gossip.on_prefilled(attempt.slot)

    # -- time ---------------------------------------------------------------------
    def _time_left(self) -> timedelta:
        return self._deadline - monotonic()

    def _seconds_left(self) -> float:
        return max(0.0, self._time_left().total_seconds())

    def _end_wait(self, seconds: float = 0.0) -> None:
        """Let the present wait end after some seconds, unless it has ended."""
        if self._wait is None:
            return
        with suppress(RuntimeError):
            self._wait.reschedule(asyncio.get_running_loop().time() + seconds)

    def expire(self) -> None:
        """End the request now, since this router ends; what can still be answered is."""
        self._expired = True
        self._deadline = monotonic()
        self._hedging.drop()
        self._end_wait()

    # -- giving up ----------------------------------------------------------------
    def refuse(self) -> web.StreamResponse:
        """Return the refusal of a request that could not end before this router does."""
        response = self._give_up(GiveUp(refusal.UNAVAILABLE))
        self.outcome = Outcome.REFUSED_AT_END
        return response

    def _give_up(self, step: GiveUp, retry_after: timedelta = ZERO) -> web.StreamResponse:
        if self._relay.begun:
            return self._abort()
        status = refusal.status_of(step, self._worst_verdict)
        self.outcome = refusal.outcome_of(status)
        return refusal.refusal_response(status, self.request.route, retry_after)

    def _abort(self) -> web.StreamResponse:
        """End a response that can't be completed."""
        if self._expired:
            self.outcome = Outcome.BROKEN_OFF_AT_END
        elif self._time_left() <= ZERO:
            self.outcome = Outcome.TIME_OVER
        else:
            self.outcome = Outcome.RUNNER_BROKE_OFF
        return self._relay.abort()
