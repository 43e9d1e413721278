"""Regression tests: responses that are not streams, and events, were kept whole, whatever their size."""

from sparloom.admission import HoldingKind, process_budget
from sparloom.event_stream.events import MAXIMUM_EVENT_BYTES
from sparloom.router.response_relay import MAXIMUM_KEPT_BYTES
from sparloom.transport import monotonic

from .test_frontend import EVENTS, FrontendTestCase

LARGE_BODY = b"0123456789abcdef" * (3 * MAXIMUM_KEPT_BYTES // 16)


def response(body, declared=None, id="a1"):
    head = f"HTTP/1.1 200 OK\r\nX-Sparloom-Attempt-Id: {id}\r\nX-Sparloom-Runner-Seal: seal.x\r\n"
    return f"{head}Content-Length: {len(body) if declared is None else declared}\r\n\r\n".encode() + body


class LargeResponses(FrontendTestCase):
    async def send_raw(self, raw, path="/safe/x"):
        """Has the first runner send raw bytes and close its connection; returns the answer and the requests sent."""
        for runner in self.rig.runners:
            runner.raw = raw
        self.set_script("raw")
        sent_before = len(self.received)
        answer = await self.rig.send(path)
        return answer, len(self.received) - sent_before

    async def test_large_response_is_passed_on_complete(self):
        answer, sent = await self.send_raw(response(LARGE_BODY))
        self.assertEqual((answer.status, answer.is_complete, sent), (200, True, 1))
        self.assertEqual(answer.body, LARGE_BODY)
        self.assertEqual(process_budget().held, 0)

    async def test_large_response_that_breaks_off_is_cut_and_never_joined_with_another(self):
        answer, sent = await self.send_raw(response(LARGE_BODY, 2 * len(LARGE_BODY)))
        self.assertEqual((answer.status, answer.is_complete, sent), (200, False, 1))
        self.assertEqual(answer.rest, LARGE_BODY)

    async def test_small_response_that_breaks_off_is_replaced_by_another_one(self):
        answer, sent = await self.send_raw(response(LARGE_BODY[: MAXIMUM_KEPT_BYTES // 2], len(LARGE_BODY)))
        self.assertEqual((answer.status, answer.is_complete, sent), (200, True, 2))
        self.assertNotIn(b"0123456789abcdef", answer.raw)

    async def test_response_is_passed_on_where_the_budget_has_no_room(self):
        budget = process_budget()
        self.addCleanup(setattr, budget, "capacity", budget.capacity)
        budget.capacity = 100
        other = budget.open(HoldingKind.ANSWERS, "other", monotonic())
        budget.resize(other, 1, monotonic())
        answer, sent = await self.send_raw(response(b"x" * 5000))
        budget.close(other)
        self.assertEqual((answer.status, answer.is_complete, sent, budget.held), (200, True, 1, 0))


class LargeEvents(FrontendTestCase):
    async def test_event_without_end_counts_as_a_failure_of_its_runner(self):
        endless = response(b"data: " + b"x" * (MAXIMUM_EVENT_BYTES + 1), 1 << 40)
        for runner in self.rig.runners:
            runner.raw = endless
        self.set_script("raw")
        answer = await self.rig.send("/resume/x")
        self.assertEqual((answer.status, answer.body, answer.is_complete), (200, EVENTS, True))
        suspected = [backend for backend in self.rig.state.backends.by_id.values() if backend.is_suspected(monotonic())]
        self.assertEqual((len(suspected), process_budget().held), (1, 0))
