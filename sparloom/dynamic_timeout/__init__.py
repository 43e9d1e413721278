"""Timeouts that get shorter as the number of concurrent requests at a resource increases.

Source: "Faraday Dynamic Timeout Middleware", README of the Ruby gem
``faraday_dynamic_timeout``. The gem counts requests in a Redis server; here the
nodes send their counts to each other.
"""

from .buckets import Bucket, Capacity, Grant, capacity_buckets, pick
from .counts import (
    NO_LOAD,
    Call,
    InFlightCounts,
    InFlightReport,
    InFlightUpdate,
    PrefixPlacement,
    ResourceLoad,
    Slot,
)

__all__ = [
    "NO_LOAD",
    "Bucket",
    "Call",
    "Capacity",
    "Grant",
    "InFlightCounts",
    "InFlightReport",
    "InFlightUpdate",
    "PrefixPlacement",
    "ResourceLoad",
    "Slot",
    "capacity_buckets",
    "pick",
]
