"""Clients of the requests scenario that don't behave: they send large or endless bytes, stop short, or never read."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import cache
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

BODY_BYTES = 4 << 20
PIECE_BYTES = 64 << 10
SEND_TIMEOUT_S = 4.0
# How long such a client stays after it has sent its bytes.
STAY_S = (0.2, 3.0)
RETRY_DELAY_S = 0.1


def _head(path: str, *fields: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: h.example", "X-Sparloom-Deadline-Remaining: 3000", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@cache
def body_that_stops_short() -> bytes:
    """A body of legal size without its last byte."""
    return _head("/once/x", f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES - 1)


@cache
def chunks_that_stop_short() -> bytes:
    """The same in small chunks."""
    return _head("/once/x", "Transfer-Encoding: chunked") + b"400\r\n" + b"x" * 1024 + b"\r\n" + bytes(PIECE_BYTES)


def head_without_end() -> bytes:
    """Fields without an empty line."""
    return b"POST /once/x HTTP/1.1\r\nHost: h.example\r\n" + b"X-Field: %s\r\n" % (b"x" * 4000) * 100


def part_of_a_head() -> bytes:
    """The first bytes of a request."""
    return b"POST /once/x HTTP/1.1\r\nHost: h.ex"


def requests_ahead() -> bytes:
    """Requests that are sent before the first one is answered."""
    return _head("/nowhere/x", "Content-Length: 0", f"X-Field: {'x' * 4000}") * 200


def bytes_that_are_no_request() -> bytes:
    """Bytes that are no HTTP."""
    return bytes(PIECE_BYTES)


KINDS: tuple[Callable[[], bytes], ...] = (
    body_that_stops_short,
    body_that_stops_short,
    chunks_that_stop_short,
    head_without_end,
    part_of_a_head,
    requests_ahead,
    bytes_that_are_no_request,
)


@define(slots=True)
class MisbehavingClient:
    """Connects to routers one after the other, sends one kind of bytes to each, reads nothing and stays a while.

    Attributes
    ----------
    choose_address
        Returns the address of a router, or None while there is none.
    time_left
        Returns how long it goes on, in seconds.
    """

    rng: random.Random
    choose_address: Callable[[], tuple[str, int] | None]
    time_left: Callable[[], float]

    async def run(self) -> None:
        """Misbehave until the time is over."""
        while self.time_left() > 0:
            address = self.choose_address()
            if address is not None:
                with suppress(OSError, TimeoutError):
                    await self._misbehave(address)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _misbehave(self, address: tuple[str, int]) -> None:
        sent = self.rng.choice(KINDS)()
        async with asyncio.timeout(SEND_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*address, limit=1024)
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                for start in range(0, len(sent), PIECE_BYTES):
                    writer.write(sent[start : start + PIECE_BYTES])
                    await writer.drain()
            await asyncio.sleep(self.rng.uniform(*STAY_S))
        finally:
            writer.transport.abort()
