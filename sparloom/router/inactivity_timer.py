"""Detects that a backend has sent nothing within an attempt's timeout."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from sparloom.transport import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.dynamic_timeout import Slot
    from sparloom.load_balancing import ZoneReachability
    from sparloom.load_balancing.zone_reachability import AwaitedActivity

    from .backends import Backend


class InactivityTimer:
    """The inactivity timeout of one attempt, restarted whenever its backend sends data.

    When the timer fires, the backend counts as unresponsive and ``suspect`` is
    called once. ``on_unresponsive`` is called then and after each further
    timeout. The timer never ends the attempt. It also registers the pending
    response with ``zones``, and fires at once when the backend's zone is found
    unreachable.

    ``tolerated_inactivity``: silence of up to this time is not evidence against the zone.
    """

    def __init__(
        self,
        backend: Backend,
        slot: Slot,
        suspect: Callable[[], None],
        on_unresponsive: Callable[[], None],
        zones: ZoneReachability,
        tolerated_inactivity: timedelta,
    ) -> None:
        self._zones = zones
        self._tolerated_inactivity = tolerated_inactivity
        self._awaited: AwaitedActivity | None = None
        self._backend = backend
        self._slot = slot
        self._suspect = suspect
        self._on_unresponsive = on_unresponsive
        self._timer: asyncio.TimerHandle | None = None
        self._timeout = timedelta(0)
        self._fired = False

    def arm(self, timeout: timedelta | None = None) -> None:
        """Start waiting for data, with the given timeout or else the previous one."""
        self._timeout = timeout or self._timeout
        self._cancel()
        self._timer = asyncio.get_running_loop().call_later(self._timeout.total_seconds(), self._on_timeout)
        if self._awaited is None:
            backend = self._backend
            self._awaited = self._zones.await_activity(
                backend.id, backend.zone, monotonic(), self._tolerated_inactivity, self._on_timeout
            )

    def on_connect_timeout(self) -> None:
        """Handle a connect timeout: for the zone, the backend counts as still silent."""
        if self._awaited is not None:
            self._zones.on_connect_timeout(self._awaited, monotonic())
            self._awaited = None

    def record_progress(self) -> None:
        """Record data from the backend, and stop waiting until the timer is armed again."""
        self._zones.note_activity(self._backend.zone, monotonic())
        if self._fired:
            self._backend.record_success()
        self.stop()

    def stop(self) -> None:
        """Stop waiting for the backend."""
        self._cancel()
        if self._awaited is not None:
            self._zones.stop_waiting(self._awaited)
            self._awaited = None
        if self._fired:
            self._fired = False
            self._backend.unresponsive_calls -= 1

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._slot.timed_out = True
        if not self._fired:
            self._fired = True
            self._backend.unresponsive_calls += 1
            self._suspect()
        self.arm()
        self._on_unresponsive()
