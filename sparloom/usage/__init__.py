"""Usage accounting: the requests that began per tenant and time window, summed over all routers."""

from .clock import FleetClock, RouterClock, window_number
from .collector import UsageCollector
from .counter import UsageChannel, UsageCounter
from .records import ServiceLoad, UsageEntry, UsageReply, UsageReport

__all__ = [
    "FleetClock",
    "RouterClock",
    "ServiceLoad",
    "UsageChannel",
    "UsageCollector",
    "UsageCounter",
    "UsageEntry",
    "UsageReply",
    "UsageReport",
    "window_number",
]
