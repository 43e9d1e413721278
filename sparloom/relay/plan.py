"""Chooses the relays of each zone, and for each router those it may follow.

Every router computes this from the routers that it believes up. Beliefs differ
for moments; nothing breaks then: a relay serves whoever follows it, and a
follower that finds no relay goes on to the next one of its list.
"""

from __future__ import annotations

from functools import lru_cache, partial
from hashlib import blake2b
from math import ceil, sqrt
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

# How many weights are remembered: those of all routers of a large fleet.
WEIGHT_CACHE_SIZE = 1 << 13
# The tier stands only if it divides what the busiest node sends by this at least.
MINIMUM_GAIN = 2


@define(frozen=True, slots=True)
class RelayTier:
    """The tier as one router sees it; without one all is empty, and every router sends to every other.

    Attributes
    ----------
    relays : keys of all relays.
    parents : the relays that this router may follow, in the order in which to try them.
    is_relay : whether this router is a relay itself.
    local_parents : how many of ``parents``, the first ones, are in this router's zone.
    """

    relays: tuple[str, ...] = ()
    parents: tuple[str, ...] = ()
    is_relay: bool = False
    local_parents: int = 0

    @property
    def exists(self) -> bool:
        """Whether there is a tier.

        >>> RelayTier().exists
        False
        """
        return bool(self.relays)


@lru_cache(WEIGHT_CACHE_SIZE)
def _weight(*keys: str) -> int:
    """The rendezvous hash of some keys."""
    return int.from_bytes(blake2b("|".join(keys).encode(), digest_size=8).digest())


def _group_size(routers: int) -> int:
    return max(1, ceil(sqrt(routers)))


def _relays_by_zone(zones: Mapping[str, Sequence[str]], group_size: int) -> dict[str, tuple[str, ...]]:
    """Per zone the heaviest routers, about one for each group."""
    relays = {}
    for zone, keys in zones.items():
        heaviest_first = sorted(keys, key=partial(_weight, zone), reverse=True)
        relays[zone] = tuple(heaviest_first[: max(1, round(len(keys) / group_size))])
    return relays


def plan_tier(me: str, zone: str, others: Collection[tuple[str, str]]) -> RelayTier:
    """The tier as ``me`` sees it; ``others``: key and zone of each other router.

    Groups hold about the square root of all routers: a relay then hears as
    many followers as it hears relays, and no node's messages grow faster than
    that root. A hop costs delay, so the tier stands only where it at least
    halves what the busiest node, a relay, has to send.

    All of it follows from the membership alone, without state: two routers
    with the same membership name the same relays. The group's size moves with the
    root, and weights are drawn per zone, so one router that comes or goes
    changes a relay or two and hands few followers over. What should outlast
    a flapping member (whom a router follows) has a delay of its own: see ``Upstream``.

    >>> plan_tier("a", "z", [("b", "z")]).exists
    False
    >>> t = plan_tier("n0", "z", [(f"n{i}", "z") for i in range(1, 64)])
    >>> len(t.relays), len(t.parents) == 8 or t.is_relay, t.local_parents == len(t.parents)
    (8, True, True)
    """
    zones: dict[str, list[str]] = {}
    for router, router_zone in ((me, zone), *others):
        zones.setdefault(router_zone, []).append(router)
    routers = 1 + len(others)
    by_zone = _relays_by_zone(zones, _group_size(routers))
    relays = tuple(sorted(key for keys in by_zone.values() for key in keys))
    # A relay sends to its group and to the other relays; without a tier to everybody.
    if routers - 1 < MINIMUM_GAIN * (ceil(routers / len(relays)) + len(relays)):
        return RelayTier()
    local = set(by_zone.get(zone, ()))
    parents = sorted((key for key in relays if key != me), key=lambda key: (key not in local, -_weight(me, key)))
    return RelayTier(relays, tuple(parents), me in relays, sum(key in local for key in parents))
