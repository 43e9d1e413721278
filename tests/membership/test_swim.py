"""SWIM membership on a simulated network with seeded randomness."""

import random
import unittest
from datetime import timedelta

from simulator.net import Net
from sparloom.membership import ALIVE, DEAD, ROUTER, Ack, Peer, Ping, Swim, SwimTiming


class RestartedInstance(unittest.TestCase):
    def start_and_probe(self, instance_id):
        """Starts a process that probes ``self.other``; returns the process and its probe."""
        swim = Swim(
            Peer("a:1", ROUTER, "z", "", instance_id, 0, ALIVE),
            (),
            SwimTiming.of(timedelta(seconds=3)),
            random.Random(1),
        )
        swim.receive(timedelta(0), "b:1", Ping(0, self.other, 0, []))
        return swim, next(sent.record for sent in swim.tick(timedelta(0)) if sent.to == "b:1")

    def test_an_answer_to_a_probe_of_an_earlier_instance_is_ignored(self):
        self.other = Peer("b:1", ROUTER, "z", "", 7, 0, ALIVE)
        _, earlier_probe = self.start_and_probe(instance_id=0x1234567)
        swim, probe = self.start_and_probe(instance_id=0x7654321)
        swim.receive(timedelta(0), "b:1", Ack(earlier_probe.sequence, self.other, 0, []))
        self.assertEqual([open_probe.key for open_probe in swim.probes], ["b:1"])
        swim.receive(timedelta(0), "b:1", Ack(probe.sequence, self.other, 0, []))
        self.assertEqual(swim.probes, [])


class Membership(unittest.TestCase):
    def test_all_members_discover_each_other_through_the_seeds(self):
        for seed in range(5):
            net = Net("abcdefgh", seed)
            net.run(4000)
            for name in "abcdefgh":
                self.assertEqual(net.sees(name), set("abcdefgh") - {name})

    def test_a_failed_member_is_removed_within_the_contact_bound(self):
        for seed in range(5):
            net = Net("abcdefgh", seed)
            net.run(4000)
            net.off.add("e")
            net.run(6000)
            self.assertTrue(all("e" not in net.sees(name) for name in "abcdfgh"), seed)

    def test_a_restarted_member_replaces_its_old_instance(self):
        for seed in range(5):
            net = Net("abcdef", seed)
            net.run(4000)
            old_instance_id = net.nodes["e"].local_peer.instance_id
            net.off.add("e")
            net.run(400)
            net.boot("e")
            net.run(4000)
            for name in "abcdf":
                peer = net.nodes[name].table["e:1"].peer
                self.assertEqual((peer.state == DEAD, peer.instance_id != old_instance_id), (False, True))

    def test_one_failed_link_removes_no_member(self):
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
            net.cuts |= {(left, right) for left in "abc" for right in "def"} | {
                (right, left) for left in "abc" for right in "def"
            }
            net.run(8000)
            net.cuts.clear()
            net.run(8000)
            for name in "abcdef":
                self.assertEqual(net.sees(name), set("abcdef") - {name}, (seed, name))

    def test_a_member_that_shuts_down_gracefully_is_removed_at_once(self):
        net = Net("abcdef", 1, loss=0)
        net.run(4000)
        net.send("e", net.nodes["e"].leave())
        net.off.add("e")
        net.run(10)
        self.assertTrue(all("e" not in net.sees(name) for name in "abcdf"))

    def test_a_paused_member_suspects_no_other_after_it_resumes(self):
        for seed in range(8):
            net = Net("abcdefgh", seed)
            net.run(4000)
            net.off.add("e")
            net.run(2500)
            net.off.discard("e")
            net.tick("e", net.nodes["e"].local_peer.instance_id)
            for _ in range(60):
                net.run(50)
                self.assertEqual(net.sees("e"), set("abcdfgh"), seed)
            self.assertTrue(all("e" in net.sees(name) for name in "abcdfgh"), seed)

    def test_departed_instances_are_reported_once(self):
        net = Net("abcdef", 3, loss=0)
        net.run(4000)
        net.nodes["a"].take_departed()
        old_instance_id = net.nodes["e"].local_peer.instance_id
        net.off.add("e")
        net.run(100)
        net.boot("e")
        net.run(4000)
        self.assertEqual(net.nodes["a"].take_departed(), [("e:1", net.nodes["e"].local_peer.instance_id)])
        self.assertEqual(
            [
                net.nodes["a"].is_current("e:1", instance_id)
                for instance_id in (old_instance_id, net.nodes["e"].local_peer.instance_id)
            ],
            [False, True],
        )
        net.off.add("e")
        net.run(6000)
        self.assertEqual(net.nodes["a"].take_departed(), [("e:1", None)])
        self.assertFalse(net.nodes["a"].is_current("e:1", net.nodes["e"].local_peer.instance_id))

    def test_a_hundred_members_discover_each_other_and_detect_a_failure(self):
        names = [chr(0x100 + i) for i in range(97)]
        net = Net([*"abc", *names], 5)
        net.run(9000)
        all_names = {*"abc", *names}
        self.assertEqual({name: len(net.sees(name)) for name in all_names}, dict.fromkeys(all_names, 99))
        net.off.add(names[7])
        net.run(7000)
        self.assertEqual([name for name in all_names - {names[7]} if names[7] in net.sees(name)], [])
        self.assertEqual({len(net.sees(name)) for name in all_names - {names[7]}}, {98})
