"""The tier of relays: who passes news on, chosen from membership without a vote."""

from .plan import Tier, plan
from .upstream import GENTLE, GONE, SILENT, STALE, Spans, Upstream

__all__ = ["GENTLE", "GONE", "SILENT", "STALE", "Spans", "Tier", "Upstream", "plan"]
