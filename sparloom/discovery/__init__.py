"""Service discovery: the platform's list of runners, polled by the primary controller."""

from .endpoints import Endpoint, EndpointDelta, EndpointList, PageAssembler, PollSchedule, apply_delta, delta, read_page

__all__ = [
    "Endpoint",
    "EndpointDelta",
    "EndpointList",
    "PageAssembler",
    "PollSchedule",
    "apply_delta",
    "delta",
    "read_page",
]
