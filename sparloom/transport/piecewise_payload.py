"""``PiecewisePayload``: a request body that is written in pieces, as fast as the server takes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

PIECE_BYTES = 64 << 10


class PiecewisePayload(aiohttp.BytesPayload):
    """A body of bytes; the library would write it whole and so keep a second copy until the server has taken it."""

    async def write_with_length(self, writer: AbstractStreamWriter, content_length: int | None) -> None:
        """Write the body, or its first ``content_length`` bytes."""
        body = memoryview(self._value)
        if content_length is not None:
            body = body[:content_length]
        for start in range(0, len(body), PIECE_BYTES):
            await writer.write(body[start : start + PIECE_BYTES])


def request_data(body: bytes) -> bytes | PiecewisePayload | None:
    """Return the ``data`` argument of a request with this body; None for no body.

    >>> request_data(b""), request_data(b"x"), type(request_data(bytes(PIECE_BYTES + 1))).__name__
    (None, b'x', 'PiecewisePayload')
    """
    if not body:
        return None
    return PiecewisePayload(body) if len(body) > PIECE_BYTES else body
