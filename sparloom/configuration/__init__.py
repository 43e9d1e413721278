"""The operator's configuration: checked, patched, compared and looked up."""

from .check import MAXIMUM_REVISION, ConfigurationDocument, apply_patch, check, delta, parse
from .evacuation import EVACUATED_ZONES, evacuated_zones, with_evacuated_zones, without_evacuated_zones
from .table import Configuration, RequestLimits, Route, Service, build

__all__ = [
    "EVACUATED_ZONES",
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
    "evacuated_zones",
    "parse",
    "with_evacuated_zones",
    "without_evacuated_zones",
]
