"""The settings of a process: reading and validation of its startup file."""

from .checks import SettingsError, from_dict, read, read_toml, startup_path
from .model import (
    JOB_DEPLOYMENT,
    MODEL_DEPLOYMENT,
    ORDERS_BY_CALL,
    Address,
    Bounds,
    CloudApi,
    ColdBounds,
    DutySettings,
    JobBounds,
    Limits,
    ListenAddresses,
    RevocationBounds,
    Settings,
    ToleratedLosses,
)

__all__ = [
    "JOB_DEPLOYMENT",
    "MODEL_DEPLOYMENT",
    "ORDERS_BY_CALL",
    "Address",
    "Bounds",
    "CloudApi",
    "ColdBounds",
    "DutySettings",
    "JobBounds",
    "Limits",
    "ListenAddresses",
    "RevocationBounds",
    "Settings",
    "SettingsError",
    "ToleratedLosses",
    "from_dict",
    "read",
    "read_toml",
    "startup_path",
]
