"""In-flight counts through the tier of relays: sums up, across and down, no call counted twice."""

from .aggregator import InFlightAggregator, Send
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
