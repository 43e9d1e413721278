"""Records over UDP datagrams and over framed TCP connections.

``Datagrams`` is a UDP socket, ``Frames`` a TCP connection that detects an
unresponsive peer, and ``DialTimeout`` the growing timeout for opening one.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from datetime import timedelta
from typing import TYPE_CHECKING, Any, cast

from attrs import define, field

from sparloom.admission import HoldingKind, process_budget
from sparloom.codec import DecodeError, pack, unpack
from sparloom.launch.early_listen import take
from sparloom.metrics import current_meter

from .clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.codec import Record
    from sparloom.settings import Address

# Length prefix of a frame.
_FRAME_LENGTH = struct.Struct("!I")
# Largest frame that is accepted.
MAXIMUM_FRAME_BYTES = 1 << 25
# Most bytes of a frame that one read returns.
READ_CHUNK_BYTES = 1 << 16
# Memory that a frame takes while it is unpacked, per byte.
UNPACKED_FRAME_FACTOR = 2
# Growth of the connect timeout after each timeout.
DIAL_BACKOFF_FACTOR = 1.5
_MILLISECOND = timedelta(milliseconds=1)


def set_tcp_options(sock: socket.socket, user_timeout: timedelta = timedelta(seconds=2)) -> None:
    """Set the options of a TCP socket: detection of a dead peer, and no delay of small writes.

    Parameters
    ----------
    sock
        A listening or connected socket; accepted connections inherit the options of the listening socket.
    user_timeout
        How long sent data may remain unacknowledged before the connection fails (TCP_USER_TIMEOUT).

    Examples
    --------
    >>> sock = socket.socket()
    >>> set_tcp_options(sock)
    >>> sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0
    True
    >>> sock.close()
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout / _MILLISECOND))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(user_timeout.total_seconds() / 2)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def bind(address: Address) -> socket.socket:
    """Return a listening socket for an address: the one that was bound early during startup, if any.

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
    set_tcp_options(sock)
    return sock


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives records as UDP datagrams; a datagram without a valid record is dropped.

    A datagram may be lost, duplicated, delayed or reordered, and it may come
    from an earlier process at the same address. Receivers therefore check the
    instance and the sequence number in the record.

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
        """Open a socket.

        Parameters
        ----------
        host, port
            The address to bind.
        receive
            Called with the sender's HOST:PORT and the record for each datagram received.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(lambda: cls(receive), local_addr=(host, port))
        return protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport when the event loop has opened the socket."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Decode a datagram from ``addr`` and pass its record on."""
        try:
            message = unpack(data)
        except DecodeError:
            return
        if self.meter is not None:
            self.meter.add(f"datagram in {type(message).__name__}", len(data))
        self.receive(f"{addr[0]}:{addr[1]}", message)

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error for an earlier datagram; a datagram may be lost without an error too."""

    def send(self, to: str | tuple[str, ...], message: Record) -> None:
        """Send a record without confirmation of delivery.

        Parameters
        ----------
        to
            HOST:PORT, or a tuple of them; malformed addresses are skipped.
        message
            The record to send.
        """
        if self.transport is None or self.transport.is_closing():
            return
        raw = pack(message)
        for target in (to,) if isinstance(to, str) else to:
            address = self._addresses.get(target) or self._parse_address(target)
            if address is None:
                continue
            if self.meter is not None:
                self.meter.add(f"datagram out {type(message).__name__}", len(raw))
            self.transport.sendto(raw, address)

    def _parse_address(self, target: str) -> tuple[str, int] | None:
        """Parse HOST:PORT and cache the result; None if it is malformed."""
        host, _, port = target.rpartition(":")
        if not host or not port.isdigit():
            return None
        address = self._addresses[target] = (host, int(port))
        return address

    def close(self) -> None:
        """Close the socket.

        Examples
        --------
        >>> Datagrams(None).close()
        """
        if self.transport:
            self.transport.close()


class Frames:
    """Records over a TCP connection, each prefixed with its size in four bytes.

    Attributes
    ----------
    reader, writer
        The streams of the connection.

    Examples
    --------
    >>> from sparloom.feed import Subscribe
    >>> async def send(record):
    ...     accepted = asyncio.get_running_loop().create_future()
    ...     server = await asyncio.start_server(
    ...         lambda reader, writer: accepted.set_result(Frames(reader, writer)), "127.0.0.1", 0
    ...     )
    ...     client = await dial(*server.sockets[0].getsockname(), timedelta(seconds=1))
    ...     await client.write(record, stall_timeout=timedelta(seconds=1))
    ...     connection = await accepted
    ...     received = await connection.read()
    ...     for opened in (client, connection, server):
    ...         opened.close()
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
        """Read the next record.

        Parameters
        ----------
        progress
            Called before each chunk of a record is read, so that the caller can
            extend its deadline while a record arrives.

        Raises
        ------
        EOFError
            The connection ended.
        OSError
            The connection is lost.
        DecodeError
            The frame is too large or contains no valid record.
        """
        (size,) = _FRAME_LENGTH.unpack(await self.reader.readexactly(_FRAME_LENGTH.size))
        if size > MAXIMUM_FRAME_BYTES:
            raise DecodeError(f"found a frame of {size} bytes, expected at most {MAXIMUM_FRAME_BYTES}")
        message = await self._read_record(size, progress)
        if self.meter is not None:
            self.meter.add(f"frame in {type(message).__name__}", size + _FRAME_LENGTH.size)
        return message

    async def _read_record(self, size: int, progress: Callable[[], object] | None) -> Any:
        """Read the rest of a frame; a large one takes its bytes from the process's budget as they arrive."""
        budget, holding, frame = process_budget(), None, bytearray()
        try:
            while len(frame) < size:
                if progress:
                    progress()
                chunk = await self.reader.read(min(size - len(frame), READ_CHUNK_BYTES))
                if not chunk:
                    raise EOFError(f"the connection ended {size - len(frame)} bytes before the end of a frame")
                frame += chunk
                if len(frame) <= READ_CHUNK_BYTES:
                    continue
                now = monotonic()
                if holding is None:
                    holding = budget.open(HoldingKind.FRAMES, self._peer(), now, self.writer.transport.abort)
                holding.record_progress(len(chunk), now)
                if not budget.resize(holding, len(frame) * UNPACKED_FRAME_FACTOR, now):
                    raise DecodeError(f"no memory is left for a frame of {size} bytes")
            return unpack(bytes(frame))
        finally:
            if holding is not None:
                budget.close(holding)

    def _peer(self) -> str:
        name = self.writer.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else ""

    async def write(self, message: Record, stall_timeout: timedelta | None = None) -> None:
        """Write a record and wait until the send buffer has space again.

        Parameters
        ----------
        message
            The record to write.
        stall_timeout
            How long the peer may accept no data at all; None for no limit.

        Raises
        ------
        OSError
            The connection is lost.
        TimeoutError
            The peer accepted no data for ``stall_timeout``.
        """
        raw = pack(message)
        if self.meter is not None:
            self.meter.add(f"frame out {type(message).__name__}", len(raw) + _FRAME_LENGTH.size)
        self.writer.write(_FRAME_LENGTH.pack(len(raw)) + raw)
        if stall_timeout is None:
            await self.writer.drain()
        else:
            await self._drain(stall_timeout)

    async def _drain(self, stall_timeout: timedelta) -> None:
        """Wait for space in the send buffer while the peer keeps accepting data."""
        while True:
            unsent = self.writer.transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(stall_timeout.total_seconds()):
                    return await self.writer.drain()
            except TimeoutError:
                if self.writer.transport.get_write_buffer_size() >= unsent:
                    raise

    def close(self) -> None:
        """Close the connection immediately; unsent data is dropped."""
        if self.meter is not None:
            self.meter.add("pipe closed")
            self.meter = None
        self.writer.transport.abort()


