"""An event loop with simulated time and network, in which the real services run unchanged.

Datagrams and connections stay in memory, and the time jumps to the next due
event. While the loop runs, the services' clocks, listening sockets, random
generators and disks are replaced; everything else of them is real. ``HOST``
is the simulated host of a task and must be set before a service starts.
"""

import asyncio
import os
import random
import socket
from collections import deque
from contextlib import ExitStack, contextmanager
from contextvars import ContextVar, copy_context
from types import SimpleNamespace
from typing import ClassVar

from aiohttp.connector import aiohappyeyeballs

from sparloom.consensus.records import EMPTY
from sparloom.controller import consensus_service as core
from sparloom.transport import clock, sockets

from .tally import Tally, kind

HOST = ContextVar("host", default="127.0.0.1")
START = 1000.0
# Unix time in nanoseconds at which the simulated clock reads 0.
WALL_CLOCK_NS = 1_700_000_000 * 10**9
MAXIMUM_DATAGRAM_BYTES = 65507
UNREACHABLE_TIMEOUT_S = 2.0


class NoPendingEventsError(RuntimeError):
    """No event is scheduled, but the main task has not finished."""


class _TimeSelector:
    """Selector that advances the simulated time instead of waiting for sockets."""

    def __init__(self, loop):
        self.loop = loop

    def select(self, timeout):
        if timeout is None:
            raise NoPendingEventsError("all tasks wait, but no event is scheduled")
        self.loop.now += max(timeout, self.loop.turn)
        return ()


class _Socket:
    """Replaces a socket between its creation and its use by a server or connection."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM

    def __init__(self, host, port):
        self.host, self.port = host, port

    def getsockname(self):
        return (self.host, self.port)

    def setsockopt(self, *args):
        pass

    def close(self):
        pass


class _Datagrams(asyncio.DatagramTransport):
    def __init__(self, net, addr, protocol):
        super().__init__()
        self.net, self.addr, self.protocol, self.closed = net, addr, protocol, False
        self.context = copy_context()

    def sendto(self, data, addr=None):
        if not self.closed:
            self.net.datagram(self.addr, addr, data)

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True
        if self.net.ports.get(self.addr) is self:
            del self.net.ports[self.addr]


class _Stream(asyncio.Transport):
    """One end of a connection; data arrives at the other end in order."""

    def __init__(self, net, addr, peer, protocol):
        super().__init__({"socket": _Socket(*addr), "sockname": addr, "peername": peer})
        self.net, self.addr, self.peer, self.protocol = net, addr, peer, protocol
        self.other, self.closed, self.next_arrival, self.read_buffer, self.in_flight = None, False, 0.0, None, deque()

    def write(self, data):
        if self.closed or not data:
            return
        self.net.tally.sent(self.addr[0], kind(data, 4), len(data))
        if not self.net.reachable(self.addr[0], self.peer[0]):
            self.net.loop.call_later(UNREACHABLE_TIMEOUT_S, self._end, ConnectionResetError())
            return
        self._push(lambda stream: stream.receive(bytes(data)))

    def _push(self, event):
        now = self.net.loop.time()
        self.next_arrival = max(self.next_arrival, now + self.net.delay(self.addr[0], self.peer[0]))
        self.in_flight.append(event)
        self.net.loop.call_at(self.next_arrival, self._arrive)

    def _arrive(self):
        event = self.in_flight.popleft()
        if self.other is not None and self.net.reachable(self.addr[0], self.peer[0]):
            event(self.other)

    def receive(self, data):
        if self.closed:
            return
        if self.read_buffer is not None:
            self.read_buffer.append(data)
            return
        self.net.tally.received(self.addr[0], len(data))
        self.protocol.data_received(data)

    def pause_reading(self):
        self.read_buffer = self.read_buffer if self.read_buffer is not None else []

    def resume_reading(self):
        buffered, self.read_buffer = self.read_buffer or [], None
        for data in buffered:
            self.receive(data)

    def is_reading(self):
        return self.read_buffer is None

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def can_write_eof(self):
        return False

    def set_protocol(self, protocol):
        self.protocol = protocol

    def get_protocol(self):
        return self.protocol

    def close(self):
        if not self.closed:
            self._push(lambda stream: stream._end(None))
            self._end(None)

    abort = close

    def _end(self, error):
        if not self.closed:
            self.closed = True
            self.net.loop.call_soon(self.protocol.connection_lost, error)


class Network:
    """The simulated network: listening sockets, link delays, cut links, and counts of the traffic."""

    def __init__(self, loop, rng, delay, loss):
        self.loop, self.rng, self.link_delay, self.loss = loop, rng, delay, loss
        self.ports, self.servers, self.off, self.cuts = {}, {}, set(), set()
        self.tally = Tally()

    def delay(self, source, target):
        """Return a random delay between two hosts in seconds, within 20% of the link's delay."""
        return self.link_delay(source, target) * (0.8 + 0.4 * self.rng.random())

    def reachable(self, source, target):
        """Whether data sent from one host now reaches the other."""
        return source not in self.off and target not in self.off and (source, target) not in self.cuts

    def cut(self, group, others):
        """Cut the links between two groups of hosts, in both directions."""
        self.cuts |= {link for source in group for target in others for link in ((source, target), (target, source))}

    def datagram(self, source, target, data):
        """Send a datagram; it may be lost."""
        if source[0] in self.off:
            return
        if len(data) > MAXIMUM_DATAGRAM_BYTES:
            self.tally.long += 1
            return
        self.tally.sent(source[0], kind(data), len(data))
        if self.rng.random() < self.loss or not self.reachable(source[0], target[0]):
            self.tally.lost += 1
            return
        receiver = self.ports.get(target)
        if receiver is not None:
            self.loop.call_later(
                self.delay(source[0], target[0]), self._arrive, source, target, data, receiver, context=receiver.context
            )

    def _arrive(self, source, target, data, receiver):
        if not receiver.closed and target[0] not in self.off:
            self.tally.received(target[0], len(data))
            receiver.protocol.datagram_received(data, source)


