"""The settings of a process: its startup file, read and checked."""

from .checks import SettingsError, from_dict, read, read_toml, startup_path
from .model import Address, Bounds, CloudApi, Limits, ListenAddresses, Settings, ToleratedLosses

__all__ = [
    "Address",
    "Bounds",
    "CloudApi",
    "Limits",
    "ListenAddresses",
    "Settings",
    "SettingsError",
    "ToleratedLosses",
    "from_dict",
    "read",
    "read_toml",
    "startup_path",
]
