"""A fleet of real routers in one process and in simulated time, to measure what grows with it.

The routers' own services run as they are; sockets are replaced by queues with a
delay, and the clock by the event loop's own, so that a second of a hundred
nodes takes some seconds of one core. Requests are stand-ins: they take slots
and read prompts at the rate given, and nothing is sent to a runner.
"""

import asyncio
import contextvars
import random
import selectors
from contextlib import ExitStack
from types import SimpleNamespace
from unittest import mock

from sparloom.feed import POLICY, RUNNERS
from sparloom.link import Datagrams, Frames, steady
from sparloom.members import CONTROLLER, Ack, Peer, Ping, Relay, Swim, Times
from sparloom.meter import Meter
from sparloom.startup import from_dict
from sparloom.timeouts import Bucket

DELAY = 0.0008
HOST = contextvars.ContextVar("the host that runs")
LONG_SHARE, LONG_PARTS, SHORT_PARTS = 0.107, ((1, 13300), (2, 3720)), ((3, 92), (4, 291))


class Clocked(asyncio.SelectorEventLoop):
    """A loop that doesn't wait: its time jumps to the next timer."""

    def __init__(self):
        self.now = 0.0
        super().__init__(_Jump(self))

    def time(self):
        """Simulated seconds since the start."""
        return self.now


