"""The relay tier: which routers relay the feed to others. It is derived from membership, without an election."""

from .plan import RelayTier, plan_tier
from .upstream import LeaveReason, Upstream, UpstreamTiming

__all__ = ["LeaveReason", "RelayTier", "Upstream", "UpstreamTiming", "plan_tier"]
