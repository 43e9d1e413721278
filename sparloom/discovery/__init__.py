"""The platform's list of runners: polled by one duty holder."""

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