class _Server(asyncio.AbstractServer):
    def __init__(self, net, addr):
        self.net, self.addr, self.sockets = net, addr, [_Socket(*addr)]

    def close(self):
        self.net.servers.pop(self.addr, None)

    async def wait_closed(self):
        pass

    def is_serving(self):
        return self.addr in self.net.servers


class Loop(asyncio.BaseEventLoop):
    """The event loop; ``net`` is its network, and ``turn`` the minimum duration of each iteration in seconds.

    >>> loop = Loop(random.Random(1)); loop.run_until_complete(asyncio.sleep(3600)); loop.time() - START
    3600.0
    >>> loop.close()
    """

    def __init__(self, rng, delay=lambda source, target: 0.0005, loss=0.0, turn=0.0):
        super().__init__()
        self.now, self.turn = START, turn
        self._selector = _TimeSelector(self)
        self.net, self.last_port = Network(self, rng, delay, loss), 40000

    def time(self):
        """Return the simulated time in seconds."""
        return self.now

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def run_in_executor(self, executor, function, *args):
        """Run the function at once, since there are no threads in simulated time."""
        done = self.create_future()
        done.set_result(function(*args))
        return done

    async def create_datagram_endpoint(self, factory, local_addr=None, **options):
        """Create a datagram socket of the simulated network."""
        protocol = factory()
        transport = self.net.ports[tuple(local_addr)] = _Datagrams(self.net, tuple(local_addr), protocol)
        protocol.connection_made(transport)
        return transport, protocol

    async def create_server(self, factory, host=None, port=None, *, sock=None, **options):
        """Create a listening socket of the simulated network."""
        host, port = sock.getsockname() if sock is not None else (host, port)
        addr = (host, port or self._free_port())
        self.net.servers[addr] = (factory, copy_context())
        return _Server(self.net, addr)

    def _free_port(self):
        self.last_port += 1
        return self.last_port

    @staticmethod
    async def start_connection(addr_infos, **options):
        """Return an unconnected socket for the first address; replaces the HTTP client's own connection set-up."""
        return _Socket(*addr_infos[0][4])

    async def create_connection(self, factory, host=None, port=None, *, sock=None, **options):
        """Create a connection over the simulated network; wait while the other host is unreachable."""
        host, port = sock.getsockname() if sock is not None else (host, port)
        local_host, receiver = HOST.get(), (host, port)
        while not self.net.reachable(local_host, host):
            await asyncio.sleep(UNREACHABLE_TIMEOUT_S)
        await asyncio.sleep(2 * self.net.delay(local_host, host))
        accept, context = self.net.servers.get(receiver, (None, None))
        if accept is None:
            raise ConnectionRefusedError(f"connection refused by {host}:{port}")
        local_address = (local_host, self._free_port())
        client = _Stream(self.net, local_address, receiver, factory())
        server = _Stream(self.net, receiver, local_address, accept())
        client.other, server.other = server, client
        client.protocol.connection_made(client)
        self.call_soon(server.protocol.connection_made, server, context=context)
        return client, client.protocol


