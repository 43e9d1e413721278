"""Regression: what a runner speaks and this program doesn't is refused, not tried.

Found while looking elsewhere for the cause in ``tests/jobs/test_unknown_deployment.py``. Sequence: a service
of the configuration says ``tls`` or another ``protocol`` than ``h1``; a request for it matches a route and
is sent as plain HTTP/1.1. Cause: nothing read the two keys, so a way of speaking that the program doesn't
know was treated as the one that it does, and the client got 502 (may have run) for what could never run.
"""

import unittest

from tests.support.router_fixture import POLICY, Rig


class UnsupportedServices(unittest.IsolatedAsyncioTestCase):
    async def answer(self, **service):
        policy = {**POLICY, "services": [{**POLICY["services"][0], **service}]}
        async with Rig(1, policy) as rig:
            answer = await rig.send("/unsafe/x")
            return answer.status, "retry-after" in answer.heads, len(rig.runners[0].got)

    async def test_a_service_with_an_unknown_way_of_speaking_gets_no_request(self):
        for service in ({"protocol": "h9"}, {"tls": True}, {"protocol": "h1", "tls": True}):
            self.assertEqual(await self.answer(**service), (503, True, 0), service)

    async def test_a_service_that_says_what_is_spoken_here_gets_requests(self):
        for service in ({}, {"protocol": "h1"}, {"protocol": "h1", "tls": False}):
            self.assertEqual((await self.answer(**service))[0::2], (200, 1), service)


if __name__ == "__main__":
    unittest.main()
