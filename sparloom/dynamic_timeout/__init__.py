"""Timeouts that shrink as the number of concurrent requests at a resource grows.

Source: "Faraday Dynamic Timeout Middleware", README of the Ruby gem
``faraday_dynamic_timeout``. In place of its Redis server, nodes share their
counts with each other.
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
