"""Long prefixes are remembered by controllers, and recalled by routers that start."""

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
from sparloom.router.prefix_recall import BATCH_TICKS, PrefixRecall

A, B = "10.0.0.1:7", "10.0.0.2:7"


def router(controllers=(A, B)):
    """A router that knows two runners and some controllers; gives its memory and what it sends."""
    out = []
    state = SimpleNamespace(
        key="10.0.9.9:7",
        seeds=(A, B),
        prefixes_known=asyncio.Event(),
        settings=SimpleNamespace(zone="z", bounds=SimpleNamespace(contact=timedelta(seconds=3))),
        backends=SimpleNamespace(
            ids_by_number={7: "i7", 8: "i8"},
            by_id={i: SimpleNamespace(number=n, cached=CachedPrefixes(9000)) for i, n in (("i7", 7), ("i8", 8))},
        ),
    )
    membership = SimpleNamespace(
        swim=SimpleNamespace(alive=lambda: [SimpleNamespace(role=CONTROLLER, zone="y", key=c) for c in controllers]),
        datagrams=SimpleNamespace(send=lambda to, rec: out.append((to, rec))),
    )
    return PrefixRecall(state, membership), state, out


class Start(unittest.IsolatedAsyncioTestCase):
    async def test_first_requests_wait_until_all_have_answered(self):
        p, state, out = router()
        p.request()
        self.assertEqual([(to, type(r)) for to, r in sorted(out, key=str)], [(A, PlacementQuery), (B, PlacementQuery)])
        p.on_message(A, PrefixPlacements([PrefixPlacement(7, 1, 2000)]))
        self.assertFalse(state.prefixes_known.is_set())
        p.on_message(B, PrefixPlacements([]))
        self.assertTrue(state.prefixes_known.is_set())
        self.assertEqual(state.backends.by_id["i7"].cached.prefill_tokens(((1, 2000),)), 0)

    async def test_one_that_is_silent_is_asked_again_and_waited_for_a_moment_only(self):
        p, state, out = router()
        state.settings.bounds.contact = timedelta(milliseconds=30)
        p.request()
        p.on_message(A, PrefixPlacements([]))
        out.clear()
        p.tick(4)
        self.assertEqual([to for to, _ in out], [B])
        await asyncio.wait_for(state.prefixes_known.wait(), 1)

    async def test_what_is_told_counts_as_older_and_never_fills_more_than_the_room(self):
        p, state, _ = router()
        kept = state.backends.by_id["i7"].cached
        kept.add(((1, 4000),))
        p.on_message(
            A,
            PrefixPlacements(
                [
                    PrefixPlacement(7, 2, 3000),
                    PrefixPlacement(7, 3, 3000),
                    PrefixPlacement(7, 1, 9),
                    PrefixPlacement(99, 4, 5000),
                ]
            ),
        )
        self.assertEqual((list(kept.prefixes), kept.used), ([2, 1], 7000))

    async def test_the_batch_goes_to_one_controller_once_a_second(self):
        p, state, out = router()
        p.on_prompt_sent(state.backends.by_id["i7"], ((1, 2000), (2, 10)))
        p.on_prompt_sent(state.backends.by_id["i7"], ((1, 2000),))
        for turn in range(1, 2 * BATCH_TICKS + 1):
            p.tick(turn)
        self.assertEqual(out, [(A, PrefixPlacements([PrefixPlacement(7, 1, 2000)]))])

    async def test_with_no_controller_about_the_batch_is_kept(self):
        p, state, out = router(())
        p.on_prompt_sent(state.backends.by_id["i7"], ((1, 2000),))
        p.tick(BATCH_TICKS)
        self.assertEqual((out, len(p.batch)), ([], 1))


class Disk(unittest.TestCase):
    def test_all_that_was_told_is_there_after_a_start_and_torn_files_are_empty(self):
        with tempfile.TemporaryDirectory() as d:
            sent = []
            one = PrefixSnapshots(d, lambda to, rec: sent.append(rec), 1.0)
            one.load()
            self.assertTrue(one.receive("r", PrefixPlacements([PrefixPlacement(7, k, 2000 + k) for k in range(100)])))
            self.assertFalse(one.receive("r", object()))
            one._write(one.placements.pack())
            two = PrefixSnapshots(d, lambda to, rec: sent.append(rec), 1.0)
            two.load()
            two.receive("r", PlacementQuery("r"))
            self.assertEqual([r.prefix for a in sent for r in a.placements], list(range(99, -1, -1)))
            path = os.path.join(d, FILE)
            with open(path, "rb") as f:
                raw = f.read()
            for cut in (0, 3, 24, len(raw) - 1, len(raw) - 20):
                self.assertFalse(PlacementTable.unpack(raw[:cut]).items)
            self.assertFalse(PlacementTable.unpack(raw[:30] + b"x" + raw[31:]).items)
