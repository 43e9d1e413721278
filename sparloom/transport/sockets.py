"""Datagrams, and connections that carry records in frames; every connection notices an unresponsive peer."""

from __future__ import annotations

import asyncio
import socket
import struct
from datetime import timedelta
from typing import TYPE_CHECKING, Any, cast

from attrs import define, field

from sparloom.codec import DecodeError, pack, unpack
from sparloom.launch.early_listen import take
from sparloom.metrics import current_meter

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.codec import Record
    from sparloom.settings import Address

_FRAME_SIZE = struct.Struct("!I")
MAXIMUM_FRAME_SIZE = 1 << 25
READ_SIZE = 1 << 16
DIAL_BACKOFF = 1.5
_MILLISECOND = timedelta(milliseconds=1)


def tune(sock: socket.socket, dead: timedelta = timedelta(seconds=2)) -> None:
    """Makes a TCP socket notice a dead peer, and send small writes at once.

    Parameters
    ----------
    sock
        A listening or connected socket; connections inherit the options of a listening one.
    dead
        How long sent data may remain unacknowledged before the connection is given up (TCP_USER_TIMEOUT).

    Examples
    --------
    >>> sock = socket.socket()
    >>> tune(sock)
    >>> sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0
    True
    >>> sock.close()
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(dead / _MILLISECOND))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(dead.total_seconds() / 2)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def bind(address: Address) -> socket.socket:
    """A listening socket at an address: the one bound early in the start, if there is one.

    Raises
    ------
    OSError
        The address cannot be bound.

    Examples
    --------
    >>> from sparloom.settings import Address
    >>> sock = bind(Address("127.0.0.1", 0))
    >>> sock.getsockname()[1] > 0
    True
    >>> sock.close()
    """
    sock: socket.socket = take(address.host, address.port)
    tune(sock)
    return sock


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives records as UDP datagrams; a datagram that holds no record is dropped.

    A datagram may be lost, duplicated, late or out of order, and may come from
    an earlier process at the same address: receivers check the instance and
    the sequence that a record names.

    Examples
    --------
    >>> from sparloom.feed import Subscribe
    >>> async def send_to_itself(record):
    ...     received = asyncio.get_running_loop().create_future()
    ...     socket = await Datagrams.open("127.0.0.1", 0, lambda sender, record: received.set_result((sender, record)))
    ...     host, port = socket.transport.get_extra_info("sockname")
    ...     socket.transport.sendto(b"no record", (host, port))
    ...     socket.send(f"{host}:{port}", record)
    ...     sender, record = await received
    ...     socket.close()
    ...     return sender == f"{host}:{port}", record.node
    >>> asyncio.run(send_to_itself(Subscribe("router-1", 0, 0, 0, 0)))
    (True, 'router-1')
    """

    def __init__(self, receive: Callable[[str, Any], None]) -> None:
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None
        self.meter = current_meter()
        self._addresses: dict[str, tuple[str, int]] = {}

    @classmethod
    async def open(cls, host: str, port: int, receive: Callable[[str, Any], None]) -> Datagrams:
        """Opens a socket.

        Parameters
        ----------
        host, port
            Where it is bound.
        receive
            Called with the sender's HOST:PORT and the record for each that arrives.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(lambda: cls(receive), local_addr=(host, port))
        return protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The event loop has opened the socket."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """A datagram has arrived from ``addr``."""
        try:
            message = unpack(data)
        except DecodeError:
            return
        if self.meter is not None:
            self.meter.add(f"datagram in {type(message).__name__}", len(data))
        self.receive(f"{addr[0]}:{addr[1]}", message)

    def error_received(self, exc: Exception) -> None:
        """An ICMP error for an earlier datagram; a datagram may be lost without one too."""

    def send(self, to: str | tuple[str, ...], message: Record) -> None:
        """Sends a record, without knowing whether it arrives.

        Parameters
        ----------
        to
            HOST:PORT, or a tuple of them; what is not of that form is left out.
        message
            The record.
        """
        if self.transport is None or self.transport.is_closing():
            return
        raw = pack(message)
        for target in (to,) if isinstance(to, str) else to:
            address = self._addresses.get(target) or self._parse(target)
            if address is None:
                continue
            if self.meter is not None:
                self.meter.add(f"datagram out {type(message).__name__}", len(raw))
            self.transport.sendto(raw, address)

    def _parse(self, target: str) -> tuple[str, int] | None:
        """The address in HOST:PORT, which is remembered; None where it is none."""
        host, _, port = target.rpartition(":")
        if not host or not port.isdigit():
            return None
        address = self._addresses[target] = (host, int(port))
        return address

    def close(self) -> None:
        """Closes the socket.

        Examples
        --------
        >>> Datagrams(None).close()
        """
        if self.transport:
            self.transport.close()


class Frames:
    """Records over a TCP connection, each behind its size in four bytes.

    Attributes
    ----------
    reader, writer
        The two directions of the connection.

    Examples
    --------
    >>> from sparloom.feed import Subscribe
    >>> async def send(record):
    ...     accepted = asyncio.get_running_loop().create_future()
    ...     server = await asyncio.start_server(lambda r, w: accepted.set_result(Frames(r, w)), "127.0.0.1", 0)
    ...     client = await dial(*server.sockets[0].getsockname(), timedelta(seconds=1))
    ...     await client.write(record, stall_timeout=timedelta(seconds=1))
    ...     connection = await accepted
    ...     received = await connection.read()
    ...     for end in (client, connection, server):
    ...         end.close()
    ...     return received.node
    >>> asyncio.run(send(Subscribe("router-1", 0, 0, 0, 0)))
    'router-1'
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.meter = current_meter()
        if self.meter is not None:
            self.meter.add("pipe opened")

    async def read(self, progress: Callable[[], object] | None = None) -> Any:
        """The next record.

        Parameters
        ----------
        progress
            Called before each part of an announced record is read, so that the
            caller can allow more time for one that is on its way.

        Raises
        ------
        EOFError
            The connection ended.
        OSError
            The connection is lost.
        DecodeError
            The frame is too long or holds no record.
        """
        (size,) = _FRAME_SIZE.unpack(await self.reader.readexactly(_FRAME_SIZE.size))
        if size > MAXIMUM_FRAME_SIZE:
            raise DecodeError(f"found a frame of {size} bytes, expected at most {MAXIMUM_FRAME_SIZE}")
        missing, parts = size, []
        while missing:
            if progress:
                progress()
            part = await self.reader.read(min(missing, READ_SIZE))
            if not part:
                raise EOFError(f"the connection ended {missing} bytes before the end of a frame")
            parts.append(part)
            missing -= len(part)
        message = unpack(b"".join(parts))
        if self.meter is not None:
            self.meter.add(f"frame in {type(message).__name__}", size + _FRAME_SIZE.size)
        return message

    async def write(self, message: Record, stall_timeout: timedelta | None = None) -> None:
        """Writes a record and waits until the buffer has room again.

        Parameters
        ----------
        message
            The record.
        stall_timeout
            How long the peer may take nothing at all; None for no limit.

        Raises
        ------
        OSError
            The connection is lost.
        TimeoutError
            The peer took nothing for ``stall_timeout``.
        """
        raw = pack(message)
        if self.meter is not None:
            self.meter.add(f"frame out {type(message).__name__}", len(raw) + _FRAME_SIZE.size)
        self.writer.write(_FRAME_SIZE.pack(len(raw)) + raw)
        if stall_timeout is None:
            await self.writer.drain()
        else:
            await self._drain(stall_timeout)

    async def _drain(self, stall_timeout: timedelta) -> None:
        """Waits for room in the buffer for as long as the peer takes anything."""
        while True:
            unsent = self.writer.transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(stall_timeout.total_seconds()):
                    return await self.writer.drain()
            except TimeoutError:
                if self.writer.transport.get_write_buffer_size() >= unsent:
                    raise

    def close(self) -> None:
        """Closes the connection at once; what is not yet sent is dropped."""
        if self.meter is not None:
            self.meter.add("pipe closed")
            self.meter = None
        self.writer.transport.abort()


