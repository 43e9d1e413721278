"""The operator's policy (configuration): checked, changed, looked up."""

from .check import MOST_REVISION, apply_patch, check, parse
from .delta import step
from .table import Caps, Policy, Route, Service, build

__all__ = ["MOST_REVISION", "Caps", "Policy", "Route", "Service", "apply_patch", "build", "check", "parse", "step"]
