"""Computes the number of runners of a service per zone: target tracking on the fleet's demand. No I/O.

``ScalePolicy`` aims at a number of runners that keeps ``TARGET_UTILISATION``
of all slots in use. It scales up once the higher number was required
throughout ``SCALE_UP_STABILISATION``: a shorter burst ends before a new runner
serves. It scales down once a lower number was sufficient throughout
``SCALE_DOWN_STABILISATION``, because a removed runner takes its cached prompts
with it; it scales down sooner if there were no requests at all. Orders contain
absolute numbers, so repeating or resending one changes nothing.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from math import ceil
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sparloom.usage import ServiceLoad

# Fraction of all slots that should be in use.
TARGET_UTILISATION = 0.45
# Scales up only if all observations in this period require more runners.
SCALE_UP_STABILISATION = timedelta(seconds=3)
# Scales down only if every observation in this period requires fewer runners than there are.
SCALE_DOWN_STABILISATION = timedelta(seconds=30)
# Scales down after this period if it contains no requests.
IDLE_SCALE_DOWN_STABILISATION = timedelta(seconds=6)


@define(frozen=True, slots=True)
class ScaledService:
    """A service with automatic scaling, with its configured limits and its listed runners.

    Attributes
    ----------
    name
        Its name.
    minimum, maximum
        Limits of the number of runners in a zone.
    slots
        Concurrent requests that a runner can process.
    runners
        Number of listed runners that are not draining, by zone.
    """

    name: str
    minimum: int
    maximum: int
    slots: int
    runners: Mapping[str, int]

    def clamp(self, count: int) -> int:
        """Return a number of runners clamped to the limits of a zone.

        >>> ScaledService("s", 2, 4, 8, {}).clamp(9)
        4
        """
        return max(self.minimum, min(self.maximum, count))


def total_demand(loads: Iterable[ServiceLoad]) -> int:
    """Return how many requests of a service are in flight or waiting at the routers."""
    return sum(load.in_flight + load.waiting for load in loads)


def required_per_zone(service: ScaledService, demand: int) -> int:
    """Return how many runners each zone requires for a number of requests in flight or waiting.

    >>> service = ScaledService("s", 2, 9, 10, {"a": 3, "b": 3})
    >>> required_per_zone(service, 0), required_per_zone(service, 45), required_per_zone(service, 900)
    (2, 5, 9)
    """
    slots = max(1, service.slots) * TARGET_UTILISATION * max(1, len(service.runners))
    return service.clamp(ceil(demand / slots))


@define(frozen=True, slots=True)
class _Observation:
    """The demand at one moment, and the number of runners per zone that it required."""

    at: timedelta
    demand: int
    required: int


@define(slots=True)
class ScalePolicy:
    """Decides the scaling of one service from the recent observations of its demand.

    >>> policy, second = ScalePolicy(), timedelta(seconds=1)
    >>> service = ScaledService("s", 1, 9, 10, {"a": 3})
    >>> [policy.desired_changes(service, 0, n * second, {"a": 3}) for n in (0, 5, 6)]
    [{}, {}, {'a': 1}]
    >>> [policy.desired_changes(service, 20, n * second, {"a": 1}) for n in (7, 8, 10)]
    [{}, {}, {'a': 5}]
    """

    _observations: deque[_Observation] = field(factory=deque)

    def desired_changes(
        self, service: ScaledService, demand: int, now: timedelta, ordered: Mapping[str, int]
    ) -> dict[str, int]:
        """Return the new number of runners for each zone in which it changes.

        Parameters
        ----------
        service
            The service with its current runners.
        demand
            The requests that are in flight or waiting in the whole fleet.
        now
            The monotonic time.
        ordered
            The last ordered number for each zone. A zone without an order uses its number of listed runners.
        """
        self._observe(_Observation(now, demand, required_per_zone(service, demand)))
        lower_bound = min(
            (observed.required for observed in self._since(now - SCALE_UP_STABILISATION)), default=service.minimum
        )
        idle = [observed.demand == 0 for observed in self._since(now - IDLE_SCALE_DOWN_STABILISATION)]
        scale_down_start = now - (IDLE_SCALE_DOWN_STABILISATION if idle and all(idle) else SCALE_DOWN_STABILISATION)
        upper_bound = max((observed.required for observed in self._since(scale_down_start)), default=service.maximum)
        changes = {}
        for zone in sorted({*service.runners, *ordered}):
            current = ordered.get(zone, service.runners.get(zone, 0))
            target = service.clamp(max(lower_bound, min(current, upper_bound)))
            if target != current:
                changes[zone] = target
        return changes

    def _observe(self, observation: _Observation) -> None:
        self._observations.append(observation)
        # Keeps one observation from before the period, so that the remaining ones cover all of it.
        while len(self._observations) > 1 and observation.at - self._observations[1].at >= SCALE_DOWN_STABILISATION:
            self._observations.popleft()

    def _since(self, start: timedelta) -> list[_Observation]:
        """Return the observations since ``start`` and the last one before it; none if the history is too short."""
        if self._observations[0].at > start:
            return []
        earlier = [observed for observed in self._observations if observed.at <= start]
        return [earlier[-1], *(observed for observed in self._observations if observed.at > start)]
