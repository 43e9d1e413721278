"""The operator's configuration: checked, patched, compared and looked up."""

from .check import MAXIMUM_REVISION, ConfigurationDocument, check, parse
from .evacuation import EVACUATED_ZONES, evacuated_zones, with_evacuated_zones, without_evacuated_zones
from .patch import apply_patch, delta
from .table import Configuration, RequestLimits, Route, Scaling, Service, build

__all__ = [
    "EVACUATED_ZONES",
    "MAXIMUM_REVISION",
    "Configuration",
    "ConfigurationDocument",
    "RequestLimits",
    "Route",
    "Scaling",
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
