"""Splits a byte stream into events and keeps their thread across runners."""

import re

from attrs import define

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


def event_id(ev):
    """The id of an event as text, or None.

    >>> event_id(b"id: 7\\ndata: x\\n\\n")
    '7'
    """
    m = _ID.search(ev)
    return m.group(1).decode("latin-1") if m else None


@define(slots=True)
class EventSplitter:
    """Cuts a stream at blank lines.

    >>> s = EventSplitter(); s.feed(b"id: 1\\n\\nid:"), s.rest
    ([b'id: 1\\n\\n'], b'id:')
    """

    rest: bytes = b""

    def feed(self, raw):
        """Takes bytes; gives the events that are now whole.

        >>> EventSplitter().feed(b"a\\n\\nb\\n\\n")
        [b'a\\n\\n', b'b\\n\\n']
        """
        raw, out, at = self.rest + raw, [], 0
        for m in _END.finditer(raw):
            out.append(raw[at : m.end()])
            at = m.end()
        self.rest = raw[at:]
        return out


@define(slots=True)
class ResumableStream:
    """Which events have gone to the requester; a later runner's are joined on.

    >>> t = ResumableStream(); t.accept(b"id: 1\\n\\n"), t.last_event_id
    (True, '1')
    >>> t.accept(b"id: 1\\n\\n"), t.accept(b"id: 2\\n\\n"), t.accept(b"id: 4\\n\\n"), t.has_gap
    (False, True, False, True)
    """

    last_event_id: str | None = None
    has_gap: bool = False
    step: int | None = None

    def accept(self, ev):
        """Whether to pass an event on; sets ``has_gap`` when one is missing.

        >>> ResumableStream().accept(b": note\\n\\n")
        True
        """
        id = event_id(ev)
        if id is None:
            return True
        if self.last_event_id is not None and id.isdigit() and self.last_event_id.isdigit():
            gap = int(id) - int(self.last_event_id)
            if gap <= 0:
                return False
            self.step = self.step or gap
            if gap != self.step:
                self.has_gap = True
                return False
        elif id == self.last_event_id:
            return False
        self.last_event_id = id
        return True
