"""A runner that streams events, and misbehaves when told to."""

import asyncio

from attrs import define, field

SEAL = "X-Sparloom-Runner-Seal"
ID = "X-Sparloom-Attempt-Id"
NOT_RUN = frozenset(("shed", "moved", "endless", "shedshort"))


@define(slots=True)
class Got:
    """One request as it arrived: the raw head lines and the body; ``word``: the script that it met."""

    line: str
    heads: list
    body: bytes
    word: str = ""

    @property
    def ran(self):
        """Whether the runner began to work on it.

        >>> Got("", [], b"", "shed").ran, Got("", [], b"", "reset").ran
        (False, True)
        """
        return self.word not in NOT_RUN

    def head(self, name):
        """A head's value, or None.

        >>> Got("", [("A", "1")], b"").head("a")
        '1'
        """
        return next((v for k, v in self.heads if k.lower() == name.lower()), None)


@define(slots=True, eq=False)
class Runner:
    """A stand-in runner; ``script`` picks what each next request meets.

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
    """

    id: str = "i-1"
    events: int = 5
    script: list = field(factory=list)
    pause: float = 0.0
    silence: float = 1.0
    raw: bytes = b""
    got: list = field(factory=list)
    pipes: int = 0
    dropped: int = 0
    server: object = None
    port: int = 0
    tasks: set = field(factory=set)

    async def start(self, host="127.0.0.1", port=0):
        """Listens; gives itself."""
        self.server = await asyncio.start_server(self._pipe, host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """Stops, dropping what is open."""
        self.server.close()
        for t in list(self.tasks):
            t.cancel()

    async def _pipe(self, reader, writer):
        self.pipes += 1
        self.tasks.add(asyncio.current_task())
        try:
            while await self._one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _one(self, reader, writer):
        raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        heads = [tuple(ln.split(": ", 1)) for ln in raw[1:] if ln]
        g = Got(raw[0], heads, b"")
        g.body = await reader.readexactly(int(g.head("Content-Length") or 0))
        self.got.append(g)
        g.word = what = self.script.pop(0) if self.script else "ok"
        if what == "hang":
            await reader.read(-1)
            self.dropped += 1
            return False
        return await getattr(self, f"_{what}")(g, writer)

    def _start(self, g, w, status="200 OK", seal=True, id=None, more=(), chunked=True):
        lines = [f"HTTP/1.1 {status}", f"{ID}: {id or g.head(ID)}", *more]
        lines += [f"{SEAL}: seal.{self.id}.{g.head(ID)}"] if seal else []
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"] if chunked else []
        w.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def _events(self, g, w, upto=None, since=0):
        first = max(since, int(g.head("Last-Event-Id") or 0)) + 1
        for i in range(first, (upto or self.events) + 1):
            ev = b"id: %d\ndata: piece %d\n\n" % (i, i)
            w.write(b"%x\r\n%s\r\n" % (len(ev), ev))
            await w.drain()
            await asyncio.sleep(self.pause)

    async def _ok(self, g, w, **kw):
        self._start(g, w, **kw)
        await self._events(g, w)
        w.write(b"0\r\n\r\n")
        await w.drain()
        return True

    async def _late(self, g, w):
        await asyncio.sleep(self.silence)
        return await self._ok(g, w)

    async def _still(self, g, w):
        self._start(g, w)
        await self._events(g, w, upto=2)
        await asyncio.sleep(self.silence)
        await self._events(g, w, since=2)
        w.write(b"0\r\n\r\n")
        await w.drain()
        return True

    async def _plain(self, g, w, status, more=()):
        w.write(
            f"HTTP/1.1 {status}\r\n{ID}: {g.head(ID)}\r\n{''.join(m + chr(13) + chr(10) for m in more)}Content-Length: 0\r\n\r\n".encode()
        )
        await w.drain()
        return True

    async def _shed(self, g, w):
        return await self._plain(g, w, "503 Service Unavailable", ["X-Sparloom-Not-Run: 1"])

    async def _busy(self, g, w):
        return await self._plain(g, w, "503 Service Unavailable")

    async def _surplus(self, g, w, status, id="somebody-elses", more=()):
        """An answer that belongs to another request."""
        named = [f"{ID}: {id}"] if id else []
        w.write("\r\n".join([f"HTTP/1.1 {status}", *named, *more, "Content-Length: 0", "", ""]).encode())
        await w.drain()

    async def _othershed(self, g, w):
        await self._surplus(g, w, "503 Service Unavailable", more=["X-Sparloom-Not-Run: 1"])
        return await self._ok(g, w)

    async def _othermoved(self, g, w):
        await self._surplus(g, w, "421 Misdirected Request", more=["X-Sparloom-Instance: i-other"])
        return await self._ok(g, w)

    async def _namelessbad(self, g, w):
        await self._surplus(g, w, "400 Bad Request", id=None, more=["X-Sparloom-Not-Run: 1"])
        return await self._ok(g, w)

    async def _leftover(self, g, w):
        await self._ok(g, w)
        await self._surplus(g, w, "503 Service Unavailable", id=g.head(ID), more=["X-Sparloom-Not-Run: 1"])
        return True

    async def _refusal(self, g, w):
        """A refusal whose head promises more than comes."""
        self._start(
            g, w, "503 Service Unavailable", False, more=["X-Sparloom-Not-Run: 1", "Content-Length: 9"], chunked=False
        )
        await w.drain()

    async def _endless(self, g, w):
        await self._refusal(g, w)
        await asyncio.Event().wait()

    async def _shedshort(self, g, w):
        await self._refusal(g, w)
        return False

    async def _moved(self, g, w):
        return await self._plain(g, w, "421 Misdirected Request", ["X-Sparloom-Instance: i-other"])

    async def _error(self, g, w):
        return await self._plain(g, w, "500 Internal Server Error", [f"{SEAL}: s"])

    async def _redirect(self, g, w):
        return await self._plain(g, w, "302 Found", ["Location: /elsewhere"])

    async def _noseal(self, g, w):
        return await self._ok(g, w, seal=False)

    async def _otherid(self, g, w):
        return await self._ok(g, w, id="somebody-elses")

    async def _gzip(self, g, w):
        import gzip

        raw = gzip.compress(b"id: 1\n\n")
        self._start(g, w, more=["Content-Encoding: gzip", f"Content-Length: {len(raw)}"], chunked=False)
        w.write(raw)
        await w.drain()
        return True

    async def _cut(self, g, w):
        self._start(g, w)
        await self._events(g, w, upto=2)
        await asyncio.sleep(0.02)
        return False

    async def _raw(self, g, w):
        w.write(self.raw)
        await w.drain()
        return False

    async def _reset(self, g, w):
        return False

    async def _short(self, g, w):
        self._start(g, w, more=["Content-Length: 500"], chunked=False)
        w.write(b"id: 1\ndata: piece 1\n\n")
        await w.drain()
        return False

    async def _extra(self, g, w):
        await self._ok(g, w)
        await self._ok(g, w)
        return True

    async def _junk(self, g, w):
        w.write(b"this is no answer at all\r\n\r\n")
        await w.drain()
        return False
