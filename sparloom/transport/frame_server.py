"""``FrameServer``: a server for connections of records between nodes, with a bound on their number."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from absl import logging

from sparloom.codec import DecodeError

from .sockets import READ_CHUNK_BYTES, Frames

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable, Sequence
    from datetime import timedelta

    from sparloom.codec import Record

CONNECTION_ERRORS = (OSError, EOFError, DecodeError, TimeoutError)


class FrameServer:
    """Accepts connections of other nodes; the first record on each says what it is for.

    Parameters
    ----------
    serve
        Serves a connection, given its first record, until it ends.
    maximum_connections
        The number of connections above which one is closed: the oldest one without a first record, else the newest.
    first_record_timeout
        How long the first record may take.
    """

    def __init__(
        self,
        serve: Callable[[Frames, Record], Awaitable[None]],
        maximum_connections: int,
        first_record_timeout: timedelta,
    ) -> None:
        self._serve = serve
        self.maximum_connections = maximum_connections
        self._first_record_timeout_s = first_record_timeout.total_seconds()
        self._server: asyncio.Server | None = None
        # All open connections, oldest first; the value tells whether the first record has arrived.
        self._open: dict[Frames, bool] = {}

    async def start(self, listen_socket: socket.socket) -> None:
        """Accept connections on a listening socket."""
        self._server = await asyncio.start_server(self._on_connection, sock=listen_socket, limit=READ_CHUNK_BYTES)

    @property
    def sockets(self) -> Sequence[Any]:
        """The listening sockets; none before the start."""
        return () if self._server is None else self._server.sockets

    def close(self) -> None:
        """Accept no more connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        frames = Frames(reader, writer)
        try:
            self._admit(frames)
            async with asyncio.timeout(self._first_record_timeout_s):
                first = await frames.read()
            if frames in self._open:
                self._open[frames] = True
                await self._serve(frames, first)
        except (*CONNECTION_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self._open.pop(frames, None)
            frames.close()

    def _admit(self, frames: Frames) -> None:
        self._open[frames] = False
        if len(self._open) <= self.maximum_connections:
            return
        victim = next((other for other, is_known in self._open.items() if not is_known), frames)
        logging.log_every_n_seconds(
            logging.INFO, "server: connection of a node closed for another one connections=%d", 10, len(self._open)
        )
        del self._open[victim]
        victim.close()
