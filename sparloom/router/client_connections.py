"""Clients' connections: which of them rest, how long they may, and how they end."""

import asyncio
from datetime import timedelta

from aiohttp import web

from sparloom.transport import monotonic

# A connection is kept at least so long, whatever the configuration allows.
LEAST_IDLE = timedelta(seconds=75)
OPTIONS = {"max_field_size": 65536, "max_line_size": 65536}
# The library's own bound is fixed when a connection opens, so it is set out of reach.
LIBRARY_KEEPALIVE_S = 1e6
# Attributes of the library that have no public name.
_NEEDED = {"_waiter", "_messages"}


class ClientConnection(web.RequestHandler):
    """One client's connection.

    ``touched``: when it last did something. ``partial``: a part of a request's
    head came while none was in hand.
    """

    __slots__ = ("partial", "touched")

    def __init__(self, server):
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=LIBRARY_KEEPALIVE_S,
            **OPTIONS,
        )
        self.partial, self.touched = False, monotonic()

    @property
    def keepalive_timeout(self):
        """For how many seconds it may be idle, by the configuration of this moment."""
        return self._manager.idle_bound().total_seconds()

    @property
    def resting(self):
        """Whether no request is in hand here, and none of which a part has been read."""
        return self._waits and not self.partial

    @property
    def _waits(self):
        """Whether the next request is waited for, and none has come."""
        return self._waiter is not None and not self._waiter.done() and not self._messages

    def data_received(self, data):
        """Bytes came; where still no request is in hand, they are a part of one."""
        super().data_received(data)
        self.touched = monotonic()
        self.partial = self._waits

    def request_ended(self):
        """Its answer is made."""
        self.touched = monotonic()


class ClientServer(web.Server):
    """Serves clients; ``idle_bound()``: how long a connection may be idle now."""

    def __init__(self, handler, idle_bound):
        super().__init__(handler, handler_cancellation=True)
        if not _NEEDED <= set(web.RequestHandler.__slots__):
            raise RuntimeError("this version of aiohttp does not tell which connections rest")
        self.idle_bound = idle_bound

    def __call__(self):
        """The protocol of a new connection."""
        return ClientConnection(self)

    def end_resting(self):
        """Closes each connection on which nothing is under way."""
        for connection in self.connections:
            if connection.resting:
                connection.force_close()

    def end_idle(self):
        """Closes each connection that has rested for longer than it may."""
        oldest = monotonic() - self.idle_bound()
        for connection in self.connections:
            if connection.resting and connection.touched < oldest:
                connection.force_close()