@define(slots=True)
class DialTimeout:
    """A connect timeout with backoff: short at first, longer after each timeout.

    A machine that is powered off drops the SYN packet, and the kernel
    retransmits it only after a second. Short attempts are cheap and reach the
    machine as soon as it listens. The backoff gives a distant peer enough time
    to answer.

    Attributes
    ----------
    initial
        The timeout of the first attempt and after each opened connection.
    maximum
        The longest timeout.
    current
        The timeout of the next attempt.

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
        """Reset the timeout after a connection was opened."""
        self.current = self.initial

    def on_timeout(self) -> None:
        """Extend the timeout after an attempt timed out."""
        self.current = min(self.current * DIAL_BACKOFF_FACTOR, self.maximum)

    async def dial(self, host: str, port: int) -> Frames:
        """Open a connection within the current timeout.

        Raises
        ------
        OSError
            The connection is refused, or the host cannot be reached.
        TimeoutError
            The attempt timed out; the next timeout is longer.
        """
        try:
            frames = await dial(host, port, self.current)
        except TimeoutError:
            self.on_timeout()
            raise
        self.on_open()
        return frames


async def dial(host: str, port: int, timeout: timedelta) -> Frames:
    """Open a connection for records.

    Raises
    ------
    OSError
        The connection is refused, or the host cannot be reached.
    TimeoutError
        The connection was not opened within ``timeout``.
    """
    async with asyncio.timeout(timeout.total_seconds()):
        reader, writer = await asyncio.open_connection(host, port, limit=READ_CHUNK_BYTES)
    set_tcp_options(writer.get_extra_info("socket"))
    return Frames(reader, writer)
