"""Event streams: split into whole events, and taken up again without a gap or a double."""

from .events import EventSplitter, ResumableStream, event_id

__all__ = ["EventSplitter", "ResumableStream", "event_id"]
