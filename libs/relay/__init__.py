"""The tier of relays: who passes news on, chosen from membership without a vote."""
from .plan import Tier, plan

__all__ = ["Tier", "plan"]
