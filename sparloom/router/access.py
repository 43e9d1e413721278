"""Authorizes requests by tenants' API keys from the current configuration.

``authorize`` returns the ``Access`` granted or the reason for a ``Denial``:

| state of the router's configuration | known key | unknown or missing key |
| --- | --- | --- |
| recently confirmed as the newest | forwarded | 401 |
| outdated, or not confirmed for some time | forwarded | 503, since the key may be new |
| the same, with a bound on the use of revoked keys | 503 past that bound | 503 |

Revoking a key does not affect requests that are already waiting or running,
because they were authorized when they were sent.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define

from . import headers as names

if TYPE_CHECKING:
    from datetime import timedelta

    from multidict import CIMultiDict

    from sparloom.configuration import Route
    from sparloom.configuration.tenants import Tenant

    from .router_state import RouterState

# An unknown key is rejected only if the configuration was confirmed within this fraction of the bound in which a
# change is applied everywhere.
CONFIRMED_FRACTION = 0.5
# With ``revocationClosed``, known keys are accepted up to this fraction of the bound for revoked keys.
FAIL_CLOSED_FRACTION = 0.9


class Denial(Enum):
    """Why a request is denied."""

    UNKNOWN_KEY = "no tenant has this key"
    UNCONFIRMED = "this router's configuration may be outdated"


@define(frozen=True, slots=True)
class Access:
    """The access granted to a request. Runners receive the tenant's name but never its key.

    Attributes
    ----------
    tenant
        The tenant that the request's key belongs to; None for a request without a known key on a public route.
    """

    tenant: Tenant | None = None

    def priority(self, route: Route) -> int:
        """Return the request's priority; the tenant's priority overrides the route's."""
        if self.tenant is None or self.tenant.priority is None:
            return route.priority
        return self.tenant.priority

    def rewrite_headers(self, headers: CIMultiDict[str]) -> None:
        """Remove the key from the headers for the runner, and replace any tenant named by the client."""
        headers.popall(names.AUTHORIZATION, None)
        headers.popall(names.TENANT, None)
        if self.tenant is not None:
            headers[names.TENANT] = self.tenant.name


def authorize(state: RouterState, route: Route, authorization: str | None, now: timedelta) -> Access | Denial:
    """Return the access granted to a request of a route, or why it is denied.

    The configuration must have tenants.
    """
    assert state.configuration is not None, "a route was matched without a configuration"
    assert state.configuration.tenants is not None, "the configuration has no tenants"
    tenant = state.configuration.tenants.find(authorization)
    if route.public:
        return Access(tenant)
    settings, age = state.settings, state.configuration_age(now)
    if tenant is None:
        return Denial.UNKNOWN_KEY if age < settings.bounds.config_apply * CONFIRMED_FRACTION else Denial.UNCONFIRMED
    if settings.revocation.closed and age > settings.revocation.within * FAIL_CLOSED_FRACTION:
        return Denial.UNCONFIRMED
    return Access(tenant)
