"""Timeouts that follow the load: the Faraday dynamic timeout mechanism."""

from .buckets import Bucket, Capacity, Grant, capacity_buckets, pick
from .counts import Call, Counts, Held, Holding, Read, Slot

__all__ = [
    "Bucket",
    "Call",
    "Capacity",
    "Counts",
    "Grant",
    "Held",
    "Holding",
    "Read",
    "Slot",
    "capacity_buckets",
    "pick",
]
