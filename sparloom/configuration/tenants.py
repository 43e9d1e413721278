"""The tenants of a configuration, looked up by the API key of a request.

Keys are looked up by a digest keyed with a secret of the process. The duration
of a lookup reveals nothing about a key, and no table or message of this module
contains a usable key.
"""

from __future__ import annotations

import os
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

# Authentication scheme in the ``Authorization`` header.
SCHEME = "token"
DIGEST_BYTES = 16
_SECRET = os.urandom(32)


def _digest(key: str) -> bytes:
    return blake2b(key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES, key=_SECRET).digest()


def parse_key(authorization: str | None) -> str | None:
    """Return the key in the value of an ``Authorization`` header, or None.

    >>> parse_key("Token abc"), parse_key("token  abc "), parse_key("Basic abc"), parse_key(None)
    ('abc', 'abc', None, None)
    """
    scheme, _, key = (authorization or "").strip().partition(" ")
    return key.strip() or None if scheme.lower() == SCHEME else None


@define(frozen=True, slots=True)
class Tenant:
    """A tenant and its priority.

    Attributes
    ----------
    name
        The name of the tenant, which is forwarded to runners.
    priority
        Overrides the priority of a route; None if the tenant has none.
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
        """Return the lookup table for the tenants of a document that ``check`` has accepted."""
        by_digest: dict[bytes, Tenant] = {}
        for item in tenants:
            tenant = Tenant(item["name"], item.get("priority"))
            by_digest.update((_digest(key), tenant) for key in item["apiKeys"])
        return cls(by_digest)

    def find(self, authorization: str | None) -> Tenant | None:
        """Return the tenant whose key is in an ``Authorization`` header, or None."""
        key = parse_key(authorization)
        return None if key is None else self._by_digest.get(_digest(key))
