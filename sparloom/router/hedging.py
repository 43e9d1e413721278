"""Hedged requests: a second attempt is opened while the first one's backend is unresponsive.

``HedgedAttempt`` is the second attempt. ``Hedging`` manages at most one of
them for a request and decides whether it replaces the first attempt.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sparloom.retry import MAY_HAVE_RUN

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    import aiohttp

    from sparloom.retry import Verdict

    from .attempt import Attempt


class HedgedAttempt:
    """An attempt that is opened in parallel to another one.

    ``on_opened`` is called once it is open, has failed or has timed out.
    """

    def __init__(
        self,
        attempt: Attempt,
        last_event_id: str | None,
        timeout: timedelta,
        on_opened: Callable[[], None],
    ) -> None:
        self.attempt = attempt
        self.task = asyncio.ensure_future(self._open(last_event_id, timeout))
        self.task.add_done_callback(lambda _: on_opened())

    async def _open(self, last_event_id: str | None, timeout: timedelta) -> Verdict | None:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self.attempt.open(last_event_id)
        except TimeoutError:
            return MAY_HAVE_RUN

    @property
    def response(self) -> aiohttp.ClientResponse | None:
        """The response, once a head that may be relayed has arrived; None before that and after a failure."""
        task = self.task
        opened = task.done() and not task.cancelled() and not task.exception() and task.result() is None
        return self.attempt.response if opened else None

    def cancel(self) -> None:
        """Cancel the attempt because it is no longer needed."""
        self.task.cancel()
        self.attempt.end()


class Hedging:
    """The hedged attempt of one request, at most one at a time.

    The attempt at the unresponsive backend is given up only once the other
    backend has started to respond, so a timeout alone never ends an attempt.

    Parameters
    ----------
    is_preferable: returns whether a hedged attempt with this response replaces the current attempt.
    on_preferable: called when such a response has arrived; it ends the current attempt.
    on_failed: called with the hedged attempt if it ended without a preferable response.
    """

    def __init__(
        self,
        is_preferable: Callable[[aiohttp.ClientResponse], bool],
        on_preferable: Callable[[], None],
        on_failed: Callable[[Attempt], None],
    ) -> None:
        self._is_preferable = is_preferable
        self._on_preferable = on_preferable
        self._on_failed = on_failed
        self._hedged: HedgedAttempt | None = None

    @property
    def active(self) -> bool:
        """Whether a hedged attempt is in progress."""
        return self._hedged is not None

    def start(self, attempt: Attempt, last_event_id: str | None, timeout: timedelta) -> None:
        """Open an attempt in parallel to the current one."""
        self._hedged = HedgedAttempt(attempt, last_event_id, timeout, self._on_opened)

    def _on_opened(self) -> None:
        if self._hedged is None:
            return
        if self._has_preferable_response(self._hedged):
            self._on_preferable()
        else:
            self._resolve()

    def _has_preferable_response(self, hedged: HedgedAttempt) -> bool:
        response = hedged.response
        return response is not None and self._is_preferable(response)

    async def promote(self, seconds: float) -> Attempt | None:
        """Wait for the hedged attempt and return it if its response is preferable; else return None."""
        if self._hedged is None:
            return None
        await asyncio.wait({self._hedged.task}, timeout=seconds)
        return self._resolve()

    def _resolve(self) -> Attempt | None:
        """Return the hedged attempt if its response is preferable, else cancel it; either way forget it."""
        hedged, self._hedged = self._hedged, None
        if hedged is None:
            return None
        if self._has_preferable_response(hedged):
            return hedged.attempt
        self._on_failed(hedged.attempt)
        hedged.cancel()
        return None

    def cancel(self) -> None:
        """Cancel the hedged attempt, if there is one."""
        if self._hedged is not None:
            self._hedged.cancel()
            self._hedged = None
