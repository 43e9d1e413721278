"""A controller, a router and a platform that accepts the calls of the duties, on loopback."""

import asyncio
import time
import unittest
from http import HTTPStatus

from sparloom.router.program import Router
from tests.controller import test_program
from tests.support.router_fixture import POLICY

KEY = "a-key-of-the-first-tenant"
DOCUMENT = {
    **POLICY,
    "services": [{**POLICY["services"][0], "scaling": {"minimum": 2, "maximum": 4, "bootTimeS": 1}}],
    "tenants": [{"name": "first", "apiKeys": [KEY]}, {"name": "second", "apiKeys": ["another"]}],
}


class DutiesOnLoopback(test_program.ControllerCase):
    bounds = {"usageWindowS": 1, "usageLatenessS": 2, "leaseMs": 300, "thawSlackMs": 50}
    cloud = {"dutyPerS": 50, "duties": ["usage_reporting", "scaling"]}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.router = Router(self.edge, "/nowhere")
        await self.router.start()
        self.addAsyncCleanup(self.router.stop)

    async def wait_until(self, condition):
        """Wait for a condition for up to 30 s; usage windows take one second here."""
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.01)

    async def retry_while_unavailable(self, call, status):
        """Repeat a call while its status is 503, which means that it had no effect; then expect ``status``."""
        async with asyncio.timeout(30):
            while (answer := await call()) == HTTPStatus.SERVICE_UNAVAILABLE:
                await asyncio.sleep(0.05)
        self.assertEqual(answer, status)

    async def put(self):
        return (await self.call("PUT", DOCUMENT, 0))[0]

    async def send(self, key):
        headers = {"Host": "h.example", "X-Sparloom-Attempt-Id": f"a-{time.monotonic_ns()}"}
        if key:
            headers["Authorization"] = f"Token {key}"
        async with self.http.post(f"http://{self.front}/once/x", data=b"hello", headers=headers) as response:
            await response.read()
            return response.status

    async def test_api_keys_usage_reports_and_scale_orders(self):
        # A controller that was paused for a moment answers 503; operators then send the request again.
        await self.retry_while_unavailable(lambda: self.put(), HTTPStatus.OK)
        await self.wait_until(self.router.node.ready)
        for _ in range(5):
            await self.retry_while_unavailable(lambda: self.send(KEY), HTTPStatus.OK)
        await self.wait_until(lambda: self.router.node.router_state.configuration_confirmed_at is not None)
        for key in ("no-key", None):
            await self.retry_while_unavailable(lambda key=key: self.send(key), HTTPStatus.UNAUTHORIZED)
        self.assertEqual({request.head("X-Sparloom-Tenant") for request in self.runner.received}, {"first"})
        self.assertEqual({request.head("Authorization") for request in self.runner.received}, {None})
        log = self.platform.duties
        await self.wait_until(lambda: sum(counts.get("first", 0) for counts in log.usage.values()) == 5)
        await self.wait_until(lambda: log.desired == {"s z1": 2})
        self.assertEqual((log.violations, {call.holder for call in log.accepted}), ([], {"core-1"}))
        async with self.http.get(self.url.replace("configuration", "beliefs")) as response:
            duties = (await response.json())["duties"]
        self.assertEqual((duties["holder"], duties["orders"]), ("core-1", {"s z1": 2}))


if __name__ == "__main__":
    unittest.main()
