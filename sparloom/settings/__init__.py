"""The startup (settings) file of a process: read, checked, reread."""

from .checks import (
    Address,
    Bounds,
    CloudApi,
    Limits,
    ListenAddresses,
    Settings,
    ToleratedLosses,
    from_dict,
    read,
    read_toml,
    where,
)

__all__ = [
    "Address",
    "Bounds",
    "CloudApi",
    "Limits",
    "ListenAddresses",
    "Settings",
    "ToleratedLosses",
    "from_dict",
    "read",
    "read_toml",
    "where",
]
