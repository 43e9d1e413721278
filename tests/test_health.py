"""Outlier ejection over a play-ground of nodes and runners in simulated time, and the learned rest of connections."""
import random
import unittest
from datetime import timedelta

from sparloom.health import EJECTED, TRIAL, WELL, Outliers, Rest, Times

S = timedelta(seconds=1)
T = Times.of(4 * S)


class Ground:
    """Many nodes, each with its own view; news of peers is 0.4 s old.

    ``ill``: runner -> the part of its requests that fail, as a function of time in seconds.
    ``liars``: nodes that tell failures everywhere.
    """

    def __init__(self, nodes=16, runners=12, rate=10.0, ill=None, liars=(), seed=1):
        self.rng, self.ill, self.liars, self.rate = random.Random(seed), ill or {}, liars, rate
        self.ids = [f"r{i}" for i in range(runners)]
        self.nodes = [Outliers(T) for _ in range(nodes)]
        self.now, self.news, self.fails, self.sent = 0 * S, [], [], {}

    def _request(self, n):
        o, repeatable = self.nodes[n], self.rng.random() < 0.8
        out = o.out()
        to = next((i for i in out if o.standing(i) == TRIAL and repeatable and self.rng.random() < o.chance(self.now, len(self.nodes))), None)
        to = to or self.rng.choice([i for i in self.ids if i not in out])
        ill = self.ill.get(to, lambda t: 0.0)(self.now / S)
        bad = self.rng.random() < ill or n in self.liars
        if bad and n not in self.liars:
            self.fails.append(self.now / S)
        self.sent[to, repeatable] = self.sent.get((to, repeatable), 0) + 1
        o.ended(to, self.now, not bad)

    def _words(self):
        said = [{i: o.said(i, self.now) for i in self.ids} for o in self.nodes]
        sums = {i: [sum(w[i][k] for w in said) for k in range(3)] for i in self.ids}
        mine = [o.mine(self.now) for o in self.nodes]
        return [
            ({i: tuple(sums[i][k] - w[i][k] for k in range(3)) for i in self.ids if any(sums[i])}, (sum(mine) - m, len(mine) - 1))
            for w, m in zip(said, mine)
        ]

    def until(self, t):
        """Plays on up to a time in seconds."""
        while self.now < t * S:
            self.now += S / 4
            for n in range(len(self.nodes)):
                for _ in range(int(self.rate / 4 + self.rng.random())):
                    self._request(n)
            self.news = [*self.news, self._words()][-3:]
            for o, (told, others) in zip(self.nodes, self.news[0]):
                o.weigh(self.now, self.ids, told, len(self.nodes), None, others)
        return self

    def out(self, id):
        """The part of the nodes at which a runner is ejected or on trial."""
        return sum(id in o.out() for o in self.nodes) / len(self.nodes)


class Ejection(unittest.TestCase):
    def test_a_runner_that_fails_in_part_is_out_at_every_node_soon(self):
        for seed in range(2):
            g = Ground(ill={"r3": lambda t: 0.4 * (t > 5)}, seed=seed).until(5)
            self.assertEqual(g.out("r3"), 0)
            g.until(8)
            self.assertGreater(g.out("r3"), 0.9)
            self.assertEqual([g.out(i) for i in g.ids if i != "r3"], [0] * 11)

    def test_failures_everywhere_eject_nobody(self):
        for part in (0.03, 0.1, 0.5):
            g = Ground(ill={f"r{i}": lambda t: part for i in range(12)}).until(12)
            self.assertEqual(sum(g.out(i) for i in g.ids), 0, part)

    def test_a_few_spoilt_answers_at_half_the_runners_eject_nobody(self):
        for seed in range(2):
            g = Ground(ill={f"r{i}": lambda t: 0.04 for i in range(6)}, seed=seed).until(20)
            self.assertEqual(sum(g.out(i) for i in g.ids), 0)

    def test_never_more_than_a_third(self):
        g = Ground(ill={f"r{i}": lambda t: 0.9 for i in range(5)})
        for t in range(1, 20):
            g.until(t)
            self.assertLessEqual(max(len(o.out()) for o in g.nodes), 4)
        self.assertGreaterEqual(max(len(o.out()) for o in g.nodes), 4)

    def test_when_the_service_shrinks_the_part_holds(self):
        o, ids = Outliers(T), [f"r{i}" for i in range(9)]
        for k in range(60):
            o.ended(ids[k % 9], k * S / 40, k % 9 > 2)
        o.weigh(1.5 * S, ids, {}, 1)
        self.assertEqual(sorted(o.out()), ids[:3])
        o.weigh(1.6 * S, ids[:5], {}, 1)
        self.assertEqual(len(o.out()), 1)
        o.weigh(1.7 * S, ids[:2], {}, 1)
        self.assertEqual(o.out(), [])

    def test_of_two_runners_none_is_ejected(self):
        g = Ground(nodes=6, runners=2, rate=20, ill={"r0": lambda t: 1.0}).until(10)
        self.assertEqual((g.out("r0"), g.out("r1")), (0, 0))

    def test_one_nodes_false_word_ejects_nobody(self):
        g = Ground(liars=(0,), rate=20).until(15)
        self.assertEqual(sum(g.out(i) for i in g.ids), 0)

    def test_two_nodes_words_do_not_carry_a_large_fleet(self):
        g = Ground(liars=(0, 1), rate=20).until(15)
        self.assertEqual(sum(g.out(i) for i in g.ids), 0)

    def test_a_single_node_has_only_its_own_word(self):
        g = Ground(nodes=1, runners=4, rate=40, ill={"r1": lambda t: 0.5}).until(3)
        self.assertEqual(g.nodes[0].standing("r1"), EJECTED)

    def test_three_nodes_agree(self):
        g = Ground(nodes=3, runners=6, rate=40, ill={"r1": lambda t: 0.45 * (t > 3)}).until(6)
        self.assertEqual([g.out(i) for i in g.ids], [0, 1, 0, 0, 0, 0])

    def test_lives_that_are_gone_are_forgotten(self):
        o = Outliers(T)
        for i in range(9):
            o.ended("old", S, False)
        o.weigh(S, ["old", "new", "other"], {}, 1)
        o.weigh(2 * S, ["new", "other"], {}, 1)
        self.assertEqual((o.out(), o.standing("old")), ([], WELL))


