"""In-flight aggregation through the relay tier: each call is counted once while nodes move, fail and restart."""

import random
import unittest
from math import log, pi, sqrt

from sparloom.aggregation import InFlightAggregator, decode_in_flight, encode_in_flight
from sparloom.relay import RelayTier
from tests.support.aggregation_fleet import CONTACT, MS, Fleet

SECOND = 1000 * MS


def load(calls, resource=7):
    return {resource: (calls, 0, 0, 0, 0, 0)} if calls else {}


class FourNodes:
    """Relays a and b, follower f of a, and follower g of b, on a network without delay."""

    def __init__(self):
        self.now = 0 * MS
        self.instances = {"a": 1, "b": 1, "f": 1, "g": 1}
        self.parents = {"f": ("a", "b"), "g": ("b", "a")}
        self.nodes = {key: InFlightAggregator(key, 1, CONTACT) for key in self.instances}
        self.calls, self.partitioned = {"a": 1, "b": 2, "f": 4, "g": 8}, set()

    def advance(self, duration, preferred=None):
        """Ticks all nodes every 50 ms; messages arrive at once, except over partitioned links."""
        end = self.now + duration
        while self.now < end:
            self.now += 50 * MS
            for key, node in self.nodes.items():
                routers = {other: instance_id for other, instance_id in self.instances.items() if other != key}
                if key in routers or key in self.instances:
                    node.update_membership(
                        self.now,
                        RelayTier(
                            ("a", "b"),
                            tuple(parent for parent in self.parents.get(key, ()) if parent in routers),
                            key in "ab",
                        ),
                        routers,
                        (preferred or {}).get(key),
                    )
                    node.update_in_flight(self.now, load(self.calls[key]), 4)
                    for sent in node.due_messages(self.now):
                        for destination in sent.destinations:
                            if (key, destination) not in self.partitioned and destination in self.nodes:
                                self.nodes[destination].on_message(self.now, sent.message)

    def counts(self):
        return {key: (node.peers_in_flight(self.now) or {}).get(7, (None,))[0] for key, node in self.nodes.items()}