class _Jump(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self.loop = loop

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.loop.now += max(0.0, timeout)
        return super().select(0)


class Net:
    """Datagrams and pipes between addresses, with a delay and a loss."""

    def __init__(self, rng, loss=0.0):
        self.rng, self.loss, self.socks, self.servers, self.meters, self.pipes = rng, loss, {}, {}, {}, {}

    def meter(self, host):
        """The meter of a host."""
        return self.meters.setdefault(host, Meter())

    async def datagrams(self, host, port, take):
        """Stands for ``Datagrams.open``."""
        proto = Datagrams(take)
        self.socks[host, port] = proto, contextvars.copy_context()
        proto.connection_made(_Sender(self, (host, port)))
        return proto

    async def serve(self, take, *, sock, **_):
        """Stands for ``asyncio.start_server``."""
        self.servers[sock] = take, contextvars.copy_context()
        return SimpleNamespace(close=lambda: self.servers.pop(sock, None))

    async def connect(self, host, port, **_):
        """Stands for ``asyncio.open_connection``; an address without a server is silent."""
        if (host, port) not in self.servers:
            await asyncio.sleep(60)
            raise OSError
        here, there = _End(), _End()
        here.other, there.other = there, here
        self.pipes.setdefault(host, []).append(there)
        take, context = self.servers[host, port]
        self.track(take(there.reader, there), context)
        return here.reader, here

    def patches(self):
        """What stands for sockets while a fleet plays."""
        at = "sparloom.link.sockets."
        return (
            mock.patch.object(Datagrams, "open", self.datagrams),
            mock.patch("asyncio.start_server", self.serve),
            mock.patch("asyncio.open_connection", self.connect),
            mock.patch(at + "here", lambda: self.meter(HOST.get())),
            mock.patch(at + "tune", lambda *_: None),
            mock.patch(at + "take", lambda host, port: (host, port)),
        )

    @staticmethod
    def track(coro, context=None):
        """Runs something beside, as the host that a context names."""
        task = asyncio.get_running_loop().create_task(coro, context=context)
        task.add_done_callback(lambda t: t.cancelled() or t.exception())

    def followers(self, host):
        """How many pipes into a host are open."""
        return sum(not e.shut for e in self.pipes.get(host, ()))


class _Sender:
    def __init__(self, net, addr):
        self.net, self.addr = net, addr

    def is_closing(self):
        return False

    def close(self):
        self.net.socks.pop(self.addr, None)

    def sendto(self, raw, addr):
        to, context = self.net.socks.get(addr, (None, None))
        if to is not None and self.net.rng.random() >= self.net.loss:
            asyncio.get_running_loop().call_later(DELAY, to.datagram_received, raw, self.addr, context=context)


class _End:
    """One end of a pipe: the reader's and the writer's part."""

    def __init__(self):
        self.reader, self.other, self.shut, self.transport = asyncio.StreamReader(), None, False, self

    def write(self, raw):
        """Brings bytes to the other end."""
        if self.shut or self.other.shut:
            raise ConnectionResetError
        asyncio.get_running_loop().call_later(DELAY, self.other.reader.feed_data, raw)

    async def drain(self):
        """There is always room."""

    def abort(self):
        """Ends both sides."""
        if not self.shut:
            self.shut = self.other.shut = True
            asyncio.get_running_loop().call_later(DELAY, self.other.reader.feed_eof)

    close = abort

    def get_write_buffer_size(self):
        """Nothing waits to be written."""
        return 0

    def get_extra_info(self, name):
        """There is no socket."""


class Desk:
    """Stands for a controller: it is a member and feeds those that follow it."""

    def __init__(self, up, net, news):
        from sparloom.controller.shop import Shop

        self.up, self.net = up, net
        self.key = f"{up.ip}:{up.controller_port}"
        self.shop = Shop(up)
        self.shop.core = SimpleNamespace(
            ledger=SimpleNamespace(
                leading=lambda: True,
                sure_since=lambda now: now - now,
                register=SimpleNamespace(promised=1),
                primary=lambda: None,
                member=SimpleNamespace(id=0),
            )
        )
        for topic, blob in news.items():
            self.shop.put(topic, (1, 1), blob)

    async def start(self):
        """Listens."""
        peer = Peer(self.key, CONTROLLER, self.up.zone, "", 1, 0, 0)
        self.swim = Swim(
            peer,
            tuple(f"{s.host}:{self.up.controller_port}" for s in self.up.seeds),
            Times.of(self.up.bounds.contact),
            random.Random(self.key),
        )
        self.sock = await self.net.datagrams(self.up.ip, self.up.controller_port, self._arrive)
        await self.net.serve(self._pipe, sock=(self.up.ip, self.up.controller_port))
        self.net.track(self._beat())

    async def _beat(self):
        while True:
            self._out(self.swim.tick(steady()))
            await asyncio.sleep(0.04)

    def _arrive(self, src, rec):
        if isinstance(rec, (Ping, Ack, Relay)):
            self._out(self.swim.receive(steady(), src, rec))

    def _out(self, sends):
        for s in sends:
            self.sock.send(s.to, s.rec)

    async def _pipe(self, reader, end):
        frames = Frames(reader, end)
        await self.shop.serve(frames, await frames.read())


def startup(ip, zone, seeds, role="router"):
    """A node's startup, with the bounds of a grown deployment."""
    return from_dict(
        {
            "nodeName": ip,
            "role": role,
            "ipAddress": ip,
            "zone": zone,
            "internalPortRange": [7300, 7315],
            "seedNodes": [f"{s}:8262" for s in seeds],
            "listenAddresses": {"front": f"{ip}:1", "readiness": f"{ip}:2"}
            if role == "router"
            else {"control": f"{ip}:8262"},
            "bounds": {"contactMs": 4000, "retryBudgetSlack": 186},
            "toleratedLosses": {"machines": 2},
        }
    ).unwrap()


def news(runners, routers):
    """The feed's first states: a policy of one service and a list of runners."""
    import json
    import zlib

    from sparloom.platform import Runner, RunnerList
    from sparloom.wire import pack

    policy = {
        "revision": 1,
        "limits": {},
        "routes": [
            {
                "name": "r",
                "hostname": "h",
                "pathPrefix": "/",
                "routeKind": "safe",
                "timeoutMs": 4000,
                "targetMs": 400,
                "priority": 0,
                "service": "s",
                "maxAttempts": 2,
            }
        ],
        "services": [{"name": "s", "connectionLimit": 570, "engine": {"slots": 16, "cacheTokens": 378959}}],
    }
    listed = RunnerList(
        [
            Runner(f"i-{n:08x}", "s", f"10.9.{n // 250}.{n % 250}:8080", f"z{n % 5}", 16, False, 0)
            for n in range(runners)
        ],
        routers,
    )
    return {POLICY: zlib.compress(json.dumps(policy).encode(), 1), RUNNERS: zlib.compress(pack(listed), 1)}


async def _load(know, rng, rate, till):
    """Requests at a rate: each holds a slot for a while."""
    loop, tiers = asyncio.get_running_loop(), (Bucket(steady() * 0, 32),)

    async def one():
        posts = know.fleet.of("s")
        if not posts:
            return
        p, parts = rng.choice(posts), LONG_PARTS if rng.random() < LONG_SHARE else SHORT_PARTS
        parts = tuple((k * 100000 + rng.randrange(300), n) for k, n in parts)
        slot = know.counts.take(p.id, tiers, steady(), sum(n for _, n in parts))
        if slot:
            know.tell.sent(p, parts[:-1])
            await asyncio.sleep(rng.uniform(0.05, 0.15))
            know.tell.was_read(slot)
            await asyncio.sleep(rng.uniform(0.05, 0.15))
            slot.free(steady())

    while loop.time() < till:
        await asyncio.sleep(rng.expovariate(rate))
        asyncio.ensure_future(one())


def _luck(rng):
    """What stands for the routers' own luck, so that a seed plays the same again."""
    at = "sparloom.router."
    return (
        mock.patch(at + "know.random", SimpleNamespace(Random=lambda: random.Random(rng.random())), create=True),
        mock.patch(at + "tell.os", SimpleNamespace(urandom=rng.randbytes), create=True),
    )


async def _play(routers, runners, rate, seconds, settle, seed, controllers):
    from sparloom.router.know import Know

    rng = random.Random(seed)
    net, loop = Net(rng), asyncio.get_running_loop()
    seeds = [f"10.0.{i}.1" for i in range(controllers)][:3]
    desks = [
        Desk(startup(f"10.0.{i}.1", f"z{i % 5}", seeds, "controller"), net, news(runners, routers))
        for i in range(controllers)
    ]
    with ExitStack() as on:
        for p in (*net.patches(), *_luck(rng)):
            on.enter_context(p)
        knows = [Know(startup(f"10.{1 + i // 250}.{i % 250}.2", f"z{i % 5}", seeds)) for i in range(routers)]
        for n in (*desks, *knows):
            HOST.set(n.up.ip)
            await n.start()
        for k in knows:
            net.track(_load(k, rng, rate, settle + seconds))
        ready, seen = None, {}
        while loop.time() < settle:
            await asyncio.sleep(0.1)
            if ready is None and all(k.ready() for k in knows):
                ready = loop.time()
            least = min(k.nodes() for k in knows)
            seen.update(
                {
                    part: round(loop.time(), 1)
                    for part in (0.5, 0.9, 1.0)
                    if part not in seen and least >= part * routers
                }
            )
        before = {h: m.figures() for h, m in net.meters.items()}
        await asyncio.sleep(seconds)
        out = {
            "routers": routers,
            "ready_s": ready,
            "seen_s": seen,
            "followers": max(net.followers(d.up.ip) for d in desks),
            "router": _rates(net, before, [k.up.ip for k in knows], seconds),
            "controller": _rates(net, before, [d.up.ip for d in desks], seconds),
        }
        for k in knows:
            k._stopped.set()
        return out


def _rates(net, before, hosts, seconds):
    """Events and bytes a second and node, by name."""
    sums = {}
    for h in hosts:
        for name, (n, size) in net.meter(h).figures().items():
            was = before.get(h, {}).get(name, (0, 0))
            s = sums.setdefault(name, [0.0, 0.0])
            s[0] += (n - was[0]) / seconds / len(hosts)
            s[1] += (size - was[1]) / seconds / len(hosts)
    return {k: [round(a, 3), round(b, 1)] for k, (a, b) in sorted(sums.items())}


def play(routers, runners=None, rate=3.2, seconds=4.0, settle=12.0, seed=1, controllers=5):
    """Plays a fleet; gives what a router and a controller send and take a second, by kind of record.

    ``rate`` is requests a second and router, ``settle`` the simulated seconds
    before the count begins. Half as many runners as routers, if not told.
    """
    loop = Clocked()
    with mock.patch("sparloom.link.clock.time", SimpleNamespace(monotonic=loop.time)):
        try:
            asyncio.set_event_loop(loop)
            return loop.run_until_complete(
                _play(routers, runners or max(2, routers // 2), rate, seconds, settle, seed, controllers)
            )
        finally:
            for t in asyncio.all_tasks(loop):
                t.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
            asyncio.set_event_loop(None)
