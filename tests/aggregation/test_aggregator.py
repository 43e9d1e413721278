"""Counts through the tier of relays: who counts where, as groups change hands; a column per node."""

import random
import unittest
from math import log, pi, sqrt

from sparloom.aggregation import InFlightAggregator, decode_in_flight, encode_in_flight
from sparloom.relay import RelayTier
from tests.support.aggregation_fleet import CONTACT, MS, Fleet

S = 1000 * MS


def held(n, res=7):
    return {res: (n, 0, 0, 0, 0, 0)} if n else {}


class FourNodes:
    """Relays a and b, followers f of a and g of b; a step: who sends, and who receives it."""

    def __init__(self):
        self.now = 0 * MS
        self.up = {"a": 1, "b": 1, "f": 1, "g": 1}
        self.parents = {"f": ("a", "b"), "g": ("b", "a")}
        self.nodes = {k: InFlightAggregator(k, 1, CONTACT) for k in self.up}
        self.calls, self.partitioned = {"a": 1, "b": 2, "f": 4, "g": 8}, set()

    def advance(self, span, prefer=None):
        """All send each 50 ms; datagrams arrive at once, save those of a partition."""
        end = self.now + span
        while self.now < end:
            self.now += 50 * MS
            for k, s in self.nodes.items():
                up = {o: n for o, n in self.up.items() if o != k}
                if k in up or k in self.up:
                    s.update_membership(
                        self.now,
                        RelayTier(("a", "b"), tuple(p for p in self.parents.get(k, ()) if p in up), k in "ab"),
                        up,
                        (prefer or {}).get(k),
                    )
                    s.update_in_flight(self.now, held(self.calls[k]), 4)
                    for m in s.due_messages(self.now):
                        for to in m.destinations:
                            if (k, to) not in self.partitioned and to in self.nodes:
                                self.nodes[to].on_message(self.now, m.message)

    def counts(self):
        return {k: (s.peers_in_flight(self.now) or {}).get(7, (None,))[0] for k, s in self.nodes.items()}


class MovingMembers(unittest.TestCase):
    def setUp(self):
        self.fleet = FourNodes()

    def test_each_counts_all_others_once(self):
        self.fleet.advance(S)
        #                                      own 1    own 2    own 4    own 8
        self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "f": 11, "g": 7})
        self.fleet.advance(9 * S)
        self.assertTrue(all(p.coverage for r in self.fleet.nodes["a"].neighbours.relays.values() for p in r.accepted))
        self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "f": 11, "g": 7})

    def test_a_follower_that_moves_counts_once_at_every_step(self):
        self.fleet.advance(10 * S)
        for _ in range(400):
            self.fleet.advance(50 * MS, {"f": "b"})
            self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "f": 11, "g": 7})
        self.assertEqual(
            (set(self.fleet.nodes["a"].neighbours.members), set(self.fleet.nodes["b"].neighbours.members)),
            (set(), {"f", "g"}),
        )

    def test_a_follower_moves_while_its_relays_are_partitioned_from_each_other(self):
        """b's claim does not reach a: a's sum with f's old word stands until a gives f up."""
        self.fleet.advance(10 * S)
        self.fleet.partitioned = {("b", "a")}
        for _ in range(160):
            self.fleet.advance(50 * MS, {"f": "b"})
            got = self.fleet.counts()
            self.assertLessEqual(got["b"], 13)
            self.assertLessEqual(got["a"] or 0, 14)
            self.assertEqual(got["f"], 11)
        self.fleet.partitioned = set()
        self.fleet.advance(S)
        self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "f": 11, "g": 7})

    def test_the_own_update_in_a_total_is_subtracted_even_when_it_is_old(self):
        self.fleet.advance(10 * S)
        self.fleet.partitioned = {("f", "a")}
        self.fleet.calls["f"] = 40
        self.fleet.advance(500 * MS)
        self.assertEqual(self.fleet.counts()["f"], 11)

    def test_a_silent_relay_is_left_within_a_third_of_the_contact_bound(self):
        self.fleet.advance(10 * S)
        self.fleet.partitioned = {("a", k) for k in "bfg"} | {(k, "a") for k in "bfg"}
        self.fleet.advance(CONTACT / 3 + 150 * MS)
        self.assertIn("f", self.fleet.nodes["b"].neighbours.members)
        self.fleet.advance(CONTACT)
        self.assertEqual(self.fleet.counts()["g"], 6)

    def test_a_relay_that_hears_no_other_reports_its_isolation(self):
        """Three relays: a is heard by f, and hears neither b nor c."""
        a, now = InFlightAggregator("a", 1, CONTACT), 10 * S
        a.update_membership(0 * S, RelayTier(("a", "b", "c"), (), True), {"b": 1, "c": 1, "f": 1})
        self.assertEqual(a.isolation_age(now), now)
        a.on_message(now, _sum("b", 1, {}, 0))
        self.assertEqual(a.isolation_age(now + S), S)

    def test_the_load_of_a_departed_node_is_dropped_everywhere(self):
        self.fleet.advance(10 * S)
        del self.fleet.up["f"], self.fleet.nodes["f"]
        self.fleet.nodes["a"].on_departed("f")
        self.fleet.advance(400 * MS)
        self.assertEqual(self.fleet.counts(), {"a": 10, "b": 9, "g": 3})

    def test_a_silent_node_counts_for_one_contact_bound(self):
        self.fleet.advance(10 * S)
        del self.fleet.nodes["f"]
        self.fleet.advance(CONTACT - 500 * MS)
        self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "g": 7})
        self.fleet.advance(S)
        self.assertEqual(self.fleet.counts(), {"a": 10, "b": 9, "g": 3})

    def test_a_sum_that_overlaps_is_set_aside_and_the_one_before_stands(self):
        r = InFlightAggregator("r", 1, CONTACT)
        r.update_membership(0 * S, RelayTier(("a", "b", "r"), (), True), {"a": 1, "b": 1})

        def one(key, seq, cover, n):
            return r.on_message(S, _sum(key, seq, cover, n))

        one("a", 1, {1: 1, 2: 1}, 2)
        one("b", 1, {3: 1}, 8)
        one("b", 2, {3: 1, 2: 5}, 9)
        self.assertEqual(r.peers_in_flight(S)[7][0], 10)
        one("a", 2, {1: 1}, 1)
        self.assertEqual(r.peers_in_flight(S)[7][0], 10)

    def test_the_least_divisor_of_the_others_is_reported(self):
        x = self.fleet
        x.advance(S)
        self.assertEqual([set(s.fleet_sizes(x.now).values()) for s in x.nodes.values()], [{4}] * 4)
        x.nodes["g"].update_in_flight(x.now, held(8), 3)
        x.partitioned = {("g", "b")}
        x.advance(S)
        x.partitioned = set()
        x.nodes["b"].on_message(x.now, _up("g", 99, 3))
        x.advance(500 * MS)
        self.assertEqual(
            {k: min(s.fleet_sizes(x.now).values()) for k, s in x.nodes.items() if k != "g"}, {"a": 3, "b": 3, "f": 3}
        )


