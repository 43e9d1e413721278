"""Membership on a simulated network with seeded randomness."""

import random
import unittest
from datetime import timedelta

from simulator.net import Net
from sparloom.membership import ALIVE, DEAD, ROUTER, Ack, Peer, Ping, Swim, SwimTiming


class Instances(unittest.TestCase):
    def prober(self, instance_id):
        """A process that has just probed another one; returns it and its probe."""
        swim = Swim(
            Peer("a:1", ROUTER, "z", "", instance_id, 0, ALIVE),
            (),
            SwimTiming.of(timedelta(seconds=3)),
            random.Random(1),
        )
        swim.receive(timedelta(0), "b:1", Ping(0, self.other, 0, []))
        return swim, next(s.record for s in swim.tick(timedelta(0)) if s.to == "b:1")

    def test_an_answer_to_an_earlier_instances_probe_is_ignored(self):
        self.other = Peer("b:1", ROUTER, "z", "", 7, 0, ALIVE)
        _, earlier_probe = self.prober(instance_id=0x1234567)
        swim, probe = self.prober(instance_id=0x7654321)
        swim.receive(timedelta(0), "b:1", Ack(earlier_probe.sequence, self.other, 0, []))
        self.assertEqual([p.key for p in swim.probes], ["b:1"])
        swim.receive(timedelta(0), "b:1", Ack(probe.sequence, self.other, 0, []))
        self.assertEqual(swim.probes, [])


class Membership(unittest.TestCase):
    def test_all_find_one_another_through_the_seeds(self):
        for seed in range(5):
            net = Net("abcdefgh", seed)
            net.run(4000)
            for name in "abcdefgh":
                self.assertEqual(net.sees(name), set("abcdefgh") - {name})

    def test_a_dead_one_is_removed_within_the_contact_bound(self):
        for seed in range(5):
            net = Net("abcdefgh", seed)
            net.run(4000)
            net.off.add("e")
            net.run(6000)
            self.assertTrue(all("e" not in net.sees(name) for name in "abcdfgh"), seed)

    def test_a_new_instance_replaces_the_old_one(self):
        for seed in range(5):
            net = Net("abcdef", seed)
            net.run(4000)
            old = net.nodes["e"].me.instance_id
            net.off.add("e")
            net.run(400)
            net.boot("e")
            net.run(4000)
            for name in "abcdf":
                peer = net.nodes[name].table["e:1"].peer
                self.assertEqual((peer.state == DEAD, peer.instance_id != old), (False, True))

    def test_one_bad_link_does_not_remove_anybody(self):
        for seed in range(5):
            net = Net("abcdef", seed)
            net.run(4000)
            net.cuts |= {("d", "e"), ("e", "d")}
            net.run(8000)
            self.assertTrue(all("e" in net.sees(name) for name in "abcf"))
            self.assertTrue(all("d" in net.sees(name) for name in "abcf"))

    def test_a_healed_partition_merges_both_halves(self):
        for seed in range(5):
            net = Net("abcdef", seed)
            net.run(4000)
            net.cuts |= {(x, y) for x in "abc" for y in "def"} | {(y, x) for x in "abc" for y in "def"}
            net.run(8000)
            net.cuts.clear()
            net.run(8000)
            for name in "abcdef":
                self.assertEqual(net.sees(name), set("abcdef") - {name}, (seed, name))

    def test_a_member_that_leaves_is_removed_at_once(self):
        net = Net("abcdef", 1, loss=0)
        net.run(4000)
        net.send("e", net.nodes["e"].leave())
        net.off.add("e")
        net.run(10)
        self.assertTrue(all("e" not in net.sees(name) for name in "abcdf"))

    def test_a_paused_member_suspects_nobody_when_it_resumes(self):
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
            self.assertTrue(all("e" in net.sees(name) for name in "abcdfgh"), seed)

    def test_departed_instances_are_reported_once(self):
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
        everyone = {*"abc", *names}
        self.assertEqual({n: len(net.sees(n)) for n in everyone}, dict.fromkeys(everyone, 99))
        net.off.add(names[7])
        net.run(7000)
        self.assertEqual([n for n in everyone - {names[7]} if names[7] in net.sees(n)], [])
        self.assertEqual({len(net.sees(n)) for n in everyone - {names[7]}}, {98})
