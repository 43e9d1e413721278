"""Kept connections to one life of a runner: which may be used again, and what their ends teach.

The oldest that may be used goes first, so that all are kept alive (newest
first cost twice the new connections, trial); while resets are fresh the newest
does. One that has stood too long is left to the runner, whose close tells how
long it may stand. A connection on which bytes came while it stood idle is not
used: a surplus answer belongs to no request.
"""
from contextvars import ContextVar
from time import monotonic

from aiohttp import ClientResponse, TCPConnector
from aiohttp.http import HttpProcessingError

LEASE = ContextVar("lease")
ID, HOLD = "X-Sparloom-Attempt-Id", 60.0


class Lease:
    """One request's use of a connection.

    ``careful``: the request can't be sent again. ``idle``: seconds that the
    connection had stood, None for a fresh one.

    >>> Lease("a", True).idle is None
    True
    """

    __slots__ = ("id", "careful", "idle")

    def __init__(self, id, careful):
        self.id, self.careful, self.idle = id, careful, None


class Pool(TCPConnector):
    """A connector that asks ``rest`` how long a connection may have stood idle."""

    def __init__(self, rest, **kw):
        super().__init__(keepalive_timeout=HOLD, **kw)
        self.rest = rest

    def warm(self, careful=False):
        """Whether a connection stands idle that may be used."""
        now = monotonic()
        most = self.rest.limit(now, careful)
        return any(now - since <= most and proto.is_connected() for conns in self._conns.values() for proto, since in conns)

    async def _get(self, key, traces):
        lease, now = LEASE.get(None), monotonic()
        most = self.rest.limit(now, lease is not None and lease.careful)
        conns = self._conns.get(key, ())
        for item in [c for c in conns if not c[0].is_connected() or c[0].should_close]:
            conns.remove(item)
            item[0].close()
        fit = [c for c in conns if now - c[1] <= most]
        if not fit:
            if not conns:
                self._conns.pop(key, None)
            return None
        best = fit[-1] if self.rest.low else fit[0]
        conns.remove(best)
        conns.appendleft(best)
        if lease is not None:
            lease.idle = now - best[1]
        return await super()._get(key, traces)

    async def _create_connection(self, req, traces, timeout):
        proto = await super()._create_connection(req, traces, timeout)
        proto.closed.add_done_callback(lambda fut: self._ended(proto, fut))
        return proto

    def _ended(self, proto, fut):
        if not fut.cancelled():
            fut.exception()
        for conns in self._conns.values():
            for item in conns:
                if item[0] is proto:
                    self.rest.closed(monotonic() - item[1])
                    conns.remove(item)
                    return


class Response(ClientResponse):
    """Passes over whole answers that carry another request's id: surplus ones, late in the place of ours.

    Only a connection that was used before can bring such.
    """

    async def start(self, connection):
        """Reads up to the head of our own answer."""
        proto, lease = connection.protocol, LEASE.get(None)
        while lease is not None and lease.idle is not None:
            try:
                message, payload = await proto.read()
            except HttpProcessingError:
                break
            if message.headers.get(ID, lease.id) == lease.id or message.should_close:
                proto._buffer.appendleft(((message, payload), 0))
                break
            await payload.read()
        return await super().start(connection)
