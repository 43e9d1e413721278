"""HTTP client sessions that send each request once and never match a response to the wrong request."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace


class Connector(aiohttp.TCPConnector):
    """Reuses idle connections, except those on which bytes arrived that belong to no request."""

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while (connection := await super()._get(key, traces)) is not None:
            if connection.protocol is not None and not connection.protocol.should_close:
                return connection
            connection.close()
        return None

    def has_idle(self) -> bool:
        """Whether the connection that became idle last can carry the next request.

        Asked for each backend at each choice, so it looks at one connection only.
        """
        # Only a connector that closes each connection after its response has no limit; none here does.
        assert self._keepalive_timeout is not None
        oldest = monotonic() - self._keepalive_timeout
        for idle in self._conns.values():
            protocol, idle_since = idle[-1]
            if idle_since > oldest and not protocol.should_close:
                return True
        return False

    def keep_idle(self, seconds: float) -> None:
        """Sets for how many seconds an idle connection is kept."""
        self._keepalive_timeout = seconds


def open_session(connector: aiohttp.BaseConnector, **options: Any) -> aiohttp.ClientSession:
    """A client session without cookies, in which the library retries nothing by itself.

    The library sends a GET again when the server closed a reused connection.
    The request may have been carried out by then, so only the caller may
    decide on a retry. The switch has no public name: a version of the library
    without it must not be used unnoticed.

    Parameters
    ----------
    connector
        Opens and keeps the connections; the session closes it.
    options
        Further arguments of ``aiohttp.ClientSession``.

    Raises
    ------
    RuntimeError
        This version of aiohttp has no such switch.
    """
    session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar(), **options)
    if not hasattr(session, "_retry_connection"):
        raise RuntimeError("this version of aiohttp has no switch for its own retries")
    session._retry_connection = False
    return session
