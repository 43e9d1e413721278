"""The frontend against fake runners, over loopback."""

import asyncio
import unittest
from unittest import mock

from sparloom.configuration import build
from sparloom.router import attempt
from sparloom.router.admission_queues import AdmissionQueues
from sparloom.transport import monotonic
from tests.support.router_fixture import POLICY, Rig

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 6))


class Case(unittest.IsolatedAsyncioTestCase):
    runners = 2

    async def asyncSetUp(self):
        # A connection is given an eighth of a second, for which a busy machine may stand still: with 200 ms of it in
        # the second attempt, test_shed_is_sent_elsewhere got 503. Connections that don't open have tests of their own.
        patience = mock.patch.object(attempt, "MINIMUM_CONNECT_TIMEOUT_S", 5.0)
        patience.start()
        self.addCleanup(patience.stop)
        self.rig = Rig(self.runners)
        await self.rig.__aenter__()
        self.addAsyncCleanup(self.rig.__aexit__)

    @property
    def got(self):
        return [g for r in self.rig.runners for g in r.got]

    def script(self, *words):
        """Whatever runner is picked meets these in turn."""
        line = list(words)
        for r in self.rig.runners:
            r.script = line

    async def each_is_sent_once(self, *words):
        """What meets one of these may have run: it goes to one runner and ends without a promise."""
        for word in words:
            for path in ("/once/x", "/unsafe/x"):
                with self.subTest(word=word, path=path):
                    sent_before = len(self.got)
                    self.script(word)
                    answer = await self.rig.send(path)
                    self.assertEqual((answer.status, len(self.got) - sent_before), (502, 1))
                    for backend in self.rig.state.backends.by_id.values():
                        backend.record_success()


class Forwarding(Case):
    async def test_a_stream_comes_through_unchanged(self):
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, answer.body, answer.whole), (200, EVENTS, True))
        self.assertTrue(answer.heads["x-sparloom-runner-seal"].startswith("seal.i-"))
        self.assertEqual(answer.heads["x-sparloom-attempt-id"], "a1")

    async def test_raw_paths_arrive_as_sent(self):
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
            self.assertIn(f"POST {path} HTTP/1.1", [g.line for g in self.got])
        self.assertEqual(len(self.got), 8)

    async def test_method_and_body_arrive_unchanged(self):
        body = bytes(range(256)) * 20
        for method in ("POST", "PUT", "PATCH", "DELETE", "OPTIONS"):
            await self.rig.send("/once/m", body=body, method=method)
        self.assertEqual(sorted(g.line.split()[0] for g in self.got), ["DELETE", "OPTIONS", "PATCH", "POST", "PUT"])
        self.assertTrue(all(g.body == body for g in self.got))

    async def test_chunked_bodies_arrive_whole(self):
        raw = b"POST /once/c HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: c1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
        answer = await self.rig.send("", raw=raw)
        self.assertEqual((answer.status, self.got[0].body), (200, b"hello world"))

    async def test_end_to_end_headers_are_forwarded_and_others_are_not(self):
        await self.rig.send(
            "/once/h",
            heads=[
                "X-Mine: 1",
                "X-Mine: 2",
                "Te: trailers",
                "X-Hop: no",
                "Connection: x-hop",
                "Accept-Encoding: identity",
                "User-Agent: me",
            ],
        )
        received = self.got[0]
        self.assertEqual([value for name, value in received.heads if name == "X-Mine"], ["1", "2"])
        self.assertEqual(
            (received.head("User-Agent"), received.head("Accept-Encoding"), received.head("Host")),
            ("me", "identity", "h.example"),
        )
        self.assertIsNone(received.head("Te"))
        self.assertIsNone(received.head("X-Hop"))

    async def test_nothing_is_added_but_what_the_protocol_names(self):
        await self.rig.send("/once/h")
        names = {name.lower() for name, _ in self.got[0].heads}
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

    async def test_the_runner_is_named_and_the_time_left_shrinks(self):
        await self.rig.send("/once/h", left=1500)
        received = self.got[0]
        self.assertIn(received.head("X-Sparloom-Expected-Instance"), ("i-0", "i-1"))
        self.assertLessEqual(int(received.head("X-Sparloom-Deadline-Remaining")), 1500)

    async def test_encoded_replies_are_not_undone(self):
        self.script("gzip")
        answer = await self.rig.send("/once/z")
        self.assertEqual((answer.heads.get("content-encoding"), answer.body[:2]), ("gzip", b"\x1f\x8b"))

    async def test_redirects_are_passed_on_not_followed(self):
        self.script("redirect")
        answer = await self.rig.send("/once/z")
        self.assertEqual((answer.status, answer.heads["location"], len(self.got)), (302, "/elsewhere", 1))

    async def test_a_runners_own_error_is_passed_on(self):
        self.script("error")
        self.assertEqual((await self.rig.send("/once/z")).status, 500)

    async def test_an_idle_connection_is_kept_as_long_as_the_configuration_allows(self):
        for limit, kept in ((15000, 75), (200000, 200)):
            self.rig.state.configuration = build({**POLICY, "limits": {**POLICY["limits"], "idleTimeoutMs": limit}})
            self.assertEqual(self.rig.front.clients()().keepalive_timeout, kept)
        self.rig.state.configuration = None
        self.assertEqual(self.rig.front.clients()().keepalive_timeout, 75)

    async def test_connections_are_reused(self):
        for i in range(6):
            await self.rig.send("/once/z", id=f"k{i}")
        self.assertLessEqual(sum(r.pipes for r in self.rig.runners), 2)


