"""Roll-outs: a new version of a service takes its requests over by steps, and a vote among watchers judges it."""

from .state import Rollout, RolloutsState, Status, Step

__all__ = ["Rollout", "RolloutsState", "Status", "Step"]
