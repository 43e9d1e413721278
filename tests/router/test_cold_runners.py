"""A runner that has just started, or whose zone was just taken back, is sent no more than it bears while cold.

Regression: routers tried cold runners last, and sent them whatever found no room elsewhere. A zone that is taken
back after an evacuation has cold runners while the others are full, so all that is over went there at once.
"""

import asyncio
import random
import unittest
from datetime import timedelta

from simulator.clients import Client
from simulator.virtual import world
from sparloom.admission import FleetSize
from sparloom.configuration import build
from sparloom.discovery import Endpoint, EndpointList
from sparloom.membership import ALIVE, DEAD, ROUTER, Peer, Ping
from sparloom.router.backends import RETURN_TIME
from sparloom.transport import monotonic
from tests.support.router_fixture import POLICY, STARTUP, Rig

BOUNDS = {**STARTUP["bounds"], "coldOverage": 1.5, "coldSlack": 1}
SETTINGS = {**STARTUP, "bounds": BOUNDS}
# Of 4 x 1.5 + 1 requests a second an eighth is left unused, so a router alone sends 6.
COLD_POLICY = {**POLICY, "services": [{**POLICY["services"][0], "coldPerS": 4}]}


class ColdRunners(unittest.TestCase):
    """Played in simulated time: a connection is given an eighth of a second, which a real loop may stand still for."""

    def play(self, story):
        async def run():
            async with Rig(1, COLD_POLICY, SETTINGS) as rig:
                await story(rig)

        with world(1) as loop:
            loop.run_until_complete(run())

    def list_runners(self, rig, cold, zone="z1"):
        endpoints = [Endpoint(r.id, "s", f"127.0.0.1:{r.port}", zone, 64, False, cold) for r in rig.runners]
        rig.state.endpoint_list = EndpointList(endpoints, 1)
        rig.state.update_backends()

    async def statuses(self, rig, count):
        clients = [await Client.connect("127.0.0.1", rig.port) for _ in range(count)]
        outcomes = await asyncio.gather(*(client.send("/once/x", f"a{n}") for n, client in enumerate(clients)))
        return sorted(outcome.status for outcome in outcomes)

    def test_a_cold_runner_is_sent_no_more_than_it_bears_in_a_second(self):
        async def story(rig):
            self.list_runners(rig, cold=3000)
            self.assertEqual(await self.statuses(rig, 20), [200] * 6 + [503] * 14)
            self.assertEqual(len(rig.runners[0].got), 6)
            await asyncio.sleep(1.2)
            self.assertEqual(await self.statuses(rig, 20), [200] * 6 + [503] * 14)

        self.play(story)

    def test_a_warm_runner_is_sent_whatever_fits(self):
        async def story(rig):
            self.list_runners(rig, cold=0)
            self.assertEqual(await self.statuses(rig, 20), [200] * 20)

        self.play(story)

    def test_runners_of_a_zone_that_is_taken_back_count_as_cold_until_the_list_can_tell(self):
        async def story(rig):
            rig.state.configuration = build({**COLD_POLICY, "evacuatedZones": ["z1"]})
            self.list_runners(rig, cold=0)
            self.assertEqual(await self.statuses(rig, 2), [503] * 2)
            rig.state.configuration = build(COLD_POLICY)
            rig.state.update_backends()
            (backend,) = rig.state.backends.of("s")
            self.assertEqual(await self.statuses(rig, 20), [200] * 6 + [503] * 14)
            self.assertTrue(backend.is_cold(monotonic()))
            self.assertFalse(backend.is_cold(monotonic() + RETURN_TIME + timedelta(milliseconds=1)))

        self.play(story)


class Positions(unittest.TestCase):
    def test_a_router_that_has_died_of_late_keeps_its_position(self):
        async def run():
            async with Rig(1, COLD_POLICY, SETTINGS) as rig:
                swim, positions = rig.state.swim, []
                swim.receive(timedelta(0), "0:1", Ping(1, Peer("0:1", ROUTER, "z2", "", 5, 0, 0), 0, []))
                for state in (ALIVE, DEAD):
                    entry = swim.table["0:1"]
                    entry.peer = entry.peer.with_state(state)
                    swim._alive = None
                    rig.state.update_fleet_size()
                    size = rig.state.fleet_size
                    positions.append((size.index, size.known, len(rig.state.membership.routers())))
                return positions

        with world(1) as loop:
            self.assertEqual(loop.run_until_complete(run()), [(1, 2, 1), (1, 2, 0)])


class Shares(unittest.TestCase):
    """What all routers together may send to one cold runner within a second."""

    LIMIT = 29

    def total(self, views, salt):
        """The sum of the shares; a view is the divisor and the index that a router reckons with."""
        bound = timedelta(seconds=4)
        shares = (FleetSize(bound, divisor=divisor, index=index) for divisor, index in views)
        return sum(share.indivisible_share(self.LIMIT, salt) for share in shares)

    def test_routers_that_see_each_other_use_most_of_the_bound_and_never_more(self):
        for routers in range(1, 201):
            total = self.total([(routers, index) for index in range(routers)], salt=routers * 7919)
            self.assertLessEqual(total, self.LIMIT)
            self.assertGreater(total, 0.7 * self.LIMIT)

    def test_routers_that_miss_a_few_others_stay_within_the_bound(self):
        luck = random.Random(1)
        for _ in range(300):
            routers = luck.choice((10, 63, 73, 200, 1600))
            missing = luck.sample(range(routers), luck.randint(1, 3))
            views = []
            for own in range(routers):
                # The divisor is the most that were seen of late, so only positions differ.
                unseen = sum(other < own for other in missing if luck.random() < 0.5)
                views.append((routers, own - unseen))
            self.assertLessEqual(self.total(views, luck.getrandbits(64)), self.LIMIT)


if __name__ == "__main__":
    unittest.main()
