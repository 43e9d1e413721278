"""Reserves in whole slots: what each member has for itself, fractions included."""

from math import ceil

from attrs import define

NEAR = 1e-9


@define(frozen=True, slots=True)
class Reserves:
    """One router's room laid out: reserves, the slots for their fractions, and the common part.

    A reserve is seldom a whole number of slots; with many routers it is often
    less than one, and rounded down it would be nothing. So the fractions of
    all members are kept together, rounded up as long as the common part keeps
    a slot. A member with just one slot beyond its whole ones takes it from
    these; one with more has them all from the common part, so a flood leaves
    the others' fractions alone. The layout never adds up to more than the room.

    >>> r = Reserves.of(13, 0, {"a": 0.0625, "b": 0.0625}); r.slots["a"], r.pool, r.common
    (0, 2, (11, 0))
    """

    slots: dict
    tokens: dict
    sharers: frozenset
    pool: int
    common: tuple

    @staticmethod
    def of(slots, tokens, parts):
        """Lays out a room of slots and tokens by members' parts of it (0 to 1).

        >>> r = Reserves.of(10, 100, {"a": 0.3}); r.slots["a"], r.tokens["a"], r.pool, r.common
        (3, 30, 0, (7, 70))
        """
        whole = {m: int(slots * p + NEAR) for m, p in parts.items()}
        rest = {m: slots * p - whole[m] for m, p in parts.items()}
        sharers = frozenset(m for m, f in rest.items() if f > NEAR)
        free = slots - sum(whole.values())
        need = sum(rest[m] for m in sharers)
        pool = min(ceil(need - NEAR), max(int(need + NEAR), free - 1), max(0, free))
        kept = {m: int(tokens * p) for m, p in parts.items()}
        return Reserves(whole, kept, sharers, pool, (free - pool, tokens - sum(kept.values())))

    def over(self, m, used):
        """What a use (slots, tokens) takes beyond whole reserves: slots, whether it is one for a fraction, tokens.

        >>> r = Reserves.of(13, 0, {"a": 0.0625}); r.over("a", (1, 0)), r.over("a", (3, 0))
        ((1, 1, 0), (3, 0, 0))
        """
        s = max(0, used[0] - self.slots.get(m, 0))
        return s, int(s == 1 and m in self.sharers), max(0, used[1] - self.tokens.get(m, 0))

    def common_use(self, over):
        """The slots of the common part that are in use, of the sum of all members' ``over``.

        >>> Reserves.of(13, 0, {"a": 0.0625}).common_use((4, 1, 0))
        3
        """
        return over[0] - min(self.pool, over[1])

    def inside(self, m, used, over):
        """Whether a member's next slot comes out of its reserve.

        >>> r = Reserves.of(13, 0, {"a": 0.0625}); r.inside("a", (0, 0), (0, 0, 0)), r.inside("a", (1, 0), (1, 1, 0))
        (True, False)
        """
        have = self.slots.get(m, 0)
        return used[0] < have or (used[0] == have and m in self.sharers and over[1] < self.pool)

    def most(self, m):
        """The most slots that a member could have at once.

        >>> Reserves.of(13, 0, {"a": 0.0625}).most("a")
        12
        """
        return self.slots.get(m, 0) + max(int(m in self.sharers and self.pool > 0), self.common[0])
