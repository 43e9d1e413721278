"""Tests members' reserves at one router, and the routers' shares of the capacity during floods and failures."""

import random
import unittest
from datetime import timedelta

from returns.pipeline import is_successful

from sparloom.admission import (
    AdmissionController,
    Admitted,
    Capacity,
    Demand,
    FleetSize,
    Queued,
    Rejected,
    parse_members,
)
from sparloom.configuration import Route
from sparloom.router.timeout_buckets import buckets_for, maximum_in_flight
from tests.support.aggregation_fleet import Fleet as AggregationFleet

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


class MemberDeclarations(unittest.TestCase):
    def test_error_messages_name_the_members(self):
        for table, message in (
            ({"a": {"hosts": ["x"], "reserve": -0.1}}, "members.a.reserve must not be negative"),
            ({"a": {}}, "members.a names neither"),
            ({"a": 3}, "members.a must be a table"),
            ([], "members must be a table"),
            ({"a": {"routes": "r"}}, "members.a.routes"),
            ({"a": {"hosts": ["x"], "reserve": "1"}}, "members.a.reserve must be a number"),
            ({"a": {"routes": ["r"]}, "b": {"routes": ["r"]}}, "Members a and b both claim the route r"),
            (
                {"a": {"hosts": ["x"], "reserve": 0.7}, "b": {"hosts": ["y"], "reserve": 0.7}},
                "members a, b add up to 1.4",
            ),
        ):
            result = parse_members(table)
            self.assertFalse(is_successful(result))
            self.assertIn(message, result.failure())


