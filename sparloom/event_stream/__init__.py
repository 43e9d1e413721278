"""Server-sent events: splitting, and resuming a stream at another runner."""

from .events import EventSplitter, ResumableStream, event_id

__all__ = ["EventSplitter", "ResumableStream", "event_id"]
