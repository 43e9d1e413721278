"""Datagrams and framed pipes. A silent peer is noticed: every pipe has a user time-out."""

import asyncio
import socket
import struct
from datetime import timedelta

from attrs import define, field

from sparloom.codec import DecodeError, pack, unpack
from sparloom.launch.early_listen import take
from sparloom.metrics import current_meter

_SIZE = struct.Struct("!I")
MOST = 1 << 25
CHUNK = 1 << 16
GROWTH = 1.5


def tune(sock, dead=timedelta(seconds=2)):
    """Makes a TCP socket notice a dead peer and send small pieces at once.

    >>> s = socket.socket(); tune(s); s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0
    True
    >>> s.close()
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(dead / timedelta(milliseconds=1)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(dead.total_seconds() / 2)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def bind(addr):
    """A listening socket at an address: the one bound early, if there is one.

    >>> from sparloom.settings import Address
    >>> s = bind(Address("127.0.0.1", 0)); s.getsockname()[1] > 0
    True
    >>> s.close()
    """
    sock = take(addr.host, addr.port)
    tune(sock)
    return sock


class Datagrams(asyncio.DatagramProtocol):
    """Records by datagram; what is no record is dropped.

    A datagram may get lost, come twice, late or out of order, and from an
    earlier life of the process at an address: what its record says of life and
    sequence is checked by those who take it.

    >>> from sparloom.feed import Subscribe
    >>> async def to_itself(record):
    ...     got = asyncio.get_running_loop().create_future()
    ...     there = await Datagrams.open("127.0.0.1", 0, lambda sender, record: got.set_result((sender, record)))
    ...     host, port = there.transport.get_extra_info("sockname")
    ...     there.transport.sendto(b"no record", (host, port))
    ...     there.send(f"{host}:{port}", record)
    ...     sender, record = await got
    ...     there.close()
    ...     return sender == f"{host}:{port}", record.node
    >>> asyncio.run(to_itself(Subscribe("router-1", 0, 0, 0, 0)))
    (True, 'router-1')
    """

    def __init__(self, take):
        self.take, self.transport, self.addrs, self.meter = take, None, {}, current_meter()

    @classmethod
    async def open(cls, host, port, take):
        """Opens a socket; ``take`` gets the sender's HOST:PORT and the record."""
        loop = asyncio.get_running_loop()
        _, proto = await loop.create_datagram_endpoint(lambda: cls(take), local_addr=(host, port))
        return proto

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        try:
            rec = unpack(data)
        except DecodeError:
            return
        if self.meter is not None:
            self.meter.add(f"datagram in {type(rec).__name__}", len(data))
        self.take(f"{addr[0]}:{addr[1]}", rec)

    def error_received(self, exc):
        pass

    def send(self, to, rec):
        """Sends a record to HOST:PORT, or to each of a tuple of them; it may get lost."""
        if self.transport is None or self.transport.is_closing():
            return
        raw = pack(rec)
        for t in (to,) if isinstance(to, str) else to:
            addr = self.addrs.get(t)
            if addr is None:
                host, _, port = t.rpartition(":")
                if not host or not port.isdigit():
                    continue
                addr = self.addrs[t] = (host, int(port))
            if self.meter is not None:
                self.meter.add(f"datagram out {type(rec).__name__}", len(raw))
            self.transport.sendto(raw, addr)

    def close(self):
        """Closes the socket.

        >>> Datagrams(None).close()
        """
        if self.transport:
            self.transport.close()


class Frames:
    """Records over a connection, each with its size ahead.

    >>> from sparloom.feed import Subscribe
    >>> async def there(record):
    ...     arrived = asyncio.get_running_loop().create_future()
    ...     server = await asyncio.start_server(lambda r, w: arrived.set_result(Frames(r, w)), "127.0.0.1", 0)
    ...     near = await dial(*server.sockets[0].getsockname(), timedelta(seconds=1))
    ...     await near.write(record, patience=timedelta(seconds=1))
    ...     far = await arrived
    ...     got = await far.read()
    ...     for end in (near, far, server):
    ...         end.close()
    ...     return got.node
    >>> asyncio.run(there(Subscribe("router-1", 0, 0, 0, 0)))
    'router-1'
    """

    def __init__(self, reader, writer):
        self.reader, self.writer, self.meter = reader, writer, current_meter()
        if self.meter is not None:
            self.meter.add("pipe opened")

    async def read(self, progress=None):
        """The next record; raises EOFError, OSError or DecodeError at an end.

        ``progress``: called whenever a part of a record that is awaited has come.
        """
        (n,) = _SIZE.unpack(await self.reader.readexactly(_SIZE.size))
        if n > MOST:
            raise DecodeError("too long")
        size, parts = n + _SIZE.size, []
        while n:
            if progress:
                progress()
            parts.append(await self.reader.read(min(n, CHUNK)))
            if not parts[-1]:
                raise EOFError("cut short")
            n -= len(parts[-1])
        rec = unpack(b"".join(parts))
        if self.meter is not None:
            self.meter.add(f"frame in {type(rec).__name__}", size)
        return rec

    async def write(self, rec, patience=None):
        """Writes a record.

        ``patience``: raises TimeoutError once the other end has taken nothing for so long.
        """
        raw = pack(rec)
        if self.meter is not None:
            self.meter.add(f"frame out {type(rec).__name__}", len(raw) + _SIZE.size)
        self.writer.write(_SIZE.pack(len(raw)) + raw)
        if patience is None:
            return await self.writer.drain()
        while True:
            left = self.writer.transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(patience.total_seconds()):
                    return await self.writer.drain()
            except TimeoutError:
                if self.writer.transport.get_write_buffer_size() >= left:
                    raise

    def close(self):
        """Closes the connection at once."""
        if self.meter is not None:
            self.meter.add("pipe closed")
            self.meter = None
        self.writer.transport.abort()


@define(slots=True)
class DialTimeout:
    """How long connections may take to open: little at first, half as much again after each that took too long.

    A machine without power swallows the opening packet, and the system sends
    it again only after a second. To try anew is cheap and finds the machine as
    soon as it listens; a peer that is far away gets the time that it needs.

    >>> patience = DialTimeout(timedelta(seconds=1), timedelta(seconds=3))
    >>> patience.took_too_long(); patience.span
    datetime.timedelta(seconds=1, microseconds=500000)
    >>> patience.opened(); patience.span
    datetime.timedelta(seconds=1)
    """

    first: timedelta
    most: timedelta
    span: timedelta = field(init=False)

    def __attrs_post_init__(self):
        self.span = self.first

    def opened(self):
        """A connection came up."""
        self.span = self.first

    def took_too_long(self):
        """A connection was not up in time."""
        self.span = min(self.span * GROWTH, self.most)

    async def dial(self, host, port):
        """Opens a connection for records; raises OSError, or TimeoutError when it takes too long for now."""
        try:
            frames = await dial(host, port, self.span)
        except TimeoutError:
            self.took_too_long()
            raise
        self.opened()
        return frames


async def dial(host, port, wait):
    """Opens a connection for records within a time; raises OSError or TimeoutError."""
    async with asyncio.timeout(wait.total_seconds()):
        reader, writer = await asyncio.open_connection(host, port, limit=MOST)
    tune(writer.get_extra_info("socket"))
    return Frames(reader, writer)
