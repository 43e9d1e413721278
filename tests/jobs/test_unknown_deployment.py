"""Regression: deployments for jobs served nothing, and calls went to runners that can't take them.

Symptom: on deployments whose settings name ``deployment = "sched"``, each job that a client handed in was
answered 502, so that a client must not try again, and no request was served all day.
Sequence: POST PREFIX + ID matched a route; the router forwarded it like any request that runs at most
once; the runner answered that it has no such call; the router made a 502 of that.
Cause: nothing read ``deployment``. A kind of deployment that the program doesn't know was treated as the
one kind that it did. What settled it: a runner's log line "a worker has no call POST", 1,055 responses
with status 502 and 0 of 364 jobs accepted in 30 s (simulated).
"""

import unittest

from tests.support.router_fixture import POLICY, STARTUP, Rig


class UnknownDeployment(unittest.IsolatedAsyncioTestCase):
    async def test_a_router_refuses_what_belongs_to_a_kind_of_deployment_that_it_does_not_know(self):
        async with Rig(1, POLICY, {**STARTUP, "deployment": "something-new"}) as rig:
            for path in ("/unsafe/x", "/safe/x", "/once/x"):
                answer = await rig.send(path)
                self.assertEqual(answer.status, 503, path)
                self.assertIn("retry-after", answer.heads)
            self.assertEqual(rig.runners[0].got, [])

    async def test_a_router_of_a_deployment_for_jobs_forwards_no_job_to_a_runner(self):
        async with Rig(1, POLICY, {**STARTUP, "deployment": "sched"}) as rig:
            answer = await rig.send("/unsafe/5c0e7a21d94b36f8", body=b'{"taskSpec":"x","steps":[{"replicaCount":1}]}')
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.heads)
            self.assertEqual(rig.runners[0].got, [])


if __name__ == "__main__":
    unittest.main()
