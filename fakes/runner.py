"""A runner that streams events, and misbehaves by a script."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Sequence

SEAL = "X-Sparloom-Runner-Seal"
ID = "X-Sparloom-Attempt-Id"
NOT_RUN = frozenset(("shed", "moved", "endless", "shedshort"))


@define(slots=True)
class Got:
    """One request as it arrived.

    Attributes
    ----------
    line
        The request line.
    heads
        (name, value) of each header, in order.
    body
        The whole body.
    word
        The script that it met.
    """

    line: str
    heads: list[tuple[str, ...]]
    body: bytes
    word: str = ""

    @property
    def ran(self) -> bool:
        """Whether the runner began to work on it.

        >>> Got("", [], b"", "shed").ran, Got("", [], b"", "reset").ran
        (False, True)
        """
        return self.word not in NOT_RUN

    def head(self, name: str) -> str | None:
        """A header's value, or None.

        >>> Got("", [("A", "1")], b"").head("a")
        '1'
        """
        return next((value for key, value in self.heads if key.lower() == name.lower()), None)


@define(slots=True, eq=False)
class Runner:
    """A fake runner; ``script`` picks what each next request meets.

    Scripts: ok, shed (503 not run), busy (503 with no promise), moved (421),
    noseal, otherid, cut (breaks off midway), reset (before any answer),
    extra (a second answer behind the first), junk (no HTTP at all),
    gzip, redirect, error (500), hang, short (a length that isn't met),
    othershed, othermoved and namelessbad (a refusal of another request, or a 400
    without an id, in the answer's place; the request runs all the same),
    leftover (a refusal that stays behind the answer on the connection),
    endless (a refusal whose body never ends), shedshort (one that is cut short),
    raw (the bytes of ``raw``, and a close), late (says nothing for ``silence``
    seconds, then ok), still (the same after two events).

    Attributes
    ----------
    id
        The runner instance's id.
    events, pause
        Events in a stream, and seconds after each.
    got
        The requests that arrived.
    pipes
        Connections that were accepted.
    leaving
        Whether it says in its answers that it leaves; ``arrivals`` holds the loop's time of each request.
    dropped
        Requests whose connection the client closed while they hung.
    """

    id: str = "i-1"
    events: int = 5
    script: list[str] = field(factory=list)
    pause: float = 0.0
    silence: float = 1.0
    raw: bytes = b""
    got: list[Got] = field(factory=list)
    pipes: int = 0
    leaving: bool = False
    arrivals: list[float] = field(factory=list)
    dropped: int = 0
    server: asyncio.Server | None = None
    port: int = 0
    tasks: set[asyncio.Task[Any]] = field(factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Runner:
        """Listens; gives itself."""
        self.server = await asyncio.start_server(self._pipe, host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stops, dropping what is open."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.pipes += 1
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while await self._one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        heads = [tuple(line.split(": ", 1)) for line in raw[1:] if line]
        request = Got(raw[0], heads, b"")
        request.body = await reader.readexactly(int(request.head("Content-Length") or 0))
        self.got.append(request)
        self.arrivals.append(asyncio.get_running_loop().time())
        request.word = script = self.script.pop(0) if self.script else "ok"
        if script == "hang":
            await reader.read(-1)
            self.dropped += 1
            return False
        keep: bool = await getattr(self, f"_{script}")(request, writer)
        return keep

    def _start(
        self,
        request: Got,
        writer: asyncio.StreamWriter,
        status: str = "200 OK",
        seal: bool = True,
        id: str | None = None,
        more: Sequence[str] = (),
        chunked: bool = True,
    ) -> None:
        lines = [f"HTTP/1.1 {status}", f"{ID}: {id or request.head(ID)}", *more]
        lines += ["Connection: close"] if self.leaving else []
        lines += [f"{SEAL}: seal.{self.id}.{request.head(ID)}"] if seal else []
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"] if chunked else []
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def _events(
        self, request: Got, writer: asyncio.StreamWriter, upto: int | None = None, since: int = 0
    ) -> None:
        first = max(since, int(request.head("Last-Event-Id") or 0)) + 1
        for i in range(first, (upto or self.events) + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (i, i)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause)

    async def _ok(self, request: Got, writer: asyncio.StreamWriter, **options: Any) -> bool:
        self._start(request, writer, **options)
        await self._events(request, writer)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _late(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.silence)
        return await self._ok(request, writer)

    async def _still(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        self._start(request, writer)
        await self._events(request, writer, upto=2)
        await asyncio.sleep(self.silence)
        await self._events(request, writer, since=2)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _plain(self, request: Got, writer: asyncio.StreamWriter, status: str, more: Sequence[str] = ()) -> bool:
        lines = [f"HTTP/1.1 {status}", f"{ID}: {request.head(ID)}", *more, "Content-Length: 0", "", ""]
        writer.write("\r\n".join(lines).encode())
        await writer.drain()
        return True

    async def _shed(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        return await self._plain(request, writer, "503 Service Unavailable", ["X-Sparloom-Not-Run: 1"])

    async def _busy(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        return await self._plain(request, writer, "503 Service Unavailable")

    async def _surplus(
        self,
        request: Got,
        writer: asyncio.StreamWriter,
        status: str,
        id: str | None = "somebody-elses",
        more: Sequence[str] = (),
    ) -> None:
        """An answer that belongs to another request."""
        named = [f"{ID}: {id}"] if id else []
        writer.write("\r\n".join([f"HTTP/1.1 {status}", *named, *more, "Content-Length: 0", "", ""]).encode())
        await writer.drain()

    async def _othershed(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        await self._surplus(request, writer, "503 Service Unavailable", more=["X-Sparloom-Not-Run: 1"])
        return await self._ok(request, writer)

    async def _othermoved(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        await self._surplus(request, writer, "421 Misdirected Request", more=["X-Sparloom-Instance: i-other"])
        return await self._ok(request, writer)

    async def _namelessbad(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        await self._surplus(request, writer, "400 Bad Request", id=None, more=["X-Sparloom-Not-Run: 1"])
        return await self._ok(request, writer)

    async def _leftover(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        await self._ok(request, writer)
        await self._surplus(
            request, writer, "503 Service Unavailable", id=request.head(ID), more=["X-Sparloom-Not-Run: 1"]
        )
        return True

    async def _refusal(self, request: Got, writer: asyncio.StreamWriter) -> None:
        """A refusal whose head promises more than comes."""
        self._start(
            request,
            writer,
            "503 Service Unavailable",
            False,
            more=["X-Sparloom-Not-Run: 1", "Content-Length: 9"],
            chunked=False,
        )
        await writer.drain()

    async def _endless(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        await self._refusal(request, writer)
        await asyncio.Event().wait()
        return False

    async def _shedshort(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        await self._refusal(request, writer)
        return False

    async def _moved(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        return await self._plain(request, writer, "421 Misdirected Request", ["X-Sparloom-Instance: i-other"])

    async def _error(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        return await self._plain(request, writer, "500 Internal Server Error", [f"{SEAL}: s"])

    async def _redirect(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        return await self._plain(request, writer, "302 Found", ["Location: /elsewhere"])

    async def _noseal(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        return await self._ok(request, writer, seal=False)

    async def _otherid(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        return await self._ok(request, writer, id="somebody-elses")

    async def _gzip(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        import gzip

        raw = gzip.compress(b"id: 1\n\n")
        self._start(request, writer, more=["Content-Encoding: gzip", f"Content-Length: {len(raw)}"], chunked=False)
        writer.write(raw)
        await writer.drain()
        return True

    async def _cut(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        self._start(request, writer)
        await self._events(request, writer, upto=2)
        await asyncio.sleep(0.02)
        return False

    async def _raw(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        writer.write(self.raw)
        await writer.drain()
        return False

    async def _reset(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        return False

    async def _short(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        self._start(request, writer, more=["Content-Length: 500"], chunked=False)
        writer.write(b"id: 1\ndata: piece 1\n\n")
        await writer.drain()
        return False

    async def _extra(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        await self._ok(request, writer)
        await self._ok(request, writer)
        return True

    async def _junk(self, request: Got, writer: asyncio.StreamWriter) -> bool:
        writer.write(b"this is no answer at all\r\n\r\n")
        await writer.drain()
        return False
