"""Reads whole answers to HTTP calls, with a bound on their size and within the process's budget of bytes.

All answers that are needed whole are read here. A time-out bounds no answer: on
a fast link a peer sends more than a machine has within a second.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from sparloom.admission import HoldingKind, process_budget
from sparloom.errors import SparloomError

from .clock import monotonic

if TYPE_CHECKING:
    from typing import Protocol

    import aiohttp

    from sparloom.admission import Holding

    class SupportsRead(Protocol):
        """A blocking stream of bytes."""

        def read(self, size: int, /) -> bytes:
            """Return up to ``size`` bytes; fewer only at the end of the stream."""


# Upper bound of the memory that one parsed JSON value takes beyond the bytes of its text.
PARSED_VALUE_BYTES = 128
# Upper bound of the memory that one byte of JSON text takes once it is parsed into a string.
PARSED_TEXT_FACTOR = 4


class AnswerTooLargeError(SparloomError, ValueError):
    """An answer is larger than its limit, or than the memory that is left for it; its connection is closed."""


def read_stream(stream: SupportsRead, maximum_bytes: int) -> bytes:
    """Return all bytes of a blocking stream.

    Raises
    ------
    AnswerTooLargeError
        It has more than ``maximum_bytes``.
    OSError
        The connection failed.
    """
    raw = stream.read(maximum_bytes + 1)
    if len(raw) > maximum_bytes:
        raise AnswerTooLargeError(f"an answer of more than {maximum_bytes} bytes")
    return raw


def parsed_size_bound(raw: bytes) -> int:
    """Return an upper bound of the memory that a JSON document takes while it is parsed.

    >>> parsed_size_bound(b"[[],[]]") > 4 * PARSED_VALUE_BYTES
    True
    """
    values = raw.count(b",") + raw.count(b"[") + raw.count(b"{")
    return PARSED_TEXT_FACTOR * len(raw) + PARSED_VALUE_BYTES * values


def parse_json(raw: bytes) -> Any:
    """Parse a JSON document.

    Raises
    ------
    ValueError
        It is invalid or nested too deeply.
    """
    try:
        return json.loads(raw)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error


async def read_body(response: aiohttp.ClientResponse, maximum_bytes: int) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    AnswerTooLargeError
        It is larger than ``maximum_bytes``, or than the memory that is left.
    aiohttp.ClientError, OSError
        The connection failed.
    """
    holding = _open_holding(response)
    try:
        return await _read(response, maximum_bytes, holding)
    finally:
        process_budget().close(holding)


async def read_json(response: aiohttp.ClientResponse, maximum_bytes: int) -> Any:
    """Return the JSON document in the body of an answer.

    Raises
    ------
    AnswerTooLargeError
        It is larger than ``maximum_bytes``, or than the memory that is left.
    ValueError
        It is no JSON document.
    aiohttp.ClientError, OSError
        The connection failed.
    """
    holding = _open_holding(response)
    try:
        body = await _read(response, maximum_bytes, holding)
        size = parsed_size_bound(body)
        if size > process_budget().capacity or not process_budget().resize(holding, size, monotonic()):
            raise AnswerTooLargeError(f"no memory is left for a document of {len(body)} bytes")
        return parse_json(body)
    finally:
        process_budget().close(holding)


def _open_holding(response: aiohttp.ClientResponse) -> Holding:
    return process_budget().open(HoldingKind.ANSWERS, response.url.authority, monotonic())


async def _read(response: aiohttp.ClientResponse, maximum_bytes: int, holding: Holding) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        size = len(body) + len(chunk)
        if size > maximum_bytes or not process_budget().resize(holding, size, monotonic()):
            response.close()
            raise AnswerTooLargeError(f"an answer of {size} bytes or more, at most {maximum_bytes} are read")
        body += chunk
    return bytes(body)
