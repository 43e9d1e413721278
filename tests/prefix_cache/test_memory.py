"""Tests that controllers store placements of long prefixes and routers load them at their start."""

import asyncio
import os
import tempfile
import unittest
from datetime import timedelta
from types import SimpleNamespace

from sparloom.controller.prefix_snapshots import FILE, PrefixSnapshots
from sparloom.dynamic_timeout import PrefixPlacement
from sparloom.load_balancing import CachedPrefixes
from sparloom.membership import CONTROLLER
from sparloom.prefix_cache import PlacementQuery, PlacementTable, PrefixPlacements
from sparloom.router.prefix_recall import BATCH_INTERVAL_TICKS, PrefixRecall

CONTROLLER_A, CONTROLLER_B = "10.0.0.1:7", "10.0.0.2:7"


def router(controllers=(CONTROLLER_A, CONTROLLER_B)):
    """Returns the ``PrefixRecall`` of a router with two runners, the router's state, and the list of sent messages."""
    sent = []
    state = SimpleNamespace(
        key="10.0.9.9:7",
        seeds=(CONTROLLER_A, CONTROLLER_B),
        prefixes_known=asyncio.Event(),
        settings=SimpleNamespace(zone="z", bounds=SimpleNamespace(contact=timedelta(seconds=3))),
        backends=SimpleNamespace(
            ids_by_number={7: "i7", 8: "i8"},
            by_id={
                id: SimpleNamespace(number=number, cached=CachedPrefixes(9000)) for id, number in (("i7", 7), ("i8", 8))
            },
        ),
    )
    membership = SimpleNamespace(
        swim=SimpleNamespace(
            alive=lambda: [SimpleNamespace(role=CONTROLLER, zone="y", key=key) for key in controllers]
        ),
        datagrams=SimpleNamespace(send=lambda destination, record: sent.append((destination, record))),
    )
    return PrefixRecall(state, membership), state, sent


class Recall(unittest.IsolatedAsyncioTestCase):
    async def test_prefixes_are_known_when_all_controllers_have_answered(self):
        recall, state, sent = router()
        recall.request()
        self.assertEqual(
            [(destination, type(record)) for destination, record in sorted(sent, key=str)],
            [(CONTROLLER_A, PlacementQuery), (CONTROLLER_B, PlacementQuery)],
        )
        recall.on_message(CONTROLLER_A, PrefixPlacements([PrefixPlacement(7, 1, 2000)]))
        self.assertFalse(state.prefixes_known.is_set())
        recall.on_message(CONTROLLER_B, PrefixPlacements([]))
        self.assertTrue(state.prefixes_known.is_set())
        self.assertEqual(state.backends.by_id["i7"].cached.prefill_tokens(((1, 2000),)), 0)

    async def test_an_unresponsive_controller_is_queried_again_and_awaited_up_to_a_timeout(self):
        recall, state, sent = router()
        state.settings.bounds.contact = timedelta(milliseconds=30)
        recall.request()
        recall.on_message(CONTROLLER_A, PrefixPlacements([]))
        sent.clear()
        recall.tick(4)
        self.assertEqual([destination for destination, _ in sent], [CONTROLLER_B])
        await asyncio.wait_for(state.prefixes_known.wait(), 1)

    async def test_recalled_prefixes_are_least_recently_used_and_stay_within_the_capacity(self):
        recall, state, _ = router()
        cached = state.backends.by_id["i7"].cached
        cached.add(((1, 4000),))
        recall.on_message(
            CONTROLLER_A,
            PrefixPlacements(
                [
                    PrefixPlacement(7, 2, 3000),
                    PrefixPlacement(7, 3, 3000),
                    PrefixPlacement(7, 1, 9),
                    PrefixPlacement(99, 4, 5000),
                ]
            ),
        )
        self.assertEqual((list(cached.prefixes), cached.used), ([2, 1], 7000))

    async def test_a_batch_is_sent_to_one_controller_every_second(self):
        recall, state, sent = router()
        recall.on_prompt_sent(state.backends.by_id["i7"], ((1, 2000), (2, 10)))
        recall.on_prompt_sent(state.backends.by_id["i7"], ((1, 2000),))
        for tick in range(1, 2 * BATCH_INTERVAL_TICKS + 1):
            recall.tick(tick)
        self.assertEqual(sent, [(CONTROLLER_A, PrefixPlacements([PrefixPlacement(7, 1, 2000)]))])

    async def test_without_a_controller_the_batch_is_retained(self):
        recall, state, sent = router(())
        recall.on_prompt_sent(state.backends.by_id["i7"], ((1, 2000),))
        recall.tick(BATCH_INTERVAL_TICKS)
        self.assertEqual((sent, len(recall.batch)), ([], 1))


class Snapshots(unittest.TestCase):
    def test_placements_survive_a_restart_and_a_corrupt_file_yields_an_empty_table(self):
        with tempfile.TemporaryDirectory() as directory:
            sent = []
            first = PrefixSnapshots(directory, lambda destination, record: sent.append(record), 1.0)
            first.load()
            self.assertTrue(
                first.receive(
                    "r", PrefixPlacements([PrefixPlacement(7, prefix, 2000 + prefix) for prefix in range(100)])
                )
            )
            self.assertFalse(first.receive("r", object()))
            first._write(first.placements.pack())
            second = PrefixSnapshots(directory, lambda destination, record: sent.append(record), 1.0)
            second.load()
            second.receive("r", PlacementQuery("r"))
            self.assertEqual(
                [placement.prefix for record in sent for placement in record.placements], list(range(99, -1, -1))
            )
            path = os.path.join(directory, FILE)
            with open(path, "rb") as file:
                raw = file.read()
            for length in (0, 3, 24, len(raw) - 1, len(raw) - 20):
                self.assertFalse(PlacementTable.unpack(raw[:length]).items)
            self.assertFalse(PlacementTable.unpack(raw[:30] + b"x" + raw[31:]).items)
