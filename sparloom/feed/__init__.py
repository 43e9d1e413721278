"""News for the data plane: a numbered feed, followed from a place on."""

from .records import CONFIGURATION, ENDPOINTS, NO_VERSION, TOPICS, UNCONFIRMED, Change, FeedHeartbeat, Subscribe
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
    "VersionedItem",
    "VersionedStore",
]
