"""HTTP servers that bound what the clients of one listener can make the process keep.

``BoundedServer`` bounds the number of connections. ``BoundedConnection`` bounds
what one connection holds beside the body of the current request: heads that
never end, and requests that are sent before the current one is answered. Whoever
reads a body accounts for it (``sparloom.admission.ByteBudget``).
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, cast

from absl import logging
from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.web_protocol import _ErrInfo

from sparloom.admission import HoldingKind, process_budget

from .clock import monotonic
from .http_client import READ_BUFFER_BYTES, READ_CHUNK_BYTES, limit_read_size

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sparloom.admission import Holding

# Largest head on a listener that has no configured limit.
DEFAULT_HEAD_BYTES = 32 << 10
# The library's limit on a line and a field of a head.
DEFAULT_LINE_BYTES = 8190
# Heads up to this size are not accounted for one by one.
UNACCOUNTED_HEAD_BYTES = 4 << 10
# Memory of a parsed head per byte on the wire.
PARSED_HEAD_FACTOR = 4
# What may be kept for an answer beside the bytes in its send buffer: the next ones, and those read from the runner.
BLOCKED_BYTES = 256 << 10
# How long the rest of a body is read and dropped after its request was refused, so that the client sees the answer.
LINGERING_TIME_S = 2.0
# A client that has sent or taken nothing for this long may lose its connection to another.
STALL = timedelta(seconds=1)
# Private attributes of aiohttp's request handler that this module relies on.
_REQUIRED_SLOTS = {"_waiter", "_messages", "_request_in_progress"}
_REQUIRED_METHODS = ("_pause_reading_for_buffer", "_resume_reading_if_drained")

_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.2\r\nConnection: close\r\n\r\n"


class BoundedConnection(web.RequestHandler):
    """The protocol of one connection.

    Attributes
    ----------
    last_active_at: when data last arrived or a request last ended, on the monotonic clock.
    partial: whether an incomplete request head has arrived while no request was in progress.
    """

    __slots__ = (
        "_blocked_since",
        "_head_bytes",
        "_holding",
        "_partial_bytes",
        "_payload",
        "_socket",
        "_unsent",
        "last_active_at",
        "partial",
    )

    def __init__(self, server: BoundedServer, **options: Any) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]  # aiohttp accepts None, its annotation doesn't
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGERING_TIME_S,
            auto_decompress=False,
            **options,
        )
        self.partial = False
        self.last_active_at = monotonic()
        self._socket: asyncio.Transport | None = None
        self._payload: Any = None
        # Bytes of the complete heads of the current request and of those behind it, and of the incomplete one.
        self._head_bytes = self._partial_bytes = 0
        self._holding: Holding | None = None
        # What waits for a client that takes no data.
        self._unsent: Holding | None = None
        self._blocked_since: timedelta | None = None

    # -- state --------------------------------------------------------------------
    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no part of the next one has been read."""
        return self._awaits_request and not self.partial

    @property
    def _awaits_request(self) -> bool:
        """Whether aiohttp waits for the next request and has none queued."""
        return self._waiter is not None and not self._waiter.done() and not self._messages

    def is_evictable(self, now: timedelta) -> bool:
        """Whether another connection may take this one's place: it waits for a request or for its client."""
        if self._awaits_request:
            return True
        if self._blocked_since is not None:
            return now - self._blocked_since >= STALL
        return self._receives_body and now - self.last_active_at >= STALL

    @property
    def _receives_body(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    # -- the connection -----------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, which may close another one."""
        super().connection_made(transport)
        self._socket = cast("asyncio.Transport", transport)
        limit_read_size(transport, READ_CHUNK_BYTES)
        cast("BoundedServer", self._manager).add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection holds."""
        if self._manager is not None:
            cast("BoundedServer", self._manager).remove(self)
        if self._holding is not None:
            process_budget().close(self._holding)
        self._close_unsent()
        self._socket = self._payload = None
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once; what was not sent yet is dropped."""
        if self._socket is not None:
            self._socket.abort()

    def pause_writing(self) -> None:
        """Account for an answer that the client doesn't take; without room for it the connection is closed."""
        super().pause_writing()
        budget, now = process_budget(), monotonic()
        self._blocked_since = now
        self._unsent = budget.open(HoldingKind.RESPONSES, self.peer, now, self.abort)
        unsent_bytes = self._socket.get_write_buffer_size() if self._socket is not None else 0
        if not budget.resize(self._unsent, unsent_bytes + BLOCKED_BYTES, now):
            logging.info("server: no memory for an answer peer=%s budget=%s", self.peer, _figures())
            self._loop.call_soon(self.abort)

    def resume_writing(self) -> None:
        """Record that the client takes data again."""
        super().resume_writing()
        self._blocked_since = None
        self._close_unsent()

    def _close_unsent(self) -> None:
        if self._unsent is not None:
            process_budget().close(self._unsent)
            self._unsent = None

    # -- heads --------------------------------------------------------------------
    def data_received(self, data: bytes) -> None:
        """Process data, and count it if it is no part of a body."""
        if self._upgraded:
            # The connection closes after the current request.
            return
        is_body, queued = self._receives_body, len(self._messages)
        super().data_received(data)
        if self._messages:
            self._shorten_last_message()
        self.last_active_at = monotonic()
        if self._messages:
            self._payload = self._messages[-1][1]
        self.partial = self._awaits_request and (self.partial or bool(data))
        if data and not is_body:
            self._count_heads(len(data), [message for message, _ in list(self._messages)[queued:]])

    def _shorten_last_message(self) -> None:
        """Keep nothing of bytes that are no request, nor of those behind an upgrade, which is never accepted.

        The library keeps both until the current request has ended: the former as a text of eight times their size.
        """
        message, payload = self._messages[-1]
        if isinstance(message, _ErrInfo):
            if self._receives_body:
                # The library leaves the reader of a body waiting whose framing is invalid.
                self._payload.set_exception(web.RequestPayloadError("invalid framing of a request body"))
                self._payload.feed_eof()
            self._messages[-1] = (_ErrInfo(status=message.status, exc=BadHttpMessage(""), message=""), payload)
        elif self._upgraded:
            self._messages[-1] = (message._replace(should_close=True), payload)
            self._message_tail = b""

    def _count_heads(self, size: int, complete: list[Any]) -> None:
        """Count bytes that began with a head, and the heads that they complete; stop where these are too large."""
        self._partial_bytes += size
        if complete:
            # Behind the heads there may be a body, which counts elsewhere.
            is_small = self._partial_bytes <= UNACCOUNTED_HEAD_BYTES
            self._head_bytes += self._partial_bytes if is_small else sum(map(_head_size, complete))
            self._partial_bytes = 0
        maximum_bytes = cast("BoundedServer", self._manager).maximum_head_bytes() + READ_CHUNK_BYTES
        if self._head_bytes + self._partial_bytes > maximum_bytes:
            self._stop_reading(_TOO_LARGE)
        elif not self._account_for_head():
            self._stop_reading(_UNAVAILABLE)

    def _account_for_head(self) -> bool:
        size = self._head_bytes + self._partial_bytes
        if size <= UNACCOUNTED_HEAD_BYTES:
            return True
        budget, now = process_budget(), monotonic()
        if self._holding is None:
            self._holding = budget.open(HoldingKind.REQUEST_HEADS, self.peer, now)
        self._holding.evict = self.abort if self.partial else None
        self._holding.record_progress(0, now)
        return budget.resize(self._holding, size * PARSED_HEAD_FACTOR, now)

    def _stop_reading(self, refusal: bytes) -> None:
        """Refuse an incomplete head, or read no more requests until the current one has ended."""
        if not self.partial:
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
            return
        logging.info("server: head refused peer=%s bytes=%d budget=%s", self.peer, self._partial_bytes, _figures())
        if self._socket is not None:
            self._socket.write(refusal)
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer bytes that are no request; neither the log nor the answer repeats them, as the library's would."""
        if status != HTTPStatus.BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        logging.info("server: no request peer=%s error=%s", self.peer, type(exc).__name__)
        response = web.Response(status=status)
        response.force_close()
        return response

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed as soon as its last bytes are sent."""
        return self._socket is not None and self._socket.is_closing()

    @property
    def peer(self) -> str:
        """The address of the client, HOST:PORT; empty once the connection is closed."""
        name = self._socket.get_extra_info("peername") if self._socket is not None else None
        return f"{name[0]}:{name[1]}" if name else ""

    def request_ended(self) -> None:
        """Record that the current request has ended, and read the next ones."""
        self.last_active_at = monotonic()
        self._head_bytes = sum(_head_size(message) for message, _ in self._messages)
        if self._holding is not None:
            process_budget().close(self._holding)
            self._holding = None
        if self._buffer_paused:
            self._resume_reading_if_drained()


class BoundedServer(web.Server):
    """An HTTP server with a bound on its connections.

    Parameters
    ----------
    handler: answers a request.
    maximum_connections: the number of connections above which the one that has been idle for longest is closed.
    """

    def __init__(
        self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], maximum_connections: int
    ) -> None:
        super().__init__(self._run_handler, handler_cancellation=True)
        if not set(web.RequestHandler.__slots__).issuperset(_REQUIRED_SLOTS):
            raise RuntimeError("this version of aiohttp doesn't show which connections are idle")
        if not all(hasattr(web.RequestHandler, name) for name in _REQUIRED_METHODS):
            raise RuntimeError("this version of aiohttp has no means to stop reading a connection")
        self._handler = handler
        self.maximum_connections = maximum_connections
        self.evicted_connections = 0
        self._open: dict[BoundedConnection, None] = {}

    def __call__(self) -> BoundedConnection:
        """Return the protocol of a new connection."""
        return BoundedConnection(self, max_field_size=DEFAULT_LINE_BYTES, max_line_size=DEFAULT_LINE_BYTES)

    async def _run_handler(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = cast("BoundedConnection", request.protocol)
        try:
            return await self._handler(request)
        finally:
            connection.request_ended()

    def maximum_head_bytes(self) -> int:
        """Return the largest head that a client may send."""
        return DEFAULT_HEAD_BYTES

    def open_connections(self) -> list[BoundedConnection]:
        """Return all connections, also those that are closing."""
        return list(self._open)

    def add(self, connection: BoundedConnection) -> None:
        """Register a new connection; where there are too many, another one is closed, or else this one."""
        self._open[connection] = None
        if len(self._open) > self.maximum_connections:
            self._evict(connection)

    def remove(self, connection: BoundedConnection) -> None:
        """Forget a connection that is closed."""
        self._open.pop(connection, None)

    def _evict(self, newcomer: BoundedConnection) -> None:
        now = monotonic()
        candidates = (other for other in self._open if other is not newcomer and other.is_evictable(now))
        victim = min(candidates, key=lambda other: other.last_active_at, default=newcomer)
        self.evicted_connections += 1
        if self.evicted_connections.bit_count() == 1:
            logging.info(
                "server: connection closed for another one peer=%s connections=%d closed=%d",
                victim.peer,
                len(self._open),
                self.evicted_connections,
            )
        self.remove(victim)
        victim.abort()


def _head_size(message: Any) -> int:
    """Return the bytes of the fields of a parsed head; 0 for bytes that were no request."""
    return sum(len(name) + len(value) for name, value in getattr(message, "raw_headers", ()))


def _figures() -> str:
    figures = process_budget().figures()
    return f"{figures['held']}/{figures['capacity']}"
