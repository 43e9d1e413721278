"""A router's front before runners that are ill in part: ejection, trials, and connections that were forgotten."""
import asyncio
from datetime import timedelta
from unittest import mock

from sparloom.health import EJECTED, TRIAL, WELL
from sparloom.link import steady
from sparloom.router.fleet import all_of, number
from sparloom.router.pool import Pool
from sparloom.timeouts import Held, Holding

from .rig import Rig
from .test_router import EVENTS, Case


class Steered(Case):
    async def kept(self, path="/once/k"):
        """One answer, so that a connection stands; gives the life that keeps it."""
        n = [len(r.got) for r in self.rig.runners]
        await self.rig.send(path)
        i = next(i for i, r in enumerate(self.rig.runners) if len(r.got) > n[i])
        for j, r in enumerate(self.rig.runners):
            self.rig.know.fleet.posts[r.id].doubt_till = self.rig.know.fleet.posts[r.id].doubt_till + (j != i) * self.rig.up.bounds.contact * 10 ** 6
        return self.rig.know.fleet.posts[f"i-{i}"]


class Forgotten(Steered):
    async def test_a_repeatable_request_on_a_forgotten_connection_is_sent_elsewhere(self):
        await self.kept()
        self.script("reset")
        a = await self.rig.send("/safe/x")
        self.assertEqual((a.status, len(self.got)), (200, 3))

    async def test_any_other_is_not_sent_again_nor_promised(self):
        for path in ("/once/x", "/unsafe/x"):
            await self.kept()
            n = len(self.got)
            self.script("reset")
            a = await self.rig.send(path)
            self.assertEqual((a.status, len(self.got) - n), (502, 1))

    async def test_the_reset_teaches_a_shorter_rest(self):
        post = await self.kept()
        await asyncio.sleep(0)
        before = post.rest.limit(0)
        self.script("reset")
        await self.rig.send("/once/x")
        self.assertLess(post.rest.low, before)
        self.assertGreater(post.rest.low, 0)

    async def test_a_reset_of_a_fresh_connection_teaches_no_rest(self):
        self.script("reset")
        await self.rig.send("/once/x")
        self.assertEqual([p.rest.low for p in self.rig.know.fleet.posts.values()], [0, 0])

    async def test_a_connection_that_has_stood_too_long_is_not_used(self):
        post = await self.kept()
        self.assertTrue(post.warm())
        post.rest.reset(0.0, 10 ** 9)
        post.rest.floor = post.rest.low = 1e-9
        self.assertFalse(post.warm())
        await self.rig.send("/once/x")
        self.assertEqual(sum(r.pipes for r in self.rig.runners), 2)

    async def test_a_close_by_the_runner_teaches_how_long_one_may_stand(self):
        post = await self.kept()
        for t in [t for r in self.rig.runners for t in r.tasks]:
            t.cancel()
        while not post.rest.heard:
            await asyncio.sleep(0)
        self.assertLess(post.rest.top, 1)
        self.assertEqual((await self.rig.send("/once/x")).status, 200)

    async def test_no_connection_in_time_means_not_run(self):
        real, calls = Pool._create_connection, []

        async def slow(pool, req, traces, timeout):
            calls.append(pool)
            if len(calls) == 1:
                raise TimeoutError
            return await real(pool, req, traces, timeout)

        with mock.patch.object(Pool, "_create_connection", slow):
            a = await self.rig.send("/single/x")
        self.assertEqual((a.status, len(calls), len(self.got)), (200, 2, 1))


class Surplus(Steered):
    async def test_a_surplus_answer_while_idle_spoils_no_request(self):
        for i in range(4):
            self.script("extra")
            await self.rig.send("/once/x", id=f"e{i}")
            await asyncio.sleep(0.01)
            a = await self.rig.send("/unsafe/x", id=f"f{i}")
            self.assertEqual((a.status, a.heads["x-sparloom-attempt-id"], a.body), (200, f"f{i}", EVENTS))

    async def test_a_surplus_answer_in_the_place_of_ours_is_passed_over(self):
        await self.kept()
        self.script("stale")
        a = await self.rig.send("/unsafe/x", id="mine")
        self.assertEqual((a.status, a.heads["x-sparloom-attempt-id"], a.body, a.whole), (200, "mine", EVENTS, True))

    async def test_another_id_on_a_fresh_connection_is_no_answer(self):
        self.script("stale")
        self.assertEqual((await self.rig.send("/unsafe/x", id="mine")).status, 502)


