"""A graceful shutdown: every request that the router has read is answered, refused, or rightly aborted."""

import asyncio
import random
import unittest
from datetime import timedelta

from simulator.clients import Client, PlannedEnd, Tally
from simulator.virtual import world
from tests.support.router_fixture import POLICY, Rig, route

LONG = {**POLICY, "routes": [route("once", "/once/", timeoutMs=20000, gapTargetMs=20000)]}
GRACE = timedelta(seconds=8)
STEP = 0.05


class Drain(unittest.TestCase):
    """Each play has a world of its own; SIGTERM comes one second after its start."""

    def play(self, story, runners=2, turn=0.0):
        """Runs a story beside a router that ends; gives the tally of its requests."""
        with world(1, turn=turn) as loop:
            return loop.run_until_complete(self._play(story, runners))

    async def _play(self, story, runners):
        self.loop = asyncio.get_running_loop()
        self.tally = Tally()
        async with Rig(runners, LONG) as self.rig:
            self.term = self.loop.time() + 1.0
            self.end = PlannedEnd(self.term, GRACE)
            parts = [asyncio.ensure_future(part) for part in (story(), self._router())]
            async with asyncio.timeout(60):
                await asyncio.gather(*parts)
        return self.tally

    async def _router(self):
        await self.until(0.0)
        await self.rig.front.drain()
        await self.rig.front.on_stop()
        self.ended = self.loop.time() - self.term

    async def until(self, after_term):
        """Waits for a moment, in seconds after SIGTERM."""
        await asyncio.sleep(max(0.0, self.term + after_term - self.loop.time()))

    async def client(self):
        return await Client.connect("127.0.0.1", self.rig.port)

    async def ask(self, client, path="/once/x", id="a1", **kw):
        """One request, counted in the tally."""
        outcome = await client.send(path, id, **kw)
        passed_on = any(got.head("X-Sparloom-Attempt-Id") == id for r in self.rig.runners for got in r.got)
        self.tally.add(outcome, passed_on, self.end)
        return outcome

    def script(self, word, silence=1.0):
        for runner in self.rig.runners:
            runner.script, runner.silence = [word] * 99, silence

    # -- a request at every moment -------------------------------------------
    def at(self, moment, word="late", silence=1.5, before=True, turn=0.0, **kw):
        """A play with one request at a moment after SIGTERM, on a connection that was used before."""

        async def story():
            client = await self.client()
            if before:
                await self.ask(client, id="before")
            self.script(word, silence)
            await self.until(moment)
            if client.open:
                await self.ask(client, id="late", **kw)

        return self.play(story, turn=turn)

    def test_a_request_at_any_moment_on_a_kept_connection_is_answered_or_refused(self):
        for step in range(-20, 170):
            with self.subTest(moment=step * STEP):
                self.assertEqual(self.at(step * STEP).lost, [])

    def test_a_busy_event_loop_as_the_last_connections_end(self):
        for step in range(200):
            moment = 2.4 + step * 0.004
            with self.subTest(moment=moment):
                self.assertEqual(self.at(moment, turn=0.004).lost, [])

    def stands_still_at(self, moment, seconds):
        """A play in which the event loop stands still as several clients send, on connections used before."""

        async def client(number):
            connection = await self.client()
            await self.ask(connection, id=f"before-{number}")
            # All requests are read at one moment: as the loop goes on.
            await self.until(moment - 0.0004 + number * 0.0001)
            if connection.open:
                await self.ask(connection, id=f"late-{number}")

        async def story():
            clients = [asyncio.ensure_future(client(number)) for number in range(4)]
            await self.until(0.5)
            self.script("still", 0.2)
            await self.until(moment)
            self.loop.now += seconds
            await asyncio.gather(*clients)

        return self.play(story)

    def test_a_loop_that_stands_still_across_any_moment_of_the_stop(self):
        """Two streams were cut 2.87 s after SIGTERM, both read in one turn of a loop that had stood still for 80 ms."""
        for step in range(50):
            for seconds in (0.05, 0.1):
                moment = 2.5 + step * 0.01
                with self.subTest(moment=moment, seconds=seconds):
                    self.assertEqual(self.stands_still_at(moment, seconds).lost, [])

    def test_a_request_of_many_packets_at_any_moment(self):
        for step in range(-20, 170, 3):
            with self.subTest(moment=step * STEP):
                self.assertEqual(self.at(step * STEP, pause=0.3).lost, [])

    def test_what_a_runner_never_answers_is_broken_off_in_the_last_part_of_the_grace_only(self):
        for step in range(-20, 170, 3):
            with self.subTest(moment=step * STEP):
                self.assertEqual(self.at(step * STEP, silence=30, left_ms=10000).lost, [])

    def test_a_stream_that_never_ends(self):
        for step in range(-20, 170, 3):
            with self.subTest(moment=step * STEP):
                self.assertEqual(self.at(step * STEP, "still", silence=30, left_ms=10000).lost, [])

    def test_what_can_not_end_in_time_is_refused_at_once(self):
        async def story():
            client = await self.client()
            self.script("still", 4.0)
            await self.until(-0.5)
            await self.ask(client, id="taken", left_ms=9000)
            await self.ask(client, id="late", left_ms=5000)

        tally = self.play(story)
        self.assertEqual([o.id for o in tally.answered], ["taken"])
        self.assertEqual([o.refused for o in tally.refused], [True])
        late = tally.refused[0]
        self.assertLess(late.ended - late.sent, 0.05)
        self.assertTrue(late.closes)

    def test_what_is_sure_to_end_in_time_is_still_served(self):
        async def story():
            client = await self.client()
            self.script("still", 4.0)
            await self.until(-0.5)
            await self.ask(client, id="first", left_ms=9000)
            self.script("late", 0.4)
            await self.ask(client, id="brief", left_ms=2000)

        self.assertEqual([o.id for o in self.play(story).answered], ["first", "brief"])

    def test_no_connection_is_opened_that_would_be_refused(self):
        async def story():
            self.script("still", 4.0)
            await self.until(2.0)
            first = asyncio.ensure_future(self.ask(await self.client(), id="first", left_ms=9000))
            await self.until(3.0)
            with self.assertRaises(ConnectionRefusedError):
                await self.client()
            await first

        self.assertEqual([o.id for o in self.play(story).answered], ["first"])

    # -- connections ----------------------------------------------------------
    def test_the_next_request_after_a_stream_that_was_under_way(self):
        async def story(length):
            client = await self.client()
            self.script("still", length)
            await self.until(-0.5)
            for i in range(20):
                if client.open:
                    await self.ask(client, id=f"r{i}")

        for tenths in range(1, 80, 4):
            with self.subTest(length=tenths / 10):
                self.assertEqual(self.play(lambda t=tenths: story(t / 10)).lost, [])

    def test_busy_clients_on_kept_connections_and_new_ones(self):
        async def client(k):
            conn = await self.client()
            for i in range(200):
                await asyncio.sleep(0.03 + 0.011 * k)
                if not conn.open:
                    try:
                        conn = await self.client()
                    except ConnectionRefusedError:
                        return
                await self.ask(conn, id=f"c{k}-{i}")

        async def story():
            self.script("late", 0.3)
            await asyncio.gather(*(client(k) for k in range(12)))

        tally = self.play(story)
        self.assertEqual(tally.lost, [])
        self.assertGreater(len(tally.answered), 100)

    def test_clients_of_all_sorts_on_links_and_loops_of_all_speeds(self):
        for seed, (delay, turn) in enumerate(((0.0005, 0.0), (0.02, 0.002), (0.05, 0.006)) * 6):
            with (
                self.subTest(seed=seed, delay=delay, turn=turn),
                world(seed, lambda a, b, d=delay: d, turn=turn) as loop,
            ):
                luck = random.Random(seed)
                tally = loop.run_until_complete(self._play(lambda luck=luck: self._all_sorts(luck), 2))
                self.assertEqual(tally.lost, [])
                self.assertLess(self.ended, GRACE.total_seconds())

    async def _all_sorts(self, luck):
        for runner in self.rig.runners:
            runner.script = luck.choices(("late", "still", "ok", "shed"), k=2000)
            runner.silence = luck.uniform(0.2, 2.5)
        await asyncio.gather(*(self._one_of_all_sorts(luck, k) for k in range(14)))

    async def _one_of_all_sorts(self, luck, k):
        client, count = await self.client(), 0
        while self.loop.time() < self.term + GRACE.total_seconds():
            await asyncio.sleep(luck.random() * 0.4)
            if not client.open:
                try:
                    client = await self.client()
                except ConnectionRefusedError:
                    return
            count += 1
            waits = luck.choice((800, 2000, 5000, 10000))
            await self.ask(client, id=f"c{k}-{count}", left_ms=waits, pause=luck.choice((0, 0, 0.05)))

    def test_idle_connections_are_ended_before_the_process_is(self):
        async def story():
            client = await self.client()
            await self.ask(client)
            await client.next_end()
            self.closed = self.loop.time() - self.term

        self.play(story)
        self.assertLess(2.0, self.closed)
        self.assertLessEqual(self.closed, self.ended)
        self.assertLess(self.ended, 3.5)

    def test_a_connection_rests_after_a_refusal_too(self):
        async def story():
            client = await self.client()
            self.rig.state.configuration, policy = None, self.rig.state.configuration
            self.assertEqual((await client.send("/once/x", "a1", pause=0.01)).status, 503)
            self.rig.state.configuration = policy
            self.assertEqual((await client.send("/none/", "a2", pause=0.01)).status, 404)
            self.assertEqual([c.resting for c in self.rig.front.client_server.connections], [True])

        self.play(story)
        self.assertLess(self.ended, 3.2)

    def test_a_part_of_a_head_is_no_rest_but_holds_up_no_end(self):
        async def story():
            client = await self.client()
            client.writer.write(b"POST /once/x HTTP/1.1\r\nHost: h.ex")
            await self.until(0.1)
            self.assertEqual([c.resting for c in self.rig.front.client_server.connections], [False])
            await client.next_end()

        self.play(story)
        self.assertLess(self.ended, GRACE.total_seconds())

    def test_an_idle_connection_is_ended_by_the_bound_of_this_moment(self):
        async def story():
            client = await self.client()
            await self.ask(client)
            server = self.rig.front.client_server
            server.idle_timeout = lambda: timedelta(seconds=0.4)
            await asyncio.sleep(0.3)
            server.close_idle()
            await asyncio.sleep(0.01)
            self.assertEqual(len(server.connections), 1)
            await asyncio.sleep(0.2)
            server.close_idle()
            await client.next_end()

        self.play(story)

    def test_those_that_wait_in_line_are_refused_before_the_process_ends(self):
        async def story():
            self.script("late", 30)
            await self.until(1.0)
            clients = [await self.client() for _ in range(40)]
            await asyncio.gather(*(self.ask(c, id=f"w{i}", left_ms=20000) for i, c in enumerate(clients)))

        tally = self.play(story)
        self.assertEqual(tally.lost, [])
        self.assertLess(self.ended, GRACE.total_seconds())

    def test_a_request_in_flight_whose_connection_is_not_listed_holds_up_the_end(self):
        async def story():
            self.script("late", 4.5)
            client = await self.client()
            request = asyncio.ensure_future(self.ask(client, id="unlisted", left_ms=9000))
            await self.until(1.0)
            self.rig.front.client_server._connections.clear()
            await request

        tally = self.play(story)
        self.assertEqual((len(tally.answered), tally.lost), (1, []))
        self.assertGreater(self.ended, 3.4)

    def test_nothing_in_hand_ends_soon(self):
        async def story():
            pass

        self.play(story)
        self.assertLess(self.ended, 3.2)
