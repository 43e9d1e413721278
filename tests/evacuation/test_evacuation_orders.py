"""Orders to evacuate a zone: what is committed, acknowledged and refused, whatever becomes of the write."""

import asyncio
import json
import unittest

from sparloom.configuration import build
from sparloom.controller.change_requests import Verdict
from sparloom.controller.control_state import VERSION, VERSION_WITH_EVACUATIONS, State
from sparloom.controller.evacuation_orders import EvacuationOrder, judge_evacuation, zone_fault
from sparloom.feed import CONFIGURATION, NO_VERSION, Change
from sparloom.feed.payload import apply_change, encode_delta, encode_state
from tests.controller.test_control_api import ControlApiCase, Request, revision


class OrderRequest(Request):
    """An order as the handler reads it."""

    def __init__(self, method, zone):
        super().__init__(method, 0, {})
        self.path = self.raw_path = f"/-/evacuation/{zone}"


class Stored(unittest.TestCase):
    def test_evacuated_zones_are_read_as_they_were_written(self):
        state = State({}).then({"revision": 3}, b"m" * 12, 7).evacuate("b").evacuate("a")
        again = State.unpack(state.pack())
        self.assertEqual(again, state)
        self.assertEqual(again.evacuated, {"a", "b"})
        self.assertEqual(again.then({"revision": 4}, b"n" * 12).evacuated, {"a", "b"})

    def test_without_evacuations_the_bytes_are_those_of_earlier_programs(self):
        state = State({}).then({"revision": 3}, b"m" * 12)
        self.assertEqual(state.evacuate("a").restore("a").pack(), state.pack())
        self.assertEqual((state.pack()[0], state.evacuate("a").pack()[0]), (VERSION, VERSION_WITH_EVACUATIONS))

    def test_an_order_that_is_in_force_already_writes_nothing(self):
        empty, emptied = State({}), State({}).evacuate("z")
        for state, evacuate, verdict in (
            (empty, True, Verdict.NEW),
            (empty, False, Verdict.ALREADY_COMMITTED),
            (emptied, True, Verdict.ALREADY_COMMITTED),
            (emptied, False, Verdict.NEW),
        ):
            with self.subTest(evacuate=evacuate, evacuated=state.evacuated):
                self.assertIs(judge_evacuation(state, EvacuationOrder("z", evacuate)).verdict, verdict)

    def test_a_zone_must_be_one_of_the_deployment(self):
        self.assertEqual(zone_fault("y", {"z": "r"}), "the zone y is unknown")
        self.assertEqual(zone_fault("z" * 256, ()), "the zone's name is longer than 255 characters")


class Feed(unittest.TestCase):
    """Routers learn of evacuations with the configuration, by snapshot and by delta."""

    OPERATORS = {"revision": 3, "routes": [], "services": []}
    EMPTIED = {**OPERATORS, "evacuatedZones": ["z"]}

    def through_delta(self, old, new):
        payload = encode_delta(CONFIGURATION, old, new, 1 << 20)
        return apply_change(Change(CONFIGURATION, 1, 2, 1, 1, payload), old)

    def test_evacuations_come_and_go_by_delta(self):
        self.assertEqual(self.through_delta(self.OPERATORS, self.EMPTIED), self.EMPTIED)
        self.assertEqual(self.through_delta(self.EMPTIED, self.OPERATORS), self.OPERATORS)
        later = {**self.EMPTIED, "revision": 4}
        self.assertEqual(self.through_delta(self.EMPTIED, later), later)

    def test_a_snapshot_tells_which_zones_are_evacuated(self):
        payload = encode_state(CONFIGURATION, self.EMPTIED)
        document = apply_change(Change(CONFIGURATION, 1, 2, *NO_VERSION, payload), None)
        self.assertEqual(build(document).evacuated_zones, {"z"})
        self.assertEqual(build(self.OPERATORS).evacuated_zones, frozenset())


