"""Reserves in whole slots: what each member has for itself, fractions included."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Mapping

# Keeps floating point from turning a whole number of slots into one less.
EPSILON = 1e-9


class Usage(NamedTuple):
    """What a member uses, or what the common part holds: slots and prompt tokens."""

    slots: int
    tokens: int


class Excess(NamedTuple):
    """What a use takes beyond the whole slots of a reserve.

    ``fractions``: 1 if it is the one slot that a fraction of a reserve entitles
    to; summed over members, how many such slots are in use.
    """

    slots: int
    fractions: int
    tokens: int


NO_USAGE = Usage(0, 0)
NO_EXCESS = Excess(0, 0, 0)


@define(frozen=True, slots=True)
class Reserves:
    """One router's capacity laid out: reserves, the slots for their fractions, and the common part.

    A reserve is seldom a whole number of slots; with many routers it is often
    less than one, and rounded down it would be nothing. So the fractions of
    all members are pooled, rounded up as long as the common part keeps a slot.
    A member with just one slot beyond its whole ones takes it from this pool;
    one with more has them all from the common part, so a flood leaves the
    others' fractions alone. The layout never adds up to more than the capacity.

    Attributes
    ----------
    slots, tokens : whole slots, and tokens, reserved for each member.
    fractional : the members that are entitled to a fraction of a slot.
    pool : slots kept for all fractions together.
    common : what any member may use.

    >>> r = Reserves.of(13, 0, {"a": 0.0625, "b": 0.0625}); r.slots["a"], r.pool, tuple(r.common)
    (0, 2, (11, 0))
    """

    slots: dict[str, int]
    tokens: dict[str, int]
    fractional: frozenset[str]
    pool: int
    common: Usage

    @staticmethod
    def of(slots: int, tokens: int, shares: Mapping[str, float]) -> Reserves:
        """Lays out a capacity of slots and tokens by members' shares of it (0 to 1).

        >>> r = Reserves.of(10, 100, {"a": 0.3}); r.slots["a"], r.tokens["a"], r.pool, tuple(r.common)
        (3, 30, 0, (7, 70))
        """
        whole = {member: int(slots * share + EPSILON) for member, share in shares.items()}
        fractions = {member: slots * share - whole[member] for member, share in shares.items()}
        fractional = frozenset(member for member, fraction in fractions.items() if fraction > EPSILON)
        free = slots - sum(whole.values())
        needed = sum(fractions[member] for member in fractional)
        pool = min(ceil(needed - EPSILON), max(int(needed + EPSILON), free - 1), max(0, free))
        reserved_tokens = {member: int(tokens * share) for member, share in shares.items()}
        common = Usage(free - pool, tokens - sum(reserved_tokens.values()))
        return Reserves(whole, reserved_tokens, fractional, pool, common)

    def excess(self, member: str, usage: Usage) -> Excess:
        """What a member's use takes beyond its whole reserve.

        >>> r = Reserves.of(13, 0, {"a": 0.0625}); tuple(r.excess("a", Usage(1, 0))), tuple(r.excess("a", Usage(3, 0)))
        ((1, 1, 0), (3, 0, 0))
        """
        slots = max(0, usage.slots - self.slots.get(member, 0))
        uses_fraction = slots == 1 and member in self.fractional
        return Excess(slots, int(uses_fraction), max(0, usage.tokens - self.tokens.get(member, 0)))

    def common_slots_used(self, excess: Excess) -> int:
        """The slots of the common part that are in use, from the sum of all members' excess.

        >>> Reserves.of(13, 0, {"a": 0.0625}).common_slots_used(Excess(4, 1, 0))
        3
        """
        return excess.slots - min(self.pool, excess.fractions)

    def covers_next_slot(self, member: str, usage: Usage, excess: Excess) -> bool:
        """Whether a member's next slot comes out of its reserve; ``excess``: the sum over all members.

        >>> r = Reserves.of(13, 0, {"a": 0.0625})
        >>> r.covers_next_slot("a", NO_USAGE, NO_EXCESS), r.covers_next_slot("a", Usage(1, 0), Excess(1, 1, 0))
        (True, False)
        """
        reserved = self.slots.get(member, 0)
        if usage.slots < reserved:
            return True
        return usage.slots == reserved and member in self.fractional and excess.fractions < self.pool

    def maximum(self, member: str) -> int:
        """The most slots that a member could have at once.

        >>> Reserves.of(13, 0, {"a": 0.0625}).maximum("a")
        12
        """
        from_pool = int(member in self.fractional and self.pool > 0)
        return self.slots.get(member, 0) + max(from_pool, self.common.slots)
