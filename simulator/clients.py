"""HTTP clients on persistent connections, and the classification of their requests around a router shutdown.

``Client`` sends requests and returns an ``Outcome`` for each. ``PlannedShutdown``
decides which failed requests are acceptable during a graceful shutdown.
``Tally`` groups the outcomes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


@define(slots=True)
class Outcome:
    """The result of one request as observed by the client; times are event loop times, in seconds.

    ``began`` and ``sent``: when the first and the last byte were sent. ``waits``: the client's timeout.
    ``ended``: when the response was complete or the connection closed. ``whole``: the response is complete.
    ``reset``: the connection was reset; on real sockets, some bytes of the request were then never read.
    """

    id: str
    began: float
    sent: float
    waits: float = 5.0
    status: int = 0
    whole: bool = False
    ended: float = 0.0
    closes: bool = False
    retry_after: bool = False
    reset: bool = False

    @property
    def refused(self) -> bool:
        """Whether the response is a complete 503 with Retry-After.

        >>> Outcome("a", 0.0, 0.0, status=503, whole=True, retry_after=True).refused
        True
        """
        return self.whole and self.status == 503 and self.retry_after


@define(slots=True, eq=False)
class Client:
    """A client with one persistent connection, used until the router closes it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    open: bool = True

    @classmethod
    async def connect(cls, host: str, port: int) -> Client:
        """Open a connection and return its client."""
        return cls(*await asyncio.open_connection(host, port))

    async def send(
        self,
        path: str,
        id: str,
        body: bytes = b"hello",
        left_ms: int = 5000,
        pause: float = 0.0,
        host: str = "h.example",
        heads: Sequence[str] = (),
    ) -> Outcome:
        """Send a request, with a pause between head and body; wait for the response or the end of the connection."""
        loop = asyncio.get_running_loop()
        head_lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Sparloom-Attempt-Id: {id}",
            f"X-Sparloom-Deadline-Remaining: {left_ms}",
            f"Content-Length: {len(body)}",
            *heads,
        ]
        began = loop.time()
        self.writer.write("".join(f"{line}\r\n" for line in (*head_lines, "")).encode())
        if pause:
            await asyncio.sleep(pause)
        self.writer.write(body)
        outcome = Outcome(id, began, loop.time(), left_ms / 1000)
        try:
            await self._read_response(outcome)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.open = False
            outcome.reset = isinstance(error, ConnectionResetError)
        outcome.ended = loop.time()
        if outcome.closes:
            self.open = False
        return outcome

    async def _read_response(self, outcome: Outcome) -> None:
        head_lines = (await self.reader.readuntil(HEAD_END)).decode("latin-1").lower().split("\r\n")
        headers: dict[str, str] = dict(line.split(": ", 1) for line in head_lines[1:] if line)
        outcome.status = int(head_lines[0].split()[1])
        outcome.closes = headers.get("connection") == "close"
        outcome.retry_after = "retry-after" in headers
        if "content-length" in headers:
            await self.reader.readexactly(int(headers["content-length"]))
        else:
            await self.reader.readuntil(LAST_CHUNK)
        outcome.whole = True

    async def wait_until_closed(self) -> None:
        """Wait until the router closes the connection."""
        await self.reader.read()
        self.open = False

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


@define(frozen=True, slots=True)
class PlannedShutdown:
    """A graceful shutdown of a router; decides which failed requests are acceptable during it.

    ``at``: when the router received SIGTERM, in event loop time. ``grace``: the grace period.
    ``slack``: a request that wasn't forwarded counts as unread when its connection ends within this many seconds.
    ``accept_window_s``: for this many seconds after SIGTERM, requests may still be accepted and later aborted.

    >>> from datetime import timedelta
    >>> end = PlannedShutdown(10.0, timedelta(seconds=6))
    >>> end.allows_failure(Outcome("a", 12.0, sent=12.0, ended=15.5)), end.allows_failure(Outcome("a", 13.5, sent=13.5, ended=15.5))
    (True, False)
    """

    at: float
    grace: timedelta
    slack: float = 0.2
    accept_window_s: float = 3.0

    def allows_failure(self, outcome: Outcome) -> bool:
        """Whether a failed request is acceptable.

        It is when the client's timeout expired, or when the request was sent
        within ``accept_window_s`` and was aborted in the last sixth of the
        grace period.
        """
        if outcome.ended - outcome.began >= outcome.waits:
            return True
        abort_from = self.at + self.grace.total_seconds() * 5 / 6
        return outcome.sent <= self.at + self.accept_window_s and outcome.ended >= abort_from

    def lost(self, outcome: Outcome, forwarded: bool) -> bool:
        """Whether a request was lost: it was read, and its connection ended without a complete response."""
        if outcome.whole:
            return False
        if forwarded:
            return not self.allows_failure(outcome)
        return outcome.ended - outcome.sent > self.slack


@define(slots=True)
class Tally:
    """The requests of one run, grouped by outcome."""

    answered: list[Outcome] = field(factory=list)
    refused: list[Outcome] = field(factory=list)
    excused: list[Outcome] = field(factory=list)
    unread: list[Outcome] = field(factory=list)
    lost: list[Outcome] = field(factory=list)

    def add(self, outcome: Outcome, forwarded: bool, end: PlannedShutdown) -> None:
        """Add one request to its group."""
        if end.lost(outcome, forwarded):
            self.lost.append(outcome)
        elif outcome.whole:
            (self.refused if outcome.status == 503 else self.answered).append(outcome)
        else:
            (self.excused if forwarded else self.unread).append(outcome)