class WayBack(unittest.TestCase):
    def test_a_mended_runner_comes_back_by_a_trickle_of_repeatable_requests(self):
        for seed in range(2):
            g = Ground(ill={"r3": lambda t: 0.6 * (1 < t < 6)}, seed=seed).until(6)
            self.assertGreater(g.out("r3"), 0.8)
            g.sent = {}
            g.until(16)
            self.assertLess(g.out("r3"), 0.1)

    def test_none_but_repeatable_requests_go_to_a_runner_that_is_out(self):
        g = Ground(ill={"r3": lambda t: 0.6}).until(5)
        g.sent = {}
        g.until(20)
        self.assertEqual(g.sent.get(("r3", False), 0), 0)
        self.assertGreater(g.sent["r3", True], 0)

    def test_trials_cost_little_and_grow_rare(self):
        g = Ground(ill={"r3": lambda t: 1.0}).until(45)
        late = [t for t in g.fails if t > 5]
        self.assertLess(len(late), 20)
        self.assertGreaterEqual(max(o.lives["r3"].offences for o in g.nodes), 2)

    def test_a_flapping_runner_is_out_for_longer_each_time(self):
        g = Ground(ill={"r3": lambda t: float(t % 2.8 < 1.4)}).until(40)
        self.assertGreaterEqual(max(o.lives["r3"].offences for o in g.nodes), 2)
        first = len([t for t in g.fails if t <= 10])
        self.assertLess(len([t for t in g.fails if 30 < t <= 40]), first)

    def test_offences_are_forgiven(self):
        g = Ground(ill={"r3": lambda t: 0.6 * (t < 3)}).until(45)
        self.assertEqual(max(o.lives["r3"].offences for o in g.nodes if "r3" in o.lives), 0)


class Resting(unittest.TestCase):
    def test_what_the_runner_tells_bounds_the_rest_and_its_closes_widen_it(self):
        r = Rest()
        r.told(1)
        self.assertLess(r.limit(0), 1)
        r.closed(1.5)
        r.told(1)
        self.assertTrue(1.3 < r.limit(0) < 1.5)

    def test_a_shorter_word_is_heeded_at_once(self):
        r = Rest()
        r.told(10)
        r.told(2)
        self.assertLess(r.limit(0), 2)

    def test_resets_teach_a_shorter_rest_that_climbs_back_slowly(self):
        r = Rest()
        r.told(5)
        seen = []
        for t, idle in ((0, 3.0), (1, 1.0), (2, 0.5)):
            r.reset(idle, t)
            seen.append(r.limit(t))
            self.assertLess(r.limit(t), idle)
        self.assertEqual(seen, sorted(seen, reverse=True))
        self.assertLess(r.limit(6), 1)
        self.assertGreater(r.limit(100), 4)

    def test_requests_that_can_not_be_sent_again_are_more_careful_after_resets(self):
        r = Rest()
        r.told(2)
        self.assertEqual(r.limit(0, careful=True), r.limit(0))
        r.reset(1.0, 0)
        self.assertLess(r.limit(1, careful=True), r.limit(1))

    def test_one_reset_after_a_rest_that_worked_of_late_is_an_accident(self):
        r = Rest()
        r.told(5)
        for _ in range(3):
            r.worked(2.0)
            self.assertFalse(r.reset(0.3, 0))
        self.assertGreater(r.limit(0), 4)

    def test_a_runner_that_begins_to_forget_earlier_is_found_out_in_a_few_resets(self):
        r = Rest()
        r.told(5)
        r.worked(3.0)
        learned = [r.reset(1.0, t) or r.worked(0.4) for t in range(6)]
        self.assertLess(learned.index(True), 5)
        self.assertLess(r.limit(5), 1)

    def test_a_new_life_starts_from_what_its_service_taught(self):
        r = Rest()
        r.told(2)
        r.reset(0.4, 0)
        self.assertEqual(r.heir(1).limit(1), r.limit(1))
