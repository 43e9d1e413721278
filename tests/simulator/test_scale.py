"""Tests of the scale run's parts, and a small point against the traffic bound in docs/CAPACITY.md."""

import asyncio
import os
import random
import re
import unittest

from simulator.fleet import Size
from simulator.plan import from_dict
from simulator.point import point
from simulator.simulated_router import Load
from simulator.virtual import HOST, START, Loop, NoPendingEventsError, end
from tests.support.paths import ROOT


def documented_bound():
    """The bound in docs/CAPACITY.md for the small point: messages and bytes of the mean and of the busiest node."""
    with open(os.path.join(ROOT, "docs", "CAPACITY.md"), encoding="utf-8") as file:
        match = re.search(
            r"bound of the quick point: ([\d,]+) messages and ([\d,]+) bytes .* mean, ([\d,]+) and ([\d,]+) .* busiest",
            file.read(),
        )
    return [int(group.replace(",", "")) for group in match.groups()]


class SmallPoint(unittest.TestCase):
    def test_traffic_of_25_nodes_stays_within_the_documented_bound(self):
        result = point(Size(nodes=25), Load(rate=2.0, hold=5.0), 1, seconds=3, changes=2, faults=False)
        rates = result["quiet"]["routers"]
        sent = [
            rates["meanOut"]["messages"],
            rates["meanOut"]["bytes"],
            rates["mostOut"]["messages"],
            rates["mostOut"]["bytes"],
        ]
        over = [(value, bound) for value, bound in zip(sent, documented_bound(), strict=False) if value > bound]
        self.assertEqual(over, [], "messages and bytes per node and second: mean, then busiest")
        self.assertEqual(result["change"]["delayMs"]["never"], 0)
        self.assertTrue(result["list"]["whole"])
        self.assertEqual((result["quiet"]["falselyDead"], result["quiet"]["tooLong"]), (0, 0))
        self.assertGreater(result["quiet"]["calls"], 0)

    def test_the_same_seed_gives_the_same_figures(self):
        results = [
            point(Size(nodes=4, runners=4, controllers=3, zones=2), seed=seed, seconds=1, changes=1)
            for seed in (3, 3, 4)
        ]
        for result in results:
            del result["emulatorCpuS"]
        self.assertEqual(results[0], results[1])
        self.assertNotEqual(results[0]["quiet"], results[2]["quiet"])


class RecordingProtocol(asyncio.DatagramProtocol):
    def __init__(self, received):
        self.received = received

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.received.append((data, addr))


class SimulatedLoop(unittest.TestCase):
    def setUp(self):
        self.loop = Loop(random.Random(1), lambda source, destination: 0.01)
        self.net = self.loop.net
        self.addCleanup(end, self.loop)

    def run_on(self, host, coroutine):
        async def run():
            HOST.set(host)
            return await coroutine

        return self.loop.run_until_complete(self.loop.create_task(run()))

    def open_endpoint(self, host, received):
        return self.run_on(
            host, self.loop.create_datagram_endpoint(lambda: RecordingProtocol(received), local_addr=(host, 1))
        )[1]

    def test_datagrams_arrive_after_the_link_delay_and_not_across_a_partition(self):
        received = []
        sender, _ = self.open_endpoint("a", []), self.open_endpoint("b", received)
        sender.transport.sendto(b"one", ("b", 1))
        self.assertEqual(received, [])
        self.loop.run_until_complete(asyncio.sleep(0.05))
        self.assertEqual(received, [(b"one", ("a", 1))])
        self.net.cut(["a"], ["b"])
        sender.transport.sendto(b"two", ("b", 1))
        self.loop.run_until_complete(asyncio.sleep(0.05))
        self.assertEqual((len(received), self.net.tally.lost, self.net.tally.node("a")[:2]), (1, 1, (2, 6)))

    def test_a_datagram_over_the_maximum_size_is_not_sent(self):
        received = []
        sender, _ = self.open_endpoint("a", []), self.open_endpoint("b", received)
        sender.transport.sendto(bytes(65508), ("b", 1))
        self.loop.run_until_complete(asyncio.sleep(0.05))
        self.assertEqual((received, self.net.tally.long), ([], 1))

    def serve(self, host, port):
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)

        return self.run_on(host, asyncio.start_server(echo, host, port))

    def test_a_connection_delivers_bytes_in_order_and_closes(self):
        self.serve("b", 5)

        async def exchange():
            reader, writer = await asyncio.open_connection("b", 5)
            for i in range(50):
                writer.write(bytes([i]))
            echoed = await reader.readexactly(50)
            writer.close()
            return echoed, await reader.read()

        echoed, rest = self.run_on("a", exchange())
        self.assertEqual((echoed, rest), (bytes(range(50)), b""))

    def test_connecting_is_refused_without_a_listener_and_times_out_at_a_failed_host(self):
        with self.assertRaises(ConnectionRefusedError):
            self.run_on("a", asyncio.open_connection("b", 6))
        self.net.off.add("b")
        with self.assertRaises(TimeoutError):
            self.run_on("a", asyncio.wait_for(asyncio.open_connection("b", 5), 30))

    def test_writing_to_a_failed_host_resets_the_connection(self):
        self.serve("b", 5)

        async def exchange():
            reader, writer = await asyncio.open_connection("b", 5)
            self.net.off.add("b")
            writer.write(b"x")
            try:
                await reader.read()
            except ConnectionResetError:
                return self.loop.time() - START

        self.assertLess(self.run_on("a", exchange()), 3)

    def test_waiting_without_pending_events_raises(self):
        with self.assertRaises(NoPendingEventsError):
            self.loop.run_until_complete(self.loop.create_future())


