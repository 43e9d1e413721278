"""HTTP client sessions that send each request once and never assign a response to the wrong request."""

from __future__ import annotations

import functools
from time import monotonic
from typing import TYPE_CHECKING, Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio

    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace


# Answers that may wait on a connection: interim ones, and those that nobody has asked for.
MAXIMUM_QUEUED_ANSWERS = 64
# Bytes of a body that wait for their reader before the connection is read no further.
READ_BUFFER_BYTES = 32 << 10
# Most bytes that one read from a connection returns.
READ_CHUNK_BYTES = 64 << 10


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
        idle_cutoff = monotonic() - self._keepalive_timeout
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
