"""The rate limit of cold runners: those that have just started, or whose zone's evacuation has just ended.

Regression: routers tried cold runners last, but sent them every request for which no other runner had capacity.
When an evacuation ends, the zone's runners are cold and the others are full, so all excess requests were sent to the
cold runners at once.
"""

import asyncio
import unittest
from datetime import timedelta

from simulator.clients import Client
from simulator.virtual import world
from sparloom.configuration import build
from sparloom.configuration.rate_holders import RateHolders
from sparloom.discovery import Endpoint, EndpointList
from sparloom.membership import ALIVE, DEAD, ROUTER, Peer, Ping
from sparloom.router.backends import COLD_AFTER_EVACUATION
from sparloom.transport import monotonic
from tests.support.router_fixture import POLICY, STARTUP, RouterFixture

BOUNDS = {**STARTUP["bounds"], "coldOverage": 1.5, "coldSlack": 1}
SETTINGS = {**STARTUP, "bounds": BOUNDS}
# The limit is 4 x 1.5 + 1 requests per second. An eighth of it is left unused, so a single router sends 6.
COLD_POLICY = {**POLICY, "services": [{**POLICY["services"][0], "coldPerS": 4}]}


def make_only_rate_holder(rig):
    """Make the router the only one that has a share of the rate, and confirm its configuration as the newest."""
    holders = {"rateHolders": RateHolders(frozenset([rig.state.key]), frozenset([rig.state.key])).to_json()}
    rig.state.configuration = build({**COLD_POLICY, **holders})
    rig.state.router_state.record_configuration_confirmation(monotonic() + timedelta(seconds=60))
    rig.state.started_at = monotonic() - timedelta(seconds=9)


class ColdRunners(unittest.TestCase):
    """Runs in simulated time: the connect timeout is an eighth of a second, and a real event loop may pause longer."""

    def run_scenario(self, scenario):
        async def run():
            async with RouterFixture(1, COLD_POLICY, SETTINGS) as rig:
                await scenario(rig)

        with world(1) as loop:
            loop.run_until_complete(run())

    def list_runners(self, rig, cold, zone="z1"):
        make_only_rate_holder(rig)
        endpoints = [
            Endpoint(runner.id, "s", f"127.0.0.1:{runner.port}", zone, 64, False, cold) for runner in rig.runners
        ]
        rig.state.endpoint_list = EndpointList(endpoints, 1)
        rig.state.update_backends()

    async def statuses(self, rig, count):
        clients = [await Client.connect("127.0.0.1", rig.port) for _ in range(count)]
        outcomes = await asyncio.gather(
            *(client.send("/once/x", f"a{number}") for number, client in enumerate(clients))
        )
        return sorted(outcome.status for outcome in outcomes)

    def test_cold_runner_receives_at_most_its_rate(self):
        async def scenario(rig):
            self.list_runners(rig, cold=3000)
            self.assertEqual(await self.statuses(rig, 20), [200] * 6 + [503] * 14)
            self.assertEqual(len(rig.runners[0].received), 6)
            await asyncio.sleep(1.2)
            self.assertEqual(await self.statuses(rig, 20), [200] * 6 + [503] * 14)

        self.run_scenario(scenario)

    def test_warm_runner_has_no_rate_limit(self):
        async def scenario(rig):
            self.list_runners(rig, cold=0)
            self.assertEqual(await self.statuses(rig, 20), [200] * 20)

        self.run_scenario(scenario)

    def test_runners_count_as_cold_for_a_time_after_an_evacuation(self):
        async def scenario(rig):
            self.list_runners(rig, cold=0)
            rig.state.configuration = build({**COLD_POLICY, "evacuatedZones": ["z1"]})
            rig.state.update_backends()
            self.assertEqual(await self.statuses(rig, 2), [503] * 2)
            make_only_rate_holder(rig)
            rig.state.update_backends()
            (backend,) = rig.state.backends.of("s")
            self.assertEqual(await self.statuses(rig, 20), [200] * 6 + [503] * 14)
            self.assertTrue(backend.is_cold(monotonic()))
            self.assertFalse(backend.is_cold(monotonic() + COLD_AFTER_EVACUATION + timedelta(milliseconds=1)))

        self.run_scenario(scenario)


class Positions(unittest.TestCase):
    def test_recently_dead_router_keeps_its_position(self):
        async def run():
            async with RouterFixture(1, COLD_POLICY, SETTINGS) as rig:
                swim, positions = rig.state.swim, []
                swim.receive(timedelta(0), "0:1", Ping(1, Peer("0:1", ROUTER, "z2", "", 5, 0, 0), 0, []))
                for state in (ALIVE, DEAD):
                    entry = swim.table["0:1"]
                    entry.peer = entry.peer.with_state(state)
                    swim._alive = None
                    rig.state.update_fleet_size()
                    size = rig.state.fleet_size
                    positions.append((size.index, size.known_routers, len(rig.state.membership.routers())))
                return positions

        with world(1) as loop:
            self.assertEqual(loop.run_until_complete(run()), [(1, 2, 1), (1, 2, 0)])


class ShareOfColdRate(unittest.TestCase):
    """A router has a share of a cold runner's rate only if its table of rate holders is confirmed as the newest."""

    def shares_around(self, change):
        """Return the router's share before and after a change of its state."""

        async def run():
            async with RouterFixture(1, COLD_POLICY, SETTINGS) as rig:
                make_only_rate_holder(rig)
                rig.state.router_state.configuration_confirmed_at = None
                rig.state.router_state.record_configuration_confirmation(monotonic())
                before = rig.state.router_state.cold_rate_quota(29, 7, monotonic())
                change(rig.state.router_state)
                return before, rig.state.router_state.cold_rate_quota(29, 7, monotonic())

        with world(1) as loop:
            return loop.run_until_complete(run())

    def test_single_router_has_all_but_an_eighth(self):
        self.assertEqual(self.shares_around(lambda _state: None), (25, 25))

    def test_router_missing_from_the_table_has_no_share(self):
        self.assertEqual(self.shares_around(lambda state: setattr(state, "configuration", build(COLD_POLICY))), (25, 0))
        other = {"rateHolders": RateHolders(frozenset(["10.0.0.9:1"])).to_json()}
        self.assertEqual(
            self.shares_around(lambda state: setattr(state, "configuration", build({**COLD_POLICY, **other}))), (25, 0)
        )

    def test_router_with_a_possibly_outdated_table_has_no_share(self):
        def confirmed_before(contact_bounds):
            return lambda state: setattr(
                state, "configuration_confirmed_at", monotonic() - contact_bounds * state.settings.bounds.contact
            )

        self.assertEqual([self.shares_around(confirmed_before(count))[1] for count in (4.9, 5)], [25, 0])

    def test_router_has_no_share_in_its_first_second(self):
        def started_before(seconds):
            return lambda state: setattr(state, "started_at", monotonic() - timedelta(seconds=seconds))

        self.assertEqual([self.shares_around(started_before(seconds))[1] for seconds in (1, 1.2)], [0, 25])


if __name__ == "__main__":
    unittest.main()
