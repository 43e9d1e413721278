"""Regression: connections to runners that had left the list stayed open until they were collected as garbage.

Each such session logged `Unclosed client session`; a lost zone left hundreds of them.
"""

import asyncio
import unittest

from simulator.virtual import world
from sparloom.discovery import Endpoint, EndpointList
from tests.support.router_fixture import Rig


class DelistedSessions(unittest.TestCase):
    def play(self, story):
        async def run():
            async with Rig(2) as rig:
                await story(rig)

        with world(1) as loop:
            loop.run_until_complete(run())

    @staticmethod
    def list_only(rig, runners):
        endpoints = [Endpoint(r.id, "s", f"127.0.0.1:{r.port}", "z1", 8, False, 0) for r in runners]
        rig.state.endpoint_list = EndpointList(endpoints, 2)
        rig.state.update_backends()

    def test_an_unused_session_ends_with_the_entry(self):
        async def story(rig):
            await rig.send("/once/x")
            used = next(b for b in rig.state.backends.by_id.values() if b.client_session)
            kept = [runner for runner in rig.runners if runner.id != used.id]
            self.list_only(rig, kept)
            await asyncio.sleep(0.01)
            self.assertTrue(used.client_session.closed)
            self.assertEqual(sum(len(runner.tasks) for runner in rig.runners), 0)
            self.assertEqual((await rig.send("/once/x")).status, 200)

        self.play(story)

    def test_a_call_under_way_is_finished_first(self):
        async def story(rig):
            for runner in rig.runners:
                runner.script, runner.silence = ["late"], 0.5
            request = asyncio.ensure_future(rig.send("/once/x"))
            await asyncio.sleep(0.1)
            used = next(b for b in rig.state.backends.by_id.values() if b.open_calls)
            self.list_only(rig, [runner for runner in rig.runners if runner.id != used.id])
            await asyncio.sleep(0.1)
            self.assertFalse(used.client_session.closed)
            self.assertEqual((await request).status, 200)
            await asyncio.sleep(0.01)
            self.assertTrue(used.client_session.closed)

        self.play(story)


if __name__ == "__main__":
    unittest.main()
