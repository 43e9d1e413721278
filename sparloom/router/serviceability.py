"""Readiness by reachable runners (``Serviceability``): a router that reaches too few of them should get no clients.

A router that is partitioned from nearly every runner still answers its
clients, but nearly always with 503. If it reports itself unready, the platform
sends its clients to other routers, which are in another zone if all routers of
this zone are partitioned too.
"""

from __future__ import annotations

from itertools import chain, islice
from math import ceil
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from datetime import timedelta

    from .backends import Backend
    from .router_state import RouterState

# Fraction of the contact bound for which too few runners must be reachable before the router is unready. A shorter
# outage moves no clients.
GRACE_FRACTION = 1 / 8
# Minimum fraction of the runners that must be reachable. Below it, more clients gain than lose by a move to another
# router.
MINIMUM_REACHABLE_FRACTION = 1 / 8


class Serviceability:
    """Checks at each tick whether enough of the listed runners are reachable.

    Attributes
    ----------
    partitioned: whether runners that accept requests are listed, but for the grace period too few have been reachable.
    """

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._unreachable_since: timedelta | None = None
        self.partitioned = False

    def tick(self, now: timedelta) -> None:
        """Updates ``partitioned``; called every 200 ms."""
        if self._reaches_enough(now):
            self._unreachable_since = None
        elif self._unreachable_since is None:
            self._unreachable_since = now
        self._update(self._grace_expired(now))

    def _reaches_enough(self, now: timedelta) -> bool:
        """Whether enough runners are reachable; checks only as many of them as are needed to decide."""
        services = self._state.backends.connected.values()
        needed = ceil(sum(map(len, services)) * MINIMUM_REACHABLE_FRACTION)
        reachable = (backend for backend in chain.from_iterable(services) if self._is_reachable(backend, now))
        return sum(1 for _ in islice(reachable, needed)) >= needed

    def _is_reachable(self, backend: Backend, now: timedelta) -> bool:
        return not backend.is_absent(now) and not self._state.zones.is_unreachable(backend.zone)

    def _grace_expired(self, now: timedelta) -> bool:
        if self._unreachable_since is None:
            return False
        return now - self._unreachable_since >= self._state.settings.bounds.contact * GRACE_FRACTION

    def _update(self, partitioned: bool) -> None:
        if partitioned != self.partitioned:
            logging.info(
                "readiness: too few runners reachable" if partitioned else "readiness: enough runners reachable"
            )
        self.partitioned = partitioned
