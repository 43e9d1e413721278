"""Membership on a simulated net: a column per node, seeded luck."""
import heapq
import random
import unittest
from datetime import timedelta
from itertools import count

from sparloom.members import ALIVE, CONTROLLER, DEAD, ROUTER, Peer, Swim, Times

MS = timedelta(milliseconds=1)


class Net:
    def __init__(self, names, seed=1, loss=0.03):
        self.rng, self.now, self.tie, self.todo = random.Random(seed), 0 * MS, count(), []
        self.nodes, self.off, self.cuts, self.loss, self.lives = {}, set(), set(), loss, count(1)
        self.seeds = tuple(f"{n}:1" for n in names[:3])
        for n in names:
            self.boot(n)

    def boot(self, n):
        life = next(self.lives)
        role = CONTROLLER if n in "abc" else ROUTER
        self.nodes[n] = Swim(Peer(f"{n}:1", role, "z", "", life, 0, ALIVE), self.seeds, Times.of(3000 * MS), random.Random(self.rng.random()))
        self.off.discard(n)
        self.tick(n, life)

    def tick(self, n, life):
        s = self.nodes[n]
        if n in self.off or s.me.life != life:
            return
        self.send(n, s.tick(self.now))
        self.at(50 * MS, lambda: self.tick(n, life))

    def at(self, d, fn):
        heapq.heappush(self.todo, (self.now + d, next(self.tie), fn))

    def send(self, n, msgs):
        for m in msgs:
            to = m.to.split(":")[0]
            if (n, to) not in self.cuts and self.rng.random() > self.loss:
                self.at((1 + self.rng.random()) * MS, lambda to=to, m=m: self.arrive(n, to, m.rec))

    def arrive(self, n, to, rec):
        if to in self.nodes and to not in self.off:
            self.send(to, self.nodes[to].receive(self.now, f"{n}:1", rec))

    def run(self, ms):
        end = self.now + ms * MS
        while self.todo and self.todo[0][0] <= end:
            self.now, _, fn = heapq.heappop(self.todo)
            fn()
        self.now = end

    def sees(self, n):
        return {p.key.split(":")[0] for p in self.nodes[n].alive()}


class Members(unittest.TestCase):
    def test_all_find_one_another_through_the_seeds(self):
        for seed in range(5):
            net = Net("abcdefgh", seed)
            net.run(4000)
            for n in "abcdefgh":
                self.assertEqual(net.sees(n), set("abcdefgh") - {n})

    def test_a_dead_one_is_removed_within_the_contact_bound(self):
        for seed in range(5):
            net = Net("abcdefgh", seed)
            net.run(4000)
            net.off.add("e")
            net.run(6000)
            self.assertTrue(all("e" not in net.sees(n) for n in "abcdfgh"), seed)

    def test_a_new_life_replaces_the_old_one(self):
        for seed in range(5):
            net = Net("abcdef", seed)
            net.run(4000)
            old = net.nodes["e"].me.life
            net.off.add("e")
            net.run(400)
            net.boot("e")
            net.run(4000)
            for n in "abcdf":
                p = net.nodes[n].table["e:1"].peer
                self.assertEqual((p.state == DEAD, p.life != old), (False, True))

    def test_one_bad_link_does_not_remove_anybody(self):
        for seed in range(5):
            net = Net("abcdef", seed)
            net.run(4000)
            net.cuts |= {("d", "e"), ("e", "d")}
            net.run(8000)
            self.assertTrue(all("e" in net.sees(n) for n in "abcf"))
            self.assertTrue(all("d" in net.sees(n) for n in "abcf"))

    def test_halves_find_each_other_again(self):
        for seed in range(5):
            net = Net("abcdef", seed)
            net.run(4000)
            net.cuts |= {(x, y) for x in "abc" for y in "def"} | {(y, x) for x in "abc" for y in "def"}
            net.run(8000)
            net.cuts.clear()
            net.run(8000)
            for n in "abcdef":
                self.assertEqual(net.sees(n), set("abcdef") - {n}, (seed, n))

    def test_one_that_leaves_is_gone_at_once(self):
        net = Net("abcdef", 1, loss=0)
        net.run(4000)
        net.send("e", net.nodes["e"].leave())
        net.off.add("e")
        net.run(10)
        self.assertTrue(all("e" not in net.sees(n) for n in "abcdf"))

    def test_one_that_stood_still_accuses_nobody_when_it_wakes(self):
        for seed in range(8):
            net = Net("abcdefgh", seed)
            net.run(4000)
            net.off.add("e")
            net.run(2500)
            net.off.discard("e")
            net.tick("e", net.nodes["e"].me.life)
            for _ in range(60):
                net.run(50)
                self.assertEqual(net.sees("e"), set("abcdfgh"), seed)
            self.assertTrue(all("e" in net.sees(n) for n in "abcdfgh"), seed)

    def test_ended_lives_are_told_once(self):
        net = Net("abcdef", 3, loss=0)
        net.run(4000)
        net.nodes["a"].take_ended()
        old = net.nodes["e"].me.life
        net.off.add("e")
        net.run(100)
        net.boot("e")
        net.run(4000)
        self.assertEqual(net.nodes["a"].take_ended(), [("e:1", net.nodes["e"].me.life)])
        self.assertEqual([net.nodes["a"].holds("e:1", x) for x in (old, net.nodes["e"].me.life)], [False, True])
        net.off.add("e")
        net.run(6000)
        self.assertEqual(net.nodes["a"].take_ended(), [("e:1", None)])
        self.assertFalse(net.nodes["a"].holds("e:1", net.nodes["e"].me.life))

    def test_a_hundred_find_one_another_and_notice_a_death(self):
        names = [chr(0x100 + i) for i in range(97)]
        net = Net([*"abc", *names], 5)
        net.run(9000)
        every = {*"abc", *names}
        self.assertEqual({n: len(net.sees(n)) for n in every}, dict.fromkeys(every, 99))
        net.off.add(names[7])
        net.run(7000)
        self.assertEqual([n for n in every - {names[7]} if names[7] in net.sees(n)], [])
        self.assertEqual({len(net.sees(n)) for n in every - {names[7]}}, {98})
