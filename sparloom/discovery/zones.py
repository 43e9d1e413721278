"""What the endpoint list says of zones: how many runners each has, and which services an evacuation leaves without."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .endpoints import service_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .endpoints import Endpoint


def zone_figures(endpoints: Iterable[Endpoint], evacuated: Collection[str]) -> dict[str, dict[str, Any]]:
    """Of each zone whether it is evacuated, and how many of its runners are listed, draining and cold.

    Parameters
    ----------
    endpoints
        The endpoint list.
    evacuated
        The evacuated zones; shown also where no runner is listed.

    >>> zone_figures([], ["z"])
    {'z': {'evacuated': True, 'runners': 0, 'draining': 0, 'cold': 0}}
    """
    listed = sorted(endpoints, key=lambda endpoint: endpoint.zone)
    zones = sorted({endpoint.zone for endpoint in listed} | set(evacuated))
    figures: dict[str, dict[str, Any]] = {
        zone: {"evacuated": zone in evacuated, "runners": 0, "draining": 0, "cold": 0} for zone in zones
    }
    for endpoint in listed:
        figures[endpoint.zone]["runners"] += 1
        figures[endpoint.zone]["draining"] += int(endpoint.draining)
        figures[endpoint.zone]["cold"] += int(bool(endpoint.cold))
    return figures


def services_without_runners(endpoints: Iterable[Endpoint], evacuated: Collection[str]) -> list[str]:
    """The services all of whose runners that don't drain are in evacuated zones.

    >>> from .endpoints import Endpoint
    >>> endpoints = [Endpoint("a", "s", "h:1", "y", 1, False, 0), Endpoint("b", "t", "h:2", "z", 1, False, 0)]
    >>> services_without_runners(endpoints, ["z"])
    ['t']
    """
    staying = [endpoint for endpoint in endpoints if not endpoint.draining]
    served = {service_of(endpoint.service) for endpoint in staying if endpoint.zone not in evacuated}
    return sorted({service_of(endpoint.service) for endpoint in staying} - served)
