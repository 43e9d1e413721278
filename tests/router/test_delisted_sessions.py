"""Connections to runners that are removed from the endpoint list are closed.

Regression: such connections stayed open until their session was garbage-collected, which logged `Unclosed client
session`. The loss of a zone left hundreds of them.
"""

import asyncio
import unittest

from simulator.virtual import world
from sparloom.discovery import Endpoint, EndpointList
from tests.support.router_fixture import RouterFixture


class DelistedSessions(unittest.TestCase):
    def run_scenario(self, scenario):
        async def run():
            async with RouterFixture(2) as rig:
                await scenario(rig)

        with world(1) as loop:
            loop.run_until_complete(run())

    @staticmethod
    def list_only(rig, runners):
        endpoints = [Endpoint(runner.id, "s", f"127.0.0.1:{runner.port}", "z1", 8, False, 0) for runner in runners]
        rig.state.endpoint_list = EndpointList(endpoints, 2)
        rig.state.update_backends()

    def test_idle_session_is_closed_when_its_runner_is_delisted(self):
        async def scenario(rig):
            await rig.send("/once/x")
            used = next(backend for backend in rig.state.backends.by_id.values() if backend.client_session)
            remaining = [runner for runner in rig.runners if runner.id != used.id]
            self.list_only(rig, remaining)
            await asyncio.sleep(0.01)
            self.assertTrue(used.client_session.closed)
            self.assertEqual(sum(len(runner.tasks) for runner in rig.runners), 0)
            self.assertEqual((await rig.send("/once/x")).status, 200)

        self.run_scenario(scenario)

    def test_session_is_closed_after_its_last_call(self):
        async def scenario(rig):
            for runner in rig.runners:
                runner.script, runner.delay_s = ["late"], 0.5
            request = asyncio.ensure_future(rig.send("/once/x"))
            await asyncio.sleep(0.1)
            used = next(backend for backend in rig.state.backends.by_id.values() if backend.open_calls)
            self.list_only(rig, [runner for runner in rig.runners if runner.id != used.id])
            await asyncio.sleep(0.1)
            self.assertFalse(used.client_session.closed)
            self.assertEqual((await request).status, 200)
            await asyncio.sleep(0.01)
            self.assertTrue(used.client_session.closed)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
