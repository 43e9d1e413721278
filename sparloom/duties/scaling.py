"""How many runners of a service each zone is to have: target tracking on what the fleet has in hand. No I/O.

The wanted number is that with which a part of all slots, ``TARGET_UTILISATION``,
is in use. More runners are ordered once they were needed throughout
``SUSTAINED``: a shorter burst is over before a new runner serves. Fewer are
ordered once the need has been lower throughout ``STABILISATION``, since the
prompts that a runner has cached go with it; sooner where there was no request
at all. Orders name absolute numbers, so one that is repeated or lost and sent
again changes nothing.
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

# The part of all slots that is to be in use.
TARGET_UTILISATION = 0.45
# More runners are ordered only after all observations in this time asked for more,
SUSTAINED = timedelta(seconds=3)
# and fewer only after none in this time did,
STABILISATION = timedelta(seconds=30)
# or after a shorter time without any request.
IDLE_STABILISATION = timedelta(seconds=6)


@define(frozen=True, slots=True)
class ScaledService:
    """A service whose runners are ordered, as it is now.

    Attributes
    ----------
    name
        Its name.
    minimum, maximum
        How many runners a zone may have.
    slots
        Requests that a runner works on at once.
    runners
        Runners that are listed and not draining, by zone.
    """

    name: str
    minimum: int
    maximum: int
    slots: int
    runners: Mapping[str, int]

    def clamp(self, count: int) -> int:
        """Return the number of runners nearest to a count that a zone may have.

        >>> ScaledService("s", 2, 4, 8, {}).clamp(9)
        4
        """
        return max(self.minimum, min(self.maximum, count))


def demand_of(loads: Iterable[ServiceLoad]) -> int:
    """Return how many requests routers have in hand for a service, at runners and waiting."""
    return sum(load.in_flight + load.waiting for load in loads)


def needed_per_zone(service: ScaledService, demand: int) -> int:
    """Return how many runners each zone needs for a number of requests in hand.

    >>> service = ScaledService("s", 2, 9, 10, {"a": 3, "b": 3})
    >>> needed_per_zone(service, 0), needed_per_zone(service, 45), needed_per_zone(service, 900)
    (2, 5, 9)
    """
    slots = max(1, service.slots) * TARGET_UTILISATION * max(1, len(service.runners))
    return service.clamp(ceil(demand / slots))


@define(frozen=True, slots=True)
class _Observation:
    """What was in hand at one moment, and how many runners each zone needed for it."""

    at: timedelta
    demand: int
    needed: int


@define(slots=True)
class ScalePolicy:
    """The needs of one service over the last seconds.

    >>> policy, second = ScalePolicy(), timedelta(seconds=1)
    >>> service = ScaledService("s", 1, 9, 10, {"a": 3})
    >>> [policy.wanted(service, 0, n * second, {"a": 3}) for n in (0, 5, 6)]
    [{}, {}, {'a': 1}]
    >>> [policy.wanted(service, 20, n * second, {"a": 1}) for n in (7, 8, 10)]
    [{}, {}, {'a': 5}]
    """

    _seen: deque[_Observation] = field(factory=deque)

    def wanted(self, service: ScaledService, demand: int, now: timedelta, ordered: Mapping[str, int]) -> dict[str, int]:
        """Return the zones whose number is to change, with the new one.

        Parameters
        ----------
        service
            The service as it is now.
        demand
            The requests in hand over the fleet.
        now
            The monotonic clock.
        ordered
            What was ordered last for each zone; what is listed stands in for a zone without an order.
        """
        self._observe(_Observation(now, demand, needed_per_zone(service, demand)))
        at_least = min((seen.needed for seen in self._since(now - SUSTAINED)), default=service.minimum)
        idle = [seen.demand == 0 for seen in self._since(now - IDLE_STABILISATION)]
        quiet_since = now - (IDLE_STABILISATION if idle and all(idle) else STABILISATION)
        at_most = max((seen.needed for seen in self._since(quiet_since)), default=service.maximum)
        changes = {}
        for zone in sorted({*service.runners, *ordered}):
            present = ordered.get(zone, service.runners.get(zone, 0))
            target = service.clamp(max(at_least, min(present, at_most)))
            if target != present:
                changes[zone] = target
        return changes

    def _observe(self, observation: _Observation) -> None:
        self._seen.append(observation)
        # The oldest one that is left covers the whole time.
        while len(self._seen) > 1 and observation.at - self._seen[1].at >= STABILISATION:
            self._seen.popleft()

    def _since(self, start: timedelta) -> list[_Observation]:
        """The observations from a moment on, with the last one before it; none where they don't reach back so far."""
        if self._seen[0].at > start:
            return []
        earlier = [seen for seen in self._seen if seen.at <= start]
        return [earlier[-1], *(seen for seen in self._seen if seen.at > start)]
