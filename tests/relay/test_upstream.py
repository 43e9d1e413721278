"""The relay tier: its plan, the choice of the upstream node, and random faults with up to 84 routers in one process.

The timelines are tables with the time in ms since the tier became stable, and a column for each node: ``relay`` and
``second`` are two relays of one zone, ``mate`` is a follower of the first one, ``core`` stands for all controllers
and ``all`` for all routers.
"""

import random
import unittest

from simulator.timeline import rows
from sparloom.feed import CONFIGURATION, SourceTracker, VersionedStore
from sparloom.relay import LeaveReason, RelayTier, Upstream, UpstreamTiming, plan_tier
from tests.support.relay_network import CONTACT, MS, Net

ONE_THIRD_CONTACT = CONTACT / 3
MARGIN = 120 * MS


def members(*sizes):
    return [(f"z{zone}-{i}", f"z{zone}") for zone, size in enumerate(sizes) for i in range(size)]


class Plan(unittest.TestCase):
    def test_small_fleets_have_no_tier(self):
        for sizes in ((1,), (2, 2, 1, 1), (4, 2, 2), (3, 3, 3)):
            for key, zone in (routers := members(*sizes)):
                self.assertEqual(plan_tier(key, zone, [router for router in routers if router[0] != key]), RelayTier())

    def test_routers_with_the_same_membership_choose_the_same_relays(self):
        for sizes in ((17, 15, 13, 14, 14), (21, 21, 21), (40, 1, 39), (4, 4, 4, 4, 4)):
            routers = members(*sizes)
            tiers = {
                key: plan_tier(
                    key, zone, random.sample([router for router in routers if router[0] != key], len(routers) - 1)
                )
                for key, zone in routers
            }
            self.assertEqual(len({tier.relays for tier in tiers.values()}), 1)
            relays = next(iter(tiers.values())).relays
            self.assertEqual({zone for key, zone in routers if key in relays}, {zone for _, zone in routers})
            for key, zone in routers:
                tier = tiers[key]
                self.assertEqual((tier.is_relay, set(tier.parents)), (key in relays, set(relays) - {key}))
                self.assertEqual(
                    {dict(routers)[parent] for parent in tier.parents[: tier.local_parents]} - {zone}, set()
                )
            self.assertLessEqual(2 * (len(relays) + len(routers) / len(relays)), len(routers) + 1)

    def test_a_router_that_joins_or_leaves_changes_few_relays(self):
        for size in range(50, 110):
            smaller, larger = (
                set(plan_tier("z0-0", "z0", members(*(size // 5 + (i < size % 5) for i in range(5)))[1:]).relays)
                for size in (size, size + 1)
            )
            self.assertLessEqual(len(smaller ^ larger), 6 if int(size**0.5) ** 2 == size else 2)

    def test_the_followers_of_a_lost_relay_spread_over_other_relays(self):
        routers = members(20, 20, 20, 20)
        relays = plan_tier("z0-0", "z0", routers[1:]).relays
        lost = relays[0]
        alternatives = [
            next(
                parent
                for parent in plan_tier(key, zone, [router for router in routers if router[0] != key]).parents
                if parent != lost
            )
            for key, zone in routers
            if key not in relays
        ]
        self.assertLessEqual(max(map(alternatives.count, set(alternatives))), 0.35 * len(alternatives))


class Deltas(unittest.TestCase):
    def test_deltas_are_retained_only_while_they_are_smaller_than_the_snapshot(self):
        store = VersionedStore()
        store.put(CONFIGURATION, (1, 1), b"w" * 100)
        for number in range(2, 30):
            store.put(CONFIGURATION, (1, number), b"w" * 100, b"s" * 30)
            self.assertLessEqual(
                sum(len(change.payload) for change in store.changes_after({CONFIGURATION: (1, max(1, number - 3))})),
                100,
            )
        self.assertEqual([change.base for change in store.changes_after({CONFIGURATION: (1, 20)})], [(0, 0)])

    def test_a_snapshot_is_encoded_only_when_it_is_needed(self):
        store, encoded = VersionedStore(), []
        store.put(CONFIGURATION, (1, 1), b"w" * 100)
        store.put(CONFIGURATION, (1, 2), lambda: encoded.append(1) or b"x" * 100, b"s")
        self.assertEqual([change.payload for change in store.changes_after({CONFIGURATION: (1, 1)})], [b"s"])
        self.assertEqual(encoded, [])
        self.assertEqual(
            [change.payload for change in store.changes_after({}) + store.changes_after({})], [b"x" * 100] * 2
        )
        self.assertEqual(encoded, [1])


class ConfirmationAge(unittest.TestCase):
    def test_network_delay_adds_to_the_age(self):
        tracker = SourceTracker(ONE_THIRD_CONTACT, ONE_THIRD_CONTACT)
        tracker.start(0 * MS)
        for now, sent_at, age in ((400, 5000, 10), (800, 5400, 10), (1900, 5800, 710), (2900, 6200, 1310)):
            tracker.on_heartbeat(now * MS, 10, sent_at)
            self.assertEqual(tracker.reported_age, age * MS)
        self.assertFalse(tracker.should_move(2900 * MS))
        self.assertTrue(tracker.should_move(2950 * MS))

    def test_the_last_confirmation_is_retained_after_a_change_of_source(self):
        tracker = SourceTracker(ONE_THIRD_CONTACT, ONE_THIRD_CONTACT)
        tracker.start(0 * MS)
        tracker.on_heartbeat(100 * MS, 40)
        tracker.start(500 * MS)
        self.assertEqual((tracker.confirmation_age(600 * MS), tracker.last_confirmed_age(600 * MS)), (None, 540 * MS))


class UpstreamChoice(unittest.TestCase):
    def upstream(self, relay=False):
        upstream = Upstream("me", UpstreamTiming.from_contact_bound(CONTACT), random.Random(1))
        upstream.update_tier(0 * MS, RelayTier(("a", "b", "x"), ("a", "b", "x"), relay, 2))
        return upstream

    def test_at_startup_a_router_follows_a_controller_first_and_a_relay_later(self):
        """The controller is followed at once."""
        upstream = self.upstream()
        self.assertEqual(upstream.choose(0 * MS, ("c", "d")), "c")
        upstream.on_connecting(0 * MS, "c")
        for ms in range(0, int(CONTACT / MS), 400):
            upstream.on_heartbeat(ms * MS, 10)
            self.assertIsNone(upstream.leave_reason(ms * MS))
        upstream.on_heartbeat(2 * CONTACT, 10)
        self.assertIsNotNone(upstream.leave_reason(2 * CONTACT))
        self.assertEqual(upstream.choose(2 * CONTACT, ("c", "d")), "a")

    def test_a_relay_keeps_following_a_controller(self):
        upstream = self.upstream(relay=True)
        upstream.on_connecting(0 * MS, "c")
        for ms in range(0, 60000, 400):
            upstream.on_heartbeat(ms * MS, 10)
            self.assertIsNone(upstream.leave_reason(ms * MS))
        self.assertTrue(upstream.can_serve())

    def test_a_stale_relay_is_left_for_another_relay_and_not_for_a_controller(self):
        upstream, now, left = self.upstream(), 3 * CONTACT, []
        upstream.on_connecting(now, upstream.choose(now, ("c",)))
        upstream.on_heartbeat(now, 10)
        for _ in range(4):
            while (reason := upstream.leave_reason(now)) is None:
                now += 100 * MS
                upstream.on_heartbeat(now, 5000)
            left.append((upstream.parent, reason))
            upstream.on_disconnected(now, reason)
            upstream.on_connecting(now, upstream.choose(now, ("c",)))
            upstream.on_heartbeat(now, 5000)
        self.assertEqual([parent for parent, _ in left], ["a", "b", "x", "a"])
        self.assertEqual({reason for _, reason in left}, {LeaveReason.STALE})

    def test_a_router_falls_back_to_a_controller_soon_when_no_relay_answers(self):
        upstream, now = self.upstream(), 3 * CONTACT
        upstream.on_connecting(now, "a")
        upstream.on_heartbeat(now, 10)
        now += ONE_THIRD_CONTACT
        lost_at = now
        upstream.on_disconnected(now, upstream.leave_reason(now))
        while (target := upstream.choose(now, ("c",))) != "c":
            upstream.on_connecting(now, target)
            now += upstream.timing.dial
            upstream.on_disconnected(now, "gone")
        self.assertLessEqual(now - lost_at, CONTACT / 4 + MARGIN)

    def test_a_router_leaves_a_former_relay_after_a_delay(self):
        upstream = self.upstream()
        upstream.on_connecting(2 * CONTACT, "a")
        upstream.update_tier(2 * CONTACT, RelayTier(("b", "x", "y"), ("b", "x", "y"), False, 1))
        left_after_ms = next(
            ms
            for ms in range(0, 30000, 100)
            if upstream.on_heartbeat(2 * CONTACT + ms * MS, 10) or upstream.leave_reason(2 * CONTACT + ms * MS)
        )
        self.assertTrue(CONTACT <= left_after_ms * MS <= 2 * CONTACT)


class Timelines(unittest.TestCase):
    """Plays faults and checks expectations at fixed times.

    Actions on the column's nodes, except for ``heal`` and ``write``; ``+`` joins several:

    ``cut``: blocks all messages to and from the nodes; ``cut-in``: only those to them; ``cut-out``: only from them.
    ``off-core``: blocks all messages between the nodes and the controllers.
    ``kill``: ends the nodes and closes their followers' connections.
    ``dark``: ends the nodes without closing these connections.
    ``boot``: starts the nodes with empty state.
    ``freeze``: suspends the nodes.
    ``slow``: delays all that the nodes send by 2500 ms.
    ``heal``: ends all faults and starts the nodes that are not running.
    ``write``: commits a new version.

    Expectations; a node counts as faulty from its first fault on, also after it is healed:

    ``moved``: the column's first node follows a source that is not faulty.
    ``current``: the column's nodes have the newest version.
    ``others``: all routers that are not faulty have the newest version.
    ``calm``: since the start of the timeline, the number of connections to controllers has not exceeded the initial
    number of relays plus one eighth of the routers.
    ``groups``: the current number of these connections is at most the current number of relays plus three.
    """

    def play(self, text, seeds=(0,), routers=30):
        columns, timeline = rows(text)
        for seed in seeds:
            net = Net(routers, zones=3, seed=seed)
            net.write()
            net.run(12500)
            relays = net.relays()
            relay = next(
                key for key in relays if sum(net.nodes[other].zone == net.nodes[key].zone for other in relays) > 1
            )
            second = next(key for key in relays if key != relay and net.nodes[key].zone == net.nodes[relay].zone)
            mate = min(connection.follower for connection in net.nodes[relay].followers)
            targets = {
                "relay": [relay],
                "second": [second],
                "mate": [mate],
                "core": [name for name in net.nodes if name[0] == "c"],
                "all": list(net.routers),
            }
            self.connection_limit = len(relays) + routers // 8
            net.maximum_direct, started_at, self.faulty = 0, net.now, set()
            for ms, cells in timeline:
                while net.now - started_at < ms * MS:
                    net.run(min(50, ms - (net.now - started_at) / MS))
                    self.assertEqual(net.nested_relays(), [], "a relay follows another router")
                for column, cell in zip(columns, cells, strict=False):
                    for action in cell.split("+"):
                        if action not in (".", "|"):
                            self.perform(net, targets, column, action, f"seed {seed}, {ms} ms, {column}: {action}")

    def perform(self, net, targets, column, action, context):
        nodes = [net.nodes[name] for name in targets[column]]
        if action in ("cut", "cut-in", "cut-out", "off-core", "kill", "dark", "freeze", "slow"):
            self.faulty |= set(targets[column])
        directions = {"cut": "both", "cut-in": "in", "cut-out": "out"}
        if action in directions:
            for node in nodes:
                net.cut(node.name, way=directions[action])
        elif action == "off-core":
            for node in nodes:
                net.cut(node.name, targets["core"])
        elif action in ("kill", "dark"):
            for node in nodes:
                net.kill(node.name, unreachable=action == "dark")
        elif action == "boot":
            for node in nodes:
                net.boot(node.name)
        elif action in ("freeze", "slow"):
            for node in nodes:
                net.degrade(node.name, action == "freeze", 2500 * (action == "slow"))
        elif action == "heal":
            net.heal()
        elif action == "write":
            net.write()
        elif action == "moved":
            node = nodes[0]
            self.assertIsNotNone(node.connection, context)
            self.assertNotIn(node.connection.source, self.faulty, context)
        elif action == "current":
            self.assertEqual(
                net.outdated_routers(excluded=[] if column == "all" else set(net.routers) - set(targets[column])),
                [],
                context,
            )
        elif action == "others":
            self.assertEqual(net.outdated_routers(excluded=self.faulty), [], context)
        elif action == "calm":
            self.assertLessEqual(net.maximum_direct, self.connection_limit, context)
        elif action == "groups":
            self.assertLessEqual(net.direct_connections(), len(net.relays()) + 3, context)
        else:
            raise ValueError(action)

    def test_without_faults_all_routers_are_current(self):
        self.play("""
            ms    all
            0     groups+write
            600   current+calm
        """)

    def test_a_relay_fails_without_closing_its_connections(self):
        self.play("""
            ms    relay  mate     all
            0     dark   .        write
            100   .      .        .
            1450  .      moved    current+calm
            8000  boot   .        write
            24000 .      .        current+calm+groups
        """)

    def test_a_relay_shuts_down(self):
        self.play("""
            ms    relay  mate     all
            0     kill   .        write
            200   .      moved    .
            600   .      .        current+calm
        """)

    def test_a_relay_freezes(self):
        self.play("""
            ms    relay  mate     all
            0     freeze .        write
            1450  .      moved    others+calm
            3000  heal   .        .
            4500  .      .        current+calm
        """)

    def test_a_relay_sends_with_a_long_delay(self):
        self.play("""
            ms    relay  mate     all
            0     slow   .        write
            1700  .      moved    others+calm
        """)

    def test_a_relay_is_partitioned_from_the_controllers_only(self):
        self.play("""
            ms    relay     mate     all
            0     off-core  .        .
            500   .         .        write
            1450  .         moved    others+calm
        """)

    def test_a_relay_is_partitioned_in_one_or_both_directions(self):
        for way in ("cut", "cut-out"):
            self.play(f"""
                ms    relay  mate     all
                0     {way}  .        write
                1450  .      moved    others+calm
            """)
        self.play("""
            ms    relay   mate     all
            0     cut-in  .        .
            2500  .       moved    calm
            2500  .       .        write
            3100  .       .        others+calm
        """)

    def test_two_relays_of_a_zone_fail(self):
        self.play("""
            ms    relay  second  mate     all
            0     dark   dark    .        write
            1800  .      .       moved    current+calm
        """)
        self.play("""
            ms    relay     second    mate     all
            0     off-core  off-core  .        write
            1800  .         .         moved    others+calm
        """)

    def test_all_routers_restart(self):
        self.play("""
            ms    core  all
            0     .     kill
            800   .     boot
            850   .     write
            1450  .     current
            16000 .     current+groups
        """)

    def test_all_controllers_freeze(self):
        self.play("""
            ms     core    all
            0      freeze  .
            3500   .       calm
            3500   heal    write
            5000   .       current+calm
            18000  .       current+groups
        """)


class RandomFaults(unittest.TestCase):
    def inject_faults(self, net, rng):
        """Performs twelve random actions (faults, restarts, repairs).

        Each but ``heal``, which repairs all nodes, is on at least one node that was a relay at the start.
        """
        relays = net.relays() or net.routers[:2]
        for _ in range(12):
            kind = rng.choice(
                ("kill", "dark", "freeze", "slow", "cut", "cut-in", "cut-out", "off-core", "boot", "heal", "release")
            )
            affected = rng.sample(relays, min(len(relays), rng.choice((1, 1, 2)))) + rng.sample(
                net.routers, rng.choice((0, 0, 3, 20))
            )
            for router in affected:
                node = net.nodes[router]
                if kind in ("kill", "dark") and node.is_running:
                    net.kill(router, unreachable=kind == "dark")
                elif kind == "boot" and not node.is_running:
                    net.boot(router)
                elif kind in ("freeze", "slow"):
                    net.degrade(router, kind == "freeze", 400 * (kind == "slow"))
                elif kind == "off-core":
                    net.cut(router, [name for name in net.nodes if name[0] == "c"], rng.choice(("in", "out", "both")))
                elif kind.startswith("cut"):
                    net.cut(router, way={"cut": "both", "cut-in": "in", "cut-out": "out"}[kind])
                elif kind == "release" and node.is_running:
                    net.kill(router)
                    net.run(150)
                    net.boot(router)
            if kind == "heal":
                net.heal()
            if rng.random() < 0.6:
                net.write()
            net.run(rng.choice((150, 600, 1500)))
            self.assertEqual(net.nested_relays(), [])

    def test_all_routers_are_current_after_random_faults(self):
        for seed, routers in ((1, 84), (28, 40)):
            rng, net = random.Random(seed), Net(routers, seed=seed, loss=0.02, flapping=0.04)
            net.write()
            net.run(10000)
            self.inject_faults(net, rng)
            net.heal()
            net.write()
            net.run(CONTACT / MS)
            self.assertEqual(net.outdated_routers(), [], seed)
            net.run(4 * CONTACT / MS)
            net.write()
            net.run(300)
            self.assertEqual(net.outdated_routers(), [], seed)
            self.assertLessEqual(net.direct_connections(), len(net.relays()) + routers // 8, seed)

    def test_a_rolling_restart_of_all_routers(self):
        net = Net(40, seed=5)
        net.write()
        net.run(12000)
        maximum_connections = 0
        for i, router in enumerate(net.routers):
            net.kill(router)
            net.run(150)
            net.boot(router)
            if i % 3 == 0:
                net.write()
            net.run(350)
            maximum_connections = max(maximum_connections, net.direct_connections())
            self.assertEqual((net.nested_relays(), net.outdated_routers()), ([], []), router)
        self.assertLess(maximum_connections, 32)
        net.run(4 * CONTACT / MS)
        self.assertLessEqual(net.direct_connections(), len(net.relays()) + 8)
