"""The frontend with fake runners, over loopback."""

import asyncio
import unittest
from unittest import mock

from sparloom.configuration import build
from sparloom.router import attempt
from sparloom.router.admission_queues import AdmissionQueues
from sparloom.transport import monotonic
from tests.support.router_fixture import POLICY, RouterFixture

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 6))


class FrontendTestCase(unittest.IsolatedAsyncioTestCase):
    runners = 2

    async def asyncSetUp(self):
        # The connect timeout is an eighth of a second, and a busy machine may pause for longer: a pause of 200 ms
        # in the second attempt made test_rejected_request_is_sent_to_another_runner get 503. Connect failures have
        # their own tests.
        connect_timeout = mock.patch.object(attempt, "MINIMUM_CONNECT_TIMEOUT_S", 5.0)
        connect_timeout.start()
        self.addCleanup(connect_timeout.stop)
        self.rig = RouterFixture(self.runners)
        await self.rig.__aenter__()
        self.addAsyncCleanup(self.rig.__aexit__)

    @property
    def received(self):
        """All requests that the runners have received."""
        return [request for runner in self.rig.runners for request in runner.received]

    def set_script(self, *behaviors):
        """Give all runners one shared script, so that it doesn't matter which of them is chosen."""
        script = list(behaviors)
        for runner in self.rig.runners:
            runner.script = script

    async def assert_sent_once(self, *behaviors):
        """Check that a request that may have run is sent to one runner only and is answered with 502."""
        for behavior in behaviors:
            for path in ("/once/x", "/unsafe/x"):
                with self.subTest(behavior=behavior, path=path):
                    sent_before = len(self.received)
                    self.set_script(behavior)
                    answer = await self.rig.send(path)
                    self.assertEqual((answer.status, len(self.received) - sent_before), (502, 1))
                    for backend in self.rig.state.backends.by_id.values():
                        backend.record_success()


