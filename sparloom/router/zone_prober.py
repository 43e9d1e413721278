"""Probes zones by opening connections to their runners (``ZoneProber``).

Probes into a suspected zone decide whether it is unreachable. Probes into an
unreachable zone detect when it is reachable again. A probe sends no request:
its connection is closed as soon as it is open.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from sparloom.transport import dial, monotonic

if TYPE_CHECKING:
    from sparloom.load_balancing.zone_reachability import DueProbe

    from .backends import Backend
    from .router_state import RouterState

# Connect timeout of a probe, as a fraction of the contact bound.
PROBE_TIMEOUT_FRACTION = 1 / 40


class ZoneProber:
    """Updates the reachability of the zones at each tick, and runs the probes that are due."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._probes: set[asyncio.Task[None]] = set()
        self._reported: frozenset[str] = frozenset()

    def tick(self) -> None:
        """Starts the probes that are due and logs changes of reachability; called every 50 ms."""
        zones = self._state.zones
        zones.tick(monotonic())
        for due in zones.due_probes(monotonic()):
            self._start_probes(due)
        self._report_changes()

    def _start_probes(self, due: DueProbe) -> None:
        state = self._state
        backends = [backend for backend in state.backends.by_id.values() if backend.zone == due.zone]
        if not backends:
            # A zone without listed runners has none that could fail to respond, so it is no longer suspected.
            state.zones.note_activity(due.zone, monotonic())
            return
        for backend in state.random.sample(backends, min(due.runners, len(backends))):
            probe = asyncio.get_running_loop().create_task(self._probe(backend))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    def _report_changes(self) -> None:
        unreachable = self._state.zones.unreachable
        if unreachable.keys() == self._reported:
            return
        for zone in unreachable.keys() - self._reported:
            logging.info("zones: unreachable zone=%s silent=%d", zone, unreachable[zone].unresponsive_runners)
        for zone in self._reported - unreachable.keys():
            logging.info("zones: reachable again zone=%s", zone)
            self._clear_absences(zone)
        self._reported = frozenset(unreachable)

    def _clear_absences(self, zone: str) -> None:
        for backend in self._state.backends.by_id.values():
            if backend.zone == zone:
                backend.clear_absence()

    async def _probe(self, backend: Backend) -> None:
        """Tries to connect to a runner; a connection that opens or is refused shows that its zone is reachable."""
        host, _, port = backend.address.rpartition(":")
        zones = self._state.zones
        try:
            connection = await dial(host, int(port), self._state.settings.bounds.contact * PROBE_TIMEOUT_FRACTION)
        except ConnectionRefusedError:
            zones.note_activity(backend.zone, monotonic())
        except (OSError, TimeoutError):
            zones.note_failed_probe(backend.zone, backend.id, monotonic())
        else:
            connection.close()
            zones.note_activity(backend.zone, monotonic())

    def close(self) -> None:
        """Cancels the probes in progress."""
        for probe in self._probes:
            probe.cancel()
