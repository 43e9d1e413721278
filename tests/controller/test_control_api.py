"""Tests of ``ControlApi`` in simulated time, with a fake consensus whose writes commit, hang or fail on demand."""

import asyncio
import json
import unittest
import zlib
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from simulator.virtual import world
from sparloom.configuration.check import check, parse
from sparloom.consensus.records import Data
from sparloom.controller import configuration_writer, control_state
from sparloom.controller.change_requests import ChangeVerdict, evaluate, parse_change_request
from sparloom.controller.control_api import ControlApi
from sparloom.controller.control_state import ControlStateError, History, State, fingerprint
from sparloom.feed import UNCONFIRMED
from tests.support.router_fixture import POLICY, route

MILLISECOND = timedelta(milliseconds=1)


class FakeConsensus:
    """A fake primary that confirms reads immediately and finishes writes when the test calls ``finish_write``."""

    def __init__(self):
        own_member = SimpleNamespace(id=1, control="127.0.0.1:1")
        self.current_primary, self.is_leading = own_member, True
        self.member = SimpleNamespace(
            member=own_member, leading=lambda: self.is_leading, primary=lambda: self.current_primary
        )
        self.swim = SimpleNamespace(table={})
        self.data, self.pending_write, self.confirms = Data(1, 0, 0, b""), None, True

    async def confirm(self, timeout):
        if self.confirms:
            await asyncio.sleep(0.001)
            return self.data
        await asyncio.sleep(timeout.total_seconds())
        return None

    async def write(self, revision, blob, timeout):
        if self.pending_write is not None:
            return None
        new = Data(1, self.data.number + 1, revision, blob)
        self.pending_write = (new, asyncio.get_running_loop().create_future())
        return await self.pending_write[1]

    def finish_write(self, handler, committed):
        (new, result), self.pending_write = self.pending_write, None
        if committed:
            self.data = new
            handler.on_committed(new)
        result.set_result(new if committed else None)


class FakeRequest:
    """A fake HTTP request with the attributes that the handlers use."""

    def __init__(self, method, base, change):
        self.method, self.raw, self.content = method, json.dumps(change).encode(), self
        self.headers, self.content_length = {"If-Match": str(base)}, None
        self.disconnected, self.remote = False, ""
        self.transport = SimpleNamespace(is_closing=lambda: self.disconnected)

    async def readany(self):
        raw, self.raw = self.raw, b""
        return raw


def revision(number, *routes):
    return {**POLICY, "revision": number, "routes": list(routes)}


class ControlApiCase(unittest.TestCase):
    """Runs scenarios in simulated time; ``self.send`` returns a task whose result is the response status."""

    def run_scenario(self, scenario):
        async def run():
            self.consensus = FakeConsensus()
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
            await scenario()

        with world(1) as self.loop:
            self.loop.run_until_complete(run())

    def send(self, method, base, change):
        request = FakeRequest(method, base, change)
        call = self.handler.get if method == "GET" else self.handler.change

        async def response_status():
            return (await call(request)).status

        task = asyncio.ensure_future(response_status())
        task.request = request
        return task

    async def commit_revisions(self, *numbers):
        for base, number in zip((self.handler.writer.committed.state.revision, *numbers), numbers, strict=False):
            task = self.send("PUT", base, revision(number))
            await asyncio.sleep(0.01)
            self.consensus.finish_write(self.handler, True)
            self.assertEqual(await task, 200)


