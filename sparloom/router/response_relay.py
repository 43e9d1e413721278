"""Relays a backend's response to the client, and joins the streams of several backends into one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from sparloom.errors import SparloomError
from sparloom.event_stream import EventSplitter, ResumableStream
from sparloom.retry import RAN

from .headers import end_to_end

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sparloom.retry import Verdict

    from .attempt import Attempt
    from .request import Request

OK = 200
FIRST_UNSUCCESSFUL = 300


class ClientDisconnectedError(SparloomError):
    """The client's connection takes no more bytes."""


class ResponseRelay:
    """Sends one response to the client.

    Parameters
    ----------
    on_progress: called with the attempt whenever its backend has sent something.
    on_prefilled: called with the attempt at the first bytes of its stream, once its prompt has been read.
    closing: whether the client's connection is to end with this request.
    """

    def __init__(
        self,
        http_request: web.BaseRequest,
        request: Request,
        on_progress: Callable[[Attempt], None],
        on_prefilled: Callable[[Attempt], None],
        closing: Callable[[], bool],
    ) -> None:
        self._http_request = http_request
        self._request = request
        self._on_progress = on_progress
        self._on_prefilled = on_prefilled
        self._closing = closing
        self._resumable = ResumableStream()
        self._response: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse:
        """The response to the client; there is none before its head has been sent."""
        if self._response is None:
            raise RuntimeError("no response has begun")
        return self._response

    @property
    def last_event_id(self) -> str | None:
        """The id of the last event that the client was sent."""
        return self._resumable.last_event_id

    async def relay(self, attempt: Attempt) -> Verdict | None:
        """Relay the attempt's response; None once it is complete, else the verdict on the attempt.

        Raises
        ------
        ClientDisconnectedError: the client takes no more bytes.
        aiohttp.ClientError, OSError, ValueError: the backend broke off.
        """
        upstream = attempt.response
        if self._request.route.kind == "streaming" and OK <= upstream.status < FIRST_UNSUCCESSFUL:
            if self._request.route.repeatable:
                return await self._relay_events(attempt)
            await self._relay_bytes(attempt)
            return None
        await self._relay_body(attempt)
        return None

    async def _relay_body(self, attempt: Attempt) -> None:
        """Relay a response that is no stream, once it has been read whole."""
        body = await attempt.response.read()
        self._on_progress(attempt)
        await self._send_head(attempt.response, str(len(body)))
        await self._send(body)
        await self._send_end()

    async def _relay_bytes(self, attempt: Attempt) -> None:
        """Relay a stream that goes on at no other backend, as it comes."""
        upstream = attempt.response
        length = upstream.headers.get("Content-Length")
        async for chunk in upstream.content.iter_any():
            await self._note_chunk(attempt, length)
            if chunk:
                await self._send(chunk)
            attempt.inactivity.arm()
        if not self.begun:
            await self._send_head(upstream, length)
        await self._send_end()

    async def _relay_events(self, attempt: Attempt) -> Verdict | None:
        """Relay whole events, without those that the client already has from another backend."""
        upstream, splitter = attempt.response, EventSplitter()
        async for chunk in upstream.content.iter_any():
            await self._note_chunk(attempt, None)
            events = b"".join(event for event in splitter.feed(chunk) if self._resumable.accept(event))
            if self._resumable.has_gap:
                upstream.close()
                return RAN
            if events:
                await self._send(events)
            attempt.inactivity.arm()
        if not self.begun:
            await self._send_head(upstream, None)
        if splitter.rest:
            await self._send(splitter.rest)
        await self._send_end()
        return None

    async def _note_chunk(self, attempt: Attempt, length: str | None) -> None:
        """Note that a part of a stream has come; before the first one goes on, the head does."""
        self._on_progress(attempt)
        if not self.begun:
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
        if self._closing():
            response.force_close()
        await self._to_client(response.prepare(self._http_request))

    async def _send(self, data: bytes) -> None:
        await self._to_client(self.response.write(data))

    async def _send_end(self) -> None:
        await self._to_client(self.response.write_eof())

    @staticmethod
    async def _to_client(sending: Awaitable[object]) -> None:
        """Send towards the client; a failure here must not count against the backend."""
        try:
            await sending
        except (aiohttp.ClientError, OSError) as error:
            raise ClientDisconnectedError(f"the client's connection failed: {error!r}") from error

    def abort(self) -> web.StreamResponse:
        """Close the client's connection, so that it sees that the response is incomplete."""
        if self._http_request.transport is not None:
            self._http_request.transport.close()
        return self.response
