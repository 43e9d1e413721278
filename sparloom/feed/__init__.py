"""The versioned feed that distributes the configuration and the endpoint list to controllers and routers."""

from .records import (
    CONFIGURATION,
    ENDPOINTS,
    NO_VERSION,
    TOPICS,
    UNCONFIRMED,
    Change,
    FeedHeartbeat,
    Subscribe,
    Topic,
    Version,
)
from .store import SourceTracker, VersionedItem, VersionedStore

__all__ = [
    "CONFIGURATION",
    "ENDPOINTS",
    "NO_VERSION",
    "TOPICS",
    "UNCONFIRMED",
    "Change",
    "FeedHeartbeat",
    "SourceTracker",
    "Subscribe",
    "Topic",
    "Version",
    "VersionedItem",
    "VersionedStore",
]
