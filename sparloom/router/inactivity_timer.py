"""Notices that a backend has sent nothing for an attempt's time-out."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from sparloom.transport import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.dynamic_timeout import Slot
    from sparloom.load_balancing import ZoneReachability
    from sparloom.load_balancing.zone_reachability import AwaitedSign

    from .backends import Backend


class InactivityTimer:
    """The time-out of one attempt, from one sign of its backend to the next.

    When it fires, the backend counts as unresponsive and ``suspect`` is called
    once; ``on_unresponsive`` is called then and after each further time-out.
    The timer never ends the attempt. It also tells ``zones`` what is awaited;
    when the backend's zone is found unreachable, it fires at once.

    ``patience``: silence up to this says nothing about the zone.
    """

    def __init__(
        self,
        backend: Backend,
        slot: Slot,
        suspect: Callable[[], None],
        on_unresponsive: Callable[[], None],
        zones: ZoneReachability,
        patience: timedelta,
    ) -> None:
        self._zones = zones
        self._patience = patience
        self._awaited: AwaitedSign | None = None
        self._backend = backend
        self._slot = slot
        self._suspect = suspect
        self._on_unresponsive = on_unresponsive
        self._timer: asyncio.TimerHandle | None = None
        self._timeout = timedelta(0)
        self._fired = False

    def arm(self, timeout: timedelta | None = None) -> None:
        """Wait for the next sign, for the time-out given now or before."""
        self._timeout = timeout or self._timeout
        self._cancel()
        self._timer = asyncio.get_running_loop().call_later(self._timeout.total_seconds(), self._on_timeout)
        if self._awaited is None:
            backend = self._backend
            self._awaited = self._zones.await_sign(
                backend.id, backend.zone, monotonic(), self._patience, self._on_timeout
            )

    def not_connected(self) -> None:
        """No connection opened in time: the backend still owes a sign."""
        if self._awaited is not None:
            self._zones.give_up(self._awaited, monotonic())
            self._awaited = None

    def progressed(self) -> None:
        """The backend has sent something; nothing is waited for until the timer is armed again."""
        self._zones.note_sign(self._backend.zone, monotonic())
        if self._fired:
            self._backend.record_success()
        self.stop()

    def stop(self) -> None:
        """The attempt has ended, or its backend isn't waited for."""
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
