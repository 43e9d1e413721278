"""Service discovery: the platform's list of runners, polled by the primary controller."""

from .endpoints import (
    SEPARATOR,
    Endpoint,
    EndpointDelta,
    EndpointList,
    PageAssembler,
    PollSchedule,
    apply_delta,
    delta,
    pool_name,
    read_page,
    service_of,
    version_of,
    versions_listed,
)
from .zones import services_without_runners, zone_figures

__all__ = [
    "SEPARATOR",
    "Endpoint",
    "EndpointDelta",
    "EndpointList",
    "PageAssembler",
    "PollSchedule",
    "apply_delta",
    "delta",
    "pool_name",
    "read_page",
    "service_of",
    "services_without_runners",
    "version_of",
    "versions_listed",
    "zone_figures",
]