class Forwarding(FrontendTestCase):
    async def test_stream_is_relayed_unchanged(self):
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, answer.body, answer.is_complete), (200, EVENTS, True))
        self.assertTrue(answer.headers["x-sparloom-runner-seal"].startswith("seal.i-"))
        self.assertEqual(answer.headers["x-sparloom-attempt-id"], "a1")

    async def test_raw_paths_are_forwarded_as_sent(self):
        for path in (
            "/once/a%20b/%7Ec?q=%2F&r=a+b",
            "/once/../x//y;z=1",
            "/once/%e4?x",
            "/once/a?",
            "/once/q?a=b?c&d='\"[]|",
            "/once/%2e%2E/",
            "/once/a#b",
            "/once/?",
        ):
            await self.rig.send(path)
            self.assertIn(f"POST {path} HTTP/1.1", [request.line for request in self.received])
        self.assertEqual(len(self.received), 8)

    async def test_method_and_body_are_forwarded_unchanged(self):
        body = bytes(range(256)) * 20
        for method in ("POST", "PUT", "PATCH", "DELETE", "OPTIONS"):
            await self.rig.send("/once/m", body=body, method=method)
        self.assertEqual(
            sorted(request.line.split()[0] for request in self.received), ["DELETE", "OPTIONS", "PATCH", "POST", "PUT"]
        )
        self.assertTrue(all(request.body == body for request in self.received))

    async def test_chunked_bodies_are_forwarded_completely(self):
        raw = b"POST /once/c HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: c1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
        answer = await self.rig.send("", raw=raw)
        self.assertEqual((answer.status, self.received[0].body), (200, b"hello world"))

    async def test_only_end_to_end_headers_are_forwarded(self):
        await self.rig.send(
            "/once/h",
            headers=[
                "X-Mine: 1",
                "X-Mine: 2",
                "Te: trailers",
                "X-Hop: no",
                "Connection: x-hop",
                "Accept-Encoding: identity",
                "User-Agent: me",
            ],
        )
        request = self.received[0]
        self.assertEqual([value for name, value in request.headers if name == "X-Mine"], ["1", "2"])
        self.assertEqual(
            (request.head("User-Agent"), request.head("Accept-Encoding"), request.head("Host")),
            ("me", "identity", "h.example"),
        )
        self.assertIsNone(request.head("Te"))
        self.assertIsNone(request.head("X-Hop"))

    async def test_only_headers_of_the_protocol_are_added(self):
        await self.rig.send("/once/h")
        names = {name.lower() for name, _ in self.received[0].headers}
        self.assertEqual(
            names,
            {
                "host",
                "x-sparloom-attempt-id",
                "x-sparloom-deadline-remaining",
                "x-sparloom-expected-instance",
                "x-sparloom-request-urgency",
                "content-length",
            },
        )

    async def test_expected_instance_and_remaining_deadline_are_sent(self):
        await self.rig.send("/once/h", left=1500)
        request = self.received[0]
        self.assertIn(request.head("X-Sparloom-Expected-Instance"), ("i-0", "i-1"))
        self.assertLessEqual(int(request.head("X-Sparloom-Deadline-Remaining")), 1500)

    async def test_encoded_responses_are_not_decoded(self):
        self.set_script("gzip")
        answer = await self.rig.send("/once/z")
        self.assertEqual((answer.headers.get("content-encoding"), answer.body[:2]), ("gzip", b"\x1f\x8b"))

    async def test_redirects_are_relayed_and_not_followed(self):
        self.set_script("redirect")
        answer = await self.rig.send("/once/z")
        self.assertEqual((answer.status, answer.headers["location"], len(self.received)), (302, "/elsewhere", 1))

    async def test_error_response_of_a_runner_is_relayed(self):
        self.set_script("error")
        self.assertEqual((await self.rig.send("/once/z")).status, 500)

    async def test_idle_timeout_follows_the_configuration(self):
        for configured_ms, expected_s in ((15000, 75), (200000, 200)):
            self.rig.state.configuration = build(
                {**POLICY, "limits": {**POLICY["limits"], "idleTimeoutMs": configured_ms}}
            )
            self.assertEqual(self.rig.front.create_client_server()().keepalive_timeout, expected_s)
        self.rig.state.configuration = None
        self.assertEqual(self.rig.front.create_client_server()().keepalive_timeout, 75)

    async def test_connections_are_reused(self):
        for i in range(6):
            await self.rig.send("/once/z", id=f"k{i}")
        self.assertLessEqual(sum(runner.accepted_connections for runner in self.rig.runners), 2)


class Refusals(FrontendTestCase):
    async def test_router_without_configuration_refuses_requests_at_their_deadline(self):
        state = self.rig.state
        state.configuration = None
        state.prefixes_known.clear()
        async with asyncio.timeout(state.settings.bounds.contact.total_seconds() / 4):
            answer = await self.rig.send("/once/x", left=20)
        self.assertEqual((answer.status, "retry-after" in answer.headers), (503, True))

    async def test_request_past_its_deadline_is_not_forwarded(self):
        with mock.patch.object(AdmissionQueues, "acquire", self.admit_after_deadline(AdmissionQueues.acquire)):
            answer = await self.rig.send("/once/x", left=50)
        self.assertEqual((answer.status, self.received), (503, []))

    @staticmethod
    def admit_after_deadline(acquire):
        """Return a replacement for ``AdmissionQueues.acquire`` that admits requests only after their deadline."""

        async def enter_after_deadline(queues, service, request):
            admission = await acquire(queues, service, request)
            while monotonic() < request.deadline:
                await asyncio.sleep(0.001)
            return admission

        return enter_after_deadline

    async def test_unknown_route_is_404(self):
        self.assertEqual((await self.rig.send("/nowhere/")).status, 404)

    async def test_oversized_body_is_413_and_oversized_header_is_431(self):
        self.assertEqual((await self.rig.send("/once/x", body=b"x" * 20000)).status, 413)
        self.assertEqual((await self.rig.send("/once/x", headers=["X-Big: " + "y" * 5000])).status, 431)

    async def test_malformed_http_is_400(self):
        answer = await self.rig.send("", raw=b"NONSENSE\r\n\r\n")
        self.assertEqual(answer.status, 400)

    async def test_no_backend_is_503_with_retry_after(self):
        self.rig.state.backends = type(self.rig.state.backends)()
        answer = await self.rig.send("/once/x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    async def test_no_request_is_sent_past_the_last_bucket(self):
        state = self.rig.state
        for backend in state.backends.by_id.values():
            state.in_flight.own[backend.id] = 10**4
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, self.received), (503, []))
        self.assertIn("retry-after", answer.headers)


