"""HTTP client sessions that send each request once and never assign a response to the wrong request."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace


class Connector(aiohttp.TCPConnector):
    """Reuses idle connections, except those that received bytes while no request was in flight."""

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
    session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar(), **options)
    if not hasattr(session, "_retry_connection"):
        raise RuntimeError("this version of aiohttp has no option to disable its retries")
    session._retry_connection = False
    return session
