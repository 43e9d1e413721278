"""An event loop whose time and sockets are simulated: the real services run in it, unchanged.

Datagrams and connections stay in memory. Time jumps to the next thing to do.
What the services take from the machine (steady clock, listening sockets,
luck, disk) is replaced while the loop runs; nothing else of them is. ``HOST``
names the simulated host that a task runs on; set it before a service starts.
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
# The wall clock, in nanoseconds since 1970, as the simulated clock begins at 0.
WALL_CLOCK_NS = 1_700_000_000 * 10**9
MOST = 65507
GIVE_UP = 2.0


class Stuck(RuntimeError):
    """Nothing is left to do, and the story has not ended."""


class _Jump:
    """In place of waiting for sockets, time jumps."""

    def __init__(self, loop):
        self.loop = loop

    def select(self, timeout):
        if timeout is None:
            raise Stuck("all wait and nothing is due")
        self.loop.now += max(timeout, self.loop.turn)
        return ()


class _Socket:
    """What services do with a socket before it is served."""

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
    def __init__(self, net, addr, proto):
        super().__init__()
        self.net, self.addr, self.proto, self.shut = net, addr, proto, False
        self.context = copy_context()

    def sendto(self, data, addr=None):
        if not self.shut:
            self.net.datagram(self.addr, addr, data)

    def is_closing(self):
        return self.shut

    def close(self):
        self.shut = True
        if self.net.ports.get(self.addr) is self:
            del self.net.ports[self.addr]


class _Stream(asyncio.Transport):
    """One end of a connection; what it writes arrives at the other in order."""

    def __init__(self, net, addr, far, proto):
        super().__init__({"socket": _Socket(*addr), "sockname": addr, "peername": far})
        self.net, self.addr, self.far, self.proto = net, addr, far, proto
        self.other, self.shut, self.due, self.held, self.under_way = None, False, 0.0, None, deque()

    def write(self, data):
        if self.shut or not data:
            return
        self.net.tally.sent(self.addr[0], kind(data, 4), len(data))
        if not self.net.joined(self.addr[0], self.far[0]):
            self.net.loop.call_later(GIVE_UP, self._end, ConnectionResetError())
            return
        self._push(lambda o: o.take(bytes(data)))

    def _push(self, what):
        now = self.net.loop.time()
        self.due = max(self.due, now + self.net.delay(self.addr[0], self.far[0]))
        self.under_way.append(what)
        self.net.loop.call_at(self.due, self._arrive)

    def _arrive(self):
        what = self.under_way.popleft()
        if self.other is not None and self.net.joined(self.addr[0], self.far[0]):
            what(self.other)

    def take(self, data):
        if self.shut:
            return
        if self.held is not None:
            self.held.append(data)
            return
        self.net.tally.received(self.addr[0], len(data))
        self.proto.data_received(data)

    def pause_reading(self):
        self.held = self.held if self.held is not None else []

    def resume_reading(self):
        rest, self.held = self.held or [], None
        for d in rest:
            self.take(d)

    def is_reading(self):
        return self.held is None

    def is_closing(self):
        return self.shut

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def can_write_eof(self):
        return False

    def set_protocol(self, proto):
        self.proto = proto

    def get_protocol(self):
        return self.proto

    def close(self):
        if not self.shut:
            self._push(lambda o: o._end(None))
            self._end(None)

    abort = close

    def _end(self, exc):
        if not self.shut:
            self.shut = True
            self.net.loop.call_soon(self.proto.connection_lost, exc)


class Network:
    """The simulated network: who listens where, how far apart, what is cut, what was sent."""

    def __init__(self, loop, rng, delay, loss):
        self.loop, self.rng, self.far, self.loss = loop, rng, delay, loss
        self.ports, self.servers, self.off, self.cuts = {}, {}, set(), set()
        self.tally = Tally()

    def delay(self, a, b):
        """The seconds that something takes from one host to another now."""
        return self.far(a, b) * (0.8 + 0.4 * self.rng.random())

    def joined(self, a, b):
        """Whether what one host sends now reaches the other."""
        return a not in self.off and b not in self.off and (a, b) not in self.cuts

    def cut(self, some, others):
        """Parts two groups of hosts, both ways."""
        self.cuts |= {p for a in some for b in others for p in ((a, b), (b, a))}

    def datagram(self, src, dst, data):
        """Sends a datagram; it may get lost."""
        if src[0] in self.off:
            return
        if len(data) > MOST:
            self.tally.long += 1
            return
        self.tally.sent(src[0], kind(data), len(data))
        if self.rng.random() < self.loss or not self.joined(src[0], dst[0]):
            self.tally.lost += 1
            return
        to = self.ports.get(dst)
        if to is not None:
            self.loop.call_later(self.delay(src[0], dst[0]), self._arrive, src, dst, data, to, context=to.context)

    def _arrive(self, src, dst, data, to):
        if not to.shut and dst[0] not in self.off:
            self.tally.received(dst[0], len(data))
            to.proto.datagram_received(data, src)


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
    """The event loop; ``net`` is its network, ``turn`` the seconds that each of its turns takes at least.

    >>> loop = Loop(random.Random(1)); loop.run_until_complete(asyncio.sleep(3600)); loop.time() - START
    3600.0
    >>> loop.close()
    """

    def __init__(self, rng, delay=lambda a, b: 0.0005, loss=0.0, turn=0.0):
        super().__init__()
        self.now, self.turn = START, turn
        self._selector = _Jump(self)
        self.net, self.ends = Network(self, rng, delay, loss), 40000

    def time(self):
        """The simulated time, in seconds."""
        return self.now

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def run_in_executor(self, executor, func, *args):
        """Does the work at once; there are no threads in simulated time."""
        done = self.create_future()
        done.set_result(func(*args))
        return done

    async def create_datagram_endpoint(self, factory, local_addr=None, **kw):
        """A datagram socket of the simulated network."""
        proto = factory()
        tr = self.net.ports[tuple(local_addr)] = _Datagrams(self.net, tuple(local_addr), proto)
        proto.connection_made(tr)
        return tr, proto

    async def create_server(self, factory, host=None, port=None, *, sock=None, **kw):
        """A listening socket of the simulated network."""
        host, port = sock.getsockname() if sock is not None else (host, port)
        addr = (host, port or self._free_port())
        self.net.servers[addr] = (factory, copy_context())
        return _Server(self.net, addr)

    def _free_port(self):
        self.ends += 1
        return self.ends

    @staticmethod
    async def start_connection(addr_infos, **kw):
        """A socket that is to be connected to the first address; stands for the HTTP client's own dialling."""
        return _Socket(*addr_infos[0][4])

    async def create_connection(self, factory, host=None, port=None, *, sock=None, **kw):
        """A connection over the simulated network; hangs when the other host is away."""
        host, port = sock.getsockname() if sock is not None else (host, port)
        me, to = HOST.get(), (host, port)
        while not self.net.joined(me, host):
            await asyncio.sleep(GIVE_UP)
        await asyncio.sleep(2 * self.net.delay(me, host))
        make, context = self.net.servers.get(to, (None, None))
        if make is None:
            raise ConnectionRefusedError(f"nobody listens at {host}:{port}")
        mine = (me, self._free_port())
        a = _Stream(self.net, mine, to, factory())
        b = _Stream(self.net, to, mine, make())
        a.other, b.other = b, a
        a.proto.connection_made(a)
        self.call_soon(b.proto.connection_made, b, context=context)
        return a, a.proto


