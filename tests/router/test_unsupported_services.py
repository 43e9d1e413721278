"""Regression: requests to a service with an unsupported protocol were sent as plain HTTP/1.1 instead of rejected.

A service of the configuration sets ``tls`` or another ``protocol`` than ``h1``. The two keys were not read, so a
request that matched its route was sent as plain HTTP/1.1, and the client got 502 (may have run) for a request that
could never run. ``tests/jobs/test_unknown_deployment.py`` covers a related fault.
"""

import unittest

from tests.support.router_fixture import POLICY, RouterFixture


class UnsupportedServices(unittest.IsolatedAsyncioTestCase):
    async def send(self, **options):
        """Sends a request to a service with these options; returns its status, if it has Retry-After, and runner calls."""
        policy = {**POLICY, "services": [{**POLICY["services"][0], **options}]}
        async with RouterFixture(1, policy) as rig:
            answer = await rig.send("/unsafe/x")
            return answer.status, "retry-after" in answer.headers, len(rig.runners[0].received)

    async def test_a_service_with_an_unsupported_protocol_gets_no_requests(self):
        for options in ({"protocol": "h9"}, {"tls": True}, {"protocol": "h1", "tls": True}):
            self.assertEqual(await self.send(**options), (503, True, 0), options)

    async def test_a_service_with_a_supported_protocol_gets_requests(self):
        for options in ({}, {"protocol": "h1"}, {"protocol": "h1", "tls": False}):
            self.assertEqual((await self.send(**options))[0::2], (200, 1), options)


if __name__ == "__main__":
    unittest.main()
