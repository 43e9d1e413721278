"""The operator's configuration: checked, patched, compared and looked up."""

from .check import MAXIMUM_REVISION, ConfigurationDocument, apply_patch, check, delta, parse
from .table import Configuration, RequestLimits, Route, Service, build

__all__ = [
    "MAXIMUM_REVISION",
    "Configuration",
    "ConfigurationDocument",
    "RequestLimits",
    "Route",
    "Service",
    "apply_patch",
    "build",
    "check",
    "delta",
    "parse",
]
