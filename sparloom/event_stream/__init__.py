"""Server-sent events: splits a byte stream into events, and resumes a stream at another runner."""

from .events import EventSplitter, EventTooLargeError, ResumableStream, event_id

__all__ = ["EventSplitter", "EventTooLargeError", "ResumableStream", "event_id"]
