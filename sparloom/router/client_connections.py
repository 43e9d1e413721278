"""Clients' connections: which are idle, how long they may stay idle, and how they are closed.

``ClientServer`` is the HTTP server for clients. ``ClientConnection`` is the
protocol of one connection.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, cast

from sparloom.transport import monotonic
from sparloom.transport.http_server import BoundedConnection, BoundedServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

# Lower bound of the idle timeout, whatever the configuration has.
MINIMUM_IDLE_TIMEOUT = timedelta(seconds=75)
# How long the last bytes of an answer may take on a connection that is closing.
CLOSING_TIMEOUT = timedelta(seconds=5)
# aiohttp's limit on a header line, set above the largest limit that a configuration may have.
LIBRARY_MAXIMUM_LINE_BYTES = 65536
# aiohttp fixes its own idle timeout when a connection opens. This value disables it in practice, so that the current
# configuration applies.
LIBRARY_KEEPALIVE_S = 1e6


class ClientConnection(BoundedConnection):
    """One client's connection."""

    __slots__ = ("_closing_since",)

    def __init__(self, server: ClientServer) -> None:
        super().__init__(
            server,
            keepalive_timeout=LIBRARY_KEEPALIVE_S,
            max_field_size=LIBRARY_MAXIMUM_LINE_BYTES,
            max_line_size=LIBRARY_MAXIMUM_LINE_BYTES,
        )
        self._closing_since: timedelta | None = None

    @property
    def keepalive_timeout(self) -> float:
        """The idle timeout in seconds, by the current configuration."""
        return cast("ClientServer", self._manager).idle_timeout().total_seconds()

    def abort_if_closing(self, now: timedelta) -> None:
        """Abort a connection whose last bytes the client doesn't take."""
        if not self.is_closing:
            return
        if self._closing_since is None:
            self._closing_since = now
        elif now - self._closing_since > CLOSING_TIMEOUT:
            self.abort()


class ClientServer(BoundedServer):
    """The HTTP server for clients.

    Parameters
    ----------
    idle_timeout: returns the idle timeout that applies now.
    maximum_head_bytes: returns the largest head that a client may send now.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        maximum_connections: int,
        idle_timeout: Callable[[], timedelta],
        maximum_head_bytes: Callable[[], int],
    ) -> None:
        super().__init__(handler, maximum_connections)
        self.idle_timeout = idle_timeout
        self._maximum_head_bytes = maximum_head_bytes

    def __call__(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(self)

    def maximum_head_bytes(self) -> int:
        """Return the largest head that a client may send, by the current configuration."""
        return self._maximum_head_bytes()

    def _client_connections(self) -> list[ClientConnection]:
        return cast("list[ClientConnection]", self.connections)

    def close_all_idle(self) -> None:
        """Close all connections that have no request in progress."""
        for connection in self._client_connections():
            if connection.is_idle:
                connection.force_close()

    def close_expired(self) -> None:
        """Close connections that have been idle for longer than the idle timeout, or closing for too long."""
        now, idle_timeout = monotonic(), self.idle_timeout()
        for connection in self._client_connections():
            if connection.is_idle and now - connection.last_active_at > idle_timeout:
                connection.force_close()
        for connection in cast("list[ClientConnection]", self.open_connections()):
            connection.abort_if_closing(now)
