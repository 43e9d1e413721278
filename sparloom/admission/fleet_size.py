"""Divides the fleet's capacity among routers, and decides when a new router may admit requests."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Mapping

# Fraction of the total that is never granted. It covers partitioned routers that still use an old divisor.
UNGRANTED_FRACTION = 1 / 8


@define(slots=True)
class FleetSize:
    """The number of routers by which this router divides the fleet's capacity.

    The divisor is the larger of two numbers: the most routers observed within
    two contact bounds, and the number recorded in the control state. A crash, a
    pause or a partition therefore doesn't raise any router's share at once, and
    a simultaneous start of all routers begins with the recorded number.

    A router that has just started waits until all routers that it observes
    divide by the new number too. A router that has admitted requests before
    continues. An eighth of the total is never granted: it covers partitioned
    routers that still divide by the old number.

    Attributes
    ----------
    contact_bound : the contact bound of the settings.
    observations : (time, number of routers observed) within the last two contact bounds.
    recorded : the largest number that the control state has recorded.
    divisor : the number by which the capacity is divided.
    index : this router's position among the known routers, in an order that is the same on all routers.
    known_routers : number of routers that have a position. Recently failed routers
        keep theirs, so that a partition doesn't shift the others' positions.
    admitting : whether this router may admit requests.
    admitting_since : when ``update`` last found that it may; None before.

    >>> fleet_size = FleetSize(timedelta(seconds=3)); fleet_size.update(timedelta(0), 4, 6, {}); fleet_size.divisor
    6
    """

    contact_bound: timedelta
    observations: deque[tuple[timedelta, int]] = field(factory=deque)
    recorded: int = 0
    divisor: int = 1
    index: int = 0
    known_routers: int = 0
    admitting: bool = True
    admitting_since: timedelta | None = None

    def update(
        self,
        now: timedelta,
        routers: int,
        recorded: int,
        peer_divisors: Mapping[str, int],
        index: int = 0,
        known_routers: int = 0,
    ) -> None:
        """Applies the number of routers observed (self included), the recorded number and the peers' divisors.

        ``index`` is this router's position among the ``known_routers``, in an order that is the same on all routers.
        ``known_routers`` includes this router and recently failed ones.

        >>> fleet_size = FleetSize(timedelta(seconds=3))
        >>> fleet_size.update(timedelta(0), 3, 2, {"a": 2, "b": 2}); fleet_size.admitting
        False
        >>> fleet_size.update(timedelta(1), 3, 2, {"a": 3, "b": 3}); fleet_size.admitting
        True
        """
        self.recorded, self.index = max(self.recorded, recorded), index
        self.known_routers = max(known_routers, routers)
        self.observations.append((now, routers))
        while now - self.observations[0][0] > 2 * self.contact_bound:
            self.observations.popleft()
        self.divisor = max(self.recorded, *(number for _, number in self.observations))
        peers_outdated = routers > recorded and any(divisor < self.divisor for divisor in peer_divisors.values())
        if not peers_outdated:
            self.admitting, self.admitting_since = True, now
        elif self.admitting_since is None:
            self.admitting = False

    def quota(self, total: int) -> int:
        """Returns this router's share of the fleet's slots or tokens.

        It is 0 while the router may not admit, and otherwise at least one: if there
        were more routers than slots, shares of zero would stop the service. The
        runners' own limits bound the excess.

        >>> FleetSize(timedelta(seconds=3)).quota(64), FleetSize(timedelta(seconds=3), divisor=100).quota(64)
        (56, 1)
        """
        return max(int(total > 0), int(total * (1 - UNGRANTED_FRACTION) / self.divisor)) if self.admitting else 0

    def surplus(self, total: int, reserved: float, used: int) -> int:
        """Returns how much this router may admit beyond its share while the fleet has free capacity.

        It is an equal share of the capacity that is neither reserved nor in use.
        ``reserved`` and ``used`` are totals of the fleet, as known to this router.

        >>> FleetSize(timedelta(seconds=3), divisor=8).surplus(768, 96, 272)
        50
        >>> FleetSize(timedelta(seconds=3)).surplus(64, 8, 60)
        0
        """
        return max(0, int((total - reserved - used) / self.divisor)) if self.admitting else 0

    def indivisible_quota(self, total: int, salt: int = 0) -> int:
        """Returns this router's share of indivisible units, such as a runner's connections.

        All shares add up to the total less an eighth. The remainder of the
        division goes to consecutive routers, starting at a position that depends
        on ``salt`` (a runner's number). So no unit is lost by rounding, even if
        there are more routers than units.

        Positions come from the membership, which may differ between routers, so
        their shares may add up to more than the total. That is acceptable for
        limits that a runner enforces itself, but not for limits that must never
        be exceeded (see ``configuration/rate_holders.py``).

        >>> [FleetSize(timedelta(seconds=3), divisor=4, index=i).indivisible_quota(8, salt=1) for i in range(4)]
        [2, 2, 1, 2]
        """
        granted = int(total * (1 - UNGRANTED_FRACTION))
        position_count = max(self.divisor, self.known_routers)
        each, remainder = divmod(granted, position_count)
        return each + ((self.index + salt) % position_count < remainder)