class Reservations(unittest.TestCase):
    def controller(self):
        return AdmissionController(Capacity(10, 1000), {"a": 0.3, "b": 0.3})

    def acquire(self, controller, id, member, priority=0, tokens=0, at=0 * SECOND, deadline=60 * SECOND):
        return type(controller.acquire(at, id, member, priority, Demand(tokens), deadline))

    def test_a_flood_does_not_use_the_reserve_of_another_member(self):
        controller = self.controller()
        decisions = [self.acquire(controller, id, "b") for id in range(20)]
        self.assertEqual(decisions.count(Admitted), 7)
        self.assertEqual([self.acquire(controller, 100 + index, "a") for index in range(4)], [Admitted] * 3 + [Queued])

    def test_tokens_are_reserved_too(self):
        controller = self.controller()
        decisions = [self.acquire(controller, id, "b", tokens=200) for id in range(5)]
        self.assertEqual(decisions.count(Admitted), 3)
        self.assertEqual(self.acquire(controller, 9, "a", tokens=300), Admitted)

    def test_a_request_larger_than_its_share_is_admitted(self):
        self.assertEqual(self.acquire(self.controller(), 1, "a", tokens=10**6), Admitted)

    def test_queued_requests_are_admitted_by_priority_then_age(self):
        controller = self.controller()
        for id in range(7):
            self.acquire(controller, id, "b")
        for id, priority in ((20, 1), (21, 0), (22, 1), (23, 0)):
            self.acquire(controller, id, "b", priority, at=id * MS)
        order = [admitted.id for id in range(4) for admitted in controller.release(SECOND, id)]
        self.assertEqual(order, [21, 23, 20, 22])

    def test_admitted_and_queued_requests_match_the_decisions(self):
        for seed in range(20):
            rng, controller, now, admitted, waiting, requested = (
                random.Random(seed),
                self.controller(),
                0 * SECOND,
                set(),
                set(),
                set(),
            )
            for id in range(600):
                now += rng.randrange(1, 20) * MS
                if rng.random() < 0.6 or not admitted:
                    decision = controller.acquire(
                        now, id, rng.choice("abz"), rng.randrange(2), Demand(rng.randrange(300)), now + SECOND
                    )
                    requested.add(id)
                    decisions = [decision]
                else:
                    ended = rng.choice(sorted(admitted))
                    admitted.discard(ended)
                    decisions = controller.release(now, ended)
                for decision in decisions + controller.tick(now):
                    if isinstance(decision, Admitted):
                        self.assertNotIn(decision.id, admitted)
                        admitted.add(decision.id)
                        waiting.discard(decision.id)
                    elif isinstance(decision, Queued):
                        waiting.add(decision.id)
                    else:
                        waiting.discard(decision.id)
                queued = {request.id for queue in controller.queues.values() for request in queue}
                self.assertEqual((set(controller.admitted), queued), (admitted, waiting))
                self.assertLessEqual(len(admitted), 10)

    def test_a_request_that_would_miss_its_deadline_is_rejected_at_once(self):
        controller = self.controller()
        for id in range(7):
            self.acquire(controller, id, "b")
        controller.mean_duration = 2 * SECOND
        decision = controller.acquire(0 * SECOND, 50, "b", 0, Demand(), SECOND / 2)
        self.assertIsInstance(decision, Rejected)
        self.assertGreater(decision.retry_after, 0 * SECOND)

    def test_a_queued_request_is_rejected_at_its_deadline(self):
        controller = self.controller()
        for id in range(8):
            self.acquire(controller, id, "b", deadline=SECOND)
        self.assertEqual([type(decision) for decision in controller.tick(2 * SECOND)], [Rejected])

    def test_a_request_whose_client_disconnects_leaves_the_queue(self):
        controller = self.controller()
        for id in range(9):
            self.acquire(controller, id, "b")
        controller.release(SECOND, 7)
        self.assertEqual([admitted.id for admitted in controller.release(SECOND, 0)], [8])

    def test_removing_a_member_does_not_change_another_reserve(self):
        controller = self.controller()
        controller.tick(SECOND, reserve_fractions={"a": 0.3})
        self.assertEqual(controller.statistics(SECOND)["a"]["reserve"], 3)

    def test_reserves_of_less_than_a_slot_are_effective_during_a_flood(self):
        for slots, members, protected in ((13, 2, 2), (13, 40, 2), (4, 2, 1), (3, 350, 1), (2, 350, 1)):
            controller = AdmissionController(
                Capacity(slots), {f"m{index}": 0.125 / members for index in range(members)}
            )
            flood = [self.acquire(controller, id, "m0") for id in range(20)]
            self.assertLessEqual(flood.count(Admitted), slots - protected)
            others = [self.acquire(controller, 100 + index, f"m{index}") for index in range(1, members)]
            self.assertGreaterEqual(others.count(Admitted), min(protected, members - 1))
            self.assertLessEqual(len(controller.admitted), slots)

    def test_the_running_excess_equals_a_recount(self):
        for seed in range(20):
            rng, controller, now = (
                random.Random(seed),
                AdmissionController(Capacity(11, 900), {"a": 0.13, "b": 0.3, "c": 0.02}),
                0 * SECOND,
            )
            for id in range(400):
                now += 5 * MS
                if rng.random() < 0.6:
                    controller.acquire(now, id, rng.choice("abcz"), 0, Demand(rng.randrange(300)), now + SECOND)
                elif controller.admitted:
                    controller.release(now, rng.choice(sorted(controller.admitted)))
                if rng.random() < 0.05:
                    controller.tick(
                        now,
                        Capacity(rng.randrange(14), rng.randrange(1, 900)),
                        rng.choice(({"a": 0.5}, {"a": 0.13, "b": 0.3, "c": 0.02})),
                    )
                controller.tick(now)
                excesses = [controller.reserves.excess(member, usage) for member, usage in controller.usage.items()]
                self.assertEqual(controller.excess, tuple(map(sum, zip((0, 0, 0), *excesses, strict=False))))
                self.assertEqual(sum(slots for slots, _ in controller.usage.values()), len(controller.admitted))