def _sum(key, seq, cover, n):
    from sparloom.aggregation import Coverage, GroupAggregate

    return GroupAggregate(
        key, 1, seq, 1, 0, 0xFFFFFFFF, [Coverage(h, q) for h, q in cover.items()], encode_in_flight(held(n)), [], []
    )


def _up(key, seq, crowd):
    from sparloom.aggregation import MemberUpdate

    return MemberUpdate(key, 1, seq, crowd, encode_in_flight(held(8)), [])


class Messages(unittest.TestCase):
    def test_encoded_load_is_decoded_unchanged(self):
        for seed in range(50):
            rng = random.Random(seed)
            d = {
                rng.randrange(1 << 32): (
                    rng.randrange(300),
                    32 * rng.randrange(10**5),
                    *(rng.choice((0, 0, rng.randrange(200))) for _ in range(4)),
                )
                for _ in range(rng.randrange(80))
            }
            self.assertEqual(decode_in_flight(encode_in_flight(d)), d)

    def test_ten_thousand_runners_go_in_shards_any_of_which_may_be_lost(self):
        a, f = InFlightAggregator("a", 1, CONTACT), InFlightAggregator("f", 1, CONTACT)
        tier = RelayTier(("a",), ("a",), False)
        rng = random.Random(1)
        shorts = rng.sample(range(1 << 32), 10**4)
        a.update_membership(0 * S, RelayTier(("a",), (), True), {"f": 1})
        a.update_in_flight(0 * S, dict.fromkeys(shorts, (1, 0, 0, 0, 0, 0)), 1)
        f.update_membership(0 * S, tier, {"a": 1})
        f.update_in_flight(0 * S, held(1, shorts[0]), 1)
        for m in f.due_messages(0 * S):
            a.on_message(0 * S, m.message)
        first = [m.message for m in a.due_messages(0 * S)]
        self.assertLess(max(len(r.in_flight) for r in first), 1100)
        for rec in first:
            f.on_message(0 * S, rec)
        self.assertEqual(len(f.peers_in_flight(0 * S)), 10**4)
        a.update_in_flight(S, dict.fromkeys(shorts, (2, 0, 0, 0, 0, 0)), 1)
        for rec in [m.message for m in a.due_messages(S)][::2]:
            f.on_message(S, rec)
        got = f.peers_in_flight(S)
        self.assertEqual((len(got), {v[0] for v in got.values()}), (10**4, {1, 2}))


