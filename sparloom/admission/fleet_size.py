"""How many routers the whole is divided by, and when a newcomer may begin."""

from collections import deque
from datetime import timedelta

from attrs import define, field

SPARE = 1 / 8


@define(slots=True)
class FleetSize:
    """The divisor of this router's part.

    It is the most routers that were seen within two contact bounds, or that
    the control state records, whichever is more; so a death, a freeze or a cut
    gives nobody more at once, and a start of all together begins with the
    recorded number. A router that raises the number waits until all whom it
    sees divide by it too. An eighth of the whole is never granted: it covers
    those that are cut off and still divide by the old number.

    >>> c = FleetSize(timedelta(seconds=3)); c.update(timedelta(0), 4, 6, {}); c.divisor
    6
    """

    contact: timedelta
    seen: deque = field(factory=deque)
    recorded: int = 0
    divisor: int = 1
    index: int = 0
    admitting: bool = True
    since: timedelta | None = None

    def update(self, now, routers, recorded, told, index=0):
        """Notes the routers seen (self included), the recorded number, and what peers divide by.

        ``index`` is this router's place among those seen, in an order that all agree on.

        >>> c = FleetSize(timedelta(seconds=3)); c.update(timedelta(0), 3, 2, {"a": 2, "b": 2}); c.admitting
        False
        >>> c.update(timedelta(1), 3, 2, {"a": 3, "b": 3}); c.admitting
        True
        """
        self.recorded, self.index = max(self.recorded, recorded), index
        self.seen.append((now, routers))
        while now - self.seen[0][0] > 2 * self.contact:
            self.seen.popleft()
        self.divisor = max(self.recorded, *(n for _, n in self.seen))
        behind = routers > recorded and any(n < self.divisor for n in told.values())
        if not behind:
            self.admitting, self.since = True, now
        elif self.since is None:
            self.admitting = False

    def share(self, whole):
        """This router's part of a whole: slots, tokens.

        Where routers outnumber the slots a part of nothing would stop the
        service, so each keeps one; the shared count at the runners bounds them.

        >>> FleetSize(timedelta(seconds=3)).share(64), FleetSize(timedelta(seconds=3), divisor=100).share(64)
        (56, 1)
        """
        return max(int(whole > 0), int(whole * (1 - SPARE) / self.divisor)) if self.admitting else 0

    def surplus(self, whole, reserved, used):
        """What this router may grant beyond its part while the fleet has room.

        That is an equal part of what is neither reserved nor in use at all
        routers, as known here; ``reserved`` and ``used`` are the fleet's.

        >>> FleetSize(timedelta(seconds=3), divisor=8).surplus(768, 96, 272), FleetSize(timedelta(seconds=3)).surplus(64, 8, 60)
        (50, 0)
        """
        return max(0, int((whole - reserved - used) / self.divisor)) if self.admitting else 0

    def indivisible_share(self, whole, salt=0):
        """This router's part of things that can't be split, such as a runner's connections; they add up to the whole less an eighth.

        What is left after an equal part for all goes to the routers from a
        place on that differs by ``salt`` (a runner's number), so that nothing
        is lost by rounding, also with more routers than things.

        >>> [FleetSize(timedelta(seconds=3), divisor=4, index=i).indivisible_share(8, salt=1) for i in range(4)]
        [2, 2, 1, 2]
        """
        each, rest = divmod(int(whole * (1 - SPARE)), self.divisor)
        return each + ((self.index + salt) % self.divisor < rest)
