"""Which routers share a rate that can't be split evenly, such as what a cold runner bears.

The primary decides it, and the control state records it, so that all shares add
up, whatever the routers see of each other. A router goes by the table only
while it knows that it is the newest one; the primary changes it only once each
router that has an older one has surely stopped using it
(``controller/rate_planner.py``).
"""

from __future__ import annotations

from datetime import timedelta
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from attrs import define

from .additions import RATE_HOLDERS

if TYPE_CHECKING:
    from collections.abc import Collection

# The fraction of the whole that is never granted.
SPARE = 1 / 8
# A router goes by the table for so many contact bounds after it was known to be the newest.
LEASE_BOUNDS = 5
# What is sent within this time counts together: a second, and what requests may take longer or shorter on their way.
RATE_WINDOW = timedelta(milliseconds=1100)
_SALT_BYTES = 8
_SALT_MASK = (1 << 8 * _SALT_BYTES) - 1


def _rank(router: str, salt: bytes) -> tuple[bytes, str]:
    """Orders the routers anew for each salt, so that one that joins or leaves changes the order of no others."""
    return blake2b(router.encode(), digest_size=8, salt=salt).digest(), router


def _share_among(routers: Collection[str], router: str, whole: int, salt: int) -> int:
    if router not in routers:
        return 0
    each, rest = divmod(int(whole * (1 - SPARE)), len(routers))
    if not rest:
        return each
    packed = (salt & _SALT_MASK).to_bytes(_SALT_BYTES)
    own = _rank(router, packed)
    return each + (sum(_rank(other, packed) < own for other in routers) < rest)


@define(frozen=True, slots=True)
class RateHolders:
    """The table.

    Attributes
    ----------
    routers
        The internal HOST:PORT of each router that has a share. An address belongs to one machine at a time, so a
        router that starts anew there may go on with the share.
    before
        The same of the table before this one, by which others may still go.
    """

    routers: frozenset[str] = frozenset()
    before: frozenset[str] = frozenset()

    def share(self, router: str, whole: int, salt: int) -> int:
        """Return a router's share of a whole number of things; all shares add up to the whole less an eighth.

        Others may still go by the table before this one, so nobody takes more than by either.

        Parameters
        ----------
        router
            Its internal HOST:PORT.
        whole
            What is shared.
        salt
            Differs between things of a kind, so that the remainder of the division goes to other routers for each.

        Examples
        --------
        >>> four = frozenset("abcd")
        >>> sum(RateHolders(four, four).share(router, 8, salt=1) for router in "abcd")
        7
        >>> RateHolders(four | {"e"}, four).share("e", 8, salt=1)
        0
        """
        share = _share_among(self.routers, router, whole, salt)
        if not share or self.before == self.routers:
            return share
        return min(share, _share_among(self.before, router, whole, salt))

    @staticmethod
    def is_usable(age: timedelta, up_for: timedelta, contact_bound: timedelta) -> bool:
        """Return whether a router may go by the table now.

        Parameters
        ----------
        age
            How long ago the table was known to be the newest.
        up_for
            How long ago the router's process started: one before it at the same address may have sent until then.
        contact_bound
            The contact bound.

        Examples
        --------
        >>> second = timedelta(seconds=1)
        >>> [RateHolders.is_usable(age * second, 9 * second, 4 * second) for age in (19, 20)]
        [True, False]
        """
        return age < contact_bound * LEASE_BOUNDS and up_for >= RATE_WINDOW

    def to_json(self) -> dict[str, Any]:
        """Return what is stored and published.

        >>> table = RateHolders(frozenset("ab"), frozenset("bc"))
        >>> table.to_json()
        {'routers': ['a', 'b'], 'joined': ['a'], 'left': ['c']}
        >>> RateHolders.from_json(table.to_json()) == table
        True
        """
        joined, left = self.routers - self.before, self.before - self.routers
        return {"routers": sorted(self.routers), "joined": sorted(joined), "left": sorted(left)}

    @classmethod
    def from_json(cls, item: dict[str, Any]) -> RateHolders:
        """Return the table in a JSON object that ``to_json`` made."""
        routers = frozenset(item["routers"])
        return cls(routers, (routers - frozenset(item["joined"])) | frozenset(item["left"]))


def rate_holders_addition(holders: RateHolders) -> dict[str, Any]:
    """Return the addition to the published configuration that tells of the table.

    >>> rate_holders_addition(RateHolders(frozenset("a"), frozenset("a")))
    {'rateHolders': {'routers': ['a'], 'joined': [], 'left': []}}
    """
    return {RATE_HOLDERS: holders.to_json()}
