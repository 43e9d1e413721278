"""Tests of the gossip of in-flight counts and long prompts: direct in a small fleet, through relays in a large one."""

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
START = timedelta(seconds=100)
UNLIMITED = [Bucket(timedelta(seconds=1), -1)]


class FakeDatagrams:
    """Delivers each message immediately and counts the messages."""

    def __init__(self, key, fleet):
        self.key = key
        self.fleet = fleet
        self.sent = 0

    def send(self, to, message):
        for address in (to,) if isinstance(to, str) else to:
            self.sent += 1
            self.fleet.by_key[address].gossip.on_message(message, self.key)


class Fleet:
    """Routers on a manual clock; with ``known``, all of them start in each other's membership table."""

    def __init__(self, size, known=True):
        self.now = START
        self.turn = 0
        self.by_key = {}
        for number in range(size):
            router = self.make_router(number, size)
            self.by_key[router.key] = router
        self.running = list(self.by_key.values())
        for router in self.running:
            for other in self.running:
                if known and other is not router:
                    router.swim._merge(other.swim.local_peer)

    def make_router(self, number, size):
        node = {"nodeName": f"front-{number}", "ipAddress": f"10.0.0.{number}", "zone": f"z{number % 3}"}
        settings = from_dict({**STARTUP, **node}).unwrap()
        router = RouterNode(settings)
        router.random = random.Random(number)
        own_peer = Peer(router.key, ROUTER, settings.zone, "", router.gossip.instance_id, 0, 0)
        router.swim = Swim(own_peer, (), SwimTiming.of(timedelta(seconds=3)), router.random)
        router.datagrams = FakeDatagrams(router.key, self)
        endpoints = [Endpoint(f"i-{r}", "s", f"10.1.0.{r}:1", "z0", 8, False, 0) for r in range(4)]
        router.endpoint_list = EndpointList(endpoints, size)
        router.gossip.call_later = lambda delay, callback: None
        router.backends = router.backends.updated(endpoints, lambda service: 10**6)
        return router

    def tick(self, turns):
        for _ in range(turns):
            self.turn, self.now = self.turn + 1, self.now + 50 * MS
            for router in self.running:
                if self.turn % 4 == 1:
                    router.update_fleet_size()
                    router.update_relay_tier()
                router.gossip.tick(self.turn)


class InFlightGossipTest(unittest.TestCase):
    def setUp(self):
        for module in (gossip_module, node_module, state_module):
            patch = mock.patch.object(module, "monotonic", lambda: self.fleet.now if self.fleet else START)
            patch.start()
            self.addCleanup(patch.stop)
        self.fleet = None

    def start_routers(self, size):
        self.fleet = Fleet(size)
        self.fleet.tick(40)
        return self.fleet.running

    def acquire(self, router, backend="i-1", tokens=0):
        return router.in_flight.acquire(backend, UNLIMITED, self.fleet.now, tokens)

    def count(self, router, backend="i-1"):
        return router.in_flight.count(backend, self.fleet.now)

    def prefill_tokens(self, router):
        return router.in_flight.prefill_tokens("i-1", self.fleet.now)

    def test_each_router_counts_the_requests_of_all_routers(self):
        for size, tiered in ((4, False), (36, True)):
            routers = self.start_routers(size)
            self.assertEqual({router.relay_tier.exists for router in routers}, {tiered})
            slots = [self.acquire(router, tokens=64) for router in routers]
            self.fleet.tick(12)
            counts = {(self.count(router), self.prefill_tokens(router)) for router in routers}
            self.assertEqual(counts, {(size, 64 * size)})
            for slot in slots[1:]:
                slot.release(self.fleet.now)
            self.fleet.tick(12)
            self.assertEqual({self.count(router) for router in routers}, {1})
            self.assertEqual(sum(self.count(router, "i-2") for router in routers), 0)

    def test_long_prefixes_reach_all_routers_within_two_ticks(self):
        for size in (4, 36):
            routers = self.start_routers(size)
            follower = next(router for router in routers if not router.relay_tier.is_relay)
            relay = next((router for router in routers if router.relay_tier.is_relay), routers[0])
            for sender in (follower, routers[-1], relay):
                prefix = sender.random.getrandbits(60)
                sender.gossip.on_prompt_sent(sender.backends.by_id["i-3"], ((prefix, 5000), (1, 10)))
                self.fleet.tick(2)
                others = [router for router in routers if router is not sender]
                missing = [other.key for other in others if prefix not in other.backends.by_id["i-3"].cached.prefixes]
                self.assertEqual(missing, [])

    def test_the_fleet_size_is_exchanged_through_the_relay_tier(self):
        routers = self.start_routers(36)
        self.assertEqual({router.fleet_size.divisor for router in routers}, {36})
        self.assertEqual({min(router.gossip.reported_fleet_sizes().values()) for router in routers}, {36})
        self.assertTrue(all(router.fleet_size.admitting for router in routers))

    def test_no_request_is_counted_twice_while_membership_converges(self):
        """Routers discover each other one by one, so some have a relay tier while others don't."""
        self.fleet = Fleet(30, known=False)
        routers, rng = self.fleet.running, random.Random(1)
        for router in routers:
            self.acquire(router)
        pairs = [(router, other) for router in routers for other in routers if other is not router]
        rng.shuffle(pairs)
        while pairs:
            for router, other in pairs[:40]:
                router.swim._merge(other.swim.local_peer)
            del pairs[:40]
            self.fleet.tick(1)
            self.assertLessEqual(max(self.count(router) for router in routers), 30)
        self.fleet.tick(80)
        self.assertEqual({self.count(router) for router in routers}, {30})

    def test_a_fleet_that_shrinks_returns_to_direct_messages(self):
        routers = self.start_routers(30)
        slots = [self.acquire(router) for router in routers]
        self.fleet.tick(12)
        remaining = routers[:6]
        for stopped in routers[6:]:
            dead_peer = Peer(stopped.key, ROUTER, stopped.settings.zone, "", stopped.gossip.instance_id, 1, 2)
            for router in remaining:
                router.swim._merge(dead_peer)
                router.membership.report_departed()
        self.fleet.running = remaining
        for _ in range(20):
            self.fleet.tick(4)
            self.assertLessEqual(max(self.count(router) for router in remaining), 30)
        states = {(router.relay_tier.exists, router.gossip.tiered, self.count(router)) for router in remaining}
        self.assertEqual(states, {(False, False, 6)})
        self.assertEqual(len(slots), 30)

    def test_the_relay_tier_sends_less_than_a_quarter_of_the_datagrams_of_direct_gossip(self):
        routers = self.start_routers(72)
        before = sum(router.datagrams.sent for router in routers)
        for turn in range(20):
            for router in routers:
                self.acquire(router, f"i-{turn % 4}")
            self.fleet.tick(1)
        self.assertLess(sum(router.datagrams.sent for router in routers) - before, 72 * 71 * 5 / 4)
