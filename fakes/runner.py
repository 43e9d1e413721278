"""Fake runner that streams events and injects faults according to a script."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Sequence

SEAL_HEADER = "X-Sparloom-Runner-Seal"
ATTEMPT_ID_HEADER = "X-Sparloom-Attempt-Id"
NOT_RUN_ACTIONS = frozenset(("shed", "moved", "endless", "shedshort"))


@define(slots=True)
class ReceivedRequest:
    """A received request.

    Attributes
    ----------
    line
        The request line.
    headers
        (name, value) of each header, in order.
    body
        The complete body.
    word
        The script entry that was applied to it.
    """

    line: str
    headers: list[tuple[str, ...]]
    body: bytes
    word: str = ""

    @property
    def ran(self) -> bool:
        """Whether the runner started to process the request.

        >>> ReceivedRequest("", [], b"", "shed").ran, ReceivedRequest("", [], b"", "reset").ran
        (False, True)
        """
        return self.word not in NOT_RUN_ACTIONS

    def head(self, name: str) -> str | None:
        """Returns a header's value; None if it is missing.

        >>> ReceivedRequest("", [("A", "1")], b"").head("a")
        '1'
        """
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


@define(slots=True, eq=False)
class Runner:
    """A fake runner; each request consumes one entry of ``script``, or "ok" if the script is empty.

    Script entries:

    - ok: streams all events
    - shed: 503, marked as not run
    - busy: 503 without that mark
    - moved: 421
    - noseal, otherid: ok without the seal header, or with another attempt id
    - cut: closes the connection after two events
    - reset: closes the connection without a response
    - extra: sends a second response after the first
    - junk: sends bytes that are not HTTP
    - gzip, redirect, error: a compressed response, a 302, a 500
    - hang: sends nothing until the client closes the connection
    - short: closes the connection before the declared content length is sent
    - othershed, othermoved: sends a refusal of another request first, then ok
    - namelessbad: sends a 400 without an attempt id first, then ok
    - leftover: ok, followed by a refusal on the same connection
    - endless: a refusal whose body never ends
    - shedshort: a refusal whose body is truncated
    - raw: sends the bytes of ``raw`` and closes the connection
    - late: waits ``delay_s`` seconds, then ok
    - still: ok with a pause of ``delay_s`` seconds after two events

    Attributes
    ----------
    id
        The runner's instance id.
    events, pause
        Number of events in a stream, and the pause after each in seconds.
    received
        The received requests.
    accepted_connections
        Number of accepted connections.
    is_shutting_down
        Whether responses announce the shutdown with ``Connection: close``.
    arrivals
        Event loop time at the arrival of each request.
    dropped
        Number of hanging requests whose connection the client closed.
    """

    id: str = "i-1"
    events: int = 5
    script: list[str] = field(factory=list)
    pause: float = 0.0
    delay_s: float = 1.0
    raw: bytes = b""
    received: list[ReceivedRequest] = field(factory=list)
    accepted_connections: int = 0
    is_shutting_down: bool = False
    arrivals: list[float] = field(factory=list)
    dropped: int = 0
    server: asyncio.Server | None = None
    port: int = 0
    tasks: set[asyncio.Task[Any]] = field(factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Runner:
        """Starts listening; returns itself."""
        self.server = await asyncio.start_server(self._serve_connection, host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Closes the listening socket and aborts all open connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = [tuple(line.split(": ", 1)) for line in lines[1:] if line]
        request = ReceivedRequest(lines[0], headers, b"")
        request.body = await reader.readexactly(int(request.head("Content-Length") or 0))
        self.received.append(request)
        self.arrivals.append(asyncio.get_running_loop().time())
        request.word = action = self.script.pop(0) if self.script else "ok"
        if action == "hang":
            await reader.read(-1)
            self.dropped += 1
            return False
        keep_open: bool = await getattr(self, f"_{action}")(request, writer)
        return keep_open

    def _send_head(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        status: str = "200 OK",
        seal: bool = True,
        id: str | None = None,
        extra_headers: Sequence[str] = (),
        chunked: bool = True,
    ) -> None:
        lines = [f"HTTP/1.1 {status}", f"{ATTEMPT_ID_HEADER}: {id or request.head(ATTEMPT_ID_HEADER)}", *extra_headers]
        lines += ["Connection: close"] if self.is_shutting_down else []
        lines += [f"{SEAL_HEADER}: seal.{self.id}.{request.head(ATTEMPT_ID_HEADER)}"] if seal else []
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"] if chunked else []
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def _send_events(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, last: int | None = None, after: int = 0
    ) -> None:
        first = max(after, int(request.head("Last-Event-Id") or 0)) + 1
        for number in range(first, (last or self.events) + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause)

    async def _ok(self, request: ReceivedRequest, writer: asyncio.StreamWriter, **options: Any) -> bool:
        self._send_head(request, writer, **options)
        await self._send_events(request, writer)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _late(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.delay_s)
        return await self._ok(request, writer)

    async def _still(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        self._send_head(request, writer)
        await self._send_events(request, writer, last=2)
        await asyncio.sleep(self.delay_s)
        await self._send_events(request, writer, after=2)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _send_empty_response(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, status: str, extra_headers: Sequence[str] = ()
    ) -> bool:
        lines = [
            f"HTTP/1.1 {status}",
            f"{ATTEMPT_ID_HEADER}: {request.head(ATTEMPT_ID_HEADER)}",
            *extra_headers,
            "Content-Length: 0",
            "",
            "",
        ]
        writer.write("\r\n".join(lines).encode())
        await writer.drain()
        return True

    async def _shed(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        return await self._send_empty_response(request, writer, "503 Service Unavailable", ["X-Sparloom-Not-Run: 1"])

    async def _busy(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        return await self._send_empty_response(request, writer, "503 Service Unavailable")

    async def _send_foreign_response(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        status: str,
        id: str | None = "somebody-elses",
        extra_headers: Sequence[str] = (),
    ) -> None:
        """Sends a response that belongs to another request."""
        id_header = [f"{ATTEMPT_ID_HEADER}: {id}"] if id else []
        writer.write(
            "\r\n".join([f"HTTP/1.1 {status}", *id_header, *extra_headers, "Content-Length: 0", "", ""]).encode()
        )
        await writer.drain()

    async def _othershed(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._send_foreign_response(
            request, writer, "503 Service Unavailable", extra_headers=["X-Sparloom-Not-Run: 1"]
        )
        return await self._ok(request, writer)

    async def _othermoved(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._send_foreign_response(
            request, writer, "421 Misdirected Request", extra_headers=["X-Sparloom-Instance: i-other"]
        )
        return await self._ok(request, writer)

    async def _namelessbad(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._send_foreign_response(
            request, writer, "400 Bad Request", id=None, extra_headers=["X-Sparloom-Not-Run: 1"]
        )
        return await self._ok(request, writer)

    async def _leftover(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._ok(request, writer)
        await self._send_foreign_response(
            request,
            writer,
            "503 Service Unavailable",
            id=request.head(ATTEMPT_ID_HEADER),
            extra_headers=["X-Sparloom-Not-Run: 1"],
        )
        return True

    async def _send_refusal_head(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Sends the head of a refusal whose body is shorter than its declared content length."""
        self._send_head(
            request,
            writer,
            "503 Service Unavailable",
            False,
            extra_headers=["X-Sparloom-Not-Run: 1", "Content-Length: 9"],
            chunked=False,
        )
        await writer.drain()

    async def _endless(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._send_refusal_head(request, writer)
        await asyncio.Event().wait()
        return False

    async def _shedshort(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._send_refusal_head(request, writer)
        return False

    async def _moved(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        return await self._send_empty_response(
            request, writer, "421 Misdirected Request", ["X-Sparloom-Instance: i-other"]
        )

    async def _error(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        return await self._send_empty_response(request, writer, "500 Internal Server Error", [f"{SEAL_HEADER}: s"])

    async def _redirect(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        return await self._send_empty_response(request, writer, "302 Found", ["Location: /elsewhere"])

    async def _noseal(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        return await self._ok(request, writer, seal=False)

    async def _otherid(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        return await self._ok(request, writer, id="somebody-elses")

    async def _gzip(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        import gzip

        compressed = gzip.compress(b"id: 1\n\n")
        self._send_head(
            request,
            writer,
            extra_headers=["Content-Encoding: gzip", f"Content-Length: {len(compressed)}"],
            chunked=False,
        )
        writer.write(compressed)
        await writer.drain()
        return True

    async def _cut(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        self._send_head(request, writer)
        await self._send_events(request, writer, last=2)
        await asyncio.sleep(0.02)
        return False

    async def _raw(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(self.raw)
        await writer.drain()
        return False

    async def _reset(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        return False

    async def _short(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        self._send_head(request, writer, extra_headers=["Content-Length: 500"], chunked=False)
        writer.write(b"id: 1\ndata: piece 1\n\n")
        await writer.drain()
        return False

    async def _extra(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._ok(request, writer)
        await self._ok(request, writer)
        return True

    async def _junk(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(b"this is no answer at all\r\n\r\n")
        await writer.drain()
        return False
