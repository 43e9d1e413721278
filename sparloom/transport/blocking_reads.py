"""Reads whole answers of blocking calls, as the command line makes them, with a bound on their size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sparloom.errors import SparloomError

if TYPE_CHECKING:
    from typing import Protocol

    class SupportsRead(Protocol):
        """A blocking stream of bytes."""

        def read(self, size: int, /) -> bytes:
            """Return up to ``size`` bytes; fewer only at the end of the stream."""


class StreamTooLargeError(SparloomError, ValueError):
    """A stream has more bytes than its limit."""


def read_stream(stream: SupportsRead, maximum_bytes: int) -> bytes:
    """Return all bytes of a blocking stream.

    Raises
    ------
    StreamTooLargeError
        It has more than ``maximum_bytes``.
    OSError
        The connection failed.
    """
    raw = stream.read(maximum_bytes + 1)
    if len(raw) > maximum_bytes:
        raise StreamTooLargeError(f"an answer of more than {maximum_bytes} bytes")
    return raw