def inject_fault(f, rng, kind):
    """One fault in a fleet; what it takes away is restored by itself."""
    relays = [k for k in f.running() if f.nodes[k].is_relay] or f.running()
    k = rng.choice(relays)

    def back(k, ms):
        return f.at(ms * MS, lambda: k in f.off and f.boot(k))

    if kind == "kill":
        f.kill(k)
        back(k, rng.choice((200, 1500, 6000)))
    elif kind == "freeze":
        f.frozen.add(k)
        f.at(rng.choice((300, 1500, 4000, 7000)) * MS, lambda: f.thaw(k))
    elif kind in ("deaf", "mute"):
        c = {(o, k) if kind == "deaf" else (k, o) for o in f.names}
        f.cuts |= c
        f.at(2500 * MS, lambda: f.cuts.difference_update(c))
    elif kind == "zone":
        for r in [r for r in relays if f.zone[r] == f.zone[k]]:
            f.kill(r)
            back(r, 3000)
    elif kind == "herd":
        for r in rng.sample(f.running(), len(f.names) // 3):
            f.kill(r)
            back(r, 800)


class RandomFaults(unittest.TestCase):
    KINDS = ("kill", "freeze", "deaf", "mute", "zone", "herd", "none")

    def run_faults(self, n, seed, steps):
        f, rng = Fleet(n, seed=seed), random.Random(seed)
        f.run(8 * S)

        def check():
            for k in f.running():
                got = f.private(k)
                self.assertLessEqual(max(got.values(), default=0), 1, (seed, f.now, k))
                self.assertNotIn(f.nodes[k].instance_id, got, (seed, f.now, k))

        for _ in range(steps):
            inject_fault(f, rng, rng.choice(self.KINDS))
            f.run(S, check, 250 * MS)
        # The last frozen one thaws after 7 s at most; then a contact bound and a half of calm.
        f.run(7 * S + 1.5 * CONTACT, check, 500 * MS)
        alive, whole = {f.nodes[k].instance_id for k in f.running()}, set()
        f.run(
            S,
            lambda f=f, whole=whole, alive=alive: whole.update(
                k for k in f.running() if set(f.private(k)) | {f.nodes[k].instance_id} == alive
            ),
        )
        self.assertEqual(whole, set(f.names), seed)
        self.assertLess(f.biggest, 1200)

    def test_no_call_counts_twice_and_all_count_in_the_end(self):
        for seed in range(2):
            self.run_faults(24, seed, 8)

    def test_in_a_fleet_of_eighty(self):
        self.run_faults(80, 1, 3)

    def test_the_bound_after_a_loss(self):
        """Known gone, a third of the contact bound for the followers to move, and some beats: all is exact again."""
        for seed, lost in ((1, 2), (3, 0)):
            f = Fleet(40, seed=seed)
            f.run(9 * S)
            relays = [k for k in f.names if f.nodes[k].is_relay]
            group = sorted(f.nodes[relays[0]].neighbours.members)
            for k in (relays[:lost] if lost else [k for k in relays if f.zone[k] == "z0"]) + group[:1]:
                f.kill(k)
            f.run(0.7 * CONTACT + CONTACT / 3 + 400 * MS)
            self.assertEqual(self.exact_within(f, 500 * MS), set(f.running()), seed)

    @staticmethod
    def exact_within(f, span):
        """The nodes that at some moment of a span counted just the lives that run."""
        alive, exact = {f.nodes[k].instance_id for k in f.running()}, set()
        f.run(
            span, lambda: exact.update(k for k in f.running() if set(f.private(k)) | {f.nodes[k].instance_id} == alive)
        )
        return exact


class MessageCost(unittest.TestCase):
    def test_messages_per_node_grow_no_faster_than_the_logarithm(self):
        """With the count of 20 nodes as the measure; each node's calls change all the time."""
        got = {}
        for n, span in ((20, 2 * S), (80, S), (320, S / 2)):
            f = Fleet(n, zones=5, churn=36, private=False)
            f.run(400 * MS)
            before = sum(f.sent.values()), sum(f.size.values())
            f.run(span)
            got[n] = [
                (x - y) / n / (span / S)
                for x, y in zip((sum(f.sent.values()), sum(f.size.values())), before, strict=True)
            ]
        for n in (80, 320):
            self.assertLess(got[n][0], got[20][0] * log(n) / log(20), got)

    def test_the_error_follows_from_the_staleness_and_not_from_the_nodes(self):
        """Mean error of a count against sqrt(4 x calls a second x staleness / pi)."""
        for n in (20, 80):
            f, found = Fleet(n, zones=5, churn=6, private=False), []
            f.run(4 * S)
            f.run(S, lambda f=f, found=found: found.extend(f.error(k, 6) for k in f.names[::4]))
            # Each node at each tick of 50 ms begins a call with 0.02, and ends about as many.
            rate = n * 0.02 / 0.05
            self.assertLess(sum(found) / len(found), 1.3 * sqrt(4 * rate * 0.25 / pi), n)
