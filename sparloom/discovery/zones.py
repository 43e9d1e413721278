"""Statistics of zones from the endpoint list: runners per zone, and services without runners after an evacuation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .endpoints import service_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .endpoints import Endpoint


def zone_counts(endpoints: Iterable[Endpoint], evacuated: Collection[str]) -> dict[str, dict[str, Any]]:
    """Returns for each zone whether it is evacuated, and its numbers of listed, draining and cold runners.

    Parameters
    ----------
    endpoints
        The endpoint list.
    evacuated
        The evacuated zones; included even if they have no listed runner.

    >>> zone_counts([], ["z"])
    {'z': {'evacuated': True, 'runners': 0, 'draining': 0, 'cold': 0}}
    """
    listed = sorted(endpoints, key=lambda endpoint: endpoint.zone)
    zones = sorted({endpoint.zone for endpoint in listed} | set(evacuated))
    counts: dict[str, dict[str, Any]] = {
        zone: {"evacuated": zone in evacuated, "runners": 0, "draining": 0, "cold": 0} for zone in zones
    }
    for endpoint in listed:
        counts[endpoint.zone]["runners"] += 1
        counts[endpoint.zone]["draining"] += int(endpoint.draining)
        counts[endpoint.zone]["cold"] += int(bool(endpoint.cold))
    return counts


def services_without_runners(endpoints: Iterable[Endpoint], evacuated: Collection[str]) -> list[str]:
    """Returns the services whose runners, except for draining ones, are all in evacuated zones.

    >>> from .endpoints import Endpoint
    >>> endpoints = [Endpoint("a", "s", "h:1", "y", 1, False, 0), Endpoint("b", "t", "h:2", "z", 1, False, 0)]
    >>> services_without_runners(endpoints, ["z"])
    ['t']
    """
    not_draining = [endpoint for endpoint in endpoints if not endpoint.draining]
    served = {service_of(endpoint.service) for endpoint in not_draining if endpoint.zone not in evacuated}
    return sorted({service_of(endpoint.service) for endpoint in not_draining} - served)
