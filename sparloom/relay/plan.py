"""``plan_tier``: chooses the relays of each zone, and the relays that each router may follow.

Every router computes the plan from its own membership table. Tables may differ
for a short time, which is harmless: a relay serves any router that follows it,
and a follower that cannot reach a relay tries the next one on its list.
"""

from __future__ import annotations

from functools import lru_cache, partial
from hashlib import blake2b
from math import ceil, sqrt
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

# The number of cached weights; enough for all routers of a large fleet.
WEIGHT_CACHE_SIZE = 1 << 13
# The tier is used only if it reduces the messages of the busiest node at least by this factor.
MINIMUM_GAIN = 2


@define(frozen=True, slots=True)
class RelayTier:
    """The relay tier from the view of one router. Without a tier it is empty, and every router sends to every other.

    Attributes
    ----------
    relays : keys of all relays.
    parents : the relays that this router may follow, in order of preference.
    is_relay : whether this router is a relay itself.
    local_parents : how many of ``parents`` are in this router's zone; these come first.
    """

    relays: tuple[str, ...] = ()
    parents: tuple[str, ...] = ()
    is_relay: bool = False
    local_parents: int = 0

    @property
    def exists(self) -> bool:
        """Whether a tier is used.

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
    """The routers with the highest weights in each zone, about one per group."""
    relays = {}
    for zone, keys in zones.items():
        by_weight = sorted(keys, key=partial(_weight, zone), reverse=True)
        relays[zone] = tuple(by_weight[: max(1, round(len(keys) / group_size))])
    return relays


def plan_tier(own_key: str, zone: str, others: Collection[tuple[str, str]]) -> RelayTier:
    """The tier from the view of router ``own_key``; ``others``: key and zone of each other router.

    The group size is about the square root of the number of routers: a relay
    then has about as many followers as there are relays, and no node's messages
    grow faster than the square root. A hop adds delay, so the tier is used only
    if it at least halves the messages of the busiest node, a relay.

    The plan depends on the membership only, without state: two routers with the
    same membership choose the same relays. The group size follows the square
    root, and weights are computed per zone, so a router that joins or leaves
    changes one or two relays and moves few followers. ``Upstream`` delays its
    moves, so a flapping member does not change which relay a router follows.

    >>> plan_tier("a", "z", [("b", "z")]).exists
    False
    >>> tier = plan_tier("n0", "z", [(f"n{i}", "z") for i in range(1, 64)])
    >>> len(tier.relays), len(tier.parents) == 8 or tier.is_relay, tier.local_parents == len(tier.parents)
    (8, True, True)
    """
    zones: dict[str, list[str]] = {}
    for router, router_zone in ((own_key, zone), *others):
        zones.setdefault(router_zone, []).append(router)
    routers = 1 + len(others)
    by_zone = _relays_by_zone(zones, _group_size(routers))
    relays = tuple(sorted(key for keys in by_zone.values() for key in keys))
    # A relay sends to its group and to the other relays. Without a tier, a router sends to every other router.
    if routers - 1 < MINIMUM_GAIN * (ceil(routers / len(relays)) + len(relays)):
        return RelayTier()
    local = set(by_zone.get(zone, ()))
    parents = sorted(
        (key for key in relays if key != own_key), key=lambda key: (key not in local, -_weight(own_key, key))
    )
    return RelayTier(relays, tuple(parents), own_key in relays, sum(key in local for key in parents))