class Ejected(Case):
    def stands(self, id, state):
        self.rig.know.judge.of("s")._life(id).state = state
        self.rig.know.fleet.posts[id].standing = state

    async def test_an_ejected_runner_gets_nothing_while_another_has_room(self):
        self.stands("i-0", EJECTED)
        for path in ("/unsafe/x", "/safe/x", "/once/x"):
            await self.rig.send(path)
        self.assertEqual([len(r.got) for r in self.rig.runners], [0, 3])

    async def test_it_is_used_when_no_other_has_room(self):
        self.stands("i-0", EJECTED)
        self.rig.know.counts.own["i-1"] = 10 ** 4
        self.assertEqual((await self.rig.send("/unsafe/x")).status, 200)

    async def test_on_trial_only_repeatable_requests_come(self):
        self.stands("i-0", TRIAL)
        await self.rig.send("/unsafe/x")
        await self.rig.send("/once/x")
        self.assertEqual(len(self.rig.runners[0].got), 0)
        await self.rig.send("/safe/x")
        await self.rig.send("/resume/x")
        self.assertEqual(len(self.rig.runners[0].got), 2)

    async def test_a_failed_trial_is_sent_elsewhere(self):
        self.stands("i-0", TRIAL)
        self.script("error")
        self.assertEqual((await self.rig.send("/safe/x")).status, 200)

    async def test_outcomes_are_noted_and_told_with_the_count_of_calls(self):
        for word, bad in (("ok", 0), ("error", 1), ("reset", 1), ("busy", 1), ("noseal", 1), ("junk", 1), ("shed", 0)):
            self.rig.know.judge.services.clear()
            for p in self.rig.know.fleet.posts.values():
                await p.pipes().close()
            self.script(word)
            await self.rig.send("/single/x")
            said = [self.rig.know.judge.said(p) for p in self.rig.know.fleet.posts.values()]
            self.assertEqual(sum(s[1] for s in said), bad, word)
            self.assertEqual(len(self.rig.know.judge.noted({})), bad, word)

    async def test_silence_is_a_bad_outcome_noted_once(self):
        self.script("hang")
        await self.rig.send("/quick/x")
        said = [self.rig.know.judge.said(p) for p in self.rig.know.fleet.posts.values()]
        self.assertEqual(max(s[1] for s in said), 1)

    async def test_silence_behind_long_prompts_or_with_all_slots_taken_is_no_outcome(self):
        know, post = self.rig.know, self.rig.know.fleet.posts["i-0"]
        self.assertFalse(know.judge.explains(post, 0, timedelta(seconds=1)))
        self.assertTrue(know.judge.explains(post, 5000, timedelta(seconds=1)))
        for _ in range(8):
            know.judge.read(20000, timedelta(seconds=1))
        self.assertFalse(know.judge.explains(post, 5000, timedelta(seconds=1)))
        self.assertTrue(know.judge.explains(post, 12000, timedelta(seconds=1)))
        know.counts.weight["i-0"] = 12000
        self.assertTrue(know.judge.explains(post, 0, timedelta(seconds=1)))
        know.counts.weight.clear()
        know.counts.own["i-0"] = 9
        self.assertTrue(know.judge.explains(post, 0, timedelta(seconds=1)))
        know.counts.own.clear()

    async def test_no_health_is_asked_for_and_standings_follow_traffic_alone(self):
        for _ in range(3):
            await self.rig.send("/once/x")
            self.rig.know.judge.weigh()
        self.assertEqual({g.line.split()[1] for g in self.got}, {"/once/x"})
        self.assertEqual({p.standing for p in self.rig.know.fleet.posts.values()}, {WELL})


class Told(Case):
    """Four runners, and peers whose words come by hand."""

    async def asyncSetUp(self):
        self.rig = Rig(4)
        await self.rig.__aenter__()
        self.addAsyncCleanup(self.rig.__aexit__)
        self.know = self.rig.know
        self.know.nodes = lambda: 9
        for i in range(8):
            for r in self.rig.runners:
                self.know.judge.ended(self.know.fleet.posts[r.id], True)

    def hear(self, peer, good, bad, id="i-0"):
        held = [Held(number(id), 0, 0, 0, good, bad, int(bad > 0)), Held(number(all_of("s")), 0, 0, 0, 30, 0, 1)]
        self.know.counts.hear(Holding(peer, 1, 1, 1, held, []), steady(), self.know.fleet.numbers)

    def standing(self, id="i-0"):
        self.know.judge.weigh()
        return self.know.fleet.posts[id].standing

    async def test_several_peers_words_eject_a_runner_that_does_well_here(self):
        for i in range(6):
            self.hear(f"p{i}", 3, 4)
        self.assertEqual((self.standing(), self.standing("i-1")), (EJECTED, WELL))
        await self.rig.send("/unsafe/x")
        self.assertNotIn("i-0", [r.id for r in self.rig.runners if r.got])

    async def test_one_peers_word_does_not(self):
        self.hear("p0", 0, 60)
        self.assertEqual(self.standing(), WELL)

    async def test_only_runners_that_some_node_saw_fail_are_told(self):
        judge, post = self.know.judge, self.know.fleet.posts["i-2"]
        judge.ended(post, False)
        self.hear("p0", 0, 1, "i-3")
        judge.weigh()
        self.assertEqual(judge.noted({}), ["i-2", "i-3"])
        self.assertEqual([judge.said(self.know.fleet.posts[f"i-{i}"]) for i in range(4)], [(0, 0, 0), (0, 0, 0), (8, 1, 1), (8, 0, 0)])
        self.assertEqual(judge.totals(), [(number(all_of("s")), 33)])

    async def test_in_calm_times_nothing_is_told(self):
        self.assertEqual((self.know.judge.noted({}), self.know.judge.totals()), ([], []))
