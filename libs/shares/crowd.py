"""How many routers the whole is divided by, and when a newcomer may begin."""
from collections import deque
from datetime import timedelta

from attrs import define, field

SPARE = 1 / 8


@define(slots=True)
class Crowd:
    """The divisor of this router's part.

    It is the most routers that were seen within two contact bounds, or that
    the control state records, whichever is more; so a death, a freeze or a cut
    gives nobody more at once, and a start of all together begins with the
    recorded number. A router that raises the number waits until all whom it
    sees divide by it too. An eighth of the whole is never granted: it covers
    those that are cut off and still divide by the old number.

    >>> c = Crowd(timedelta(seconds=3)); c.see(timedelta(0), 4, 6, {}); c.divisor
    6
    """

    contact: timedelta
    seen: deque = field(factory=deque)
    recorded: int = 0
    divisor: int = 1
    open: bool = True
    since: timedelta | None = None

    def see(self, now, routers, recorded, told):
        """Notes the routers seen (self included), the recorded number, and what peers divide by.

        >>> c = Crowd(timedelta(seconds=3)); c.see(timedelta(0), 3, 2, {"a": 2, "b": 2}); c.open
        False
        >>> c.see(timedelta(1), 3, 2, {"a": 3, "b": 3}); c.open
        True
        """
        self.recorded = max(self.recorded, recorded)
        self.seen.append((now, routers))
        while now - self.seen[0][0] > 2 * self.contact:
            self.seen.popleft()
        self.divisor = max(self.recorded, *(n for _, n in self.seen))
        behind = routers > recorded and any(n < self.divisor for n in told.values())
        if not behind:
            self.open, self.since = True, now
        elif self.since is None:
            self.open = False

    def part(self, whole):
        """This router's part of a whole.

        >>> Crowd(timedelta(seconds=3)).part(64)
        56
        """
        return int(whole * (1 - SPARE) / self.divisor) if self.open else 0