class MovingMembers(unittest.TestCase):
    def setUp(self):
        self.fleet = FourNodes()

    def test_each_node_counts_all_others_once(self):
        self.fleet.advance(SECOND)
        # own calls:                           1        2        4        8
        self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "f": 11, "g": 7})
        self.fleet.advance(9 * SECOND)
        self.assertTrue(
            all(
                shard.coverage for relay in self.fleet.nodes["a"].neighbours.relays.values() for shard in relay.accepted
            )
        )
        self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "f": 11, "g": 7})

    def test_a_follower_that_changes_relays_is_counted_once_at_every_step(self):
        self.fleet.advance(10 * SECOND)
        for _ in range(400):
            self.fleet.advance(50 * MS, {"f": "b"})
            self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "f": 11, "g": 7})
        self.assertEqual(
            (set(self.fleet.nodes["a"].neighbours.members), set(self.fleet.nodes["b"].neighbours.members)),
            (set(), {"f", "g"}),
        )

    def test_a_follower_changes_relays_while_these_are_partitioned_from_each_other(self):
        """b's claim of f does not reach a, so a's aggregate with f's old update stays in use until f's update expires."""
        self.fleet.advance(10 * SECOND)
        self.fleet.partitioned = {("b", "a")}
        for _ in range(160):
            self.fleet.advance(50 * MS, {"f": "b"})
            counts = self.fleet.counts()
            self.assertLessEqual(counts["b"], 13)
            self.assertLessEqual(counts["a"] or 0, 14)
            self.assertEqual(counts["f"], 11)
        self.fleet.partitioned = set()
        self.fleet.advance(SECOND)
        self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "f": 11, "g": 7})

    def test_a_follower_subtracts_its_own_outdated_update_from_the_total(self):
        self.fleet.advance(10 * SECOND)
        self.fleet.partitioned = {("f", "a")}
        self.fleet.calls["f"] = 40
        self.fleet.advance(500 * MS)
        self.assertEqual(self.fleet.counts()["f"], 11)

    def test_an_unresponsive_relay_is_left_within_a_third_of_the_contact_bound(self):
        self.fleet.advance(10 * SECOND)
        self.fleet.partitioned = {("a", key) for key in "bfg"} | {(key, "a") for key in "bfg"}
        self.fleet.advance(CONTACT / 3 + 150 * MS)
        self.assertIn("f", self.fleet.nodes["b"].neighbours.members)
        self.fleet.advance(CONTACT)
        self.assertEqual(self.fleet.counts()["g"], 6)

    def test_a_relay_that_receives_from_no_other_relay_reports_its_isolation(self):
        """Three relays: f receives from a, but a receives from neither b nor c."""
        relay, now = InFlightAggregator("a", 1, CONTACT), 10 * SECOND
        relay.update_membership(0 * SECOND, RelayTier(("a", "b", "c"), (), True), {"b": 1, "c": 1, "f": 1})
        self.assertEqual(relay.isolation_age(now), now)
        relay.on_message(now, _group_aggregate("b", 1, {}, 0))
        self.assertEqual(relay.isolation_age(now + SECOND), SECOND)

    def test_the_load_of_a_departed_node_is_dropped_by_all_nodes(self):
        self.fleet.advance(10 * SECOND)
        del self.fleet.instances["f"], self.fleet.nodes["f"]
        self.fleet.nodes["a"].on_departed("f")
        self.fleet.advance(400 * MS)
        self.assertEqual(self.fleet.counts(), {"a": 10, "b": 9, "g": 3})

    def test_an_unresponsive_node_is_counted_for_one_contact_bound(self):
        self.fleet.advance(10 * SECOND)
        del self.fleet.nodes["f"]
        self.fleet.advance(CONTACT - 500 * MS)
        self.assertEqual(self.fleet.counts(), {"a": 14, "b": 13, "g": 7})
        self.fleet.advance(SECOND)
        self.assertEqual(self.fleet.counts(), {"a": 10, "b": 9, "g": 3})

    def test_an_overlapping_aggregate_is_not_accepted_and_the_previous_one_is_used(self):
        relay = InFlightAggregator("r", 1, CONTACT)
        relay.update_membership(0 * SECOND, RelayTier(("a", "b", "r"), (), True), {"a": 1, "b": 1})

        def receive(key, sequence, coverage, calls):
            return relay.on_message(SECOND, _group_aggregate(key, sequence, coverage, calls))

        receive("a", 1, {1: 1, 2: 1}, 2)
        receive("b", 1, {3: 1}, 8)
        receive("b", 2, {3: 1, 2: 5}, 9)
        self.assertEqual(relay.peers_in_flight(SECOND)[7][0], 10)
        receive("a", 2, {1: 1}, 1)
        self.assertEqual(relay.peers_in_flight(SECOND)[7][0], 10)

    def test_the_smallest_divisor_of_the_other_nodes_is_reported(self):
        fleet = self.fleet
        fleet.advance(SECOND)
        self.assertEqual([set(node.fleet_sizes(fleet.now).values()) for node in fleet.nodes.values()], [{4}] * 4)
        fleet.nodes["g"].update_in_flight(fleet.now, load(8), 3)
        fleet.partitioned = {("g", "b")}
        fleet.advance(SECOND)
        fleet.partitioned = set()
        fleet.nodes["b"].on_message(fleet.now, _member_update("g", 99, 3))
        fleet.advance(500 * MS)
        self.assertEqual(
            {key: min(node.fleet_sizes(fleet.now).values()) for key, node in fleet.nodes.items() if key != "g"},
            {"a": 3, "b": 3, "f": 3},
        )


def _group_aggregate(key, sequence, coverage, calls):
    from sparloom.aggregation import Coverage, GroupAggregate

    return GroupAggregate(
        key,
        1,
        sequence,
        1,
        0,
        0xFFFFFFFF,
        [Coverage(holder, update) for holder, update in coverage.items()],
        encode_in_flight(load(calls)),
        [],
        [],
    )


