"""The tier of relays: who passes news on, chosen from membership without a vote."""

from .plan import RelayTier, plan_tier
from .upstream import GENTLE, GONE, SILENT, STALE, Upstream, UpstreamTiming

__all__ = ["GENTLE", "GONE", "SILENT", "STALE", "RelayTier", "Upstream", "UpstreamTiming", "plan_tier"]
