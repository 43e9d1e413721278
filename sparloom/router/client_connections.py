"""Clients' connections: which are idle, how long they may stay idle, and how they are closed.

``ClientServer`` is the HTTP server for clients. ``ClientConnection`` is the
protocol of one connection.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, cast

from aiohttp import web

from sparloom.transport import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Lower bound of the idle timeout, whatever the configuration has.
MINIMUM_IDLE_TIMEOUT = timedelta(seconds=75)
# aiohttp's limit on a header line, set above the largest limit that a configuration may have.
LIBRARY_MAXIMUM_LINE_BYTES = 65536
# aiohttp fixes its own idle timeout when a connection opens. This value disables it in practice, so that the current
# configuration applies.
LIBRARY_KEEPALIVE_S = 1e6
# Private attributes of aiohttp's request handler that this module relies on.
_REQUIRED_SLOTS = {"_waiter", "_messages"}


class ClientConnection(web.RequestHandler):
    """One client's connection.

    Attributes
    ----------
    last_active_at: when data last arrived or a request last ended, on the monotonic clock.
    partial: whether an incomplete request head has arrived while no request was in progress.
    """

    __slots__ = ("last_active_at", "partial")

    def __init__(self, server: ClientServer) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]  # aiohttp accepts None, its annotation doesn't
            keepalive_timeout=LIBRARY_KEEPALIVE_S,
            max_field_size=LIBRARY_MAXIMUM_LINE_BYTES,
            max_line_size=LIBRARY_MAXIMUM_LINE_BYTES,
        )
        self.partial = False
        self.last_active_at = monotonic()

    @property
    def keepalive_timeout(self) -> float:
        """The idle timeout in seconds, by the current configuration."""
        return cast("ClientServer", self._manager).idle_timeout().total_seconds()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no part of the next one has been read."""
        return self._awaits_request and not self.partial

    @property
    def _awaits_request(self) -> bool:
        """Whether aiohttp waits for the next request and has none queued."""
        return self._waiter is not None and not self._waiter.done() and not self._messages

    def data_received(self, data: bytes) -> None:
        """Process data; if there is still no complete request afterwards, a partial head has arrived."""
        super().data_received(data)
        self.last_active_at = monotonic()
        self.partial = self._awaits_request

    def request_ended(self) -> None:
        """Record that the current request has ended."""
        self.last_active_at = monotonic()


class ClientServer(web.Server):
    """The HTTP server for clients.

    Parameters
    ----------
    idle_timeout: returns the idle timeout that applies now.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        idle_timeout: Callable[[], timedelta],
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        if not set(web.RequestHandler.__slots__).issuperset(_REQUIRED_SLOTS):
            raise RuntimeError("this version of aiohttp doesn't show which connections are idle")
        self.idle_timeout = idle_timeout

    def __call__(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(self)

    def _client_connections(self) -> list[ClientConnection]:
        return cast("list[ClientConnection]", self.connections)

    def close_all_idle(self) -> None:
        """Close all connections that have no request in progress."""
        for connection in self._client_connections():
            if connection.is_idle:
                connection.force_close()

    def close_expired(self) -> None:
        """Close connections that have been idle for longer than the idle timeout."""
        now, idle_timeout = monotonic(), self.idle_timeout()
        for connection in self._client_connections():
            if connection.is_idle and now - connection.last_active_at > idle_timeout:
                connection.force_close()
