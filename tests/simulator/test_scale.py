"""The emulator's own parts, and a quick point of the scale run against the page's bound."""

import asyncio
import os
import random
import re
import unittest

from simulator.fleet import Size
from simulator.plan import from_dict
from simulator.point import point
from simulator.simulated_router import Load
from simulator.virtual import HOST, START, Loop, Stuck, end
from tests.support.paths import ROOT


def bound():
    """The bound that docs/CAPACITY.md states for the quick point: mean and busiest, messages and bytes."""
    with open(os.path.join(ROOT, "docs", "CAPACITY.md"), encoding="utf-8") as f:
        got = re.search(
            r"bound of the quick point: ([\d,]+) messages and ([\d,]+) bytes .* mean, ([\d,]+) and ([\d,]+) .* busiest",
            f.read(),
        )
    return [int(g.replace(",", "")) for g in got.groups()]


class Quick(unittest.TestCase):
    def test_25_nodes_stay_under_the_bound_that_the_page_states(self):
        p = point(Size(nodes=25), Load(rate=2.0, hold=5.0), 1, seconds=3, changes=2, troubles=False)
        q = p["quiet"]["routers"]
        sent = [q["meanOut"]["messages"], q["meanOut"]["bytes"], q["mostOut"]["messages"], q["mostOut"]["bytes"]]
        over = [(s, b) for s, b in zip(sent, bound(), strict=False) if s > b]
        self.assertEqual(over, [], "messages and bytes a node and second: mean, then busiest")
        self.assertEqual(p["change"]["delayMs"]["never"], 0)
        self.assertTrue(p["list"]["whole"])
        self.assertEqual((p["quiet"]["falselyDead"], p["quiet"]["tooLong"]), (0, 0))
        self.assertGreater(p["quiet"]["calls"], 0)

    def test_the_same_seed_gives_the_same_figures(self):
        some = [
            point(Size(nodes=4, runners=4, controllers=3, zones=2), seed=s, seconds=1, changes=1) for s in (3, 3, 4)
        ]
        for p in some:
            del p["emulatorCpuS"]
        self.assertEqual(some[0], some[1])
        self.assertNotEqual(some[0]["quiet"], some[2]["quiet"])


class Echo(asyncio.DatagramProtocol):
    def __init__(self, got):
        self.got = got

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.got.append((data, addr))


class Virtual(unittest.TestCase):
    def setUp(self):
        self.loop = Loop(random.Random(1), lambda a, b: 0.01)
        self.net = self.loop.net
        self.addCleanup(end, self.loop)

    def run_on(self, host, coro):
        async def go():
            HOST.set(host)
            return await coro

        return self.loop.run_until_complete(self.loop.create_task(go()))

    def open(self, host, got):
        return self.run_on(host, self.loop.create_datagram_endpoint(lambda: Echo(got), local_addr=(host, 1)))[1]

    def test_datagrams_arrive_later_and_not_through_a_cut(self):
        got = []
        a, _ = self.open("a", []), self.open("b", got)
        a.transport.sendto(b"one", ("b", 1))
        self.assertEqual(got, [])
        self.loop.run_until_complete(asyncio.sleep(0.05))
        self.assertEqual(got, [(b"one", ("a", 1))])
        self.net.cut(["a"], ["b"])
        a.transport.sendto(b"two", ("b", 1))
        self.loop.run_until_complete(asyncio.sleep(0.05))
        self.assertEqual((len(got), self.net.tally.lost, self.net.tally.node("a")[:2]), (1, 1, (2, 6)))

    def test_a_datagram_too_long_is_not_sent(self):
        got = []
        a, _ = self.open("a", []), self.open("b", got)
        a.transport.sendto(bytes(65508), ("b", 1))
        self.loop.run_until_complete(asyncio.sleep(0.05))
        self.assertEqual((got, self.net.tally.long), ([], 1))

    def serve(self, host, port):
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)

        return self.run_on(host, asyncio.start_server(echo, host, port))

    def test_a_connection_carries_bytes_in_order_and_ends(self):
        self.serve("b", 5)

        async def talk():
            reader, writer = await asyncio.open_connection("b", 5)
            for i in range(50):
                writer.write(bytes([i]))
            got = await reader.readexactly(50)
            writer.close()
            return got, await reader.read()

        got, rest = self.run_on("a", talk())
        self.assertEqual((got, rest), (bytes(range(50)), b""))

    def test_nobody_there_refuses_and_a_lost_machine_hangs(self):
        with self.assertRaises(ConnectionRefusedError):
            self.run_on("a", asyncio.open_connection("b", 6))
        self.net.off.add("b")
        with self.assertRaises(TimeoutError):
            self.run_on("a", asyncio.wait_for(asyncio.open_connection("b", 5), 30))

    def test_writing_to_a_lost_machine_breaks_off(self):
        self.serve("b", 5)

        async def talk():
            reader, writer = await asyncio.open_connection("b", 5)
            self.net.off.add("b")
            writer.write(b"x")
            try:
                await reader.read()
            except ConnectionResetError:
                return self.loop.time() - START

        self.assertLess(self.run_on("a", talk()), 3)

    def test_waiting_for_nothing_is_told(self):
        with self.assertRaises(Stuck):
            self.loop.run_until_complete(self.loop.create_future())


