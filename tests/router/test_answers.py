"""Invalid responses from backends, and which requests may be retried."""

import asyncio
import random
from unittest import mock

import aiohttp

from sparloom.dynamic_timeout import InFlightCounts
from sparloom.router.backends import Backend
from sparloom.transport.http_client import Connector, open_session

from .test_frontend import EVENTS, FrontendTestCase


class FailsOnce:
    """Replaces a backend's session; the first request fails before a connection is open."""

    def __init__(self, failure):
        self.failure, self.failed = failure, False

    def replacement_for(self, session):
        """Return a replacement for ``Backend.session``."""
        return lambda backend: session(backend) if self.failed else self

    def request(self, *args, **options):
        """Raise the failure."""
        self.failed = True
        raise self.failure


class InvalidResponses(FrontendTestCase):
    async def test_rejection_of_another_request_does_not_prove_that_this_one_did_not_run(self):
        await self.assert_sent_once("othershed", "othermoved", "namelessbad")

    async def test_connection_with_a_surplus_response_is_not_reused(self):
        for i in range(8):
            self.set_script("leftover")
            answer = await self.rig.send("/once/x", id=f"s{i}")
            self.assertEqual((answer.status, answer.is_complete, len(self.received)), (200, True, i + 1))
            async with asyncio.timeout(2):
                while any(backend.has_idle_connection() for backend in self.rig.state.backends.by_id.values()):
                    await asyncio.sleep(0)

    async def test_rejection_with_an_incomplete_body_allows_a_retry(self):
        for behavior in ("endless", "shedshort"):
            sent_before = len(self.received)
            self.set_script(behavior)
            answer = await self.rig.send("/once/x")
            self.assertEqual((answer.status, answer.is_complete, len(self.received) - sent_before), (200, True, 2))
            for backend in self.rig.state.backends.by_id.values():
                backend.record_success()

    async def test_connect_failure_allows_a_retry(self):
        for failure in (aiohttp.ConnectionTimeoutError(), aiohttp.ClientConnectorError(None, OSError())):
            first = FailsOnce(failure)
            with mock.patch.object(Backend, "session", first.replacement_for(Backend.session)):
                answer = await self.rig.send("/unsafe/x")
            self.assertEqual((answer.status, answer.is_complete, first.failed), (200, True, True))
            for backend in self.rig.state.backends.by_id.values():
                backend.record_success()

    async def test_sessions_do_not_retry_and_store_no_cookies(self):
        session = open_session(Connector())
        self.addAsyncCleanup(session.close)
        self.assertIs(session._retry_connection, False)
        self.assertIsInstance(session.cookie_jar, aiohttp.DummyCookieJar)

    async def test_get_request_is_not_retried_by_the_library(self):
        await self.rig.send("/unsafe/x", method="GET", body=b"")
        sent_before = len(self.received)
        self.set_script("reset")
        answer = await self.rig.send("/unsafe/x", method="GET", body=b"")
        self.assertEqual((answer.status, len(self.received) - sent_before), (502, 1))

    async def test_invalid_responses_are_not_relayed(self):
        chunk = b"3\r\nabc\r\n0\r\n\r\n"
        for name, (status, headers, body) in {
            "conflicting lengths": ("200 OK", "Content-Length: 3\r\nContent-Length: 5\r\n", b"abcde"),
            "length and chunks": ("200 OK", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", chunk),
            "further transfer encoding": ("200 OK", "Transfer-Encoding: gzip, chunked\r\n", chunk),
            "malformed chunk": ("200 OK", "Transfer-Encoding: chunked\r\n", b"3\r\nabcXX"),
            "body ended by the close": ("200 OK", "", b"abc"),
            "second attempt id": ("200 OK", "X-Sparloom-Attempt-Id: b\r\nContent-Length: 3\r\n", b"abc"),
            "protocol upgrade": ("101 Switching", "Upgrade: x\r\nConnection: upgrade\r\n", b"abc"),
            "incomplete error response": ("500 No", "Content-Length: 9\r\n", b"abc"),
        }.items():
            head = f"HTTP/1.1 {status}\r\nX-Sparloom-Attempt-Id: a1\r\nX-Sparloom-Runner-Seal: s\r\n{headers}\r\n"
            for runner in self.rig.runners:
                runner.raw = head.encode() + body
                self.rig.state.backends.by_id[runner.id].record_success()
            for path in ("/unsafe/x", "/once/x"):
                with self.subTest(name, path=path):
                    self.set_script("raw")
                    answer = await self.rig.send(path)
                    relayed = answer.status == 200 and answer.is_complete or "x-sparloom-runner-seal" in answer.headers
                    self.assertEqual((answer.status == 502, relayed), (True, False))

    async def test_surplus_responses_reach_no_client(self):
        for i in range(6):
            self.set_script("extra")
            answer = await self.rig.send("/once/x", id=f"e{i}")
            self.assertIn(answer.status, (200, 502))
            if answer.status == 200:
                self.assertEqual(
                    (answer.headers["x-sparloom-attempt-id"], answer.body, answer.is_complete), (f"e{i}", EVENTS, True)
                )


class AttemptLimits(FrontendTestCase):
    runners = 5

    async def test_rejections_count_as_attempts_of_the_route(self):
        self.set_script(*["shed"] * 5)
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, len(self.received)), (503, 2))

    async def test_misdirected_requests_use_no_attempts_and_each_runner_is_tried_once(self):
        self.set_script(*["moved"] * 3, *["shed"] * 2)
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, [request.word for request in self.received].count("shed")), (503, 2))
        self.assertEqual([len(runner.received) for runner in self.rig.runners], [1] * 5)

    async def test_status_when_no_other_runner_has_capacity(self):
        for behavior, path, status in (("shed", "/once/x", 503), ("reset", "/safe/x", 502)):
            self.set_script(behavior)
            with mock.patch.object(InFlightCounts, "acquire", self.acquire_once(InFlightCounts.acquire)):
                answer = await self.rig.send(path)
            self.assertEqual((answer.status, "retry-after" in answer.headers), (status, status == 503))
            for backend in self.rig.state.backends.by_id.values():
                backend.record_success()

    @staticmethod
    def acquire_once(acquire):
        """Return a replacement for ``InFlightCounts.acquire`` that has capacity for one attempt only."""
        calls = []
        return lambda *args: None if calls else calls.append(1) or acquire(*args)

    async def test_connect_failures_use_no_attempts(self):
        for runner in self.rig.runners[:4]:
            runner.server.close()
        answer = await self.rig.send("/single/x")
        self.assertEqual((answer.status, answer.is_complete, len(self.received)), (200, True, 1))