class FleetShares(unittest.TestCase):
    """The sum of all routers' shares while routers join, fail, are partitioned and reconnect.

    In each step every router has its own, delayed view of the running routers.
    """

    def test_the_shares_never_exceed_the_total(self):
        for seed in range(30):
            rng, total = random.Random(seed), 320
            fleet_sizes, running, recorded, now = (
                {id: FleetSize(3 * SECOND) for id in range(8)},
                set(range(8)),
                8,
                0 * SECOND,
            )
            views, partitioned = {id: set(range(8)) for id in range(8)}, set()
            for step in range(400):
                now += 200 * MS
                event = rng.random()
                if event < 0.01 and len(running) < 10:
                    new = max(fleet_sizes) + 1
                    running.add(new)
                    fleet_sizes[new], views[new] = FleetSize(3 * SECOND), set(running)
                elif event < 0.02 and len(running) > 6:
                    running.discard(rng.choice(sorted(running)))
                elif event < 0.03 and not partitioned:
                    partitioned = {rng.choice(sorted(running))}
                elif event < 0.06:
                    partitioned = set()
                recorded = max(recorded, len(running))
                for router in running - partitioned:
                    for peer in running - partitioned:
                        if rng.random() < 0.6:
                            views[router].add(peer)
                    views[router] -= {peer for peer in views[router] if peer not in running and rng.random() < 0.1}
                    peer_divisors = {
                        peer: fleet_sizes[peer].divisor for peer in views[router] & running if peer != router
                    }
                    observed = sorted(views[router] | {router})
                    fleet_sizes[router].update(
                        now,
                        len(observed),
                        recorded if rng.random() < 0.5 else 8,
                        peer_divisors,
                        observed.index(router),
                    )
                granted = sum(fleet_sizes[router].quota(total) for router in running)
                self.assertLessEqual(granted, total, (seed, step))
                for limit in (57, 370):
                    granted = sum(
                        fleet_sizes[router].indivisible_quota(limit, step)
                        for router in running
                        if fleet_sizes[router].admitting
                    )
                    self.assertLessEqual(granted, limit, (seed, step))

    def test_indivisible_shares_add_up_exactly_even_with_more_routers_than_units(self):
        for routers in (63, 73, 1600):
            fleet_sizes = [FleetSize(3 * SECOND, divisor=routers, index=index) for index in range(routers)]
            for salt in (0, 5, 2**63 + 11):
                self.assertEqual(sum(fleet_size.indivisible_quota(510, salt) for fleet_size in fleet_sizes), 446)
            shares = [
                fleet_size.indivisible_quota(510, salt=7 * runner)
                for fleet_size in fleet_sizes[:1]
                for runner in range(routers)
            ]
            self.assertGreater(sum(shares), 0)

    def test_a_simultaneous_start_begins_with_the_recorded_number(self):
        fleet_sizes = [FleetSize(3 * SECOND) for _ in range(8)]
        for fleet_size in fleet_sizes:
            fleet_size.update(0 * SECOND, 1, 8, {})
        self.assertLessEqual(sum(fleet_size.quota(320) for fleet_size in fleet_sizes), 320)

    def check_relay_tier(self, seed, steps, maximum, step):
        fleet, rng, total = AggregationFleet(24, seed=seed), random.Random(seed), 960
        fleet.run(4 * SECOND)

        def check():
            granted = sum(
                fleet.fleet_sizes[fleet.nodes[name].instance_id].quota(total)
                for name in fleet.names
                if name not in fleet.off
            )
            self.assertLessEqual(granted, maximum, (seed, fleet.now))

        for _ in range(steps):
            step(fleet, rng)
            fleet.run(2 * SECOND, check, 50 * MS)
        self.assertGreater(
            min(fleet.fleet_sizes[fleet.nodes[name].instance_id].divisor for name in fleet.running()), 24
        )
        self.assertTrue(all(fleet.fleet_sizes[fleet.nodes[name].instance_id].admitting for name in fleet.running()))

    def test_joining_routers_wait_for_all_peers_with_a_relay_tier(self):
        """Up to six routers join at once; the sum of the shares does not exceed seven eighths of the total."""
        self.check_relay_tier(1, 4, 960 * 7 // 8, lambda fleet, rng: [fleet.join() for _ in range(rng.randrange(1, 7))])

    def test_the_shares_never_exceed_the_total_with_a_relay_tier_crashes_and_partitions(self):
        def step(fleet, rng):
            event, name = rng.random(), rng.choice(fleet.running())
            if event < 0.5:
                fleet.join()
            elif event < 0.7:
                fleet.kill(name)
            elif event < 0.9:
                links = {(name, other) for other in fleet.names} | {(other, name) for other in fleet.names}
                fleet.cuts |= links
                fleet.at(2 * SECOND, lambda: fleet.cuts.difference_update(links))

        for seed in range(2):
            self.check_relay_tier(seed, 7, 960, step)


class Floods(unittest.TestCase):
    """Member b floods all routers at once while they are idle; member a sends few requests to every router.

    Routers receive the in-flight counts of the others every 200 ms. One router may receive none.
    """

    SLOTS, RUNNERS, ROUTERS = 64, 6, 8

    def flood(self, seed, steps=60):
        rng, total, shares = random.Random(seed), self.RUNNERS * maximum_in_flight(self.SLOTS), {"a": 0.2, "b": 0.1}
        fleet_sizes = [FleetSize(3 * SECOND, divisor=self.ROUTERS, index=index) for index in range(self.ROUTERS)]
        controllers = [AdmissionController(Capacity(fleet_size.quota(total)), shares) for fleet_size in fleet_sizes]
        route = Route("r", "h", "/", "safe", (), 9 * SECOND, SECOND, SECOND)
        own = [[0] * self.RUNNERS for _ in controllers]
        reported, isolated, ends, throttled, maximum_b, id = (
            [list(calls) for calls in own],
            rng.choice([None, 3]),
            [],
            0,
            0,
            0,
        )
        for step in range(steps):
            now = step * 50 * MS
            for _end, router, ended, runner in [end for end in ends if end[0] <= now]:
                controllers[router].release(now, ended)
                own[router][runner] -= 1
            ends = [end for end in ends if end[0] > now]
            reported = [list(calls) for calls in own] if step % 4 == 0 else reported
            for router, controller in enumerate(controllers):
                known = [
                    sum(
                        reported[peer][runner]
                        for peer in range(len(controllers))
                        if peer != router and router != isolated
                    )
                    + own[router][runner]
                    for runner in range(self.RUNNERS)
                ]
                for member in ["b"] * (250 if step == 5 else step > 5 and rng.choice((0, 5, 30))) + [
                    "a"
                ] * rng.randrange(2):
                    id, controller.extra_slots = (
                        id + 1,
                        fleet_sizes[router].surplus(total, total * 0.3, sum(known)) if controller.is_saturated() else 0,
                    )
                    before = controller.usage.get("a", (0, 0))[0]
                    decision = controller.acquire(now, id, member, 0, Demand(), now + 9 * SECOND)
                    if member == "a" and before < int(controller.capacity.slots * 0.2):
                        self.assertTrue(isinstance(decision, Admitted) and decision.reserved, (seed, step))
                    if isinstance(decision, Admitted):
                        runner = min(range(self.RUNNERS), key=lambda runner: known[runner])
                        fits = known[runner] < max(
                            bucket.limit for bucket in buckets_for(route, self.SLOTS, decision.reserved)
                        )
                        throttled += member == "a" and not fits
                        if not fits:
                            controller.release(now, id)
                            continue
                        known[runner] += 1
                        own[router][runner] += 1
                        ends.append((now + rng.randrange(300, 1500) * MS, router, id, runner))
                    elif isinstance(decision, Queued):
                        controller.release(now, id)
                maximum_b = max(maximum_b, sum(controller.usage.get("b", (0, 0))[0] for controller in controllers))
        return throttled, maximum_b / total

    def test_a_flood_at_all_routers_does_not_use_the_reserve_of_another_member(self):
        for seed in range(12):
            throttled, maximum_b = self.flood(seed)
            self.assertEqual(throttled, 0, seed)
            self.assertLess(maximum_b, 2 - 0.2)

    def test_a_busy_router_admits_beyond_its_share_while_the_others_are_idle(self):
        controller, fleet_size = (
            AdmissionController(Capacity(84), {"a": 0.0625, "b": 0.0625}),
            FleetSize(3 * SECOND, divisor=8),
        )
        decisions = []
        for id in range(157):
            controller.extra_slots = fleet_size.surplus(768, 96, 200 + id) if controller.is_saturated() else 0
            decisions.append(type(controller.acquire(0 * SECOND, id, "a", 0, Demand(), 9 * SECOND)))
        self.assertGreater(decisions.count(Admitted), 120)
        self.assertEqual(type(controller.acquire(0 * SECOND, 999, "b", 0, Demand(), 9 * SECOND)), Admitted)
