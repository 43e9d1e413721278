"""A process that hosts many hollow routers over real sockets, and obeys the scale run.

It reads a command a line (JSON) from standard input and answers each with a
line; it ends when its input does.
"""

import asyncio
import json
import random
import sys
from ipaddress import ip_address

from absl import logging

from sparloom.membership import ALIVE, DEAD
from sparloom.settings import from_dict
from sparloom.transport import Datagrams, monotonic

from .simulated_router import HollowRouter, Load
from .tally import Tally, kind

STEP = 0.05


class _Counted:
    """A datagram transport that counts what goes out."""

    def __init__(self, transport, tally):
        self.transport, self.tally = transport, tally

    def sendto(self, raw, addr):
        self.tally.sent("all", kind(raw), len(raw))
        self.transport.sendto(raw, addr)

    def __getattr__(self, name):
        return getattr(self.transport, name)


def count(tally):
    """Counts all records that this process sends and takes, at its sockets.

    The counting is done inside the classes of the sockets, for the whole process and for good.
    """
    made, came = Datagrams.connection_made, Datagrams.datagram_received
    wrote, fed = asyncio.StreamWriter.write, asyncio.StreamReader.feed_data

    def connection_made(self, transport):
        made(self, _Counted(transport, tally))

    def datagram_received(self, data, addr):
        tally.received("all", len(data))
        came(self, data, addr)

    def write(self, data):
        tally.sent("all", kind(data, 4), len(data))
        wrote(self, data)

    def feed_data(self, data):
        tally.received("all", len(data))
        fed(self, data)

    Datagrams.connection_made, Datagrams.datagram_received = connection_made, datagram_received
    asyncio.StreamWriter.write, asyncio.StreamReader.feed_data = write, feed_data


class Host:
    """The hollow routers of this process, by address."""

    def __init__(self):
        self.tally, self.routers, self.told, self.late = Tally(), {}, {}, []
        self.load, self.luck = Load(), random.Random(1)
        self.suspect = self.dead = 0
        count(self.tally)

    async def start(self, startups, load, seed):
        """Starts routers, spread over two seconds."""
        self.load, self.luck = Load(**load), random.Random(seed)
        for d in startups:
            if not ip_address(d["ipAddress"]).is_loopback:
                raise ValueError(f"{d['ipAddress']} is no loopback address")
            self.told[d["ipAddress"]] = d
            await self._boot(d["ipAddress"])
            await asyncio.sleep(2.0 / len(startups))
        return len(self.routers)

    async def _boot(self, ip):
        r = self.routers[ip] = HollowRouter(from_dict(self.told[ip]).unwrap(), self.load, self.luck.random())
        await r.start()

    async def state(self, nodes):
        """How many are ready, and how many of these see all the routers."""
        ready = [r for r in self.routers.values() if r.ready()]
        return {
            "ready": len(ready),
            "whole": sum(r.fleet_size_divisor() == nodes for r in ready),
            "see": sorted({r.fleet_size_divisor() for r in ready}),
            "list": sorted({len(r.backends.by_id) for r in ready}),
        }

    async def kill(self, ips):
        """Routers end without a word; the time of it."""
        now = monotonic().total_seconds()
        for ip in ips:
            r = self.routers.pop(ip)
            r.datagrams.close()
            await r.stop()
        return now

    async def restart(self, ips):
        """Routers leave in order and come back in a new life; seconds until they were all ready."""
        begun = monotonic()
        for ip in ips:
            await self.routers.pop(ip).stop()
            await self._boot(ip)
        while not all(self.routers[ip].ready() for ip in ips) and (monotonic() - begun).total_seconds() < 30:
            await asyncio.sleep(STEP)
        return (monotonic() - begun).total_seconds()

    async def watch(self, keys, since, most, observers=8):
        """Seconds until some observers here believed each of the given gone."""
        seen, up = {}, self.luck.sample(list(self.routers.values()), min(observers, len(self.routers)))
        pairs = [(r, k) for r in up for k in keys]
        while (now := monotonic().total_seconds() - since) < most and len(seen) < len(pairs):
            for i, (r, k) in enumerate(pairs):
                e = r.swim.table.get(k)
                if i not in seen and (e is None or e.peer.state == DEAD):
                    seen[i] = round(now, 3)
            await asyncio.sleep(STEP)
        return [seen.get(i) for i in range(len(pairs))]

    async def seen(self, revision, since, most):
        """Seconds from a moment until each router here had a revision, or one after it."""

        def at(r):
            return min((t.total_seconds() for v, t in r.seen.items() if v >= revision), default=None)

        while monotonic().total_seconds() - since < most and any(at(r) is None for r in self.routers.values()):
            await asyncio.sleep(STEP / 2)
        return [None if at(r) is None else round(max(0.0, at(r) - since), 5) for r in self.routers.values()]

    async def listed(self, runner, since, most):
        """Seconds until all routers here had a runner in their list, or None."""
        while (now := monotonic().total_seconds() - since) < most:
            if all(runner in r.backends.by_id for r in self.routers.values()):
                return round(now, 3)
            await asyncio.sleep(STEP)
        return None

    async def figures(self):
        """What was sent and taken since the last question, lateness of timers, doubts, calls."""
        _, _, n, b = self.tally.node("all")
        out = {
            "kinds": self.tally.kinds(),
            "in": [n, b],
            "lateMs": round(1000 * max(self.late, default=0.0), 1),
            "suspect": self.suspect,
            "dead": self.dead,
            "calls": sum(r.calls for r in self.routers.values()),
            "refused": sum(r.refused for r in self.routers.values()),
            "nodes": len(self.routers),
        }
        self.tally.clear()
        self.late.clear()
        self.suspect = self.dead = 0
        return out

    async def check(self, running):
        """Counts beliefs of a few routers here that wrong a running one; every half second."""
        known = set(running)
        for r in self.luck.sample(list(self.routers.values()), min(4, len(self.routers))):
            states = [e.peer.state for k, e in r.swim.table.items() if k in known]
            self.suspect += sum(s not in (ALIVE, DEAD) for s in states)
            self.dead += sum(s == DEAD for s in states)

    async def beat(self):
        """Notes how late timers fire: a host that is late makes its routers late."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + STEP
            await asyncio.sleep(STEP)
            self.late.append(loop.time() - due)


async def serve():
    """Obeys until the input ends."""
    host, loop = Host(), asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    beat = asyncio.ensure_future(host.beat())

    async def one(id, what, args):
        try:
            ans = {"id": id, "ok": await getattr(host, what)(**args)}
        except Exception as e:  # noqa: BLE001 - told to the scale run, which ends
            ans = {"id": id, "bad": f"{type(e).__name__}: {e}"}
        print(json.dumps(ans), flush=True)

    tasks = set()
    while line := await reader.readline():
        d = json.loads(line)
        t = asyncio.ensure_future(one(d["id"], d["do"], d.get("args", {})))
        tasks.add(t)
        t.add_done_callback(tasks.discard)
    beat.cancel()


if __name__ == "__main__":
    logging.use_absl_handler()
    logging.set_verbosity(logging.ERROR)
    asyncio.run(serve())