class Disk:
    """A simulated disk: a save is stored and reported 5 ms later."""

    contents: ClassVar[dict] = {}
    set_aside = False

    def __init__(self, folder, loop, done, failed):
        self.folder, self.loop, self.done = folder, loop, done

    async def load(self):
        """Return the content of the disk, or None."""
        return Disk.contents.get(self.folder)

    def start(self):
        """Do nothing; there is no thread to start."""

    def put(self, save):
        """Schedule a save."""
        self.loop.call_later(0.005, self._store, save)

    def _store(self, save):
        previous = Disk.contents.get(self.folder)
        Disk.contents[self.folder] = (
            save.register,
            save.data if save.data is not None else previous[1] if previous else EMPTY,
        )
        self.done([save])

    async def stop(self):
        """Do nothing; there is no thread to stop."""


@contextmanager
def swapped(owner, name, value):
    """Replace an attribute within the context.

    >>> with swapped(Disk, "contents", {"a": 1}):
    ...     Disk.contents
    {'a': 1}
    """
    previous = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, previous)


@contextmanager
def world(seed, delay=lambda source, target: 0.0005, loss=0.0, turn=0.0):
    """Yield a loop whose time, network and random numbers the services use.

    ``turn``: the minimum duration of each iteration of the loop in seconds, as on a busy machine.

    >>> from sparloom.transport import monotonic
    >>> with world(1) as loop:
    ...     monotonic().total_seconds()
    1000.0
    """
    rng = random.Random(seed)

    class SeededRandom(random.Random):
        """A random generator whose default seed follows from the simulation's seed."""

        def __init__(self, seed_value=None):
            super().__init__(rng.random() if seed_value is None else seed_value)

    loop = Loop(random.Random(rng.random()), delay, loss, turn)
    Disk.contents = {}
    with ExitStack() as stack:
        for owner, name, value in (
            (
                clock,
                "time",
                SimpleNamespace(monotonic=loop.time, time_ns=lambda: WALL_CLOCK_NS + int(loop.time() * 1e9)),
            ),
            (random, "Random", SeededRandom),
            (os, "urandom", rng.randbytes),
            (sockets, "take", _Socket),
            (core, "DurableWriter", Disk),
            (aiohappyeyeballs, "start_connection", loop.start_connection),
        ):
            stack.enter_context(swapped(owner, name, value))
        try:
            yield loop
        finally:
            end(loop)


def end(loop):
    """Cancel all tasks of a loop and close it.

    >>> end(Loop(random.Random(1)))
    """
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    loop.set_exception_handler(lambda loop, context: None)
    if pending:
        loop.run_until_complete(asyncio.wait(pending, timeout=5))
    loop.close()
