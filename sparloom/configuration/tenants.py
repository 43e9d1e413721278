"""The tenants of a configuration, found by the key that a request carries.

Keys are looked up by a digest under a secret of the process: how long a look-up
takes tells nothing about a key, and no table or message of this module holds
one that could be used.
"""

from __future__ import annotations

import os
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

# Of the ``Authorization`` header.
SCHEME = "token"
DIGEST_BYTES = 16
_SECRET = os.urandom(32)


def _digest(key: str) -> bytes:
    return blake2b(key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES, key=_SECRET).digest()


def key_in(authorization: str | None) -> str | None:
    """Return the key in the value of an ``Authorization`` header; None where there is none.

    >>> key_in("Token abc"), key_in("token  abc "), key_in("Basic abc"), key_in(None)
    ('abc', 'abc', None, None)
    """
    scheme, _, key = (authorization or "").strip().partition(" ")
    return key.strip() or None if scheme.lower() == SCHEME else None


@define(frozen=True, slots=True)
class Tenant:
    """One tenant.

    Attributes
    ----------
    name
        Its name, which runners are told.
    priority
        Goes before the priority of a route; None where the tenant has none.
    """

    name: str
    priority: int | None = None


@define(frozen=True, slots=True)
class TenantKeys:
    """The tenants by the digests of their keys.

    >>> keys = TenantKeys.of([{"name": "a", "apiKeys": ["secret"], "priority": 2}])
    >>> keys.find("Token secret"), keys.find("Token other")
    (Tenant(name='a', priority=2), None)
    """

    _by_digest: dict[bytes, Tenant] = field(repr=False)

    @classmethod
    def of(cls, tenants: Iterable[dict[str, Any]]) -> TenantKeys:
        """Return the table of the tenants of a document that ``check`` has passed."""
        by_digest: dict[bytes, Tenant] = {}
        for item in tenants:
            tenant = Tenant(item["name"], item.get("priority"))
            by_digest.update((_digest(key), tenant) for key in item["apiKeys"])
        return cls(by_digest)

    def find(self, authorization: str | None) -> Tenant | None:
        """Return the tenant that holds the key in an ``Authorization`` header; None where none does."""
        key = key_in(authorization)
        return None if key is None else self._by_digest.get(_digest(key))
