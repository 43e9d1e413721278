"""Timeouts that follow the load: the Faraday dynamic timeout mechanism."""

from .buckets import Bucket, Capacity, Grant, capacity_buckets, pick
from .counts import Call, InFlightCounts, InFlightReport, InFlightUpdate, PrefixPlacement, Slot

__all__ = [
    "Bucket",
    "Call",
    "Capacity",
    "Grant",
    "InFlightCounts",
    "InFlightReport",
    "InFlightUpdate",
    "PrefixPlacement",
    "Slot",
    "capacity_buckets",
    "pick",
]
