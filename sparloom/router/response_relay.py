"""Relays a backend's response to the client.

``ResponseRelay`` sends one response. A resumable stream that one backend
breaks off is continued with the stream of the next backend.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import aiohttp
from aiohttp import web

from sparloom.admission import HoldingKind, process_budget
from sparloom.admission.byte_budget import SMALL_HOLDING_BYTES
from sparloom.errors import SparloomError
from sparloom.event_stream import EventSplitter, EventTooLargeError, ResumableStream
from sparloom.retry import RAN
from sparloom.transport import monotonic

from .headers import end_to_end

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from sparloom.admission import Holding
    from sparloom.retry import Verdict

    from .attempt import Attempt
    from .client_connections import ClientConnection
    from .request import Request

# Largest body of a response that is kept until it is complete.
MAXIMUM_KEPT_BYTES = 256 << 10
# Bytes of a kept body that are written at a time.
SEND_PIECE_BYTES = 64 << 10
OK = 200
FIRST_NON_SUCCESS = 300


class ClientDisconnectedError(SparloomError):
    """The client's connection accepts no more data."""


class ResponseRelay:
    """Sends one response to the client.

    Parameters
    ----------
    on_progress: called with the attempt whenever data has arrived from its backend.
    on_prefilled: called with the attempt at the first bytes of the stream, when its prompt has been prefilled.
    should_close: returns whether the client's connection closes after this request.

    Attributes
    ----------
    accepts_other_backends: False once the response can only be completed by the backend that began it.
    """

    def __init__(
        self,
        http_request: web.BaseRequest,
        request: Request,
        on_progress: Callable[[Attempt], None],
        on_prefilled: Callable[[Attempt], None],
        should_close: Callable[[], bool],
    ) -> None:
        self._http_request = http_request
        self._request = request
        self._on_progress = on_progress
        self._on_prefilled = on_prefilled
        self._should_close = should_close
        self._resumable = ResumableStream()
        self.accepts_other_backends = True
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse:
        """The response to the client.

        Raises
        ------
        RuntimeError: no head has been sent yet.
        """
        if self._response is None:
            raise RuntimeError("no response has been started")
        return self._response

    @property
    def last_event_id(self) -> str | None:
        """The id of the last event sent to the client."""
        return self._resumable.last_event_id

    async def relay(self, attempt: Attempt) -> Verdict | None:
        """Relay the attempt's response; return None once it is complete, else the verdict on the attempt.

        Raises
        ------
        ClientDisconnectedError: the client's connection accepts no more data.
        aiohttp.ClientError, OSError, ValueError: the backend's connection failed or its response is invalid.
        """
        upstream = attempt.response
        if self._request.route.kind == "streaming" and OK <= upstream.status < FIRST_NON_SUCCESS:
            if self._request.route.repeatable:
                return await self._relay_events(attempt)
            await self._relay_bytes(attempt)
            return None
        await self._relay_body(attempt)
        return None

    async def _relay_body(self, attempt: Attempt) -> None:
        """Relay a response that is not a stream.

        It is sent once it is complete, so that another backend may be tried until then. One that is too large to be
        kept is passed on as it arrives.
        """
        upstream, budget = attempt.response, process_budget()
        chunks = upstream.content.iter_any()
        holding = budget.open(HoldingKind.RESPONSES, attempt.backend.address, monotonic())
        try:
            body, is_complete = await self._read_start(chunks, holding)
            self._on_progress(attempt)
            self.accepts_other_backends = is_complete
            await self._send_head(upstream, str(len(body)) if is_complete else upstream.headers.get("Content-Length"))
            await self._send_kept(body, holding)
        finally:
            budget.close(holding)
        if not is_complete:
            async for chunk in chunks:
                await self._send(chunk)
                attempt.inactivity.arm()
        await self._send_end()

    @staticmethod
    async def _read_start(chunks: AsyncIterator[bytes], holding: Holding) -> tuple[bytes, bool]:
        """Read a body until it is complete or too large to be kept; return the bytes and whether it is complete."""
        body = bytearray()
        async for chunk in chunks:
            body += chunk
            if len(body) > MAXIMUM_KEPT_BYTES or not process_budget().resize(holding, len(body), monotonic()):
                return bytes(body), False
        return bytes(body), True

    async def _send_kept(self, body: bytes, holding: Holding) -> None:
        """Send the kept bytes in pieces; a client that takes them too slowly may be given up for others."""
        connection = cast("ClientConnection", self._http_request.protocol)
        holding.evict = connection.abort
        for start in range(0, len(body), SEND_PIECE_BYTES):
            piece = body[start : start + SEND_PIECE_BYTES]
            await self._send(piece)
            holding.record_progress(len(piece), monotonic())

    async def _relay_bytes(self, attempt: Attempt) -> None:
        """Relay the bytes of a stream that can't be resumed at another backend."""
        upstream = attempt.response
        length = upstream.headers.get("Content-Length")
        async for chunk in upstream.content.iter_any():
            await self._on_chunk(attempt, length)
            if chunk:
                await self._send(chunk)
            attempt.inactivity.arm()
        if not self.started:
            await self._send_head(upstream, length)
        await self._send_end()

    async def _relay_events(self, attempt: Attempt) -> Verdict | None:
        """Relay complete events, except those that the client has already received from another backend."""
        upstream, splitter = attempt.response, EventSplitter()
        holding = process_budget().open(HoldingKind.RESPONSES, attempt.backend.address, monotonic())
        try:
            async for chunk in upstream.content.iter_any():
                await self._on_chunk(attempt, None)
                events = b"".join(event for event in splitter.feed(chunk) if self._resumable.accept(event))
                self._account_for_event(holding, len(splitter.rest))
                if self._resumable.has_gap:
                    upstream.close()
                    return RAN
                if events:
                    await self._send(events)
                attempt.inactivity.arm()
        finally:
            process_budget().close(holding)
        if not self.started:
            await self._send_head(upstream, None)
        if splitter.rest:
            await self._send(bytes(splitter.rest))
        await self._send_end()
        return None

    @staticmethod
    def _account_for_event(holding: Holding, size: int) -> None:
        """Take the bytes of an incomplete event from the process's budget, once they are many.

        Raises
        ------
        EventTooLargeError: the budget has no room for them.
        """
        size = size if size > SMALL_HOLDING_BYTES else 0
        if size != holding.size and not process_budget().resize(holding, size, monotonic()):
            raise EventTooLargeError(f"no memory is left for an event of {size} bytes")

    async def _on_chunk(self, attempt: Attempt, length: str | None) -> None:
        """Report a chunk of a stream; before the first chunk is relayed, send the head."""
        self._on_progress(attempt)
        if not self.started:
            self._on_prefilled(attempt)
            await self._send_head(attempt.response, length)

    async def _send_head(self, upstream: aiohttp.ClientResponse, length: str | None) -> None:
        """Send the head; without a ``length`` the body is sent in chunks."""
        response = web.StreamResponse(status=upstream.status, reason=upstream.reason)
        self._response = response
        for name, value in end_to_end(upstream.raw_headers).items():
            response.headers.add(name, value)
        if length is not None:
            response.headers["Content-Length"] = length
        else:
            response.enable_chunked_encoding()
        if self._should_close():
            response.force_close()
        await self._send_to_client(response.prepare(self._http_request))

    async def _send(self, data: bytes) -> None:
        await self._send_to_client(self.response.write(data))

    async def _send_end(self) -> None:
        await self._send_to_client(self.response.write_eof())

    @staticmethod
    async def _send_to_client(write: Awaitable[object]) -> None:
        """Await a write to the client; its failure must not count against the backend."""
        try:
            await write
        except (aiohttp.ClientError, OSError) as error:
            raise ClientDisconnectedError(f"client connection failed: {error!r}") from error

    def abort(self) -> web.StreamResponse:
        """Close the client's connection, so that the client detects that the response is incomplete."""
        if self._http_request.transport is not None:
            self._http_request.transport.close()
        return self.response