class MixedFaults(FrontendTestCase):
    """Many concurrent requests over reused connections to runners with all kinds of faults."""

    runners = 4
    behaviors = ("ok",) * 8 + (
        "shed",
        "moved",
        "busy",
        "error",
        "noseal",
        "otherid",
        "cut",
        "reset",
        "extra",
        "junk",
        "short",
        "othershed",
        "othermoved",
        "namelessbad",
        "leftover",
        "endless",
        "shedshort",
    )

    async def run_client(self, rng, name, answers):
        """Send requests one after another, each with a unique id."""
        for i in range(25):
            path, id = rng.choice(("/once/", "/unsafe/", "/safe/", "/resume/", "/single/")), f"{name}-{i}"
            answers[id] = path, await self.rig.send(f"{path}x", id=id)
            for backend in self.rig.state.backends.by_id.values():
                backend.record_success()

    async def test_no_request_runs_twice_and_every_response_belongs_to_its_request(self):
        for seed, slots, clients in ((0, 8, 4), (1, 1, 10)):
            rng, answers = random.Random(seed), {}
            for backend in self.rig.state.backends.by_id.values():
                backend.slots = slots
            for runner in self.rig.runners:
                runner.received, runner.script = [], rng.choices(self.behaviors, k=400)
            await asyncio.gather(*(self.run_client(rng, f"{seed}-{number}", answers) for number in range(clients)))
            attempts = {}
            for request in self.received:
                attempts.setdefault(request.head("X-Sparloom-Attempt-Id"), []).append(request)
            for id, (path, answer) in answers.items():
                with self.subTest(id=id, path=path, status=answer.status):
                    self.check(id, path, answer, attempts.get(id, []))
            self.assertGreater(
                sum(answer.status == 200 and answer.is_complete for _, answer in answers.values()), len(answers) / 3
            )

    def check(self, id, path, answer, attempts):
        """Check the rules for one request, given its answer and the attempts that reached runners."""
        # The rule BUDGET counts the runners that ran an attempt. 421 means that the expected instance isn't there.
        self.assertLessEqual(sum(request.word != "moved" for request in attempts), 1 if path == "/single/" else 2)
        self.assertLessEqual(len(attempts), self.runners)
        runs = [request.ran for request in attempts]
        if path not in ("/safe/", "/resume/"):
            self.assertLessEqual(sum(runs), 1)
            self.assertFalse(answer.status in (408, 421, 429, 503) and any(runs))
        if answer.status == 200:
            self.assertTrue(answer.headers["x-sparloom-runner-seal"].endswith(f".{id}"))
            self.assertTrue(EVENTS.startswith(answer.body) and answer.is_complete == (answer.body == EVENTS))
        else:
            self.assertEqual("x-sparloom-runner-seal" in answer.headers, answer.status == 500)
