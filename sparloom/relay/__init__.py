"""The tier of relays: which routers pass the feed on, chosen from membership without a vote."""

from .plan import RelayTier, plan_tier
from .upstream import LeaveReason, Upstream, UpstreamTiming

__all__ = ["LeaveReason", "RelayTier", "Upstream", "UpstreamTiming", "plan_tier"]
