"""The table of routers that share a rate that can't be split evenly, such as the request rate of a cold runner.

The primary decides the table and the control state stores it, so that the
shares add up even if the routers disagree about each other's membership. A
router uses its table only under a lease, while it knows that the table is the
newest one. The primary replaces the table only after the lease of every router
with an older table has expired (``controller/rate_planner.py``).
"""

from __future__ import annotations

from datetime import timedelta
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from attrs import define

from .additions import RATE_HOLDERS

if TYPE_CHECKING:
    from collections.abc import Collection

# Fraction of the rate that is never granted.
UNGRANTED_FRACTION = 1 / 8
# Lease on the table, in multiples of the contact bound. It starts when the table is known to be the newest.
LEASE_CONTACT_BOUNDS = 5
# Window over which sent requests are counted against a rate per second: one second plus the variation of their
# network delay.
RATE_WINDOW = timedelta(milliseconds=1100)
_SALT_BYTES = 8
_SALT_MASK = (1 << 8 * _SALT_BYTES) - 1


def _rank(router: str, salt: bytes) -> tuple[bytes, str]:
    """Return a sort key that depends on the salt; a router that joins or leaves doesn't reorder the others."""
    return blake2b(router.encode(), digest_size=8, salt=salt).digest(), router


def _quota_of_total(routers: Collection[str], router: str, total: int, salt: int) -> int:
    if router not in routers:
        return 0
    each, remainder = divmod(int(total * (1 - UNGRANTED_FRACTION)), len(routers))
    if not remainder:
        return each
    salt_bytes = (salt & _SALT_MASK).to_bytes(_SALT_BYTES)
    own = _rank(router, salt_bytes)
    return each + (sum(_rank(other, salt_bytes) < own for other in routers) < remainder)


@define(frozen=True, slots=True)
class RateHolders:
    """The routers that hold a share of a rate, now and in the previous table.

    Attributes
    ----------
    routers
        The internal HOST:PORT of each router that has a share. An address belongs to one machine at a time, so a
        router that restarts there may continue to use the share.
    previous_routers
        The routers of the previous table, which other routers may still use.
    """

    routers: frozenset[str] = frozenset()
    previous_routers: frozenset[str] = frozenset()

    def quota(self, router: str, total: int, salt: int) -> int:
        """Return a router's share of a total, which is split into integers; the shares add up to at most 7/8 of it.

        Other routers may still use the previous table, so the share is the smaller one of both tables.

        Parameters
        ----------
        router
            The router's internal HOST:PORT.
        total
            The total to share.
        salt
            Differs between the shared rates, so that each gives the remainder of its division to other routers.

        Examples
        --------
        >>> four = frozenset("abcd")
        >>> sum(RateHolders(four, four).quota(router, 8, salt=1) for router in "abcd")
        7
        >>> RateHolders(four | {"e"}, four).quota("e", 8, salt=1)
        0
        """
        quota = _quota_of_total(self.routers, router, total, salt)
        if not quota or self.previous_routers == self.routers:
            return quota
        return min(quota, _quota_of_total(self.previous_routers, router, total, salt))

    @staticmethod
    def is_usable(age: timedelta, uptime: timedelta, contact_bound: timedelta) -> bool:
        """Return whether a router may use the table now.

        Parameters
        ----------
        age
            Time since the table was last known to be the newest.
        uptime
            Time since the router's process started. A previous process at the address may have sent until then.
        contact_bound
            The bound within which a loss of contact is noticed.

        Examples
        --------
        >>> second = timedelta(seconds=1)
        >>> [RateHolders.is_usable(age * second, 9 * second, 4 * second) for age in (19, 20)]
        [True, False]
        """
        return age < contact_bound * LEASE_CONTACT_BOUNDS and uptime >= RATE_WINDOW

    def to_json(self) -> dict[str, Any]:
        """Return the JSON object that is stored and published.

        >>> table = RateHolders(frozenset("ab"), frozenset("bc"))
        >>> table.to_json()
        {'routers': ['a', 'b'], 'joined': ['a'], 'left': ['c']}
        >>> RateHolders.from_json(table.to_json()) == table
        True
        """
        joined, left = self.routers - self.previous_routers, self.previous_routers - self.routers
        return {"routers": sorted(self.routers), "joined": sorted(joined), "left": sorted(left)}

    @classmethod
    def from_json(cls, item: dict[str, Any]) -> RateHolders:
        """Return the table from a JSON object made by ``to_json``."""
        routers = frozenset(item["routers"])
        return cls(routers, (routers - frozenset(item["joined"])) | frozenset(item["left"]))


def rate_holders_addition(holders: RateHolders) -> dict[str, Any]:
    """Return the addition to the published configuration that contains the table.

    >>> rate_holders_addition(RateHolders(frozenset("a"), frozenset("a")))
    {'rateHolders': {'routers': ['a'], 'joined': [], 'left': []}}
    """
    return {RATE_HOLDERS: holders.to_json()}
