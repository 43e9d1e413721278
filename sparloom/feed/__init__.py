"""News for the data plane: a numbered feed, followed from a place on."""

from .records import POLICY, RUNNERS, TOPICS, UNSURE, Change, Follow, Pulse
from .store import Item, Shelf, Tracker

__all__ = ["POLICY", "RUNNERS", "TOPICS", "UNSURE", "Change", "Follow", "Item", "Pulse", "Shelf", "Tracker"]
