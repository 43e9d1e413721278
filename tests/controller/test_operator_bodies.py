"""Regression tests: bodies of the operators' calls were bounded one by one, and not what they take once parsed."""

import asyncio
import threading
import unittest

from sparloom.admission import ByteBudget, HoldingKind
from sparloom.controller.operator_body import OperatorBody, OperatorBodyError
from sparloom.transport import monotonic

CAPACITY = 1_000_000


class FakeRequest:
    """A request whose body comes in the given parts; None stands for a client that stops."""

    def __init__(self, *parts, length=None):
        self.parts, self.content_length, self.remote, self.content = list(parts), length, "127.0.0.1", self

    async def readany(self):
        part = self.parts.pop(0) if self.parts else b""
        if part is None:
            await asyncio.Event().wait()
        return part


class OperatorBodies(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.budget = ByteBudget(CAPACITY)

    def body(self, *parts, length=None):
        body = OperatorBody(FakeRequest(*parts, length=length))
        body._budget = self.budget
        body._holding = self.budget.open(HoldingKind.REQUEST_BODIES, "127.0.0.1", monotonic())
        return body

    async def status_of(self, *parts, length=None):
        with self.body(*parts, length=length) as body:
            try:
                await body.read_document()
            except OperatorBodyError as error:
                return int(error.status)
        return 200

    async def test_values_count_with_the_bytes_and_all_are_given_back(self):
        with self.body(b'{"a":', b"[1,2]}") as body:
            self.assertEqual(await body.read_document(), b'{"a":[1,2]}')
            self.assertGreater(self.budget.held, 3 * 128)
        self.assertEqual(self.budget.held, 0)

    async def test_what_is_too_large_or_has_too_many_values_is_refused(self):
        self.assertEqual(await self.status_of(length=17 << 20), 413)
        self.assertEqual(await self.status_of(b"[" + b"[]," * 10_000 + b"[]]"), 413)
        other = self.budget.open(HoldingKind.ANSWERS, "other", monotonic())
        self.budget.resize(other, CAPACITY - 1000, monotonic())
        self.assertEqual(await self.status_of(b"x" * 2000), 503)
        self.assertEqual(self.budget.held, CAPACITY - 1000)

    async def test_a_client_that_stops_gives_way_to_another(self):
        stopped = asyncio.ensure_future(self.status_of(b"x" * 700_000, None))
        await asyncio.sleep(1.1)
        self.assertEqual(await self.status_of(b"y" * 180_000), 200)
        self.assertEqual(await stopped, 503)
        self.assertEqual(self.budget.held, 0)

    async def test_bytes_are_held_until_the_thread_that_parses_them_ends(self):
        go_on = threading.Event()

        async def parse():
            with self.body(b"x" * 1000) as body:
                await body.read_document()
                await body.offload(True, go_on.wait)

        task = asyncio.ensure_future(parse())
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.wait({task})
        self.assertGreater(self.budget.held, 1000)
        go_on.set()
        async with asyncio.timeout(10):
            while self.budget.held:
                await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