class Retries(FrontendTestCase):
    async def test_rejected_request_is_sent_to_another_runner(self):
        self.set_script("shed")
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, answer.is_complete, len(self.received)), (200, True, 2))

    async def test_rejected_request_with_one_attempt_is_503(self):
        self.set_script("shed")
        answer = await self.rig.send("/single/x")
        self.assertEqual((answer.status, len(self.received)), (503, 1))

    async def test_misdirected_requests_did_not_run(self):
        self.set_script("moved", "moved")
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, len(self.received)), (503, 2))

    async def test_request_that_may_have_run_is_not_retried(self):
        await self.assert_sent_once("reset", "busy", "noseal", "otherid", "junk")

    async def test_safe_requests_are_retried(self):
        self.set_script("reset")
        self.assertEqual((await self.rig.send("/safe/x")).status, 200)

    async def test_resumable_stream_continues_within_one_response(self):
        self.set_script("cut")
        answer = await self.rig.send("/resume/x")
        self.assertEqual((answer.status, answer.body, answer.is_complete), (200, EVENTS, True))
        self.assertEqual(
            [request.head("Last-Event-Id") for request in self.received if request.head("Last-Event-Id")], ["2"]
        )
        first = next(runner for runner in self.rig.runners if not runner.received[0].head("Last-Event-Id"))
        self.assertIn(first.id, answer.headers["x-sparloom-runner-seal"])

    async def test_interrupted_stream_is_visibly_incomplete(self):
        for behavior in ("cut", "short"):
            self.set_script(behavior)
            answer = await self.rig.send("/once/x")
            self.assertFalse(answer.is_complete)

    async def test_retry_budget_limits_retries(self):
        budget = self.rig.state.budget("s")
        budget.ratio = budget.slack = 0
        self.set_script("shed")
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, len(self.received)), (503, 1))


class Hedging(FrontendTestCase):
    async def test_idempotent_request_is_hedged_when_its_backend_is_unresponsive(self):
        self.set_script("hang")
        answer = await self.rig.send("/quick/x")
        self.assertEqual((answer.status, answer.is_complete, len(self.received)), (200, True, 2))

    async def test_non_idempotent_request_stays_at_an_unresponsive_backend(self):
        self.set_script("hang")
        task = asyncio.ensure_future(self.rig.send("/brief/x"))
        answer = await task
        self.assertEqual((answer.status, len(self.received)), (504, 1))

    async def test_slots_are_released_after_every_outcome(self):
        for behavior in ("ok", "cut", "reset", "shed", "junk", "noseal"):
            self.set_script(behavior)
            await self.rig.send("/once/x")
        self.set_script("hang")
        await self.rig.send("/brief/x")
        self.assertEqual(self.rig.state.in_flight.own, {})

    async def test_client_disconnect_releases_the_slot_and_the_backend(self):
        self.set_script("hang")
        _, writer = await asyncio.open_connection("127.0.0.1", self.rig.port)
        writer.write(
            b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: g\r\nContent-Length: 0\r\n\r\n"
        )
        while not self.received:
            await asyncio.sleep(0)
        self.assertEqual(sum(self.rig.state.in_flight.own.values()), 1)
        writer.close()
        while self.rig.state.in_flight.own or not sum(runner.dropped for runner in self.rig.runners):
            await asyncio.sleep(0)
        self.assertEqual(self.rig.state.in_flight.own, {})

    async def test_every_attempt_is_counted_in_the_buckets(self):
        recorded = []
        self.rig.state.in_flight.callback = recorded.append
        self.set_script("shed", "ok")
        await self.rig.send("/once/x")
        self.assertEqual([call.throttled for call in recorded], [False, False])
        self.assertEqual(len(recorded), len(self.received))
