"""Chooses the relays of each zone, and for each router those it may follow.

Every router works this out by itself from whom it believes up. Beliefs differ
for moments; nothing breaks then: a relay serves whoever follows it, and a
follower that finds no relay goes on to the next one of its list.
"""

from functools import lru_cache
from hashlib import blake2b
from math import ceil, sqrt

from attrs import define


@define(frozen=True, slots=True)
class RelayTier:
    """What one router makes of the membership.

    ``relays``: all relays' keys. ``parents``: those that this router may
    follow, in the order in which to try them; the first ``local_parents`` of them are
    in its own zone. ``is_relay``: whether it is one itself. With no tier all are
    empty, and every router tells every other.
    """

    relays: tuple = ()
    parents: tuple = ()
    is_relay: bool = False
    local_parents: int = 0

    @property
    def exists(self):
        """Whether there is a tier.

        >>> RelayTier().exists
        False
        """
        return bool(self.relays)


@lru_cache(1 << 13)
def _weight(*what):
    return int.from_bytes(blake2b("|".join(what).encode(), digest_size=8).digest())


def _group(n):
    return max(1, ceil(sqrt(n)))


def _relays(zones, group):
    """Per zone the heaviest routers, one for each group begun."""
    return {
        z: tuple(sorted(keys, key=lambda k: -_weight(z, k))[: max(1, round(len(keys) / group))])
        for z, keys in zones.items()
    }


def plan_tier(me, zone, others):
    """The tier as ``me`` sees it; ``others``: key and zone of each other router.

    Groups hold about the square root of all routers: a relay then hears as
    many followers as it hears relays, and no node's messages grow faster than
    that root. A hop costs delay, so the tier stands only where it at least
    halves what the busiest node, a relay, has to send.

    All of it follows from the membership alone, with no memory: two routers
    that believe the same name the same relays. The group's size moves with the
    root, and weights are drawn per zone, so one router that comes or goes
    changes a relay or two and hands few followers over. What should ride out
    a flicker (whom a router follows) waits for itself: see ``Upstream``.

    >>> plan_tier("a", "z", [("b", "z")]).exists
    False
    >>> t = plan_tier("n0", "z", [(f"n{i}", "z") for i in range(1, 64)])
    >>> len(t.relays), len(t.parents) == 8 or t.is_relay, t.local_parents == len(t.parents)
    (8, True, True)
    """
    zones = {}
    for k, z in ((me, zone), *others):
        zones.setdefault(z, []).append(k)
    n = 1 + len(others)
    by_zone = _relays(zones, _group(n))
    relays = tuple(sorted(k for ks in by_zone.values() for k in ks))
    if n - 1 < 2 * (ceil(n / len(relays)) + len(relays)):
        return RelayTier()
    near = set(by_zone.get(zone, ()))
    parents = sorted((k for k in relays if k != me), key=lambda k: (k not in near, -_weight(me, k)))
    return RelayTier(relays, tuple(parents), me in relays, sum(k in near for k in parents))
