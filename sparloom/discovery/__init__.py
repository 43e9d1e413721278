"""Service discovery: the platform's list of runners, polled by the primary controller."""

from .endpoints import (
    MAXIMUM_PAGE_BYTES,
    MAXIMUM_RUNNERS,
    POOL_SEPARATOR,
    Endpoint,
    EndpointDelta,
    EndpointList,
    ListTooLongError,
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

__all__ = [
    "MAXIMUM_PAGE_BYTES",
    "MAXIMUM_RUNNERS",
    "POOL_SEPARATOR",
    "Endpoint",
    "EndpointDelta",
    "EndpointList",
    "ListTooLongError",
    "PageAssembler",
    "PollSchedule",
    "apply_delta",
    "delta",
    "pool_name",
    "read_page",
    "service_of",
    "version_of",
    "versions_listed",
]
