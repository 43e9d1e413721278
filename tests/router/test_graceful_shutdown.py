"""Graceful shutdown: every request that the router has read is answered, refused, or aborted within the rules."""

import asyncio
import random
import unittest
from datetime import timedelta

from simulator.clients import Client, PlannedShutdown, Tally
from simulator.virtual import world
from tests.support.router_fixture import POLICY, RouterFixture, route

LONG_TIMEOUT = {**POLICY, "routes": [route("once", "/once/", timeoutMs=20000, gapTargetMs=20000)]}
GRACE = timedelta(seconds=8)
STEP_S = 0.05


class GracefulShutdown(unittest.TestCase):
    """Each scenario has its own simulated world; SIGTERM arrives one second after its start."""

    def run_scenario(self, scenario, runners=2, turn=0.0):
        """Run a scenario while a router shuts down; return the tally of its requests."""
        with world(1, turn=turn) as loop:
            return loop.run_until_complete(self._run_scenario(scenario, runners))

    async def _run_scenario(self, scenario, runners):
        self.loop = asyncio.get_running_loop()
        self.tally = Tally()
        async with RouterFixture(runners, LONG_TIMEOUT) as self.rig:
            self.sigterm_at = self.loop.time() + 1.0
            self.planned_end = PlannedShutdown(self.sigterm_at, GRACE)
            tasks = [asyncio.ensure_future(coroutine) for coroutine in (scenario(), self._run_router())]
            async with asyncio.timeout(60):
                await asyncio.gather(*tasks)
        return self.tally

    async def _run_router(self):
        await self.sleep_until(0.0)
        await self.rig.front.drain()
        await self.rig.front.on_stop()
        self.stopped_after = self.loop.time() - self.sigterm_at

    async def sleep_until(self, after_sigterm):
        """Sleep until a time in seconds after SIGTERM."""
        await asyncio.sleep(max(0.0, self.sigterm_at + after_sigterm - self.loop.time()))

    async def connect(self):
        return await Client.connect("127.0.0.1", self.rig.port)

    async def send(self, client, path="/once/x", id="a1", **options):
        """Send one request and count it in the tally."""
        outcome = await client.send(path, id, **options)
        forwarded = any(
            request.head("X-Sparloom-Attempt-Id") == id for runner in self.rig.runners for request in runner.received
        )
        self.tally.add(outcome, forwarded, self.planned_end)
        return outcome

    def set_behavior(self, behavior, silence=1.0):
        for runner in self.rig.runners:
            runner.script, runner.delay_s = [behavior] * 99, silence

    # -- requests at any time of the shutdown --------------------------------
    def send_at(self, time, behavior="late", silence=1.5, reuse=True, turn=0.0, **options):
        """Run a scenario with one request at a time after SIGTERM, by default on a reused connection."""

        async def scenario():
            client = await self.connect()
            if reuse:
                await self.send(client, id="before")
            self.set_behavior(behavior, silence)
            await self.sleep_until(time)
            if client.open:
                await self.send(client, id="late", **options)

        return self.run_scenario(scenario, turn=turn)

    def test_request_on_a_reused_connection_is_answered_or_refused(self):
        for step in range(-20, 170):
            with self.subTest(time=step * STEP_S):
                self.assertEqual(self.send_at(step * STEP_S).lost, [])

    def test_busy_event_loop_while_the_last_connections_close(self):
        for step in range(200):
            time = 2.4 + step * 0.004
            with self.subTest(time=time):
                self.assertEqual(self.send_at(time, turn=0.004).lost, [])

    def block_loop_at(self, time, seconds):
        """Run a scenario in which the event loop is blocked while several clients send on reused connections."""

        async def client(number):
            connection = await self.connect()
            await self.send(connection, id=f"before-{number}")
            # All requests are read at the same time, when the loop resumes.
            await self.sleep_until(time - 0.0004 + number * 0.0001)
            if connection.open:
                await self.send(connection, id=f"late-{number}")

        async def scenario():
            clients = [asyncio.ensure_future(client(number)) for number in range(4)]
            await self.sleep_until(0.5)
            self.set_behavior("still", 0.2)
            await self.sleep_until(time)
            self.loop.now += seconds
            await asyncio.gather(*clients)

        return self.run_scenario(scenario)

    def test_blocked_event_loop_at_any_time_of_the_shutdown(self):
        """Regression: two streams were cut 2.87 s after SIGTERM.

        Both requests had been read in one turn of the event loop, which had been blocked for 80 ms.
        """
        for step in range(50):
            for seconds in (0.05, 0.1):
                time = 2.5 + step * 0.01
                with self.subTest(time=time, seconds=seconds):
                    self.assertEqual(self.block_loop_at(time, seconds).lost, [])

    def test_request_of_several_packets(self):
        for step in range(-20, 170, 3):
            with self.subTest(time=step * STEP_S):
                self.assertEqual(self.send_at(step * STEP_S, pause=0.3).lost, [])

    def test_unanswered_request_is_aborted_only_at_the_end_of_the_grace_period(self):
        for step in range(-20, 170, 3):
            with self.subTest(time=step * STEP_S):
                self.assertEqual(self.send_at(step * STEP_S, silence=30, left_ms=10000).lost, [])

    def test_endless_stream(self):
        for step in range(-20, 170, 3):
            with self.subTest(time=step * STEP_S):
                self.assertEqual(self.send_at(step * STEP_S, "still", silence=30, left_ms=10000).lost, [])

    def test_request_with_a_late_deadline_is_refused_at_once(self):
        async def scenario():
            client = await self.connect()
            self.set_behavior("still", 4.0)
            await self.sleep_until(-0.5)
            await self.send(client, id="taken", left_ms=9000)
            await self.send(client, id="late", left_ms=5000)

        tally = self.run_scenario(scenario)
        self.assertEqual([outcome.id for outcome in tally.answered], ["taken"])
        self.assertEqual([outcome.refused for outcome in tally.refused], [True])
        late = tally.refused[0]
        self.assertLess(late.ended - late.sent, 0.05)
        self.assertTrue(late.closes)

    def test_request_with_an_early_deadline_is_still_served(self):
        async def scenario():
            client = await self.connect()
            self.set_behavior("still", 4.0)
            await self.sleep_until(-0.5)
            await self.send(client, id="first", left_ms=9000)
            self.set_behavior("late", 0.4)
            await self.send(client, id="brief", left_ms=2000)

        self.assertEqual([outcome.id for outcome in self.run_scenario(scenario).answered], ["first", "brief"])

    def test_new_connections_are_refused(self):
        async def scenario():
            self.set_behavior("still", 4.0)
            await self.sleep_until(2.0)
            first = asyncio.ensure_future(self.send(await self.connect(), id="first", left_ms=9000))
            await self.sleep_until(3.0)
            with self.assertRaises(ConnectionRefusedError):
                await self.connect()
            await first

        self.assertEqual([outcome.id for outcome in self.run_scenario(scenario).answered], ["first"])

    # -- connections ----------------------------------------------------------
    def test_next_request_after_a_stream_in_progress(self):
        async def scenario(length):
            client = await self.connect()
            self.set_behavior("still", length)
            await self.sleep_until(-0.5)
            for i in range(20):
                if client.open:
                    await self.send(client, id=f"r{i}")

        for tenths in range(1, 80, 4):
            with self.subTest(length=tenths / 10):
                self.assertEqual(self.run_scenario(lambda tenths=tenths: scenario(tenths / 10)).lost, [])

    def test_busy_clients_on_reused_and_new_connections(self):
        async def client(number):
            connection = await self.connect()
            for i in range(200):
                await asyncio.sleep(0.03 + 0.011 * number)
                if not connection.open:
                    try:
                        connection = await self.connect()
                    except ConnectionRefusedError:
                        return
                await self.send(connection, id=f"c{number}-{i}")

        async def scenario():
            self.set_behavior("late", 0.3)
            await asyncio.gather(*(client(number) for number in range(12)))

        tally = self.run_scenario(scenario)
        self.assertEqual(tally.lost, [])
        self.assertGreater(len(tally.answered), 100)

    def test_random_clients_with_various_link_and_loop_delays(self):
        for seed, (delay, turn) in enumerate(((0.0005, 0.0), (0.02, 0.002), (0.05, 0.006)) * 6):
            with (
                self.subTest(seed=seed, delay=delay, turn=turn),
                world(seed, lambda source, target, delay=delay: delay, turn=turn) as loop,
            ):
                rng = random.Random(seed)
                tally = loop.run_until_complete(self._run_scenario(lambda rng=rng: self._run_random_clients(rng), 2))
                self.assertEqual(tally.lost, [])
                self.assertLess(self.stopped_after, GRACE.total_seconds())

    async def _run_random_clients(self, rng):
        for runner in self.rig.runners:
            runner.script = rng.choices(("late", "still", "ok", "shed"), k=2000)
            runner.delay_s = rng.uniform(0.2, 2.5)
        await asyncio.gather(*(self._run_random_client(rng, number) for number in range(14)))

    async def _run_random_client(self, rng, number):
        client, count = await self.connect(), 0
        while self.loop.time() < self.sigterm_at + GRACE.total_seconds():
            await asyncio.sleep(rng.random() * 0.4)
            if not client.open:
                try:
                    client = await self.connect()
                except ConnectionRefusedError:
                    return
            count += 1
            left_ms = rng.choice((800, 2000, 5000, 10000))
            await self.send(client, id=f"c{number}-{count}", left_ms=left_ms, pause=rng.choice((0, 0, 0.05)))

    def test_idle_connections_are_closed_before_the_process_ends(self):
        async def scenario():
            client = await self.connect()
            await self.send(client)
            await client.wait_until_closed()
            self.closed_after = self.loop.time() - self.sigterm_at

        self.run_scenario(scenario)
        self.assertLess(2.0, self.closed_after)
        self.assertLessEqual(self.closed_after, self.stopped_after)
        self.assertLess(self.stopped_after, 3.5)

    def test_connection_is_idle_after_a_refusal(self):
        async def scenario():
            client = await self.connect()
            self.rig.state.configuration, policy = None, self.rig.state.configuration
            self.assertEqual((await client.send("/once/x", "a1", pause=0.01)).status, 503)
            self.rig.state.configuration = policy
            self.assertEqual((await client.send("/none/", "a2", pause=0.01)).status, 404)
            self.assertEqual([connection.is_idle for connection in self.rig.front.client_server.connections], [True])

        self.run_scenario(scenario)
        self.assertLess(self.stopped_after, 3.2)

    def test_partial_request_head_is_not_idle_but_does_not_delay_the_shutdown(self):
        async def scenario():
            client = await self.connect()
            client.writer.write(b"POST /once/x HTTP/1.1\r\nHost: h.ex")
            await self.sleep_until(0.1)
            self.assertEqual([connection.is_idle for connection in self.rig.front.client_server.connections], [False])
            await client.wait_until_closed()

        self.run_scenario(scenario)
        self.assertLess(self.stopped_after, GRACE.total_seconds())

    def test_idle_connection_is_closed_by_the_current_timeout(self):
        async def scenario():
            client = await self.connect()
            await self.send(client)
            server = self.rig.front.client_server
            server.idle_timeout = lambda: timedelta(seconds=0.4)
            await asyncio.sleep(0.3)
            server.close_expired()
            await asyncio.sleep(0.01)
            self.assertEqual(len(server.connections), 1)
            await asyncio.sleep(0.2)
            server.close_expired()
            await client.wait_until_closed()

        self.run_scenario(scenario)

    def test_queued_requests_are_refused_before_the_process_ends(self):
        async def scenario():
            self.set_behavior("late", 30)
            await self.sleep_until(1.0)
            clients = [await self.connect() for _ in range(40)]
            await asyncio.gather(*(self.send(client, id=f"w{i}", left_ms=20000) for i, client in enumerate(clients)))

        tally = self.run_scenario(scenario)
        self.assertEqual(tally.lost, [])
        self.assertLess(self.stopped_after, GRACE.total_seconds())

    def test_request_in_flight_on_an_unlisted_connection_delays_the_shutdown(self):
        async def scenario():
            self.set_behavior("late", 4.5)
            client = await self.connect()
            request = asyncio.ensure_future(self.send(client, id="unlisted", left_ms=9000))
            await self.sleep_until(1.0)
            self.rig.front.client_server._connections.clear()
            await request

        tally = self.run_scenario(scenario)
        self.assertEqual((len(tally.answered), tally.lost), (1, []))
        self.assertGreater(self.stopped_after, 3.4)

    def test_shutdown_without_requests_is_fast(self):
        async def scenario():
            pass

        self.run_scenario(scenario)
        self.assertLess(self.stopped_after, 3.2)