def _member_update(key, sequence, fleet_size):
    from sparloom.aggregation import MemberUpdate

    return MemberUpdate(key, 1, sequence, fleet_size, encode_in_flight(load(8)), [])


class Messages(unittest.TestCase):
    def test_encoded_load_is_decoded_unchanged(self):
        for seed in range(50):
            rng = random.Random(seed)
            in_flight = {
                rng.randrange(1 << 32): (
                    rng.randrange(300),
                    32 * rng.randrange(10**5),
                    *(rng.choice((0, 0, rng.randrange(200))) for _ in range(4)),
                )
                for _ in range(rng.randrange(80))
            }
            self.assertEqual(decode_in_flight(encode_in_flight(in_flight)), in_flight)

    def test_ten_thousand_runners_are_sent_in_shards_and_lost_shards_are_tolerated(self):
        relay, follower = InFlightAggregator("a", 1, CONTACT), InFlightAggregator("f", 1, CONTACT)
        tier = RelayTier(("a",), ("a",), False)
        rng = random.Random(1)
        short_ids = rng.sample(range(1 << 32), 10**4)
        relay.update_membership(0 * SECOND, RelayTier(("a",), (), True), {"f": 1})
        relay.update_in_flight(0 * SECOND, dict.fromkeys(short_ids, (1, 0, 0, 0, 0, 0)), 1)
        follower.update_membership(0 * SECOND, tier, {"a": 1})
        follower.update_in_flight(0 * SECOND, load(1, short_ids[0]), 1)
        for sent in follower.due_messages(0 * SECOND):
            relay.on_message(0 * SECOND, sent.message)
        shards = [sent.message for sent in relay.due_messages(0 * SECOND)]
        self.assertLess(max(len(shard.in_flight) for shard in shards), 1100)
        for shard in shards:
            follower.on_message(0 * SECOND, shard)
        self.assertEqual(len(follower.peers_in_flight(0 * SECOND)), 10**4)
        relay.update_in_flight(SECOND, dict.fromkeys(short_ids, (2, 0, 0, 0, 0, 0)), 1)
        for shard in [sent.message for sent in relay.due_messages(SECOND)][::2]:
            follower.on_message(SECOND, shard)
        in_flight = follower.peers_in_flight(SECOND)
        self.assertEqual((len(in_flight), {counts[0] for counts in in_flight.values()}), (10**4, {1, 2}))


