"""Whether a request may run: the key of its tenant, as the configuration in force has it.

| the router | a key that it knows | a key that it doesn't know, or none |
| --- | --- | --- |
| has confirmed lately that its configuration is the newest | runs | 401 |
| is behind, or has not heard for a while | runs | 503: the key may be new |
| the same, where withdrawn keys must not outlive a bound | 503 past that bound | 503 |

A key that is withdrawn ends no request that came before: those that wait or
run were allowed when they were sent.
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

# An unknown key is rejected only within this part of the time in which a change is in force everywhere.
SURE_PART = 0.5
# With ``revocationClosed``: of the bound for withdrawn keys, the part up to which requests are let in.
CLOSED_PART = 0.9


class Denial(Enum):
    """Why a request may not run here and now."""

    UNKNOWN_KEY = "no tenant holds the key"
    NOT_SURE = "this router may be behind the newest configuration"


@define(frozen=True, slots=True)
class Access:
    """What a request was let in with: keys stay here, and runners are told the tenant.

    Attributes
    ----------
    tenant
        The tenant whose key the request carries; None on public routes without one.
    """

    tenant: Tenant | None = None

    def priority(self, route: Route) -> int:
        """Return the request's priority: that of the tenant goes before that of the route."""
        if self.tenant is None or self.tenant.priority is None:
            return route.priority
        return self.tenant.priority

    def edit(self, headers: CIMultiDict[str]) -> None:
        """Take the key out of the headers for the runner, and name the tenant, whatever the client has named."""
        headers.popall(names.AUTHORIZATION, None)
        headers.popall(names.TENANT, None)
        if self.tenant is not None:
            headers[names.TENANT] = self.tenant.name


def authorize(state: RouterState, route: Route, authorization: str | None, now: timedelta) -> Access | Denial:
    """Return with what a request of a route is let in, or why it isn't; the configuration has tenants."""
    assert state.configuration is not None, "a route was matched without a configuration"
    assert state.configuration.tenants is not None, "the configuration has no tenants"
    tenant = state.configuration.tenants.find(authorization)
    if route.public:
        return Access(tenant)
    settings, age = state.settings, state.configuration_age(now)
    if tenant is None:
        return Denial.UNKNOWN_KEY if age < settings.bounds.config_apply * SURE_PART else Denial.NOT_SURE
    if settings.revocation.closed and age > settings.revocation.within * CLOSED_PART:
        return Denial.NOT_SURE
    return Access(tenant)