class Plans(unittest.TestCase):
    def refused(self, d, text):
        self.assertIn(text, from_dict(d).failure())

    def test_faults_are_named(self):
        self.refused({}, "points")
        self.refused({"points": []}, "at least one")
        self.refused({"points": [{"nodes": 2001}]}, "1 to 2000")
        self.refused({"points": [{"nodes": 5, "zonez": 1}]}, "zonez")
        self.refused({"points": [{"nodes": 5}], "changes": {"perS": 0}}, "above 0")
        self.refused({"points": [{"nodes": 5}], "seed": True}, "whole number")
        self.refused({"points": [{"nodes": 1}], "realRouters": 2}, "fewer than realRouters")

    def test_every_plan_of_the_repository_is_sound(self):
        import tomllib

        folder = os.path.join(ROOT, "simulator", "plans")
        for name in sorted(os.listdir(folder)):
            with self.subTest(name), open(os.path.join(folder, name), "rb") as f:
                self.assertTrue(from_dict(tomllib.load(f)).unwrap().sizes)

    def test_addresses_stay_on_loopback(self):
        size = Size(nodes=2000, controllers=9)
        every = {size.router(i) for i in range(2000)} | {size.controller(i) for i in range(9)}
        self.assertEqual(len(every), 2009)
        self.assertTrue(all(a.startswith("127.") for a in every))


class Tools(unittest.TestCase):
    def test_a_bent_curve_is_called_so(self):
        from simulator.report import Fit

        self.assertTrue(Fit.of([25, 50, 100], [30, 55, 104]).straight)
        self.assertFalse(Fit.of([25, 50, 100, 200], [25, 100, 400, 1600]).straight)
        self.assertFalse(Fit.of([25, 50], [1, 2]).straight, "two sizes show no line")
        self.assertIsNone(Fit.of([25, 25], [1, 2]))

    def test_no_child_outlives_its_point(self):
        import tempfile

        import psutil

        from simulator.children import Children

        async def go(folder):
            kids = Children(folder, 2)
            host = await kids.start("hollow", ["simulator.host"], asked=True)
            other = await kids.start("idle", ["asyncio"])
            with self.assertRaises(RuntimeError):
                await kids.start("hollow", ["simulator.host"])
            self.assertEqual((await host.ask("figures"))["nodes"], 0)
            with self.assertRaises(RuntimeError):
                await host.ask("start", startups=[{"ipAddress": "10.0.0.1"}], load={}, seed=1)
            pids = [host.proc.pid, other.proc.pid]
            await kids.end()
            return pids

        with tempfile.TemporaryDirectory() as folder:
            pids = asyncio.run(go(folder))
        self.assertFalse(any(psutil.pid_exists(p) for p in pids))
