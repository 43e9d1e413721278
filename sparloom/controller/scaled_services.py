"""Selects the services with automatic scaling, from the configuration and the list of runners."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from sparloom.duties.scaling import ScaledService

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sparloom.discovery import Endpoint


def scaled_services(services: Iterable[dict[str, Any]], runners: Iterable[Endpoint]) -> list[ScaledService]:
    """Return the services that have scaling limits in the configuration and at least one listed runner.

    >>> from sparloom.discovery import Endpoint
    >>> services = [{"name": "s", "scaling": {"minimum": 1, "maximum": 4}}, {"name": "t"}]
    >>> scaled_services(services, [Endpoint("i", "s", "h:1", "z", 8, False, 0)])
    [ScaledService(name='s', minimum=1, maximum=4, slots=8, runners={'z': 1})]
    """
    listed = list(runners)
    result = []
    for service in services:
        limits, name = service.get("scaling"), service["name"]
        service_runners = [runner for runner in listed if runner.service == name]
        if limits is None or not service_runners:
            continue
        zones = Counter({runner.zone: 0 for runner in service_runners})
        zones.update(runner.zone for runner in service_runners if not runner.draining)
        slots = min((runner.slots for runner in service_runners if runner.slots), default=0) or _configured_slots(
            service
        )
        result.append(ScaledService(name, limits["minimum"], limits["maximum"], slots, dict(zones)))
    return result


def _configured_slots(service: dict[str, Any]) -> int:
    return int((service.get("engine") or {}).get("slots") or 1)
