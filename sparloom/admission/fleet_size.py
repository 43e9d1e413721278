"""By how many routers the capacity is divided, and when a new router may begin to admit."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Mapping

# The fraction of the whole that is never granted.
SPARE = 1 / 8


@define(slots=True)
class FleetSize:
    """The divisor of this router's share.

    It is the most routers that were seen within two contact bounds, or that
    the control state records, whichever is more; so a crash, a freeze or a partition
    gives nobody more at once, and a start of all together begins with the
    recorded number. A router that has just started waits until all whom it
    sees divide by the new number too; one that has admitted goes on. An eighth of the whole is never granted: it covers
    those that are partitioned and still divide by the old number.

    Attributes
    ----------
    seen : (time, routers seen) within the last two contact bounds.
    recorded : the largest number that the control state has recorded.
    divisor : by how many the capacity is divided.
    index : this router's position among all that are known, in an order that all agree on.
    known : how many routers have a position: those that died of late keep theirs, so that a partition moves nobody's.
    admitting : whether this router may admit anything yet.
    admitting_since : when it was last seen that it may; None before.

    >>> c = FleetSize(timedelta(seconds=3)); c.update(timedelta(0), 4, 6, {}); c.divisor
    6
    """

    contact_bound: timedelta
    seen: deque[tuple[timedelta, int]] = field(factory=deque)
    recorded: int = 0
    divisor: int = 1
    index: int = 0
    known: int = 0
    admitting: bool = True
    admitting_since: timedelta | None = None

    def update(
        self,
        now: timedelta,
        routers: int,
        recorded: int,
        peer_divisors: Mapping[str, int],
        index: int = 0,
        known: int = 0,
    ) -> None:
        """Notes the routers seen (self included), the recorded number, and what peers divide by.

        ``index`` is this router's position among the ``known`` ones (self and those that died of late included), in
        an order that all agree on.

        >>> c = FleetSize(timedelta(seconds=3)); c.update(timedelta(0), 3, 2, {"a": 2, "b": 2}); c.admitting
        False
        >>> c.update(timedelta(1), 3, 2, {"a": 3, "b": 3}); c.admitting
        True
        """
        self.recorded, self.index = max(self.recorded, recorded), index
        self.known = max(known, routers)
        self.seen.append((now, routers))
        while now - self.seen[0][0] > 2 * self.contact_bound:
            self.seen.popleft()
        self.divisor = max(self.recorded, *(number for _, number in self.seen))
        behind = routers > recorded and any(divisor < self.divisor for divisor in peer_divisors.values())
        if not behind:
            self.admitting, self.admitting_since = True, now
        elif self.admitting_since is None:
            self.admitting = False

    def share(self, whole: int) -> int:
        """This router's share of a whole number of slots or tokens.

        Where routers outnumber the slots a share of zero would stop the
        service, so each keeps one; the runners' own limits bound them.

        >>> FleetSize(timedelta(seconds=3)).share(64), FleetSize(timedelta(seconds=3), divisor=100).share(64)
        (56, 1)
        """
        return max(int(whole > 0), int(whole * (1 - SPARE) / self.divisor)) if self.admitting else 0

    def surplus(self, whole: int, reserved: float, used: int) -> int:
        """What this router may admit beyond its share while the fleet has free capacity.

        That is an equal share of what is neither reserved nor in use at all
        routers, as known here; ``reserved`` and ``used`` are the fleet's.

        >>> FleetSize(timedelta(seconds=3), divisor=8).surplus(768, 96, 272)
        50
        >>> FleetSize(timedelta(seconds=3)).surplus(64, 8, 60)
        0
        """
        return max(0, int((whole - reserved - used) / self.divisor)) if self.admitting else 0

    def indivisible_share(self, whole: int, salt: int = 0) -> int:
        """This router's share of things that can't be split, such as a runner's connections.

        All shares add up to the whole less an eighth. The remainder of the
        division goes to consecutive routers from a position that differs
        by ``salt`` (a runner's number), so that nothing is lost by rounding, also with more routers than things.

        Positions are what membership remembers, so the shares of routers
        that remember different peers may add up to more: good enough for what
        a runner refuses by itself, not for what it must never be sent
        (``configuration/rate_holders.py``).

        >>> [FleetSize(timedelta(seconds=3), divisor=4, index=i).indivisible_share(8, salt=1) for i in range(4)]
        [2, 2, 1, 2]
        """
        granted = int(whole * (1 - SPARE))
        positions = max(self.divisor, self.known)
        each, rest = divmod(granted, positions)
        return each + ((self.index + salt) % positions < rest)
