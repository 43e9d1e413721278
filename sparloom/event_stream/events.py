"""Splits a byte stream into server-sent events, and joins a stream that is resumed at another runner."""

from __future__ import annotations

import re

from attrs import define, field

from sparloom.errors import SparloomError

# Largest event that is read.
MAXIMUM_EVENT_BYTES = 1 << 20
# Length of the longest end of an event.
_END_OF_EVENT_BYTES = 4
_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventTooLargeError(SparloomError, ValueError):
    """A runner sent an event that is too large, or whose end never comes."""


def event_id(event: bytes) -> str | None:
    """Returns the id of an event, or None.

    >>> event_id(b"id: 7\\ndata: x\\n\\n")
    '7'
    """
    found = _ID.search(event)
    return found.group(1).decode("latin-1") if found else None


@define(slots=True)
class EventSplitter:
    """Splits a byte stream at blank lines.

    Attributes:
        rest: Bytes of the incomplete last event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\n\\nid:"), bytes(splitter.rest)
    ([b'id: 1\\n\\n'], b'id:')
    """

    rest: bytearray = field(factory=bytearray)

    def feed(self, raw: bytes) -> list[bytes]:
        """Adds bytes and returns the events that they complete.

        Only the new bytes are searched, so the work doesn't grow with the size of an event.

        >>> EventSplitter().feed(b"a\\n\\nb\\n\\n")
        [b'a\\n\\n', b'b\\n\\n']

        Raises:
            EventTooLargeError: An event is larger than ``MAXIMUM_EVENT_BYTES``.
        """
        searched = max(0, len(self.rest) - _END_OF_EVENT_BYTES + 1)
        self.rest += raw
        events, start = [], 0
        for end in _END_OF_EVENT.finditer(self.rest, searched):
            events.append(bytes(self.rest[start : end.end()]))
            start = end.end()
        del self.rest[:start]
        if len(self.rest) > MAXIMUM_EVENT_BYTES:
            raise EventTooLargeError(f"an event has more than {MAXIMUM_EVENT_BYTES} bytes")
        return events


@define(slots=True)
class ResumableStream:
    """Tracks the forwarded events, so that the stream of another runner continues after them.

    Attributes:
        last_event_id: The id of the last event forwarded.
        has_gap: Whether an event is missing, so that the stream can't be resumed.
        step: Difference between successive numeric ids; None until two are known.

    >>> stream = ResumableStream()
    >>> stream.accept(b"id: 1\\n\\n"), stream.last_event_id
    (True, '1')
    >>> [stream.accept(b"id: %d\\n\\n" % id) for id in (1, 2, 4)], stream.has_gap
    ([False, True, False], True)
    """

    last_event_id: str | None = None
    has_gap: bool = False
    step: int | None = None

    def accept(self, event: bytes) -> bool:
        """Returns whether to forward an event; sets ``has_gap`` if a preceding event is missing.

        >>> ResumableStream().accept(b": note\\n\\n")
        True
        """
        id = event_id(event)
        if id is None:
            return True
        if self.last_event_id is not None and id.isdigit() and self.last_event_id.isdigit():
            difference = int(id) - int(self.last_event_id)
            if difference <= 0:
                return False
            self.step = self.step or difference
            if difference != self.step:
                self.has_gap = True
                return False
        elif id == self.last_event_id:
            return False
        self.last_event_id = id
        return True
