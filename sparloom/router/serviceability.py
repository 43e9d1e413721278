"""Whether enough runners can be reached from this router; one that can serve hardly anybody should get no clients.

A router that is partitioned from nearly every runner still answers its
clients, with 503 nearly each time. If it calls itself unready, the platform
sends its clients to other routers, in another zone if all of this one are as
badly off.
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

# Fewer runners must have been in reach for this part of the contact bound, so that a moment's trouble moves no client.
PATIENCE_PART = 1 / 8
# With less than this part of the runners in reach, more clients gain by going elsewhere than lose.
MINIMUM_PART_IN_REACH = 1 / 8


class Serviceability:
    """Looks at each tick how many of the listed runners are in reach.

    Attributes
    ----------
    cut_off: whether runners are listed that take requests, and hardly any of them has been in reach for a while.
    """

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._out_of_reach_since: timedelta | None = None
        self.cut_off = False

    def tick(self, now: timedelta) -> None:
        """Time moves on; called every 200 ms."""
        if self._reaches_enough(now):
            self._out_of_reach_since = None
        elif self._out_of_reach_since is None:
            self._out_of_reach_since = now
        self._set(self._is_over(now))

    def _reaches_enough(self, now: timedelta) -> bool:
        """Whether enough runners are in reach; looks at no more of them than it takes to know."""
        services = self._state.backends.connected.values()
        needed = ceil(sum(map(len, services)) * MINIMUM_PART_IN_REACH)
        in_reach = (backend for backend in chain.from_iterable(services) if self._is_in_reach(backend, now))
        return sum(1 for _ in islice(in_reach, needed)) >= needed

    def _is_in_reach(self, backend: Backend, now: timedelta) -> bool:
        return not backend.is_absent(now) and not self._state.zones.is_unreachable(backend.zone)

    def _is_over(self, now: timedelta) -> bool:
        if self._out_of_reach_since is None:
            return False
        return now - self._out_of_reach_since >= self._state.settings.bounds.contact * PATIENCE_PART

    def _set(self, cut_off: bool) -> None:
        if cut_off != self.cut_off:
            logging.info("readiness: hardly a runner in reach" if cut_off else "readiness: runners in reach again")
        self.cut_off = cut_off
