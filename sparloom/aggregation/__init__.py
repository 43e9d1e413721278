"""Aggregation of in-flight counts through the relay tier, per group and over the fleet; no call is counted twice."""

from .aggregator import InFlightAggregator
from .parent import Parent
from .records import (
    Coverage,
    FleetTotal,
    GroupAggregate,
    MemberUpdate,
    SoloUpdate,
    decode_in_flight,
    encode_in_flight,
    holder_id,
    short_id,
)
from .relay_messages import Send

__all__ = [
    "Coverage",
    "FleetTotal",
    "GroupAggregate",
    "InFlightAggregator",
    "MemberUpdate",
    "Parent",
    "Send",
    "SoloUpdate",
    "decode_in_flight",
    "encode_in_flight",
    "holder_id",
    "short_id",
]
