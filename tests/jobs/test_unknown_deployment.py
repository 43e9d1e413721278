"""Regression: with ``deployment = "sched"``, routers forwarded jobs to runners, which can't accept them.

POST PREFIX + ID matched a route, and the router forwarded it like any request that runs at most once. The runner
rejected the call ("a worker has no call POST"), and the router answered 502, which forbids a retry. Nothing read
``deployment``, so an unknown kind of deployment was treated like the only supported one. In a simulation of 30 s,
0 of 364 jobs were accepted, and 1,055 responses had status 502.
"""

import unittest

from tests.support.router_fixture import POLICY, STARTUP, RouterFixture


class UnknownDeployment(unittest.IsolatedAsyncioTestCase):
    async def test_a_router_rejects_all_requests_of_an_unknown_kind_of_deployment(self):
        async with RouterFixture(1, POLICY, {**STARTUP, "deployment": "something-new"}) as rig:
            for path in ("/unsafe/x", "/safe/x", "/once/x"):
                answer = await rig.send(path)
                self.assertEqual(answer.status, 503, path)
                self.assertIn("retry-after", answer.headers)
            self.assertEqual(rig.runners[0].received, [])

    async def test_a_router_of_a_job_deployment_forwards_no_job_to_a_runner(self):
        async with RouterFixture(1, POLICY, {**STARTUP, "deployment": "sched"}) as rig:
            answer = await rig.send("/unsafe/5c0e7a21d94b36f8", body=b'{"taskSpec":"x","steps":[{"replicaCount":1}]}')
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(rig.runners[0].received, [])


if __name__ == "__main__":
    unittest.main()
