"""The operators' configuration: validation, patches, deltas and the snapshot that routers look routes up in."""

from .additions import (
    ROLLOUTS,
    changed_additions,
    evacuated_zones,
    evacuated_zones_addition,
    patched_additions,
    with_additions,
    without_additions,
)
from .check import MAXIMUM_REVISION, ConfigurationDocument, check, parse
from .patch import apply_patch, delta
from .table import Configuration, RequestLimits, Route, Scaling, Service, build

__all__ = [
    "MAXIMUM_REVISION",
    "ROLLOUTS",
    "Configuration",
    "ConfigurationDocument",
    "RequestLimits",
    "Route",
    "Scaling",
    "Service",
    "apply_patch",
    "build",
    "changed_additions",
    "check",
    "delta",
    "evacuated_zones",
    "evacuated_zones_addition",
    "without_additions",
    "parse",
    "patched_additions",
    "with_additions",
]
