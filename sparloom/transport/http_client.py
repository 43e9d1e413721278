"""HTTP client sessions, and whole answers and bodies that pass through them.

A session sends each request once and never assigns a response to the wrong
request. All answers that are needed whole are read here, with a bound on their
size and within the process's budget of bytes: a time-out bounds no answer,
because on a fast link a peer sends more than a machine has within a second.
Large bodies of requests are written in pieces.
"""

from __future__ import annotations

import functools
import json
import time
from typing import TYPE_CHECKING, Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler

from sparloom.admission import HoldingKind, process_budget
from sparloom.errors import SparloomError

from .clock import monotonic

if TYPE_CHECKING:
    import asyncio

    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from sparloom.admission import Holding


# Answers that may wait on a connection: interim ones, and those that nobody has asked for.
MAXIMUM_QUEUED_ANSWERS = 64
# Bytes of a body that wait for their reader before the connection is read no further.
READ_BUFFER_BYTES = 32 << 10
# Most bytes that one read from a connection returns.
READ_CHUNK_BYTES = 64 << 10
# Bytes of a request's body that are written at a time.
PIECE_BYTES = 64 << 10
# Upper bound of the memory that one parsed JSON value takes beyond the bytes of its text.
PARSED_VALUE_BYTES = 128
# Upper bound of the memory that one byte of JSON text takes once it is parsed into a string.
PARSED_TEXT_FACTOR = 4


class AnswerHandler(ResponseHandler):
    """The protocol of a connection to a server; it is closed when answers come that nobody takes.

    The library stops reading while a body waits, but it keeps all answers
    without a body, each of which takes many times its bytes on the wire.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what one read returns, and so what is parsed at a time."""
        super().connection_made(transport)
        limit_read_size(transport, READ_CHUNK_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse data; close the connection if too many answers wait."""
        super().data_received(data)
        if len(self._buffer) > MAXIMUM_QUEUED_ANSWERS and self.transport is not None:
            self._buffer.clear()
            self.set_exception(aiohttp.ServerDisconnectedError("too many answers on one connection"))
            self.transport.abort()


def limit_read_size(transport: asyncio.BaseTransport, size: int) -> None:
    """Set how many bytes one read from a connection returns at most, if the event loop supports it."""
    if hasattr(transport, "max_size"):
        transport.max_size = size


class Connector(aiohttp.TCPConnector):
    """Reuses idle connections, except those that received bytes while no request was in flight."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        if not hasattr(self, "_factory"):
            raise RuntimeError("this version of aiohttp has no option to replace the protocol of a connection")
        self._factory = cast("functools.partial[ResponseHandler]", functools.partial(AnswerHandler, loop=self._loop))

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while (connection := await super()._get(key, traces)) is not None:
            if connection.protocol is not None and not connection.protocol.should_close:
                return connection
            connection.close()
        return None

    def has_idle(self) -> bool:
        """Return whether the most recently used idle connection is reusable.

        Load balancing calls this for each backend and each request, so it checks only one connection.
        """
        # The timeout is None only in a connector that closes each connection after its response. No connector here
        # is configured that way.
        assert self._keepalive_timeout is not None
        idle_cutoff = time.monotonic() - self._keepalive_timeout
        for idle in self._conns.values():
            protocol, idle_since = idle[-1]
            if idle_since > idle_cutoff and not protocol.should_close:
                return True
        return False

    def set_idle_timeout(self, seconds: float) -> None:
        """Set the keep-alive timeout of idle connections in seconds."""
        self._keepalive_timeout = seconds


def open_session(connector: aiohttp.BaseConnector, **options: Any) -> aiohttp.ClientSession:
    """Return a client session that stores no cookies and never retries.

    By default aiohttp retries a GET when the server closes a reused
    connection. The server may have executed the request by then, so only the
    caller may decide on a retry. The option has no public name, so a version
    of aiohttp without it raises an error.

    Parameters
    ----------
    connector
        Opens and pools the connections; the session closes it.
    options
        Further arguments of ``aiohttp.ClientSession``.

    Raises
    ------
    RuntimeError
        This version of aiohttp has no option to disable its retries.
    """
    session = aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar(), read_bufsize=READ_BUFFER_BYTES, **options
    )
    if not hasattr(session, "_retry_connection"):
        raise RuntimeError("this version of aiohttp has no option to disable its retries")
    session._retry_connection = False
    return session


# -- bodies of requests ------------------------------------------------------------
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


# -- whole answers ------------------------------------------------------------
class AnswerTooLargeError(SparloomError, ValueError):
    """An answer is larger than its limit, or than the memory that is left for it; its connection is closed."""


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
