"""The operator's policy (configuration): checked, changed, looked up."""

from .check import MAXIMUM_REVISION, apply_patch, check, parse
from .delta import delta
from .table import Configuration, RequestLimits, Route, Service, build

__all__ = [
    "MAXIMUM_REVISION",
    "Configuration",
    "RequestLimits",
    "Route",
    "Service",
    "apply_patch",
    "build",
    "check",
    "delta",
    "parse",
]