class Disk:
    """A simulated disk: what was put is kept and told 5 ms later."""

    held: ClassVar[dict] = {}
    set_aside = False

    def __init__(self, folder, loop, done, failed):
        self.folder, self.loop, self.done = folder, loop, done

    async def load(self):
        """What the disk holds, or None."""
        return Disk.held.get(self.folder)

    def start(self):
        """Nothing to start."""

    def put(self, save):
        """Keeps a save."""
        self.loop.call_later(0.005, self._kept, save)

    def _kept(self, save):
        old = Disk.held.get(self.folder)
        Disk.held[self.folder] = (save.register, save.data if save.data is not None else old[1] if old else EMPTY)
        self.done([save])

    async def stop(self):
        """Nothing to stop."""


@contextmanager
def swapped(obj, name, val):
    """Has a value stand for an attribute meanwhile.

    >>> with swapped(Disk, "held", {"a": 1}):
    ...     Disk.held
    {'a': 1}
    """
    old = getattr(obj, name)
    setattr(obj, name, val)
    try:
        yield
    finally:
        setattr(obj, name, old)


@contextmanager
def world(seed, delay=lambda a, b: 0.0005, loss=0.0, turn=0.0):
    """A loop in whose time, network and luck the services run; gives the loop.

    ``turn``: the seconds that each turn of the loop takes at least, as on a busy machine.

    >>> from sparloom.transport import monotonic
    >>> with world(1) as loop:
    ...     monotonic().total_seconds()
    1000.0
    """
    luck = random.Random(seed)

    class Seeded(random.Random):
        """Luck that follows from the seed."""

        def __init__(self, x=None):
            super().__init__(luck.random() if x is None else x)

    loop = Loop(random.Random(luck.random()), delay, loss, turn)
    Disk.held = {}
    with ExitStack() as stack:
        for obj, name, val in (
            (
                clock,
                "time",
                SimpleNamespace(monotonic=loop.time, time_ns=lambda: WALL_CLOCK_NS + int(loop.time() * 1e9)),
            ),
            (random, "Random", Seeded),
            (os, "urandom", luck.randbytes),
            (sockets, "take", _Socket),
            (core, "DurableWriter", Disk),
            (aiohappyeyeballs, "start_connection", loop.start_connection),
        ):
            stack.enter_context(swapped(obj, name, val))
        try:
            yield loop
        finally:
            end(loop)


def end(loop):
    """Ends all tasks of a loop, and the loop.

    >>> end(Loop(random.Random(1)))
    """
    left = asyncio.all_tasks(loop)
    for t in left:
        t.cancel()
    loop.set_exception_handler(lambda loop, context: None)
    if left:
        loop.run_until_complete(asyncio.wait(left, timeout=5))
    loop.close()
