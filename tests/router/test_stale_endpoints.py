"""Regression: a request reached a runner 4.2 s after it had started to drain.

The router had been partitioned from all feed sources 0.3 s after the drain began, and used its last endpoint list as
if it were current. Log lines that show it: the primary's `list published ... draining=` with the runner at 24.693, the
partitioned router's next `endpoints in force` at 29.305, and `left source=... reason=stale` in between.
"""

import asyncio
import random
import unittest
from datetime import timedelta

from simulator.clients import Client
from simulator.virtual import world
from sparloom.transport import monotonic
from tests.support.router_fixture import POLICY, STARTUP, RouterFixture, route

DRAIN_S = CONTACT_S = 4.0
BOUNDS = {**STARTUP["bounds"], "drainMs": 1000 * DRAIN_S, "contactMs": 1000 * CONTACT_S}
ROUTES = [route("safe", "/safe/", routeKind="safe", maxAttempts=3, timeoutMs=2000, targetMs=300)]
PARTITIONED_AT_S = 3.0
HEARTBEAT_S = 0.4


class PartitionedRouter(unittest.TestCase):
    """A runner starts to drain around the time of the partition; the router then gets no lists or confirmations."""

    def run_scenario(self, leaves_at, behaviour="ok", seconds=8.0, seed=1):
        with world(seed) as loop:
            return loop.run_until_complete(self._run_scenario(loop, leaves_at, behaviour, seconds, random.Random(seed)))

    async def _run_scenario(self, loop, leaves_at, behaviour, seconds, rng):
        async with RouterFixture(6, {**POLICY, "routes": ROUTES}, {**STARTUP, "bounds": BOUNDS}) as rig:
            start, self.responses = loop.time(), []
            self.draining_runner = rig.runners[0]
            for runner in rig.runners:
                runner.script, runner.delay_s = [behaviour] * 2000, 0.5
            clients = [self._run_client(rig, loop, start, seconds, rng) for _ in range(4)]
            await asyncio.gather(self._confirm(rig), self._leave(leaves_at), *clients)
            return [at - start - leaves_at for at in self.draining_runner.arrivals]

    async def _confirm(self, rig):
        """Confirms the router's state at each heartbeat until the partition."""
        for _ in range(int(PARTITIONED_AT_S / HEARTBEAT_S)):
            rig.state.router_state.record_primary_confirmation(monotonic())
            await asyncio.sleep(HEARTBEAT_S)

    async def _leave(self, leaves_at):
        await asyncio.sleep(leaves_at)
        self.draining_runner.is_shutting_down = True

    async def _run_client(self, rig, loop, start, seconds, rng):
        count = 0
        while loop.time() - start < seconds:
            client = await Client.connect("127.0.0.1", rig.port)
            count += 1
            # Prompts that share a prefix are sent to the backend that caches it.
            prefix = f"X-Sparloom-Prompt-Prefix: {rng.randrange(1, 13):x}:8000,{rng.getrandbits(60):x}:100"
            outcome = await client.send("/safe/x", f"a{count}-{id(client)}", left_ms=2000, heads=[prefix])
            self.responses.append((loop.time() - start, outcome.status))
            client.close()
            await asyncio.sleep(rng.random() * 0.15)

    def late(self, arrivals, leaves_at):
        """Returns the arrivals after the drain bound, up to the end of the contact bound after the partition."""
        until = PARTITIONED_AT_S + CONTACT_S - leaves_at
        return [delay for delay in arrivals if DRAIN_S < delay < until]

    def test_no_request_reaches_a_draining_runner_after_the_drain_bound(self):
        for behaviour in ("ok", "late"):
            for tenths in range(20, 31):
                leaves_at = tenths / 10
                with self.subTest(behaviour=behaviour, leaves_at=leaves_at):
                    self.assertEqual(self.late(self.run_scenario(leaves_at, behaviour), leaves_at), [])

    def test_clients_are_still_served_during_the_partition(self):
        self.run_scenario(2.5)
        statuses = [status for at, status in self.responses if at > PARTITIONED_AT_S]
        self.assertGreater(len(statuses), 100)
        self.assertGreater(statuses.count(200), 0.98 * len(statuses))


class ConfirmedRouter(unittest.TestCase):
    def test_endpoints_may_be_stale_only_until_the_router_is_disconnected(self):
        with world(1) as loop:
            loop.run_until_complete(self._check_endpoint_staleness())

    async def _check_endpoint_staleness(self):
        async with RouterFixture(2, POLICY, {**STARTUP, "bounds": BOUNDS}) as rig:
            rig.state.router_state.record_primary_confirmation(monotonic() - timedelta(seconds=1.5))
            self.assertFalse(rig.state.router_state.endpoints_may_be_stale(monotonic()))
            self.assertTrue(rig.state.router_state.endpoints_may_be_stale(monotonic() + timedelta(seconds=2)))
            # By then the router is disconnected and uses its last endpoint list.
            self.assertFalse(rig.state.router_state.endpoints_may_be_stale(monotonic() + timedelta(seconds=9)))


if __name__ == "__main__":
    unittest.main()