class ConfigurationChangeTest(ControlApiCase):
    def test_a_retry_waits_for_the_outcome_of_the_first_attempt(self):
        async def scenario():
            for committed, status in ((True, 200), (False, 503)):
                base = self.handler.writer.committed.state.revision
                tasks = [self.send("PUT", base, revision(base + 3)) for _ in range(2)]
                await asyncio.sleep(0.1)
                self.assertFalse(any(task.done() for task in tasks))
                self.consensus.finish_write(self.handler, committed)
                self.assertEqual([await task for task in tasks], [status, status])

        self.run_scenario(scenario)

    def test_no_change_is_rejected_while_a_write_is_pending(self):
        async def scenario():
            first = self.send("PUT", 0, revision(3))
            await asyncio.sleep(0.01)
            conflicting = self.send("PUT", 0, revision(3, route("x", "/x/")))
            await asyncio.sleep(0.1)
            self.assertFalse(conflicting.done())
            self.consensus.finish_write(self.handler, True)
            self.assertEqual([await first, await conflicting], [200, 412])

        self.run_scenario(scenario)

    def test_a_change_on_the_same_base_succeeds_after_a_failed_write(self):
        async def scenario():
            first = self.send("PUT", 0, revision(3))
            await asyncio.sleep(0.01)
            conflicting = self.send("PUT", 0, revision(4))
            self.consensus.finish_write(self.handler, False)
            self.assertEqual(await first, 503)
            await asyncio.sleep(0.01)
            self.consensus.finish_write(self.handler, True)
            self.assertEqual(await conflicting, 200)

        self.run_scenario(scenario)

    def test_requests_behind_a_hung_write_are_answered_before_the_client_timeout(self):
        async def scenario():
            started_at = self.loop.time()
            tasks = [self.send("PUT", 0, revision(3 + index % 4)) for index in range(8)]
            self.assertEqual({await task for task in tasks}, {503})
            self.assertLess(self.loop.time() - started_at, 1.0)
            self.consensus.finish_write(self.handler, True)
            self.assertEqual(await self.send("PUT", 0, revision(3)), 200)

        self.run_scenario(scenario)

    def test_a_change_whose_client_disconnected_is_not_written(self):
        async def scenario():
            first = self.send("PUT", 0, revision(3))
            await asyncio.sleep(0.01)
            abandoned = self.send("PUT", 0, revision(4))
            await asyncio.sleep(0.01)
            abandoned.request.disconnected = True
            self.consensus.finish_write(self.handler, False)
            self.assertEqual([await first, await abandoned], [503, 503])
            self.assertIsNone(self.consensus.pending_write)

        self.run_scenario(scenario)

    def test_no_response_depends_on_uncommitted_or_unconfirmed_state(self):
        async def scenario():
            await self.commit_revisions(3)
            committed = self.consensus.data
            self.consensus.data = Data(1, 9, 7, State(revision(7)).pack())
            for call in (("GET", 0, {}), ("PUT", 3, revision(9)), ("PUT", 7, revision(9)), ("PUT", 0, revision(7))):
                self.assertEqual(await self.send(*call), 503, call)
            self.consensus.data, self.consensus.confirms = committed, False
            for call in (("GET", 0, {}), ("PUT", 0, revision(9)), ("PUT", 3, revision(2)), ("PUT", 0, revision(3))):
                self.assertEqual(await self.send(*call), 503, call)

        self.run_scenario(scenario)

    def test_redirects_only_to_a_recently_confirmed_primary(self):
        async def scenario():
            self.consensus.is_leading, self.consensus.current_primary = (
                False,
                SimpleNamespace(id=2, control="127.0.0.2:1"),
            )
            self.assertEqual(await self.send("GET", 0, {}), 503)
            self.age_ms = 200
            self.assertEqual(await self.send("GET", 0, {}), 307)
            self.age_ms = 2000
            self.assertEqual(await self.send("PUT", 0, revision(3)), 503)
            self.assertEqual(await self.send("PUT", 0, b"x".decode()), 400)

        self.run_scenario(scenario)

    def test_a_retry_of_a_change_dropped_from_the_history_has_an_unknown_outcome(self):
        async def scenario():
            with mock.patch.object(control_state, "HISTORY_LIMIT", 3):
                await self.commit_revisions(2, 4, 6, 8, 10, 12)
                statuses = [await self.send("PUT", number - 2, revision(number)) for number in (2, 4, 6, 8, 10, 12)]
                self.assertEqual(statuses, [503, 503, 503, 200, 200, 200])
                self.assertEqual(await self.send("PUT", 6, revision(9)), 412)
                self.assertEqual(await self.send("PUT", 8, revision(10, route("x", "/x/"))), 412)
                self.assertEqual(await self.send("PUT", 12, revision(5)), 400)

        self.run_scenario(scenario)


class ControlStateTest(unittest.TestCase):
    def test_the_history_size_is_bounded(self):
        history = History()
        for number in range(1, control_state.HISTORY_LIMIT + 11):
            history = history.add(number, b"%012d" % number)
        self.assertEqual((len(history), history.dropped_through), (control_state.HISTORY_LIMIT, 10))
        self.assertLess(len(State({}, history).pack()), 42000)
        self.assertEqual(State.unpack(State({}, history).pack()).history, history)
        self.assertEqual(history.fingerprint_of(11), b"%012d" % 11)

    def test_version_1_is_decoded_and_its_history_counts_as_dropped(self):
        version_1_blob = zlib.compress(
            json.dumps([POLICY | {"revision": 5}, [["PUTab", 5], ["PATCHcd", 3]], 7]).encode()
        )
        state = State.unpack(version_1_blob)
        self.assertEqual((state.revision, state.router_count), (5, 7))
        changes = (("0", POLICY | {"revision": 5}), ("0", POLICY | {"revision": 3}), ("5", POLICY | {"revision": 6}))
        verdicts = [
            evaluate(state, parse_change_request("PUT", base, json.dumps(change).encode()).unwrap()).verdict
            for base, change in changes
        ]
        self.assertEqual(
            verdicts, [ChangeVerdict.ALREADY_COMMITTED, ChangeVerdict.POSSIBLY_COMMITTED, ChangeVerdict.NEW]
        )
        with self.assertRaises(ControlStateError):
            State.unpack(b"\x09" + bytes(40))

    def test_the_base_is_part_of_the_fingerprint_of_a_patch_only(self):
        self.assertNotEqual(fingerprint("PATCH", 1, {}), fingerprint("PATCH", 2, {}))
        self.assertEqual(fingerprint("PUT", 1, {}), fingerprint("PUT", 2, {}))

    def test_values_out_of_range_or_nested_too_deeply_are_rejected(self):
        for text in (b'{"revision": 18446744073709551616}', b'{"revision": 1, "x": NaN}', b"[" * 5000):
            self.assertEqual(parse_change_request("PUT", "0", text).value_or(None), None, text[:40])
        for base in ("", "x", "\u00b2", "9" * 5000, "-1"):
            self.assertIsNone(parse_change_request("PUT", base, json.dumps(POLICY).encode()).value_or(None), base[:9])
        for edit in ({"timeoutMs": 1e999}, {"targetMs": 1e300}):
            text = json.dumps({**POLICY, "routes": [route("x", "/x/", **edit)]}).replace("Infinity", "1e999")
            self.assertIsNone(parse(text.encode()).bind(check).value_or(None))
        engine = {**POLICY, "services": [{"name": "s", "engine": {"slots": "many"}}]}
        self.assertIsNone(check(engine).value_or(None))
        self.assertGreater(configuration_writer.RESPONSE_TIMEOUT, 100 * MILLISECOND)
