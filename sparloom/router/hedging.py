"""Hedged requests: a second attempt is opened while the first one's backend is unresponsive."""

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
    """An attempt that is opened beside another one.

    ``on_opened`` is called once it is open, has failed, or ``timeout`` is over.
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
        """The response, once a head has come that may be relayed; None before and after a failure."""
        task = self.task
        opened = task.done() and not task.cancelled() and not task.exception() and task.result() is None
        return self.attempt.response if opened else None

    def drop(self) -> None:
        """Cancel it, since it isn't needed any more."""
        self.task.cancel()
        self.attempt.end()


class Hedging:
    """The hedged attempt of one request: none or one at a time.

    The unresponsive backend is left only once the other one has begun to
    answer, so that silence by itself never ends an attempt.

    Parameters
    ----------
    is_preferable: whether a response is worth leaving an unresponsive backend for.
    on_preferable: called when such a response has come; it ends the present attempt.
    on_failed: called with the hedged attempt when it has not brought a preferable response.
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
        """Whether a hedged attempt is under way."""
        return self._hedged is not None

    def start(self, attempt: Attempt, last_event_id: str | None, timeout: timedelta) -> None:
        """Open an attempt beside the present one."""
        self._hedged = HedgedAttempt(attempt, last_event_id, timeout, self._on_opened)

    def _on_opened(self) -> None:
        if self._hedged is None:
            return
        if self._preferable(self._hedged):
            self._on_preferable()
        else:
            self._settle()

    def _preferable(self, hedged: HedgedAttempt) -> bool:
        response = hedged.response
        return response is not None and self._is_preferable(response)

    async def take_over(self, seconds: float) -> Attempt | None:
        """Return the hedged attempt to go on with, once its response is preferable; None where there is none."""
        if self._hedged is None:
            return None
        await asyncio.wait({self._hedged.task}, timeout=seconds)
        return self._settle()

    def _settle(self) -> Attempt | None:
        """Hand the hedged attempt over if its response is preferable, else drop it."""
        hedged, self._hedged = self._hedged, None
        if hedged is None:
            return None
        if self._preferable(hedged):
            return hedged.attempt
        self._on_failed(hedged.attempt)
        hedged.drop()
        return None

    def drop(self) -> None:
        """Cancel the hedged attempt, if any."""
        if self._hedged is not None:
            self._hedged.drop()
            self._hedged = None