class Refusing(Case):
    async def test_a_router_that_knows_nothing_yet_holds_no_request_past_its_deadline(self):
        state = self.rig.state
        state.configuration = None
        state.prefixes_known.clear()
        async with asyncio.timeout(state.settings.bounds.contact.total_seconds() / 4):
            answer = await self.rig.send("/once/x", left=20)
        self.assertEqual((answer.status, "retry-after" in answer.heads), (503, True))

    async def test_what_has_no_time_left_is_not_forwarded(self):
        with mock.patch.object(AdmissionQueues, "enter", self.late(AdmissionQueues.enter)):
            answer = await self.rig.send("/once/x", left=50)
        self.assertEqual((answer.status, self.got), (503, []))

    @staticmethod
    def late(enter):
        """An admission that comes only when the deadline has passed."""

        async def after_the_deadline(queues, service, request):
            admission = await enter(queues, service, request)
            while monotonic() < request.deadline:
                await asyncio.sleep(0.001)
            return admission

        return after_the_deadline

    async def test_no_route_is_404(self):
        self.assertEqual((await self.rig.send("/nowhere/")).status, 404)

    async def test_too_large_is_413_and_431(self):
        self.assertEqual((await self.rig.send("/once/x", body=b"x" * 20000)).status, 413)
        self.assertEqual((await self.rig.send("/once/x", heads=["X-Big: " + "y" * 5000])).status, 431)

    async def test_ill_formed_http_gets_400_and_a_close(self):
        answer = await self.rig.send("", raw=b"NONSENSE\r\n\r\n")
        self.assertEqual(answer.status, 400)

    async def test_no_backend_is_503_at_once_with_a_retry_after(self):
        self.rig.state.backends = type(self.rig.state.backends)()
        answer = await self.rig.send("/once/x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.heads["retry-after"]), 0)

    async def test_past_the_last_bucket_nothing_is_sent(self):
        state = self.rig.state
        for backend in state.backends.by_id.values():
            state.in_flight.own[backend.id] = 10**4
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, self.got), (503, []))
        self.assertIn("retry-after", answer.heads)


class Retrying(Case):
    async def test_shed_is_sent_elsewhere(self):
        self.script("shed")
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, answer.whole, len(self.got)), (200, True, 2))

    async def test_shed_with_one_attempt_is_503(self):
        self.script("shed")
        answer = await self.rig.send("/single/x")
        self.assertEqual((answer.status, len(self.got)), (503, 1))

    async def test_another_instance_at_the_address_did_not_run_it(self):
        self.script("moved", "moved")
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, len(self.got)), (503, 2))

    async def test_what_may_have_run_is_not_sent_again_nor_promised(self):
        await self.each_is_sent_once("reset", "busy", "noseal", "otherid", "junk")

    async def test_safe_requests_are_retried(self):
        self.script("reset")
        self.assertEqual((await self.rig.send("/safe/x")).status, 200)

    async def test_a_resumable_stream_goes_on_inside_one_reply(self):
        self.script("cut")
        answer = await self.rig.send("/resume/x")
        self.assertEqual((answer.status, answer.body, answer.whole), (200, EVENTS, True))
        self.assertEqual([g.head("Last-Event-Id") for g in self.got if g.head("Last-Event-Id")], ["2"])
        first = next(r for r in self.rig.runners if not r.got[0].head("Last-Event-Id"))
        self.assertIn(first.id, answer.heads["x-sparloom-runner-seal"])

    async def test_any_other_stream_is_cut_visibly(self):
        for word in ("cut", "short"):
            self.script(word)
            answer = await self.rig.send("/once/x")
            self.assertFalse(answer.whole)

    async def test_the_budget_bounds_further_arrivals(self):
        budget = self.rig.state.budget("s")
        budget.ratio = budget.slack = 0
        self.script("shed")
        answer = await self.rig.send("/once/x")
        self.assertEqual((answer.status, len(self.got)), (503, 1))


class Hedging(Case):
    async def test_an_unresponsive_backend_makes_an_idempotent_request_hedge(self):
        self.script("hang")
        answer = await self.rig.send("/quick/x")
        self.assertEqual((answer.status, answer.whole, len(self.got)), (200, True, 2))

    async def test_an_unresponsive_backend_ends_no_other_request(self):
        self.script("hang")
        task = asyncio.ensure_future(self.rig.send("/brief/x"))
        answer = await task
        self.assertEqual((answer.status, len(self.got)), (504, 1))

    async def test_slots_are_freed_on_every_end(self):
        for word in ("ok", "cut", "reset", "shed", "junk", "noseal"):
            self.script(word)
            await self.rig.send("/once/x")
        self.script("hang")
        await self.rig.send("/brief/x")
        self.assertEqual(self.rig.state.in_flight.own, {})

    async def test_a_client_that_disconnects_frees_its_slot_and_its_backend(self):
        self.script("hang")
        _, writer = await asyncio.open_connection("127.0.0.1", self.rig.port)
        writer.write(
            b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: g\r\nContent-Length: 0\r\n\r\n"
        )
        while not self.got:
            await asyncio.sleep(0)
        self.assertEqual(sum(self.rig.state.in_flight.own.values()), 1)
        writer.close()
        while self.rig.state.in_flight.own or not sum(r.dropped for r in self.rig.runners):
            await asyncio.sleep(0)
        self.assertEqual(self.rig.state.in_flight.own, {})

    async def test_every_attempt_goes_through_the_buckets(self):
        seen = []
        self.rig.state.in_flight.callback = seen.append
        self.script("shed", "ok")
        await self.rig.send("/once/x")
        self.assertEqual([c.throttled for c in seen], [False, False])
        self.assertEqual(len(seen), len(self.got))
