"""The handler of changes alone: a consensus that commits, hangs or loses as the test says; simulated time."""

import asyncio
import json
import unittest
import zlib
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from simulator.virtual import world
from sparloom.configuration import check, parse
from sparloom.consensus.records import Data
from sparloom.controller import configuration_writer, control_state
from sparloom.controller.change_requests import Verdict, judge, parse_change_request
from sparloom.controller.control_api import ControlApi
from sparloom.controller.control_state import ControlStateError, History, State, fingerprint
from sparloom.feed import UNCONFIRMED
from tests.support.router_fixture import POLICY, route

MS = timedelta(milliseconds=1)


class Consensus:
    """A primary whose confirmations come at once and whose writes end when the test says."""

    def __init__(self):
        me = SimpleNamespace(id=1, control="127.0.0.1:1")
        self.named, self.leads = me, True
        self.member = SimpleNamespace(member=me, leading=lambda: self.leads, primary=lambda: self.named)
        self.swim = SimpleNamespace(table={})
        self.data, self.write_under_way, self.confirms = Data(1, 0, 0, b""), None, True

    async def confirm(self, wait):
        if self.confirms:
            await asyncio.sleep(0.001)
            return self.data
        await asyncio.sleep(wait.total_seconds())
        return None

    async def write(self, revision, blob, wait):
        if self.write_under_way is not None:
            return None
        new = Data(1, self.data.number + 1, revision, blob)
        self.write_under_way = (new, asyncio.get_running_loop().create_future())
        return await self.write_under_way[1]

    def end_write(self, handler, committed):
        (new, done), self.write_under_way = self.write_under_way, None
        if committed:
            self.data = new
            handler.on_committed(new)
        done.set_result(new if committed else None)


class Request:
    """An operator's request, as the handler reads it."""

    def __init__(self, method, base, change):
        self.method, self.raw, self.content = method, json.dumps(change).encode(), self
        self.headers, self.content_length = {"If-Match": str(base)}, None
        self.left = False
        self.transport = SimpleNamespace(is_closing=lambda: self.left)

    async def readany(self):
        raw, self.raw = self.raw, b""
        return raw


def revision(number, *routes):
    return {**POLICY, "revision": number, "routes": list(routes)}


class ControlApiCase(unittest.TestCase):
    """Each story runs in simulated time; ``self.send`` gives a task whose result is the status."""

    def play(self, story):
        async def run():
            self.consensus = Consensus()
            bounds = SimpleNamespace(acknowledge=timedelta(seconds=4), contact=timedelta(seconds=3))
            self.age_ms = UNCONFIRMED
            feed_server = SimpleNamespace(
                publish=lambda *args: None,
                confirmation_age_ms=lambda: self.age_ms,
                state_of=lambda topic: None,
                evacuated_zones=lambda: None,
            )
            self.handler = ControlApi(SimpleNamespace(bounds=bounds), self.consensus, feed_server)
            self.handler.on_committed(self.consensus.data)
            await story()

        with world(1) as self.loop:
            self.loop.run_until_complete(run())

    def send(self, method, base, change):
        request = Request(method, base, change)
        call = self.handler.get if method == "GET" else self.handler.change

        async def answered():
            return (await call(request)).status

        task = asyncio.ensure_future(answered())
        task.request = request
        return task

    async def take(self, *numbers):
        for base, number in zip((self.handler.writer.committed.state.revision, *numbers), numbers, strict=False):
            task = self.send("PUT", base, revision(number))
            await asyncio.sleep(0.01)
            self.consensus.end_write(self.handler, True)
            self.assertEqual(await task, 200)


