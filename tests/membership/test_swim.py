"""Membership on a simulated net: a column per node, seeded luck."""

import random
import unittest
from datetime import timedelta

from simulator.net import Net
from sparloom.membership import ALIVE, DEAD, ROUTER, Ack, Peer, Ping, Swim, SwimTiming


class Lives(unittest.TestCase):
    def prober(self, life):
        """A process that has just probed another one; gives it and its probe."""
        swim = Swim(
            Peer("a:1", ROUTER, "z", "", life, 0, ALIVE), (), SwimTiming.of(timedelta(seconds=3)), random.Random(1)
        )
        swim.receive(timedelta(0), "b:1", Ping(0, self.other, 0, []))
        return swim, next(s.record for s in swim.tick(timedelta(0)) if s.to == "b:1")

    def test_an_answer_to_an_earlier_lifes_probe_is_no_sign_of_life(self):
        self.other = Peer("b:1", ROUTER, "z", "", 7, 0, ALIVE)
        _, early = self.prober(life=0x1234567)
        swim, probe = self.prober(life=0x7654321)
        swim.receive(timedelta(0), "b:1", Ack(early.sequence, self.other, 0, []))
        self.assertEqual([p.key for p in swim.probes], ["b:1"])
        swim.receive(timedelta(0), "b:1", Ack(probe.sequence, self.other, 0, []))
        self.assertEqual(swim.probes, [])


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
            old = net.nodes["e"].me.instance_id
            net.off.add("e")
            net.run(400)
            net.boot("e")
            net.run(4000)
            for n in "abcdf":
                p = net.nodes[n].table["e:1"].peer
                self.assertEqual((p.state == DEAD, p.instance_id != old), (False, True))

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
            net.tick("e", net.nodes["e"].me.instance_id)
            for _ in range(60):
                net.run(50)
                self.assertEqual(net.sees("e"), set("abcdfgh"), seed)
            self.assertTrue(all("e" in net.sees(n) for n in "abcdfgh"), seed)

    def test_ended_lives_are_told_once(self):
        net = Net("abcdef", 3, loss=0)
        net.run(4000)
        net.nodes["a"].take_departed()
        old = net.nodes["e"].me.instance_id
        net.off.add("e")
        net.run(100)
        net.boot("e")
        net.run(4000)
        self.assertEqual(net.nodes["a"].take_departed(), [("e:1", net.nodes["e"].me.instance_id)])
        self.assertEqual(
            [net.nodes["a"].is_current("e:1", x) for x in (old, net.nodes["e"].me.instance_id)], [False, True]
        )
        net.off.add("e")
        net.run(6000)
        self.assertEqual(net.nodes["a"].take_departed(), [("e:1", None)])
        self.assertFalse(net.nodes["a"].is_current("e:1", net.nodes["e"].me.instance_id))

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
