"""Which relay a follower tells its words to."""

from datetime import timedelta

from attrs import define, field

ZERO = timedelta(0)


@define(slots=True)
class Parent:
    """The choice of one follower; it stays with a relay that speaks and is in touch.

    >>> p = Parent(timedelta(seconds=3), 0); p.choose(ZERO, ["a", "b"], None), p.key
    (True, 'a')
    >>> p.choose(timedelta(seconds=1.1), ["a", "b"], None), p.key
    (True, 'b')
    """

    contact: timedelta
    luck: int
    key: str | None = None
    joined: timedelta = ZERO
    spoke: timedelta = ZERO
    failed: dict = field(factory=dict)

    def choose(self, now, able, prefer):
        """Whether the choice has changed; ``able``: the relays up, best first; ``prefer``: the one that the news come from.

        A relay is left when nothing fresh was heard from it for a third of the
        contact bound, and tried again after two bounds. A follower goes back to
        its best one after 4 to 8 bounds.
        """
        if not able:
            self.key = None
            return False
        self.failed = {k: t for k, t in self.failed.items() if now - t < 2 * self.contact}
        if self.key in able and now - max(self.joined, self.spoke) > self.contact / 3:
            self.failed[self.key] = now
        well = [p for p in able if p not in self.failed] or sorted(able, key=lambda p: self.failed[p])
        to = self.key if self.key in well else well[0]
        if prefer in well:
            to = prefer
        elif self.key in well and now - self.joined > (4 + self.luck % 256 / 64) * self.contact:
            to = well[0]
        if to == self.key:
            return False
        self.key, self.joined = to, now
        return True
