"""Clients on kept connections in simulated time, and a judge of what became of each request."""

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
    """What a client saw of one request; times in seconds of the loop.

    ``began`` and ``sent``: when its first and its last byte went out; ``waits``: for how long its
    client waits at most; ``ended``: when its answer was whole, or its connection ended; ``reset``: its
    connection was reset, which over real sockets tells that some of its bytes were never read.
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
        """Whether it was turned away with a time to come back.

        >>> Outcome("a", 0.0, 0.0, status=503, whole=True, retry_after=True).refused
        True
        """
        return self.whole and self.status == 503 and self.retry_after


@define(slots=True, eq=False)
class Client:
    """One client's connection, kept for many requests while the router keeps it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    open: bool = True

    @classmethod
    async def connect(cls, host: str, port: int) -> Client:
        """A client on a new connection."""
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
        """Sends a request, with a pause in the middle of its bytes, and waits for its answer or the connection's end."""
        loop = asyncio.get_running_loop()
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Sparloom-Attempt-Id: {id}",
            f"X-Sparloom-Deadline-Remaining: {left_ms}",
            f"Content-Length: {len(body)}",
            *heads,
        ]
        began = loop.time()
        self.writer.write("".join(f"{line}\r\n" for line in (*lines, "")).encode())
        if pause:
            await asyncio.sleep(pause)
        self.writer.write(body)
        outcome = Outcome(id, began, loop.time(), left_ms / 1000)
        try:
            await self._answer(outcome)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.open = False
            outcome.reset = isinstance(error, ConnectionResetError)
        outcome.ended = loop.time()
        if outcome.closes:
            self.open = False
        return outcome

    async def _answer(self, outcome: Outcome) -> None:
        lines = (await self.reader.readuntil(HEAD_END)).decode("latin-1").lower().split("\r\n")
        heads: dict[str, str] = dict(line.split(": ", 1) for line in lines[1:] if line)
        outcome.status = int(lines[0].split()[1])
        outcome.closes = heads.get("connection") == "close"
        outcome.retry_after = "retry-after" in heads
        if "content-length" in heads:
            await self.reader.readexactly(int(heads["content-length"]))
        else:
            await self.reader.readuntil(LAST_CHUNK)
        outcome.whole = True

    async def next_end(self) -> None:
        """Waits until the router ends the connection."""
        await self.reader.read()
        self.open = False

    def close(self) -> None:
        """Leaves."""
        self.writer.close()


@define(frozen=True, slots=True)
class PlannedEnd:
    """A planned end of the router: when it was told, and how long it may take; what may be lost around it.

    >>> from datetime import timedelta
    >>> end = PlannedEnd(10.0, timedelta(seconds=6))
    >>> end.excuses(Outcome("a", 12.0, sent=12.0, ended=15.5)), end.excuses(Outcome("a", 13.5, sent=13.5, ended=15.5))
    (True, False)
    """

    at: float
    grace: timedelta
    slack: float = 0.2
    still_sent: float = 3.0

    def excuses(self, outcome: Outcome) -> bool:
        """Whether a request was sent so early and worked on so late that it may be broken off, or its time was over."""
        if outcome.ended - outcome.began >= outcome.waits:
            return True
        last_part = self.at + self.grace.total_seconds() * 5 / 6
        return outcome.sent <= self.at + self.still_sent and outcome.ended >= last_part

    def lost(self, outcome: Outcome, passed_on: bool) -> bool:
        """Whether a request was lost: read, and its connection ended with no whole answer."""
        if outcome.whole:
            return False
        if passed_on:
            return not self.excuses(outcome)
        return outcome.ended - outcome.sent > self.slack


@define(slots=True)
class Tally:
    """Requests of one play, by what became of them."""

    answered: list[Outcome] = field(factory=list)
    refused: list[Outcome] = field(factory=list)
    excused: list[Outcome] = field(factory=list)
    unread: list[Outcome] = field(factory=list)
    lost: list[Outcome] = field(factory=list)

    def add(self, outcome: Outcome, passed_on: bool, end: PlannedEnd) -> None:
        """Counts one request."""
        if end.lost(outcome, passed_on):
            self.lost.append(outcome)
        elif outcome.whole:
            (self.refused if outcome.status == 503 else self.answered).append(outcome)
        else:
            (self.excused if passed_on else self.unread).append(outcome)
