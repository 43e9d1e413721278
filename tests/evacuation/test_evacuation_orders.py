"""Tests of evacuation orders: storage, publication to routers, and the responses for each outcome of a write."""

import asyncio
import json
import unittest

from sparloom.configuration import build
from sparloom.controller.change_requests import ChangeVerdict
from sparloom.controller.control_state import VERSION, VERSION_WITH_EVACUATIONS, State
from sparloom.controller.evacuation_orders import EvacuationOrder, evaluate_evacuation, zone_fault
from sparloom.feed import CONFIGURATION, NO_VERSION, Change
from sparloom.feed.payload import apply_change, encode_delta, encode_state
from tests.controller.test_control_api import ControlApiCase, FakeRequest, revision


class FakeOrderRequest(FakeRequest):
    """A fake HTTP request for an evacuation order."""

    def __init__(self, method, zone):
        super().__init__(method, 0, {})
        self.path = self.raw_path = f"/-/evacuation/{zone}"


class EvacuationStateTest(unittest.TestCase):
    def test_evacuated_zones_survive_packing_and_unpacking(self):
        state = State({}).with_change({"revision": 3}, b"m" * 12, 7).evacuate("b").evacuate("a")
        decoded = State.unpack(state.pack())
        self.assertEqual(decoded, state)
        self.assertEqual(decoded.evacuated, {"a", "b"})
        self.assertEqual(decoded.with_change({"revision": 4}, b"n" * 12).evacuated, {"a", "b"})

    def test_a_state_without_evacuations_is_stored_in_the_earlier_format(self):
        state = State({}).with_change({"revision": 3}, b"m" * 12)
        self.assertEqual(state.evacuate("a").restore("a").pack(), state.pack())
        self.assertEqual((state.pack()[0], state.evacuate("a").pack()[0]), (VERSION, VERSION_WITH_EVACUATIONS))

    def test_an_order_that_is_already_in_effect_writes_nothing(self):
        initial, evacuated = State({}), State({}).evacuate("z")
        for state, evacuate, verdict in (
            (initial, True, ChangeVerdict.NEW),
            (initial, False, ChangeVerdict.ALREADY_COMMITTED),
            (evacuated, True, ChangeVerdict.ALREADY_COMMITTED),
            (evacuated, False, ChangeVerdict.NEW),
        ):
            with self.subTest(evacuate=evacuate, evacuated=state.evacuated):
                self.assertIs(evaluate_evacuation(state, EvacuationOrder("z", evacuate)).verdict, verdict)

    def test_unknown_and_overlong_zone_names_are_rejected(self):
        self.assertEqual(zone_fault("y", {"z": "r"}), "the zone y is unknown")
        self.assertEqual(zone_fault("z" * 256, ()), "the zone's name is longer than 255 characters")


class EvacuationFeedTest(unittest.TestCase):
    """Evacuated zones are published with the configuration, both as snapshot and as delta."""

    CONFIGURATION_DOCUMENT = {"revision": 3, "routes": [], "services": []}
    EVACUATED_DOCUMENT = {**CONFIGURATION_DOCUMENT, "evacuatedZones": ["z"]}

    def apply_as_delta(self, old, new):
        payload = encode_delta(CONFIGURATION, old, new, 1 << 20)
        return apply_change(Change(CONFIGURATION, 1, 2, 1, 1, payload), old)

    def test_a_delta_adds_and_removes_evacuated_zones(self):
        self.assertEqual(
            self.apply_as_delta(self.CONFIGURATION_DOCUMENT, self.EVACUATED_DOCUMENT), self.EVACUATED_DOCUMENT
        )
        self.assertEqual(
            self.apply_as_delta(self.EVACUATED_DOCUMENT, self.CONFIGURATION_DOCUMENT), self.CONFIGURATION_DOCUMENT
        )
        next_revision = {**self.EVACUATED_DOCUMENT, "revision": 4}
        self.assertEqual(self.apply_as_delta(self.EVACUATED_DOCUMENT, next_revision), next_revision)

    def test_a_snapshot_contains_the_evacuated_zones(self):
        payload = encode_state(CONFIGURATION, self.EVACUATED_DOCUMENT)
        document = apply_change(Change(CONFIGURATION, 1, 2, *NO_VERSION, payload), None)
        self.assertEqual(build(document).evacuated_zones, {"z"})
        self.assertEqual(build(self.CONFIGURATION_DOCUMENT).evacuated_zones, frozenset())