class Changes(ControlApiCase):
    def test_a_retry_waits_for_the_outcome_of_the_first_attempt(self):
        async def story():
            for committed, status in ((True, 200), (False, 503)):
                base = self.handler.writer.committed.state.revision
                tasks = [self.send("PUT", base, revision(base + 3)) for _ in range(2)]
                await asyncio.sleep(0.1)
                self.assertFalse(any(t.done() for t in tasks))
                self.consensus.end_write(self.handler, committed)
                self.assertEqual([await t for t in tasks], [status, status])

        self.play(story)

    def test_no_change_is_rejected_while_a_write_is_pending(self):
        async def story():
            first = self.send("PUT", 0, revision(3))
            await asyncio.sleep(0.01)
            rival = self.send("PUT", 0, revision(3, route("x", "/x/")))
            await asyncio.sleep(0.1)
            self.assertFalse(rival.done())
            self.consensus.end_write(self.handler, True)
            self.assertEqual([await first, await rival], [200, 412])

        self.play(story)

    def test_a_lost_write_leaves_its_base_to_the_next_one(self):
        async def story():
            first = self.send("PUT", 0, revision(3))
            await asyncio.sleep(0.01)
            rival = self.send("PUT", 0, revision(4))
            self.consensus.end_write(self.handler, False)
            self.assertEqual(await first, 503)
            await asyncio.sleep(0.01)
            self.consensus.end_write(self.handler, True)
            self.assertEqual(await rival, 200)

        self.play(story)

    def test_calls_behind_a_hung_write_are_answered_before_callers_move_on(self):
        async def story():
            began = self.loop.time()
            tasks = [self.send("PUT", 0, revision(3 + i % 4)) for i in range(8)]
            self.assertEqual({await t for t in tasks}, {503})
            self.assertLess(self.loop.time() - began, 1.0)
            self.consensus.end_write(self.handler, True)
            self.assertEqual(await self.send("PUT", 0, revision(3)), 200)

        self.play(story)

    def test_a_change_whose_client_left_is_not_written(self):
        async def story():
            first = self.send("PUT", 0, revision(3))
            await asyncio.sleep(0.01)
            abandoned = self.send("PUT", 0, revision(4))
            await asyncio.sleep(0.01)
            abandoned.request.left = True
            self.consensus.end_write(self.handler, False)
            self.assertEqual([await first, await abandoned], [503, 503])
            self.assertIsNone(self.consensus.write_under_way)

        self.play(story)

    def test_no_answer_rests_on_uncommitted_or_unconfirmed_state(self):
        async def story():
            await self.take(3)
            committed = self.consensus.data
            self.consensus.data = Data(1, 9, 7, State(revision(7)).pack())
            for call in (("GET", 0, {}), ("PUT", 3, revision(9)), ("PUT", 7, revision(9)), ("PUT", 0, revision(7))):
                self.assertEqual(await self.send(*call), 503, call)
            self.consensus.data, self.consensus.confirms = committed, False
            for call in (("GET", 0, {}), ("PUT", 0, revision(9)), ("PUT", 3, revision(2)), ("PUT", 0, revision(3))):
                self.assertEqual(await self.send(*call), 503, call)

        self.play(story)

    def test_redirects_only_to_a_primary_that_was_confirmed_of_late(self):
        async def story():
            self.consensus.leads, self.consensus.named = False, SimpleNamespace(id=2, control="127.0.0.2:1")
            self.assertEqual(await self.send("GET", 0, {}), 503)
            self.age_ms = 200
            self.assertEqual(await self.send("GET", 0, {}), 307)
            self.age_ms = 2000
            self.assertEqual(await self.send("PUT", 0, revision(3)), 503)
            self.assertEqual(await self.send("PUT", 0, b"x".decode()), 400)

        self.play(story)

    def test_old_changes_are_acknowledged_again_or_of_unknown_outcome(self):
        async def story():
            with mock.patch.object(control_state, "REMEMBERED", 3):
                await self.take(2, 4, 6, 8, 10, 12)
                answers = [await self.send("PUT", n - 2, revision(n)) for n in (2, 4, 6, 8, 10, 12)]
                self.assertEqual(answers, [503, 503, 503, 200, 200, 200])
                self.assertEqual(await self.send("PUT", 6, revision(9)), 412)
                self.assertEqual(await self.send("PUT", 8, revision(10, route("x", "/x/"))), 412)
                self.assertEqual(await self.send("PUT", 12, revision(5)), 400)

        self.play(story)


class States(unittest.TestCase):
    def test_the_history_is_bounded_in_bytes(self):
        history = History()
        for number in range(1, control_state.REMEMBERED + 11):
            history = history.add(number, b"%012d" % number)
        self.assertEqual((len(history), history.forgotten_through), (control_state.REMEMBERED, 10))
        self.assertLess(len(State({}, history).pack()), 42000)
        self.assertEqual(State.unpack(State({}, history).pack()).history, history)
        self.assertEqual(history.fingerprint_of(11), b"%012d" % 11)

    def test_state_of_the_first_version_is_read_and_its_history_is_forgotten(self):
        old = zlib.compress(json.dumps([POLICY | {"revision": 5}, [["PUTab", 5], ["PATCHcd", 3]], 7]).encode())
        new = State.unpack(old)
        self.assertEqual((new.revision, new.router_count), (5, 7))
        changes = (("0", POLICY | {"revision": 5}), ("0", POLICY | {"revision": 3}), ("5", POLICY | {"revision": 6}))
        verdicts = [
            judge(new, parse_change_request("PUT", base, json.dumps(change).encode()).unwrap()).verdict
            for base, change in changes
        ]
        self.assertEqual(verdicts, [Verdict.ALREADY_COMMITTED, Verdict.FORGOTTEN, Verdict.NEW])
        with self.assertRaises(ControlStateError):
            State.unpack(b"\x09" + bytes(40))

    def test_an_edit_of_another_base_is_another_change(self):
        self.assertNotEqual(fingerprint("PATCH", 1, {}), fingerprint("PATCH", 2, {}))
        self.assertEqual(fingerprint("PUT", 1, {}), fingerprint("PUT", 2, {}))

    def test_what_no_program_can_hold_is_invalid(self):
        for text in (b'{"revision": 18446744073709551616}', b'{"revision": 1, "x": NaN}', b"[" * 5000):
            self.assertEqual(parse_change_request("PUT", "0", text).value_or(None), None, text[:40])
        for base in ("", "x", "\u00b2", "9" * 5000, "-1"):
            self.assertIsNone(parse_change_request("PUT", base, json.dumps(POLICY).encode()).value_or(None), base[:9])
        for edit in ({"timeoutMs": 1e999}, {"targetMs": 1e300}):
            text = json.dumps({**POLICY, "routes": [route("x", "/x/", **edit)]}).replace("Infinity", "1e999")
            self.assertIsNone(parse(text.encode()).bind(check).value_or(None))
        engine = {**POLICY, "services": [{"name": "s", "engine": {"slots": "many"}}]}
        self.assertIsNone(check(engine).value_or(None))
        self.assertGreater(configuration_writer.ANSWER_WITHIN, 100 * MS)
