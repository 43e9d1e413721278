"""Forwards one request that ``frontend`` has read, matched to a route and parsed.

``RequestForwarder`` chooses a service (``backend_choice``), waits for
admission (``admission_queues``), chooses a backend (``backend_choice``), sends
an attempt (``attempt``), hedges it if the backend is unresponsive
(``hedging``) and relays the response (``response_relay``). If there is no
response to relay, it refuses the request (``refusal``).
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
    """Forwards one request, with retries and hedging, until it is answered or given up.

    Parameters
    ----------
    should_close: returns whether the client's connection closes after this request.

    Attributes
    ----------
    request: the parsed request.
    outcome: the final outcome; ``Outcome.NO_RESPONSE`` while the request is in progress.
    """

    def __init__(
        self,
        services: ForwardingServices,
        http_request: web.BaseRequest,
        request: Request,
        should_close: Callable[[], bool],
    ) -> None:
        self._services = services
        self.request = request
        self.outcome = Outcome.NO_RESPONSE
        self._chooser = BackendChooser(services, request)
        self._relay = ResponseRelay(http_request, request, self._on_progress, self._on_prefilled, should_close)
        self._hedging = Hedging(self._is_preferable, self._reschedule_wait, self._uncount_attempt)
        self._budget = services.budgets.for_service(self._chooser.service)
        self._deadline = request.deadline
        self._attempts = 0
        self._sent_attempts = 0
        self._reserved = False
        self._worst_verdict: Verdict = NOT_RUN
        self._wait_timeout: asyncio.Timeout | None = None
        self._expired = False
        self._start_reported = False

    async def forward(self) -> web.StreamResponse:
        """Forward the request and return the response, which comes from a backend or from the router itself.

        A backend's response has been sent to the client by then, in whole or up to the point of failure.

        Raises
        ------
        asyncio.CancelledError: the client has disconnected.
        """
        self._budget.on_request(monotonic())
        try:
            return await self._admit()
        except ClientDisconnectedError as error:
            self.outcome = Outcome.CLIENT_DISCONNECTED
            raise asyncio.CancelledError from error
        except asyncio.CancelledError:
            self.outcome = Outcome.CLIENT_DISCONNECTED
            raise
        finally:
            self._hedging.cancel()

    async def _admit(self) -> web.StreamResponse:
        """Wait for admission, then forward."""
        if not self._chooser.eligible():
            return self._give_up(GiveUp(refusal.UNAVAILABLE))
        service, queues = self._chooser.service, self._services.queues
        try:
            # Only expire() sets a deadline here: the queue itself rejects requests that wait too long.
            async with asyncio.timeout(None) as self._wait_timeout:
                admission = await queues.acquire(service, self.request)
        except TimeoutError:
            return self._give_up(GiveUp(refusal.UNAVAILABLE))
        if isinstance(admission, Rejected):
            return self._give_up(GiveUp(refusal.UNAVAILABLE), admission.retry_after)
        self._reserved = admission.reserved
        try:
            return await self._attempt_until_done()
        finally:
            queues.release(service, admission.id)

    async def _attempt_until_done(self) -> web.StreamResponse:
        """Make attempts until one completes or no further attempt is allowed."""
        if self._time_left() <= ZERO:
            return self._give_up(GiveUp(refusal.UNAVAILABLE))
        last_verdict: Verdict = NOT_RUN
        attempt = self._next_attempt()
        while attempt is not None:
            verdict = await self._run_attempt(attempt)
            if verdict is None:
                self.outcome = Outcome.ANSWERED
                return self._relay.response
            last_verdict = verdict
            if verdict is not NOT_RUN:
                self._worst_verdict = verdict
            attempt = await self._hedging.promote(self._seconds_left())
            if attempt is not None:
                continue
            step = next_step(self._retry_context(verdict if self.request.route.repeatable else self._worst_verdict))
            if isinstance(step, GiveUp):
                return self._give_up(step)
            attempt = self._next_attempt()
        # No backend has capacity. Without alternatives the next step is never a retry.
        step = next_step(evolve(self._retry_context(last_verdict), has_alternatives=False))
        return self._give_up(cast("GiveUp", step))

    # -- attempts -----------------------------------------------------------------
    def _next_attempt(self) -> Attempt | None:
        """Return an attempt at the best untried backend, with a slot taken there; None if no backend has capacity."""
        if self._services.rollouts is not None and not self._attempts:
            self._services.rollouts.on_request(self._chooser.service, self.request.route.name)
        choice = self._chooser.take(self._reserved)
        if choice is None:
            return None
        if self._sent_attempts:
            self._budget.spend(monotonic())
        self._attempts += 1
        self._sent_attempts += 1
        count_event("attempts")
        return Attempt(self._services.state, self.request, choice, self._hedge)

    async def _run_attempt(self, attempt: Attempt) -> Verdict | None:
        """Run an attempt and report its end to the rollout watcher; return None if its response is complete."""
        rollouts, end = self._services.rollouts, AttemptEnd.ABANDONED
        if rollouts is not None:
            rollouts.on_sent(attempt.backend)
        try:
            verdict = await self._open_and_relay(attempt)
            end = self._classify_end(attempt, verdict)
            return verdict
        finally:
            if rollouts is not None:
                rollouts.on_ended(attempt, self.request.route, end)

    def _classify_end(self, attempt: Attempt, verdict: Verdict | None) -> AttemptEnd:
        """Classify the end of an attempt by what it says about the backend."""
        if verdict is NOT_RUN:
            return AttemptEnd.NOT_RUN
        if attempt.status is not None and attempt.status >= FIRST_SERVER_ERROR:
            return AttemptEnd.FAILED
        if verdict is None:
            return AttemptEnd.COMPLETE
        # A hedged attempt may have ended the wait for this one before the deadline.
        if attempt.timed_out and self._time_left() > ZERO:
            return AttemptEnd.ABANDONED
        return AttemptEnd.FAILED

    async def _open_and_relay(self, attempt: Attempt) -> Verdict | None:
        """Open an attempt if it isn't open yet and relay its response; return None once that is complete."""
        try:
            async with asyncio.timeout(self._seconds_left()) as self._wait_timeout:
                if not attempt.opened:
                    verdict = await attempt.open(self._relay.last_event_id)
                    if verdict is not None:
                        return verdict
                if not self._should_relay(attempt.response):
                    return MAY_HAVE_RUN
                return await self._relay.relay(attempt)
        except TimeoutError:
            attempt.timed_out = True
            return MAY_HAVE_RUN
        except BACKEND_ERRORS as error:
            return attempt.on_backend_error(error)
        finally:
            self._uncount_attempt(attempt)
            attempt.end()

    def _uncount_attempt(self, attempt: Attempt) -> None:
        """Subtract an attempt that did not reach its backend from the attempts of the route.

        A misdirected attempt reached another instance, so it still counts against the retry budget.
        """
        if attempt.connected and not attempt.misdirected:
            return
        self._attempts -= 1
        if not attempt.connected:
            self._sent_attempts -= 1

    def _should_relay(self, response: ClientResponse) -> bool:
        """Whether to relay a valid response.

        An error is not relayed in the middle of a stream. A server error is not relayed while a retry is allowed.
        """
        if self._relay.started:
            return response.status == OK
        if response.status < FIRST_SERVER_ERROR or not self.request.route.repeatable:
            return True
        return not self._may_retry()

    def _may_retry(self) -> bool:
        """Whether another attempt is allowed after one that may have run."""
        return isinstance(next_step(self._retry_context(MAY_HAVE_RUN)), Retry)

    def _retry_context(self, verdict: Verdict) -> RetryContext:
        route = self.request.route
        return RetryContext(
            idempotent=route.repeatable and self._relay.accepts_other_backends,
            max_attempts=route.max_attempts,
            attempts=self._attempts,
            verdict=verdict,
            response_started=self._relay.started,
            time_left=self._time_left(),
            within_budget=self._sent_attempts == 0 or self._within_budget(),
            has_alternatives=self._chooser.has_untried(),
        )

    def _within_budget(self) -> bool:
        return self._budget.allows(monotonic(), self._services.state.fleet_size.divisor)

    # -- hedging ------------------------------------------------------------------
    def _hedge(self) -> None:
        """Open an idempotent request at a second backend, because the first one is unresponsive."""
        if self._hedging.active or not self.request.route.repeatable or not self._may_retry():
            return
        attempt = self._next_attempt()
        if attempt is not None:
            self._hedging.start(attempt, self._relay.last_event_id, self._time_left())

    def _is_preferable(self, response: ClientResponse) -> bool:
        """Whether a hedged attempt with this response replaces the one at the unresponsive backend."""
        return response.status == OK if self._relay.started else response.status < FIRST_SERVER_ERROR

    def _on_progress(self, attempt: Attempt) -> None:
        """Handle data from the backend: its attempt goes on, and a hedged attempt is cancelled."""
        attempt.inactivity.record_progress()
        if self._services.rollouts is not None:
            attempt.record_chunk(monotonic())
        if not self._start_reported and attempt.response.status == OK:
            self._start_reported = True
            if self._services.usage is not None:
                self._services.usage.on_request_started(self.request.tenant)
        if self._hedging.active:
            self._hedging.cancel()
            # The hedged attempt may already have ended this wait: restore the request's deadline.
            self._reschedule_wait(self._seconds_left())

    def _on_prefilled(self, attempt: Attempt) -> None:
        self._services.gossip.on_prefilled(attempt.slot)

    # -- time ---------------------------------------------------------------------
    def _time_left(self) -> timedelta:
        return self._deadline - monotonic()

    def _seconds_left(self) -> float:
        return max(0.0, self._time_left().total_seconds())

    def _reschedule_wait(self, seconds: float = 0.0) -> None:
        """Make the current wait time out after some seconds; no effect if it has already ended."""
        if self._wait_timeout is None:
            return
        with suppress(RuntimeError):
            self._wait_timeout.reschedule(asyncio.get_running_loop().time() + seconds)

    def expire(self) -> None:
        """End the request because this router shuts down; an error is still sent if no response has started."""
        self._expired = True
        self._deadline = monotonic()
        self._hedging.cancel()
        self._reschedule_wait()

    # -- giving up ----------------------------------------------------------------
    def refuse(self) -> web.StreamResponse:
        """Return the refusal of a request that might not finish before this router shuts down."""
        response = self._give_up(GiveUp(refusal.UNAVAILABLE))
        self.outcome = Outcome.REFUSED_ON_SHUTDOWN
        return response

    def _give_up(self, step: GiveUp, retry_after: timedelta = ZERO) -> web.StreamResponse:
        if self._relay.started:
            return self._abort()
        status = refusal.refusal_status(step, self._worst_verdict)
        self.outcome = refusal.refusal_outcome(status)
        return refusal.refusal_response(status, self.request.route, retry_after)

    def _abort(self) -> web.StreamResponse:
        """Abort a response that can't be completed."""
        if self._expired:
            self.outcome = Outcome.ABORTED_ON_SHUTDOWN
        elif self._time_left() <= ZERO:
            self.outcome = Outcome.DEADLINE_EXCEEDED
        else:
            self.outcome = Outcome.BACKEND_FAILED
        return self._relay.abort()