class EvacuationOrderTest(ControlApiCase):
    """Runs scenarios in simulated time; ``self.order`` returns a task whose result is the response status."""

    def run_scenario(self, scenario):
        async def with_zones():
            self.handler.settings.zones = {"z": "r", "y": "r"}
            self.published = []
            self.handler.feed_server.publish = lambda _topic, _version, document: self.published.append(document)
            await scenario()

        super().run_scenario(with_zones)

    def order(self, method, zone="z"):
        request = FakeOrderRequest(method, zone)
        call = self.handler.evacuate if method == "POST" else self.handler.restore

        async def response_status():
            return (await call(request)).status

        task = asyncio.ensure_future(response_status())
        task.request = request
        return task

    async def commit_order(self, method, zone="z"):
        task = self.order(method, zone)
        await asyncio.sleep(0.01)
        self.consensus.finish_write(self.handler, True)
        return await task

    @property
    def evacuated(self):
        return sorted(self.handler.writer.committed.state.evacuated)

    def test_an_order_and_its_retry_are_acknowledged_after_the_commit(self):
        async def scenario():
            task = self.order("POST")
            await asyncio.sleep(0.1)
            self.assertFalse(task.done())
            self.consensus.finish_write(self.handler, True)
            self.assertEqual((await task, await self.order("POST"), self.evacuated), (200, 200, ["z"]))
            self.assertEqual(await self.commit_order("DELETE"), 200)
            self.assertEqual((await self.order("DELETE"), self.evacuated), (200, []))

        self.run_scenario(scenario)

    def test_retries_wait_for_the_outcome_of_the_first_order(self):
        async def scenario():
            for committed, status in ((False, 503), (True, 200)):
                tasks = [self.order("POST") for _ in range(3)]
                await asyncio.sleep(0.1)
                self.consensus.finish_write(self.handler, committed)
                self.assertEqual([await task for task in tasks], [status] * 3)

        self.run_scenario(scenario)

    def test_concurrent_orders_of_two_operators_are_executed_in_sequence(self):
        async def scenario():
            first, second, third = self.order("POST"), self.order("DELETE"), self.order("POST", "y")
            statuses = []
            for _ in range(3):
                await asyncio.sleep(0.05)
                if self.consensus.pending_write is not None:
                    self.consensus.finish_write(self.handler, True)
            statuses = [await first, await second, await third]
            self.assertEqual((statuses, self.evacuated), ([200] * 3, ["y"]))

        self.run_scenario(scenario)

    def test_configuration_changes_and_evacuations_do_not_affect_each_other(self):
        async def scenario():
            await self.commit_revisions(1)
            self.assertEqual(await self.commit_order("POST"), 200)
            await self.commit_revisions(2)
            state = self.handler.writer.committed.state
            self.assertEqual((state.revision, self.evacuated), (2, ["z"]))
            self.assertEqual(self.published[-1], {**revision(2), "evacuatedZones": ["z"]})
            self.assertEqual(await self.commit_order("DELETE"), 200)
            self.assertEqual(self.published[-1], revision(2))
            self.assertEqual(await self.send("PUT", 1, revision(2)), 200)

        self.run_scenario(scenario)

    def test_the_feed_key_in_an_operators_configuration_evacuates_nothing(self):
        async def scenario():
            task = self.send("PUT", 0, {**revision(1), "evacuatedZones": ["z"]})
            await asyncio.sleep(0.01)
            self.consensus.finish_write(self.handler, True)
            self.assertEqual(await task, 200)
            self.assertEqual((self.evacuated, build(self.published[-1]).evacuated_zones), ([], frozenset()))

        self.run_scenario(scenario)

    def test_an_order_without_a_majority_gets_503_and_one_to_a_backup_is_redirected(self):
        async def scenario():
            self.consensus.confirms = False
            task = self.order("POST")
            self.assertEqual(await task, 503)
            self.consensus.is_leading, self.age_ms = False, 10
            self.consensus.current_primary = type("Member", (), {"id": 2, "control": "127.0.0.1:2"})()
            response = await self.handler.evacuate(FakeOrderRequest("POST", "z"))
            self.assertEqual(response.headers["Location"], "http://127.0.0.1:2/-/evacuation/z")
            self.assertEqual((response.status, self.evacuated), (307, []))

        self.run_scenario(scenario)

    def test_an_order_whose_client_disconnected_starts_no_write(self):
        async def scenario():
            task = self.order("POST")
            task.request.disconnected = True
            self.assertEqual(await task, 503)
            self.assertIsNone(self.consensus.pending_write)

        self.run_scenario(scenario)

    def test_evacuating_an_unknown_zone_is_rejected_but_restoring_it_is_allowed(self):
        async def scenario():
            response = await self.handler.evacuate(FakeOrderRequest("POST", "nowhere"))
            self.assertEqual(
                (response.status, json.loads(response.body)["error"]), (404, "the zone nowhere is unknown")
            )
            self.assertEqual(await self.order("DELETE", "nowhere"), 200)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
