"""Rollouts: requests move to a new version of a service step by step, as the routers' votes approve each step."""

from .state import Rollout, RolloutsState, Status, Step

__all__ = ["Rollout", "RolloutsState", "Status", "Step"]
