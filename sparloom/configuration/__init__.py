"""The operators' configuration, and the snapshot that routers look routes up in.

Validation (``check``) and patches (``patch``) are imported from their modules, because routers need neither.
"""

from .additions import (
    ROLLOUTS,
    changed_additions,
    evacuated_zones,
    evacuated_zones_addition,
    patched_additions,
    with_additions,
    without_additions,
)
from .table import Configuration, RequestLimits, Route, Scaling, Service, build

__all__ = [
    "ROLLOUTS",
    "Configuration",
    "RequestLimits",
    "Route",
    "Scaling",
    "Service",
    "build",
    "changed_additions",
    "evacuated_zones",
    "evacuated_zones_addition",
    "without_additions",
    "patched_additions",
    "with_additions",
]
