"""A runner that has just started, or whose zone was just taken back, is sent no more than it bears while cold.

Regression: routers tried cold runners last, and sent them whatever found no room elsewhere. A zone that is taken
back after an evacuation has cold runners while the others are full, so all that is over went there at once.
"""

import asyncio
import unittest

from sparloom.configuration import build
from sparloom.discovery import Endpoint, EndpointList
from tests.support.router_fixture import POLICY, STARTUP, Rig

BOUNDS = {**STARTUP["bounds"], "coldOverage": 1.5, "coldSlack": 1}
SETTINGS = {**STARTUP, "bounds": BOUNDS}
# Of 4 x 1.5 + 1 requests a second an eighth is left unused, so a router alone sends 6.
COLD_POLICY = {**POLICY, "services": [{**POLICY["services"][0], "coldPerS": 4}]}


class ColdRunners(unittest.IsolatedAsyncioTestCase):
    def list_runners(self, rig, cold, zone="z1"):
        endpoints = [Endpoint(r.id, "s", f"127.0.0.1:{r.port}", zone, 64, False, cold) for r in rig.runners]
        rig.state.endpoint_list = EndpointList(endpoints, 1)
        rig.state.update_backends()

    async def statuses(self, rig, count):
        answers = await asyncio.gather(*(rig.send("/once/x", id=f"a{n}") for n in range(count)))
        return sorted(answer.status for answer in answers)

    async def test_a_cold_runner_is_sent_no_more_than_it_bears_in_a_second(self):
        async with Rig(1, COLD_POLICY, SETTINGS) as rig:
            self.list_runners(rig, cold=3000)
            self.assertEqual(await self.statuses(rig, 20), [200] * 6 + [503] * 14)
            self.assertEqual(len(rig.runners[0].got), 6)

    async def test_a_warm_runner_is_sent_whatever_fits(self):
        async with Rig(1, COLD_POLICY, SETTINGS) as rig:
            self.list_runners(rig, cold=0)
            self.assertEqual(await self.statuses(rig, 20), [200] * 20)

    async def test_runners_of_a_zone_that_is_taken_back_count_as_cold_until_the_list_can_tell(self):
        async with Rig(1, COLD_POLICY, SETTINGS) as rig:
            rig.state.configuration = build({**COLD_POLICY, "evacuatedZones": ["z1"]})
            self.list_runners(rig, cold=0)
            self.assertEqual(await self.statuses(rig, 2), [503] * 2)
            rig.state.configuration = build(COLD_POLICY)
            rig.state.update_backends()
            self.assertEqual(await self.statuses(rig, 20), [200] * 6 + [503] * 14)


if __name__ == "__main__":
    unittest.main()