def inject_fault(fleet, rng, kind):
    """Injects one fault into a fleet and schedules the recovery from it."""
    relays = [name for name in fleet.running() if fleet.nodes[name].is_relay] or fleet.running()
    name = rng.choice(relays)

    def restart_after(name, delay_ms):
        return fleet.at(delay_ms * MS, lambda: name in fleet.off and fleet.boot(name))

    if kind == "kill":
        fleet.kill(name)
        restart_after(name, rng.choice((200, 1500, 6000)))
    elif kind == "freeze":
        fleet.frozen.add(name)
        fleet.at(rng.choice((300, 1500, 4000, 7000)) * MS, lambda: fleet.thaw(name))
    elif kind in ("deaf", "mute"):
        cuts = {(other, name) if kind == "deaf" else (name, other) for other in fleet.names}
        fleet.cuts |= cuts
        fleet.at(2500 * MS, lambda: fleet.cuts.difference_update(cuts))
    elif kind == "zone":
        for relay in [relay for relay in relays if fleet.zone[relay] == fleet.zone[name]]:
            fleet.kill(relay)
            restart_after(relay, 3000)
    elif kind == "herd":
        for router in rng.sample(fleet.running(), len(fleet.names) // 3):
            fleet.kill(router)
            restart_after(router, 800)


class RandomFaults(unittest.TestCase):
    KINDS = ("kill", "freeze", "deaf", "mute", "zone", "herd", "none")

    def run_faults(self, size, seed, steps):
        fleet, rng = Fleet(size, seed=seed), random.Random(seed)
        fleet.run(8 * SECOND)

        def check():
            for name in fleet.running():
                counts = fleet.own_call_counts(name)
                self.assertLessEqual(max(counts.values(), default=0), 1, (seed, fleet.now, name))
                self.assertNotIn(fleet.nodes[name].instance_id, counts, (seed, fleet.now, name))

        for _ in range(steps):
            inject_fault(fleet, rng, rng.choice(self.KINDS))
            fleet.run(SECOND, check, 250 * MS)
        # The last frozen node thaws after at most 7 s; one and a half contact bounds without faults follow.
        fleet.run(7 * SECOND + 1.5 * CONTACT, check, 500 * MS)
        alive, complete = {fleet.nodes[name].instance_id for name in fleet.running()}, set()
        fleet.run(
            SECOND,
            lambda fleet=fleet, complete=complete, alive=alive: complete.update(
                name
                for name in fleet.running()
                if set(fleet.own_call_counts(name)) | {fleet.nodes[name].instance_id} == alive
            ),
        )
        self.assertEqual(complete, set(fleet.names), seed)
        self.assertLess(fleet.largest_message, 1200)

    def test_no_call_is_counted_twice_and_all_are_counted_after_recovery(self):
        for seed in range(2):
            self.run_faults(24, seed, 8)

    def test_a_fleet_of_eighty_nodes(self):
        self.run_faults(80, 1, 3)

    def test_counts_are_exact_soon_after_a_loss(self):
        """Counts are exact 0.7 contact bounds (detection), a third of it (followers move) and 400 ms after a loss."""
        for seed, lost in ((1, 2), (3, 0)):
            fleet = Fleet(40, seed=seed)
            fleet.run(9 * SECOND)
            relays = [name for name in fleet.names if fleet.nodes[name].is_relay]
            group = sorted(fleet.nodes[relays[0]].neighbours.members)
            for name in (relays[:lost] if lost else [name for name in relays if fleet.zone[name] == "z0"]) + group[:1]:
                fleet.kill(name)
            fleet.run(0.7 * CONTACT + CONTACT / 3 + 400 * MS)
            self.assertEqual(self.exact_within(fleet, 500 * MS), set(fleet.running()), seed)

    @staticmethod
    def exact_within(fleet, duration):
        """The nodes that counted exactly the running instances at some time within a duration."""
        alive, exact = {fleet.nodes[name].instance_id for name in fleet.running()}, set()
        fleet.run(
            duration,
            lambda: exact.update(
                name
                for name in fleet.running()
                if set(fleet.own_call_counts(name)) | {fleet.nodes[name].instance_id} == alive
            ),
        )
        return exact


class MessageCost(unittest.TestCase):
    def test_messages_per_node_grow_no_faster_than_the_logarithm(self):
        """Compared with 20 nodes, while the calls of each node change all the time."""
        rates = {}
        for size, duration in ((20, 2 * SECOND), (80, SECOND), (320, SECOND / 2)):
            fleet = Fleet(size, zones=5, shared_resources=36, own_calls=False)
            fleet.run(400 * MS)
            before = sum(fleet.messages_sent.values()), sum(fleet.bytes_sent.values())
            fleet.run(duration)
            rates[size] = [
                (new - old) / size / (duration / SECOND)
                for new, old in zip(
                    (sum(fleet.messages_sent.values()), sum(fleet.bytes_sent.values())), before, strict=True
                )
            ]
        for size in (80, 320):
            self.assertLess(rates[size][0], rates[20][0] * log(size) / log(20), rates)

    def test_the_error_depends_on_staleness_and_not_on_the_number_of_nodes(self):
        """Compares the mean error of a count with sqrt(4 x calls per second x staleness / pi)."""
        for size in (20, 80):
            fleet, errors = Fleet(size, zones=5, shared_resources=6, own_calls=False), []
            fleet.run(4 * SECOND)
            fleet.run(
                SECOND,
                lambda fleet=fleet, errors=errors: errors.extend(fleet.error(name, 6) for name in fleet.names[::4]),
            )
            # Each node starts a call with a probability of 0.02 per 50 ms tick, and ends about as many.
            rate = size * 0.02 / 0.05
            self.assertLess(sum(errors) / len(errors), 1.3 * sqrt(4 * rate * 0.25 / pi), size)
