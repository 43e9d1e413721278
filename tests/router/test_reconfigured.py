"""Requests that wait, are retried, or stream while the configuration and the runners change under them."""

import asyncio
import itertools
import unittest

from simulator.clients import Client
from simulator.virtual import world
from sparloom.configuration import build
from sparloom.discovery import Endpoint as Listed
from sparloom.discovery import EndpointList
from tests.support.router_fixture import POLICY, Rig, route

ROUTES = [route("once", "/once/", timeoutMs=8000), route("resume", "/resume/", resumeStreams=True, timeoutMs=8000)]
SERVICE = POLICY["services"][0]
BASE = {**POLICY, "routes": ROUTES}
# The time-out that one of the changes gives to a route, in seconds.
SHORT = 0.3
CHANGES = {
    "route removed": {**BASE, "routes": [route("other", "/other/")]},
    "route renamed": {**BASE, "routes": [route("once-2", "/once/"), route("resume-2", "/resume/")]},
    "service renamed": {
        **BASE,
        "routes": [route("once", "/once/", service="t"), route("resume", "/resume/", service="t")],
        "services": [{**SERVICE, "name": "t"}],
    },
    "no routes": {**BASE, "routes": [], "services": []},
    "fewer connections": {**BASE, "services": [{**SERVICE, "connectionLimit": 1}]},
    "kind changed": {
        **BASE,
        "routes": [route("once", "/once/", resumeStreams=True), route("resume", "/resume/", maxAttempts=1)],
    },
    "time-out changed": {**BASE, "routes": [{**r, "timeoutMs": int(SHORT * 1000)} for r in ROUTES]},
}
WORDS = ("late", "still", "cut")
MOMENTS = (0.0, 0.3, 0.9)
CLIENTS = 40
STORIES = tuple(itertools.product(CHANGES, WORDS, MOMENTS, (False, True)))


class Changes(unittest.TestCase):
    def play(self, change, word, moment, runners_too, path):
        """The outcomes of requests on kept connections, one of which meets a word, with a change at a moment."""

        async def story():
            async with Rig(2, BASE) as rig:
                self.rig = rig
                for runner in rig.runners:
                    runner.script, runner.silence = [word] * 12, 1.0
                clients = [await Client.connect("127.0.0.1", rig.port) for _ in range(CLIENTS)]
                sends = [asyncio.ensure_future(c.send(path, f"r{i}")) for i, c in enumerate(clients)]
                await asyncio.sleep(moment)
                self.renew(change, runners_too)
                return await asyncio.gather(*sends)

        with world(1) as loop:
            return loop.run_until_complete(asyncio.wait_for(story(), 60))

    def renew(self, change, runners_too):
        state = self.rig.state
        state.configuration = build({**CHANGES[change], "revision": 2})
        if runners_too:
            runner = self.rig.runners[1]
            kept = [Listed(runner.id, "s", f"127.0.0.1:{runner.port}", "z1", 8, False, 0)]
            state.endpoint_list = EndpointList(kept, 1)
        state.update_backends()
        state.queues.tick()

    def check(self, path, ends):
        for change, word, moment, runners_too in STORIES:
            with self.subTest(change=change, word=word, moment=moment, runners_too=runners_too):
                outcomes = self.play(change, word, moment, runners_too, path)
                if change == "time-out changed":
                    outcomes = [o for o in outcomes if o.whole and o.status != 504 or o.ended - o.sent < SHORT]
                self.assertEqual({o.status for o in outcomes} - ends, set())
                if word != "cut":
                    self.assertTrue(all(o.whole for o in outcomes), [o for o in outcomes if not o.whole])

    def test_streams_that_may_not_be_repeated(self):
        self.check("/once/x", {200, 404, 503, 502})

    def test_streams_that_may_be_resumed(self):
        self.check("/resume/x", {200, 404, 503, 502})
