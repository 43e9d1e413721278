"""Timeouts that follow the load: the Faraday dynamic timeout mechanism."""

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