class Orders(ControlApiCase):
    """Each story runs in simulated time; ``self.order`` gives a task whose result is the status."""

    def play(self, story):
        async def with_zones():
            self.handler.settings.zones = {"z": "r", "y": "r"}
            self.published = []
            self.handler.feed_server.publish = lambda _topic, _version, document: self.published.append(document)
            await story()

        super().play(with_zones)

    def order(self, method, zone="z"):
        request = OrderRequest(method, zone)
        call = self.handler.evacuate if method == "POST" else self.handler.restore

        async def answered():
            return (await call(request)).status

        task = asyncio.ensure_future(answered())
        task.request = request
        return task

    async def carried_out(self, method, zone="z"):
        task = self.order(method, zone)
        await asyncio.sleep(0.01)
        self.consensus.end_write(self.handler, True)
        return await task

    @property
    def evacuated(self):
        return sorted(self.handler.writer.committed.state.evacuated)

    def test_an_order_is_acknowledged_once_it_is_committed_and_again_when_it_is_repeated(self):
        async def story():
            task = self.order("POST")
            await asyncio.sleep(0.1)
            self.assertFalse(task.done())
            self.consensus.end_write(self.handler, True)
            self.assertEqual((await task, await self.order("POST"), self.evacuated), (200, 200, ["z"]))
            self.assertEqual(await self.carried_out("DELETE"), 200)
            self.assertEqual((await self.order("DELETE"), self.evacuated), (200, []))

        self.play(story)

    def test_repeated_orders_wait_for_the_outcome_of_the_first(self):
        async def story():
            for committed, status in ((False, 503), (True, 200)):
                tasks = [self.order("POST") for _ in range(3)]
                await asyncio.sleep(0.1)
                self.consensus.end_write(self.handler, committed)
                self.assertEqual([await task for task in tasks], [status] * 3)

        self.play(story)

    def test_two_operators_have_their_way_one_after_the_other(self):
        async def story():
            first, second, third = self.order("POST"), self.order("DELETE"), self.order("POST", "y")
            statuses = []
            for _ in range(3):
                await asyncio.sleep(0.05)
                if self.consensus.write_under_way is not None:
                    self.consensus.end_write(self.handler, True)
            statuses = [await first, await second, await third]
            self.assertEqual((statuses, self.evacuated), ([200] * 3, ["y"]))

        self.play(story)

    def test_a_change_of_the_configuration_leaves_evacuations_as_they_are_and_the_other_way_round(self):
        async def story():
            await self.take(1)
            self.assertEqual(await self.carried_out("POST"), 200)
            await self.take(2)
            state = self.handler.writer.committed.state
            self.assertEqual((state.revision, self.evacuated), (2, ["z"]))
            self.assertEqual(self.published[-1], {**revision(2), "evacuatedZones": ["z"]})
            self.assertEqual(await self.carried_out("DELETE"), 200)
            self.assertEqual(self.published[-1], revision(2))
            self.assertEqual(await self.send("PUT", 1, revision(2)), 200)

        self.play(story)

    def test_what_operators_write_under_the_feeds_key_evacuates_nothing(self):
        async def story():
            task = self.send("PUT", 0, {**revision(1), "evacuatedZones": ["z"]})
            await asyncio.sleep(0.01)
            self.consensus.end_write(self.handler, True)
            self.assertEqual(await task, 200)
            self.assertEqual((self.evacuated, build(self.published[-1]).evacuated_zones), ([], frozenset()))

        self.play(story)

    def test_an_order_without_a_majority_is_left_open_and_one_for_the_primary_is_sent_there(self):
        async def story():
            self.consensus.confirms = False
            task = self.order("POST")
            self.assertEqual(await task, 503)
            self.consensus.leads, self.age_ms = False, 10
            self.consensus.named = type("Member", (), {"id": 2, "control": "127.0.0.1:2"})()
            response = await self.handler.evacuate(OrderRequest("POST", "z"))
            self.assertEqual(response.headers["Location"], "http://127.0.0.1:2/-/evacuation/z")
            self.assertEqual((response.status, self.evacuated), (307, []))

        self.play(story)

    def test_an_order_whose_operator_has_left_begins_no_write(self):
        async def story():
            task = self.order("POST")
            task.request.left = True
            self.assertEqual(await task, 503)
            self.assertIsNone(self.consensus.write_under_way)

        self.play(story)

    def test_an_unknown_zone_is_refused_by_a_sentence_and_may_be_taken_back(self):
        async def story():
            response = await self.handler.evacuate(OrderRequest("POST", "nowhere"))
            self.assertEqual(
                (response.status, json.loads(response.body)["error"]), (404, "the zone nowhere is unknown")
            )
            self.assertEqual(await self.order("DELETE", "nowhere"), 200)

        self.play(story)


if __name__ == "__main__":
    unittest.main()