class PlanValidation(unittest.TestCase):
    def assert_invalid(self, document, text):
        self.assertIn(text, from_dict(document).failure())

    def test_error_messages_name_the_fault(self):
        self.assert_invalid({}, "points")
        self.assert_invalid({"points": []}, "at least one")
        self.assert_invalid({"points": [{"nodes": 2001}]}, "1 to 2000")
        self.assert_invalid({"points": [{"nodes": 5, "zonez": 1}]}, "zonez")
        self.assert_invalid({"points": [{"nodes": 5}], "changes": {"perS": 0}}, "above 0")
        self.assert_invalid({"points": [{"nodes": 5}], "seed": True}, "whole number")
        self.assert_invalid({"points": [{"nodes": 1}], "realRouters": 2}, "fewer than realRouters")

    def test_every_plan_in_the_repository_is_valid(self):
        import tomllib

        folder = os.path.join(ROOT, "simulator", "plans")
        for name in sorted(os.listdir(folder)):
            with self.subTest(name), open(os.path.join(folder, name), "rb") as file:
                self.assertTrue(from_dict(tomllib.load(file)).unwrap().sizes)

    def test_addresses_stay_on_loopback(self):
        size = Size(nodes=2000, controllers=9)
        addresses = {size.router(i) for i in range(2000)} | {size.controller(i) for i in range(9)}
        self.assertEqual(len(addresses), 2009)
        self.assertTrue(all(address.startswith("127.") for address in addresses))


class FitAndChildren(unittest.TestCase):
    def test_a_curve_is_not_called_straight(self):
        from simulator.report import Fit

        self.assertTrue(Fit.of([25, 50, 100], [30, 55, 104]).straight)
        self.assertFalse(Fit.of([25, 50, 100, 200], [25, 100, 400, 1600]).straight)
        self.assertFalse(Fit.of([25, 50], [1, 2]).straight, "two sizes are too few for a straight curve")
        self.assertIsNone(Fit.of([25, 25], [1, 2]))

    def test_no_child_process_outlives_its_point(self):
        import tempfile

        import psutil

        from simulator.children import Children

        async def start_and_stop(folder):
            children = Children(folder, 2)
            host = await children.start("hollow", ["simulator.host"], takes_commands=True)
            other = await children.start("idle", ["asyncio"])
            with self.assertRaises(RuntimeError):
                await children.start("hollow", ["simulator.host"])
            self.assertEqual((await host.request("figures"))["nodes"], 0)
            with self.assertRaises(RuntimeError):
                await host.request("start", startups=[{"ipAddress": "10.0.0.1"}], load={}, seed=1)
            pids = [host.process.pid, other.process.pid]
            await children.stop_all()
            return pids

        with tempfile.TemporaryDirectory() as folder:
            pids = asyncio.run(start_and_stop(folder))
        self.assertFalse(any(psutil.pid_exists(pid) for pid in pids))
