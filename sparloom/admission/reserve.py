"""Divides a capacity into reserves of members, a pool for fractions of slots, and a common part."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Mapping

# Tolerance for floating-point errors, so that a whole number of slots is not rounded down by one.
EPSILON = 1e-9


class Usage(NamedTuple):
    """Slots and prompt tokens: the usage of a member, or the size of the common part."""

    slots: int
    tokens: int


class Excess(NamedTuple):
    """Usage beyond the whole slots and the tokens of a reserve.

    ``fractions`` is 1 if the excess is the single slot to which the fractional
    part of a reserve entitles its member, else 0. Summed over all members, it is
    the number of such slots in use.
    """

    slots: int
    fractions: int
    tokens: int


NO_USAGE = Usage(0, 0)
NO_EXCESS = Excess(0, 0, 0)


@define(frozen=True, slots=True)
class Reserves:
    """Division of one router's capacity into reserves, the pool for their fractions, and the common part.

    A reserve is rarely a whole number of slots. With many routers it is often
    less than one slot, and rounding it down would leave nothing. The fractions of
    all members are therefore pooled, and the pool is rounded up if the common
    part keeps at least one slot. A member with exactly one slot beyond its whole
    slots takes it from the pool. A member with more takes all of them from the
    common part, so a flood doesn't use up the fractions of other members. The
    parts never add up to more than the capacity.

    Attributes
    ----------
    slots, tokens : whole slots and tokens reserved for each member.
    fractional : members whose reserve includes a fraction of a slot.
    pool : slots reserved for the fractions of all members.
    common : slots and tokens that any member may use.

    >>> reserves = Reserves.of(13, 0, {"a": 0.0625, "b": 0.0625})
    >>> reserves.slots["a"], reserves.pool, tuple(reserves.common)
    (0, 2, (11, 0))
    """

    slots: dict[str, int]
    tokens: dict[str, int]
    fractional: frozenset[str]
    pool: int
    common: Usage

    @staticmethod
    def of(slots: int, tokens: int, reserve_fractions: Mapping[str, float]) -> Reserves:
        """Divides a capacity of slots and tokens according to the members' reserve fractions (0 to 1).

        >>> reserves = Reserves.of(10, 100, {"a": 0.3})
        >>> reserves.slots["a"], reserves.tokens["a"], reserves.pool, tuple(reserves.common)
        (3, 30, 0, (7, 70))
        """
        reserved_slots = {member: int(slots * fraction + EPSILON) for member, fraction in reserve_fractions.items()}
        fractions = {
            member: slots * fraction - reserved_slots[member] for member, fraction in reserve_fractions.items()
        }
        fractional = frozenset(member for member, fraction in fractions.items() if fraction > EPSILON)
        free = slots - sum(reserved_slots.values())
        needed = sum(fractions[member] for member in fractional)
        pool = min(ceil(needed - EPSILON), max(int(needed + EPSILON), free - 1), max(0, free))
        reserved_tokens = {member: int(tokens * fraction) for member, fraction in reserve_fractions.items()}
        common = Usage(free - pool, tokens - sum(reserved_tokens.values()))
        return Reserves(reserved_slots, reserved_tokens, fractional, pool, common)

    def excess(self, member: str, usage: Usage) -> Excess:
        """Returns a member's usage beyond its reserve.

        >>> reserves = Reserves.of(13, 0, {"a": 0.0625})
        >>> tuple(reserves.excess("a", Usage(1, 0))), tuple(reserves.excess("a", Usage(3, 0)))
        ((1, 1, 0), (3, 0, 0))
        """
        slots = max(0, usage.slots - self.slots.get(member, 0))
        uses_fraction = slots == 1 and member in self.fractional
        return Excess(slots, int(uses_fraction), max(0, usage.tokens - self.tokens.get(member, 0)))

    def common_slots_used(self, excess: Excess) -> int:
        """Returns the slots of the common part in use, given the sum of all members' excess.

        >>> Reserves.of(13, 0, {"a": 0.0625}).common_slots_used(Excess(4, 1, 0))
        3
        """
        return excess.slots - min(self.pool, excess.fractions)

    def covers_next_slot(self, member: str, usage: Usage, excess: Excess) -> bool:
        """Returns whether the reserve covers a member's next slot; ``excess``: the sum over all members.

        >>> reserves = Reserves.of(13, 0, {"a": 0.0625})
        >>> reserves.covers_next_slot("a", NO_USAGE, NO_EXCESS)
        True
        >>> reserves.covers_next_slot("a", Usage(1, 0), Excess(1, 1, 0))
        False
        """
        reserved = self.slots.get(member, 0)
        if usage.slots < reserved:
            return True
        return usage.slots == reserved and member in self.fractional and excess.fractions < self.pool

    def maximum(self, member: str) -> int:
        """Returns the maximum number of slots that a member can use concurrently.

        >>> Reserves.of(13, 0, {"a": 0.0625}).maximum("a")
        12
        """
        from_pool = int(member in self.fractional and self.pool > 0)
        return self.slots.get(member, 0) + max(from_pool, self.common.slots)
