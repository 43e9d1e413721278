"""Event streams: split into whole events, and taken up again without a gap or a double."""

from .events import Splitter, Thread, event_id

__all__ = ["Splitter", "Thread", "event_id"]
