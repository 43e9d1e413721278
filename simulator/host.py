"""Hosts many simulated routers in one process, over real sockets, for the scale run.

The process reads one JSON command per line from standard input and writes one
JSON reply per line to standard output. It ends when its input ends.
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

from .simulated_router import Load, SimulatedRouter
from .tally import Tally, kind

POLL_INTERVAL_S = 0.05


class _CountingTransport:
    """A datagram transport that counts the datagrams sent."""

    def __init__(self, transport, tally):
        self.transport, self.tally = transport, tally

    def sendto(self, raw, addr):
        self.tally.sent("all", kind(raw), len(raw))
        self.transport.sendto(raw, addr)

    def __getattr__(self, name):
        return getattr(self.transport, name)


def count_traffic(tally):
    """Counts all messages that this process sends and receives on its sockets.

    Patches the socket classes for the whole process; the patch is never undone.
    """
    original_connection_made, original_datagram_received = Datagrams.connection_made, Datagrams.datagram_received
    original_write, original_feed_data = asyncio.StreamWriter.write, asyncio.StreamReader.feed_data

    def connection_made(self, transport):
        original_connection_made(self, _CountingTransport(transport, tally))

    def datagram_received(self, data, addr):
        tally.received("all", len(data))
        original_datagram_received(self, data, addr)

    def write(self, data):
        tally.sent("all", kind(data, 4), len(data))
        original_write(self, data)

    def feed_data(self, data):
        tally.received("all", len(data))
        original_feed_data(self, data)

    Datagrams.connection_made, Datagrams.datagram_received = connection_made, datagram_received
    asyncio.StreamWriter.write, asyncio.StreamReader.feed_data = write, feed_data


class Host:
    """The simulated routers of this process, by address; its public methods are the commands."""

    def __init__(self):
        self.tally, self.routers, self.startups, self.timer_delays_s = Tally(), {}, {}, []
        self.load, self.rng = Load(), random.Random(1)
        self.suspected = self.dead = 0
        count_traffic(self.tally)

    async def start(self, startups, load, seed):
        """Starts routers, spread over two seconds; gives the number of routers."""
        self.load, self.rng = Load(**load), random.Random(seed)
        for startup in startups:
            if not ip_address(startup["ipAddress"]).is_loopback:
                raise ValueError(f"{startup['ipAddress']} is not a loopback address")
            self.startups[startup["ipAddress"]] = startup
            await self._boot(startup["ipAddress"])
            await asyncio.sleep(2.0 / len(startups))
        return len(self.routers)

    async def _boot(self, ip):
        router = self.routers[ip] = SimulatedRouter(from_dict(self.startups[ip]).unwrap(), self.load, self.rng.random())
        await router.start()

    async def state(self, nodes):
        """The number of ready routers, and how many of these know all ``nodes`` routers."""
        ready = [router for router in self.routers.values() if router.ready()]
        return {
            "ready": len(ready),
            "whole": sum(router.fleet_size_divisor() == nodes for router in ready),
            "see": sorted({router.fleet_size_divisor() for router in ready}),
            "list": sorted({len(router.backends.by_id) for router in ready}),
        }

    async def kill(self, ips):
        """Stops routers without a leave notice; gives the time at which it began."""
        now = monotonic().total_seconds()
        for ip in ips:
            router = self.routers.pop(ip)
            router.datagrams.close()
            await router.stop()
        return now

    async def restart(self, ips):
        """Restarts routers gracefully, as new incarnations; gives the seconds until all were ready, at most 30."""
        started = monotonic()
        for ip in ips:
            await self.routers.pop(ip).stop()
            await self._boot(ip)
        while not all(self.routers[ip].ready() for ip in ips) and (monotonic() - started).total_seconds() < 30:
            await asyncio.sleep(POLL_INTERVAL_S)
        return (monotonic() - started).total_seconds()

    async def watch(self, keys, since, within_s, observers=8):
        """Seconds from ``since`` until each of some observers here removed each key or believed it dead."""
        detected, sample = {}, self.rng.sample(list(self.routers.values()), min(observers, len(self.routers)))
        pairs = [(router, key) for router in sample for key in keys]
        while (elapsed_s := monotonic().total_seconds() - since) < within_s and len(detected) < len(pairs):
            for i, (router, key) in enumerate(pairs):
                entry = router.swim.table.get(key)
                if i not in detected and (entry is None or entry.peer.state == DEAD):
                    detected[i] = round(elapsed_s, 3)
            await asyncio.sleep(POLL_INTERVAL_S)
        return [detected.get(i) for i in range(len(pairs))]

    async def seen(self, revision, since, within_s):
        """Seconds from ``since`` until each router here applied a revision or a later one; None if not within ``within_s``."""

        def applied_at(router):
            return min(
                (time.total_seconds() for number, time in router.revision_times.items() if number >= revision),
                default=None,
            )

        while monotonic().total_seconds() - since < within_s and any(
            applied_at(router) is None for router in self.routers.values()
        ):
            await asyncio.sleep(POLL_INTERVAL_S / 2)
        return [
            None if applied_at(router) is None else round(max(0.0, applied_at(router) - since), 5)
            for router in self.routers.values()
        ]

    async def listed(self, runner, since, within_s):
        """Seconds from ``since`` until all routers here had a runner in their list; None if not within ``within_s``."""
        while (elapsed_s := monotonic().total_seconds() - since) < within_s:
            if all(runner in router.backends.by_id for router in self.routers.values()):
                return round(elapsed_s, 3)
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def figures(self):
        """Traffic, timer delays, false suspicions and calls; traffic, delays and suspicions start again at zero."""
        _, _, messages, size = self.tally.node("all")
        figures = {
            "kinds": self.tally.kinds(),
            "in": [messages, size],
            "lateMs": round(1000 * max(self.timer_delays_s, default=0.0), 1),
            "suspect": self.suspected,
            "dead": self.dead,
            "calls": sum(router.calls for router in self.routers.values()),
            "refused": sum(router.rejected for router in self.routers.values()),
            "nodes": len(self.routers),
        }
        self.tally.clear()
        self.timer_delays_s.clear()
        self.suspected = self.dead = 0
        return figures

    async def check(self, running):
        """Counts the running routers that up to four routers here suspect or believe dead; called every half second."""
        running_keys = set(running)
        for router in self.rng.sample(list(self.routers.values()), min(4, len(self.routers))):
            states = [entry.peer.state for key, entry in router.swim.table.items() if key in running_keys]
            self.suspected += sum(state not in (ALIVE, DEAD) for state in states)
            self.dead += sum(state == DEAD for state in states)

    async def beat(self):
        """Records how late timers fire; an overloaded host delays its routers."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + POLL_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            self.timer_delays_s.append(loop.time() - due)


async def serve():
    """Runs commands until standard input ends."""
    host, loop = Host(), asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    timer_check = asyncio.ensure_future(host.beat())

    async def run_command(request_id, command, args):
        try:
            reply = {"id": request_id, "ok": await getattr(host, command)(**args)}
        except Exception as e:  # noqa: BLE001 - reported to the scale run, which ends
            reply = {"id": request_id, "bad": f"{type(e).__name__}: {e}"}
        print(json.dumps(reply), flush=True)

    tasks = set()
    while line := await reader.readline():
        message = json.loads(line)
        task = asyncio.ensure_future(run_command(message["id"], message["do"], message.get("args", {})))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    timer_check.cancel()


if __name__ == "__main__":
    logging.use_absl_handler()
    logging.set_verbosity(logging.ERROR)
    asyncio.run(serve())
