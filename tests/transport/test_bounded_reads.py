"""Whole answers are read with a bound, within the budget of the process, and in one module."""

import ast
import io
import pathlib
import unittest

import aiohttp

from sparloom.admission import HoldingKind, process_budget
from sparloom.transport import monotonic
from sparloom.transport.blocking_reads import StreamTooLargeError, read_stream
from sparloom.transport.http_client import AnswerTooLargeError, parse_json, read_body, read_json
from tests.support.paths import ROOT
from tests.support.resource_watch import HostileServer

LIMIT = 100_000
UNBOUNDED_READS = ("read", "json", "text")
# Objects whose ``read`` isn't one of an answer: connections of records, the consensus, local files.
BOUNDED_OBJECTS = ("frames", "reader", "member", "file")


class BoundedReadTest(unittest.IsolatedAsyncioTestCase):
    async def read(self, head, block, most_bytes, read=read_body):
        async with (
            HostileServer(head, block, most_bytes) as server,
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{server.port}/") as response,
        ):
            return await read(response, LIMIT)

    async def test_body_up_to_the_limit_is_read(self):
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % LIMIT
        self.assertEqual(await self.read(head, b"x" * LIMIT, LIMIT), b"x" * LIMIT)

    async def test_longer_body_is_an_error_and_leaves_nothing_in_the_budget(self):
        for head in (b"Content-Length: 999999999\r\n\r\n", b"Connection: close\r\n\r\n"):
            for read in (read_body, read_json):
                with self.assertRaises(AnswerTooLargeError):
                    await self.read(b"HTTP/1.1 200 OK\r\n" + head, b" " * 65536, 1 << 24, read)
        self.assertEqual(process_budget().held, 0)

    async def test_body_that_does_not_fit_the_budget_is_an_error(self):
        budget = process_budget()
        self.addCleanup(setattr, budget, "capacity", budget.capacity)
        budget.capacity = 1000
        other = budget.open(HoldingKind.FRAMES, "other", monotonic())
        self.addCleanup(budget.close, other)
        budget.resize(other, 500, monotonic())
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
        with self.assertRaises(AnswerTooLargeError):
            await self.read(head, b"x" * 900, 900)

    async def test_document_of_many_small_values_is_refused_before_it_is_parsed(self):
        budget = process_budget()
        self.addCleanup(setattr, budget, "capacity", budget.capacity)
        budget.capacity = 1_000_000
        body = b"[" + b"[]," * 30_000 + b"[]]"
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        with self.assertRaises(AnswerTooLargeError):
            await self.read(head, body, len(body), read_json)

    def test_deep_document_is_a_value_error(self):
        with self.assertRaises(ValueError):
            parse_json(b"[" * 100_000)

    def test_stream_of_a_blocking_call_is_bounded(self):
        self.assertEqual(read_stream(io.BytesIO(b"abc"), 3), b"abc")
        with self.assertRaises(StreamTooLargeError):
            read_stream(io.BytesIO(b"abcd"), 3)


class UnboundedReadsTest(unittest.TestCase):
    def test_no_other_module_reads_a_whole_answer(self):
        found = []
        for path in sorted(pathlib.Path(ROOT, "sparloom").rglob("*.py")):
            if path.name != "http_client.py" and "launch" not in path.parts:
                nodes = ast.walk(ast.parse(path.read_text(encoding="utf-8")))
                found += [f"{path.relative_to(ROOT)}:{node.lineno}" for node in nodes if _reads_without_bound(node)]
        self.assertEqual(found, [])

    def test_the_check_finds_each_way_to_read_a_whole_answer(self):
        for code in (
            "await response.read()",
            "await attempt.response.text()",
            "await answer.json(content_type=None)",
            "answer.read(-1)",
            "json.load(answer)",
        ):
            nodes = ast.walk(ast.parse(f"async def f():\n    {code}"))
            self.assertEqual(sum(map(_reads_without_bound, nodes)), 1, code)


def _reads_without_bound(node):
    """Whether a node is a call of ``read``, ``json``, ``text`` or ``load`` without a size."""
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return False
    owner, name = node.func.value, node.func.attr
    owner_name = owner.attr if isinstance(owner, ast.Attribute) else getattr(owner, "id", "")
    if name == "load":
        return owner_name == "json"
    has_size = bool(node.args) and not isinstance(node.args[0], ast.UnaryOp)
    return name in UNBOUNDED_READS and owner_name not in BOUNDED_OBJECTS and not has_size


if __name__ == "__main__":
    unittest.main()
