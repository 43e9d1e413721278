"""HTTP client sessions that send each request once and tie no answer to a wrong request."""

from time import monotonic

import aiohttp


class Connector(aiohttp.TCPConnector):
    """Keeps connections open for later requests, but none on which bytes came that nobody asked for."""

    async def _get(self, key, traces):
        while (connection := await super()._get(key, traces)) is not None:
            if not connection.protocol.should_close:
                return connection
            connection.close()
        return None

    def has_idle(self):
        """Whether the connection that became idle last can be used for the next request.

        This is asked of each runner at each choice, so it looks at one connection only.
        """
        oldest = monotonic() - self._keepalive_timeout
        for idle in self._conns.values():
            protocol, since = idle[-1]
            if since > oldest and not protocol.should_close:
                return True
        return False

    def keep_idle(self, seconds):
        """Sets for how long an idle connection is kept."""
        self._keepalive_timeout = seconds


def open_session(connector, **options):
    """A client session without cookies, on which the library repeats nothing by itself.

    The library sends a GET again when the server closed a kept connection. The
    request may have been carried out by then, so only the caller may decide
    that. The switch has no public name: a version of the library without it
    must not be used unnoticed.
    """
    session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar(), **options)
    if not hasattr(session, "_retry_connection"):
        raise RuntimeError("this version of aiohttp has no switch for its own retries")
    session._retry_connection = False
    return session
