"""The operator's policy (configuration): checked, changed, looked up."""

from .check import apply_patch, check, parse
from .steps import step
from .table import Caps, Policy, Route, Service, build

__all__ = ["Caps", "Policy", "Route", "Service", "apply_patch", "build", "check", "parse", "step"]
