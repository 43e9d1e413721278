"""An unresponsive backend: an idempotent request may go on at another one, and never ends for that alone."""

import asyncio
import unittest

from simulator.clients import Client
from simulator.virtual import world
from tests.support.router_fixture import POLICY, Rig, route

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 6))
ROUTES = [
    route("resume", "/resume/", resumeStreams=True, timeoutMs=8000),
    route("three", "/three/", resumeStreams=True, timeoutMs=8000, maxAttempts=3),
    route("safe", "/safe/", routeKind="safe", timeoutMs=8000),
]


class Case(unittest.TestCase):
    """Runners meet the words of a script in the order in which they are picked."""

    def play(self, *words, path="/resume/x", runners=2, silence=2.0, before=None):
        """The answer to one request."""

        async def story():
            async with Rig(runners, {**POLICY, "routes": ROUTES}) as self.rig:
                script = list(words)
                for runner in self.rig.runners:
                    runner.script, runner.silence = script, silence
                if before:
                    before(self.rig)
                answer = await self.rig.send(path, left=8000)
                self.assertEqual(self.rig.state.in_flight.own, {})
                self.sent = [got.word for runner in self.rig.runners for got in runner.got]
                return answer

        with world(1) as loop:
            return loop.run_until_complete(asyncio.wait_for(story(), 60))

    def assert_whole(self, answer):
        self.assertEqual((answer.status, answer.body, answer.whole), (200, EVENTS, True))


class Silence(Case):
    def test_a_request_moves_on_to_a_runner_that_answers(self):
        for word in ("late", "still"):
            with self.subTest(word=word):
                self.assert_whole(self.play(word, "ok", silence=7.0))
                self.assertEqual(sorted(self.sent), sorted([word, "ok"]))

    def test_a_refusal_elsewhere_leaves_it_where_it_is(self):
        for path in ("/resume/x", "/three/x"):
            for word in ("late", "still"):
                for other in ("shed", "busy", "reset", "junk", "moved", "error"):
                    with self.subTest(path=path, word=word, other=other):
                        self.assert_whole(self.play(word, other, path=path))

    def test_no_room_elsewhere_leaves_it_where_it_is(self):
        def fill(rig):
            for post in list(rig.state.backends.by_id.values())[1:]:
                rig.state.in_flight.own[post.id] = 10**4

        for word in ("late", "still"):
            with self.subTest(word=word):

                async def story(word=word):
                    async with Rig(2, {**POLICY, "routes": ROUTES}) as rig:
                        for runner in rig.runners:
                            runner.script, runner.silence = [word], 2.0
                        fill(rig)
                        return await rig.send("/resume/x", left=8000)

                with world(1) as loop:
                    self.assert_whole(loop.run_until_complete(asyncio.wait_for(story(), 60)))

    def test_silence_everywhere_ends_with_the_first_that_speaks(self):
        self.assert_whole(self.play("still", "late", "late", path="/three/x", runners=3))

    def test_a_safe_request_moves_on_or_stays(self):
        self.assertEqual(self.play("late", "ok", path="/safe/x", silence=7.0).status, 200)
        self.assertEqual(self.play("late", "shed", path="/safe/x").status, 200)

    def test_the_silent_one_breaks_off_while_the_other_is_asked(self):
        answer = self.play("still", "late", silence=1.4, before=self._first_dies)
        self.assert_whole(answer)

    @staticmethod
    def _first_dies(rig):
        """The first runner that is picked ends its connections 1.2 s later."""

        async def die():
            await asyncio.sleep(1.2)
            first = next(runner for runner in rig.runners if runner.got and runner.got[0].word == "still")
            for task in list(first.tasks):
                task.cancel()

        asyncio.ensure_future(die())

    def test_a_client_that_leaves_leaves_no_runner_at_work(self):
        async def story():
            async with Rig(2, {**POLICY, "routes": ROUTES}) as rig:
                for runner in rig.runners:
                    runner.script = ["hang"]
                client = await Client.connect("127.0.0.1", rig.port)
                request = asyncio.ensure_future(client.send("/resume/x", "a1"))
                await asyncio.sleep(1.2)
                at_work = sum(rig.state.in_flight.own.values())
                client.close()
                request.cancel()
                await asyncio.sleep(0.1)
                return at_work, rig.state.in_flight.own, sum(runner.dropped for runner in rig.runners)

        with world(1) as loop:
            self.assertEqual(loop.run_until_complete(asyncio.wait_for(story(), 60)), (2, {}, 2))
