"""Clients' connections: which of them rest, for how long they may be idle, and how they are closed."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, cast

from aiohttp import web

from sparloom.transport import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# A connection is kept for at least so long, whatever the configuration allows.
MINIMUM_IDLE_TIMEOUT = timedelta(seconds=75)
# The library's own limit on a header line, above the largest that a configuration may set.
LIBRARY_MAXIMUM_LINE_BYTES = 65536
# The library's own idle time-out is fixed when a connection opens, so it is set out of reach.
LIBRARY_KEEPALIVE_S = 1e6
# Attributes of the library that have no public name.
_REQUIRED_SLOTS = {"_waiter", "_messages"}


class ClientConnection(web.RequestHandler):
    """One client's connection.

    Attributes
    ----------
    last_active_at: when bytes came or a response was made, on the monotonic clock.
    partial: whether a part of a request's head has come while no request was in hand.
    """

    __slots__ = ("last_active_at", "partial")

    def __init__(self, server: ClientServer) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]  # the library takes None, its annotation doesn't
            keepalive_timeout=LIBRARY_KEEPALIVE_S,
            max_field_size=LIBRARY_MAXIMUM_LINE_BYTES,
            max_line_size=LIBRARY_MAXIMUM_LINE_BYTES,
        )
        self.partial = False
        self.last_active_at = monotonic()

    @property
    def keepalive_timeout(self) -> float:
        """For how many seconds it may be idle, by the configuration in force."""
        return cast("ClientServer", self._manager).idle_timeout().total_seconds()

    @property
    def resting(self) -> bool:
        """Whether no request is in hand here, and none of which a part has been read."""
        return self._awaits_request and not self.partial

    @property
    def _awaits_request(self) -> bool:
        """Whether the library waits for the next request and has none in its queue."""
        return self._waiter is not None and not self._waiter.done() and not self._messages

    def data_received(self, data: bytes) -> None:
        """Take bytes; where still no request is in hand, they are a part of one."""
        super().data_received(data)
        self.last_active_at = monotonic()
        self.partial = self._awaits_request

    def request_ended(self) -> None:
        """Note that the response to the request in hand has been made."""
        self.last_active_at = monotonic()


class ClientServer(web.Server):
    """Serves clients.

    Parameters
    ----------
    idle_timeout: says for how long a connection may be idle now.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        idle_timeout: Callable[[], timedelta],
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        if not set(web.RequestHandler.__slots__).issuperset(_REQUIRED_SLOTS):
            raise RuntimeError("this version of aiohttp does not tell which connections rest")
        self.idle_timeout = idle_timeout

    def __call__(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(self)

    def _client_connections(self) -> list[ClientConnection]:
        return cast("list[ClientConnection]", self.connections)

    def close_resting(self) -> None:
        """Close each connection on which nothing is under way."""
        for connection in self._client_connections():
            if connection.resting:
                connection.force_close()

    def close_idle(self) -> None:
        """Close each connection that has rested for longer than it may."""
        now, idle_timeout = monotonic(), self.idle_timeout()
        for connection in self._client_connections():
            if connection.resting and now - connection.last_active_at > idle_timeout:
                connection.force_close()
