"""Routers' words about calls and long prompts: directly in a small fleet, through the tier in a large one."""

import random
import unittest
from datetime import timedelta
from unittest import mock

from sparloom.discovery import Endpoint, EndpointList
from sparloom.dynamic_timeout import Bucket
from sparloom.membership import ROUTER, Peer, Swim, SwimTiming
from sparloom.router import in_flight_gossip as gossip_module
from sparloom.router import router_node as node_module
from sparloom.router import router_state as state_module
from sparloom.router.router_node import RouterNode
from sparloom.settings import from_dict
from tests.support.router_fixture import STARTUP

MS = timedelta(milliseconds=1)
OPEN = [Bucket(timedelta(seconds=1), -1)]


class Net:
    def __init__(self, key, fleet):
        self.key, self.fleet, self.sent = key, fleet, 0

    def send(self, to, rec):
        for t in (to,) if isinstance(to, str) else to:
            self.sent += 1
            self.fleet.routers[t].gossip.on_message(rec, self.key)


class Routers:
    """Routers that know each other, on a clock that is moved by hand."""

    def __init__(self, n, known=True):
        self.now, self.turn, self.routers = timedelta(seconds=100), 0, {}
        for i in range(n):
            up = from_dict(
                {**STARTUP, "nodeName": f"front-{i}", "ipAddress": f"10.0.0.{i}", "zone": f"z{i % 3}"}
            ).unwrap()
            k = RouterNode(up)
            k.random = random.Random(i)
            k.swim = Swim(
                Peer(k.key, ROUTER, up.zone, "", k.gossip.instance_id, 0, 0),
                (),
                SwimTiming.of(timedelta(seconds=3)),
                k.random,
            )
            k.datagrams, k.endpoint_list = (
                Net(k.key, self),
                EndpointList([Endpoint(f"i-{r}", "s", f"10.1.0.{r}:1", "z0", 8, False, 0) for r in range(4)], n),
            )
            k.gossip.call_later = lambda delay, callback: None
            k.backends = k.backends.renew(k.endpoint_list.runners, lambda s: 10**6)
            self.routers[k.key] = k
        for k in self.routers.values():
            for o in self.routers.values():
                if known and o is not k:
                    k.swim._learn(o.swim.me)
        self.all = list(self.routers.values())

    def beat(self, turns):
        for _ in range(turns):
            self.turn, self.now = self.turn + 1, self.now + 50 * MS
            for k in self.all:
                if self.turn % 4 == 1:
                    k.update_fleet_size()
                    k.update_relay_tier()
                k.gossip.tick(self.turn)


class Words(unittest.TestCase):
    def setUp(self):
        for m in (gossip_module, node_module, state_module):
            p = mock.patch.object(m, "monotonic", lambda: self.fleet.now if self.fleet else timedelta(seconds=100))
            p.start()
            self.addCleanup(p.stop)
        self.fleet = None

    def routers(self, n):
        self.fleet = Routers(n)
        self.fleet.beat(40)
        return self.fleet.all

    def test_each_counts_the_calls_of_all(self):
        for n, tiered in ((4, False), (36, True)):
            ks = self.routers(n)
            self.assertEqual({k.relay_tier.stands for k in ks}, {tiered})
            slots = [k.in_flight.acquire("i-1", OPEN, self.fleet.now, 64) for k in ks]
            self.fleet.beat(12)
            self.assertEqual(
                {
                    (k.in_flight.count("i-1", self.fleet.now), k.in_flight.prefill_tokens("i-1", self.fleet.now))
                    for k in ks
                },
                {(n, 64 * n)},
            )
            for s in slots[1:]:
                s.release(self.fleet.now)
            self.fleet.beat(12)
            self.assertEqual({k.in_flight.count("i-1", self.fleet.now) for k in ks}, {1})
            self.assertEqual(sum(k.in_flight.count("i-2", self.fleet.now) for k in ks), 0)

    def test_long_parts_reach_all_within_two_beats(self):
        for n in (4, 36):
            ks = self.routers(n)
            for k in (
                next(k for k in ks if not k.relay_tier.relay),
                ks[-1],
                next((k for k in ks if k.relay_tier.relay), ks[0]),
            ):
                part = (k.random.getrandbits(60), 5000)
                k.gossip.on_prompt_sent(k.backends.by_id["i-3"], (part, (1, 10)))
                self.fleet.beat(2)
                self.assertEqual(
                    [o.key for o in ks if o is not k and part[0] not in o.backends.by_id["i-3"].cached.prefixes], []
                )

    def test_the_divisor_comes_through(self):
        ks = self.routers(36)
        self.assertEqual({k.fleet_size.divisor for k in ks}, {36})
        self.assertEqual({min(k.gossip.known_fleet_sizes().values()) for k in ks}, {36})
        self.assertTrue(all(k.fleet_size.open for k in ks))

    def test_while_a_fleet_finds_itself_no_call_counts_twice(self):
        """Each learns of the others one by one: some have a tier when others have none."""
        self.fleet = Routers(30, known=False)
        ks, rng = self.fleet.all, random.Random(1)
        for k in ks:
            k.in_flight.acquire("i-1", OPEN, self.fleet.now)
        pairs = [(k, o) for k in ks for o in ks if o is not k]
        rng.shuffle(pairs)
        while pairs:
            for k, o in pairs[:40]:
                k.swim._learn(o.swim.me)
            del pairs[:40]
            self.fleet.beat(1)
            self.assertLessEqual(max(k.in_flight.count("i-1", self.fleet.now) for k in ks), 30)
        self.fleet.beat(80)
        self.assertEqual({k.in_flight.count("i-1", self.fleet.now) for k in ks}, {30})

    def test_a_fleet_that_shrinks_goes_back_to_direct_words(self):
        ks = self.routers(30)
        slots = [k.in_flight.acquire("i-1", OPEN, self.fleet.now) for k in ks]
        self.fleet.beat(12)
        for k in ks[6:]:
            for o in ks[:6]:
                o.swim._learn(Peer(k.key, ROUTER, k.settings.zone, "", k.gossip.instance_id, 1, 2))
                o.membership.report_departed()
        self.fleet.all = ks[:6]
        for _ in range(20):
            self.fleet.beat(4)
            self.assertLessEqual(max(k.in_flight.count("i-1", self.fleet.now) for k in ks[:6]), 30)
        self.assertEqual(
            {(k.relay_tier.stands, k.gossip.tiered, k.in_flight.count("i-1", self.fleet.now)) for k in ks[:6]},
            {(False, False, 6)},
        )
        self.assertEqual(len(slots), 30)

    def test_datagrams_are_a_quarter_of_those_without_a_tier(self):
        ks = self.routers(72)
        before = sum(k.datagrams.sent for k in ks)
        for t in range(20):
            for k in ks:
                k.in_flight.acquire(f"i-{t % 4}", OPEN, self.fleet.now)
            self.fleet.beat(1)
        self.assertLess(sum(k.datagrams.sent for k in ks) - before, 72 * 71 * 5 / 4)
