"""Load balancing: prefers runners that probably have the prompt's prefix cached, unless they are overloaded."""

from .cached_prefixes import CachedPrefixes, parse_parts
from .rank import Candidate, Weights, choose, is_heavy_prefill, rendezvous_weight
from .zone_reachability import ZoneReachability

__all__ = [
    "CachedPrefixes",
    "Candidate",
    "Weights",
    "ZoneReachability",
    "choose",
    "is_heavy_prefill",
    "parse_parts",
    "rendezvous_weight",
]
