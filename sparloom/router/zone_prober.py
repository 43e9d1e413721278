"""Opens connections into zones that are doubted, to find them unreachable, or unreachable, to notice their return.

No request is risked for it: a connection is closed as soon as it is open.
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

# A connection that is not open after this part of the contact bound counts as failed.
PROBE_TIMEOUT_PART = 1 / 40


class ZoneProber:
    """Judges the zones at each tick, and carries out the probes that are due."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._probes: set[asyncio.Task[None]] = set()
        self._reported: frozenset[str] = frozenset()

    def tick(self) -> None:
        """Time moves on; called every 50 ms."""
        zones = self._state.zones
        zones.tick(monotonic())
        for due in zones.due_probes(monotonic()):
            self._begin(due)
        self._report_changes()

    def _begin(self, due: DueProbe) -> None:
        state = self._state
        backends = [backend for backend in state.backends.by_id.values() if backend.zone == due.zone]
        if not backends:
            # None is listed any more that could be silent.
            state.zones.note_sign(due.zone, monotonic())
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
            logging.info("zones: unreachable zone=%s silent=%d", zone, unreachable[zone].silent_runners)
        for zone in self._reported - unreachable.keys():
            logging.info("zones: reachable again zone=%s", zone)
            self._forget_absences(zone)
        self._reported = frozenset(unreachable)

    def _forget_absences(self, zone: str) -> None:
        for backend in self._state.backends.by_id.values():
            if backend.zone == zone:
                backend.forget_absence()

    async def _probe(self, backend: Backend) -> None:
        """Try to connect to a runner; a connection that opens, or is refused, is a sign of its zone."""
        host, _, port = backend.address.rpartition(":")
        zones = self._state.zones
        try:
            connection = await dial(host, int(port), self._state.settings.bounds.contact * PROBE_TIMEOUT_PART)
        except ConnectionRefusedError:
            zones.note_sign(backend.zone, monotonic())
        except (OSError, TimeoutError):
            zones.note_failed_probe(backend.zone, backend.id, monotonic())
        else:
            connection.close()
            zones.note_sign(backend.zone, monotonic())

    def close(self) -> None:
        """Ends what is under way."""
        for probe in self._probes:
            probe.cancel()