@define(slots=True)
class DialTimeout:
    """How long connections may take to open: short at first, growing after each time-out.

    A machine without power swallows the opening packet, and the system sends
    it again only after a second. A new attempt is cheap and finds the machine
    as soon as it listens; a distant peer gets the time that it needs.

    Attributes
    ----------
    initial
        The limit at first, and after each connection that opened.
    maximum
        The largest limit.
    current
        The limit of the next attempt.

    Examples
    --------
    >>> timeout = DialTimeout(timedelta(seconds=1), timedelta(seconds=3))
    >>> timeout.on_timeout()
    >>> timeout.current
    datetime.timedelta(seconds=1, microseconds=500000)
    >>> timeout.on_open()
    >>> timeout.current
    datetime.timedelta(seconds=1)
    """

    initial: timedelta
    maximum: timedelta
    current: timedelta = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.current = self.initial

    def on_open(self) -> None:
        """A connection opened in time."""
        self.current = self.initial

    def on_timeout(self) -> None:
        """A connection was not open in time."""
        self.current = min(self.current * DIAL_BACKOFF, self.maximum)

    async def dial(self, host: str, port: int) -> Frames:
        """Opens a connection within the current limit.

        Raises
        ------
        OSError
            The connection is refused, or the host cannot be reached.
        TimeoutError
            The limit passed; the next one is longer.
        """
        try:
            frames = await dial(host, port, self.current)
        except TimeoutError:
            self.on_timeout()
            raise
        self.on_open()
        return frames


async def dial(host: str, port: int, timeout: timedelta) -> Frames:
    """Opens a connection for records.

    Raises
    ------
    OSError
        The connection is refused, or the host cannot be reached.
    TimeoutError
        It was not open within ``timeout``.
    """
    async with asyncio.timeout(timeout.total_seconds()):
        reader, writer = await asyncio.open_connection(host, port, limit=MAXIMUM_FRAME_SIZE)
    tune(writer.get_extra_info("socket"))
    return Frames(reader, writer)
