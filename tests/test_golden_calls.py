"""What the programs say over HTTP and store stays as 27e3511 said and stored it.

``tests/golden/written_by_27e3511.json`` was written by that commit's own programs, through ``tests/golden_calls.py``,
and must never be made anew from newer code. It holds calls to runners and to the platform with what their answers
mean, answers to clients of jobs and to operators of roll-outs, the control state with duties, roll-outs and rate
holders, jobs with runs that failed and an ended job, and documents of the feed with all additions.
"""

from __future__ import annotations

import json
import pathlib
import unittest
import zlib
from typing import Any

from . import golden_calls
from . import golden_names as names
from .support.paths import ROOT

PATH = pathlib.Path(ROOT, "tests", "golden", "written_by_27e3511.json")


class GoldenCalls(unittest.TestCase):
    """Each kind of call, answer and stored state, compared with the file."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.golden: dict[str, Any] = json.loads(PATH.read_text(encoding="utf-8"))
        cls.made = golden_calls.current()

    def test_calls_answers_and_states_are_as_they_were(self) -> None:
        self.assertEqual(set(self.made), set(self.golden) - {"stored", "feed"})
        for name, value in self.made.items():
            with self.subTest(name):
                self.assertEqual(value, self.golden[name])

    def test_a_stored_state_is_read_as_the_state_that_was_written(self) -> None:
        raw = bytes.fromhex(self.golden["stored"])
        self.assertEqual(names.State.unpack(raw), golden_calls.control_state())
        self.assertEqual(golden_calls.unpacked_state(raw), self.golden["state"])

    def test_stored_jobs_are_read_and_written_again(self) -> None:
        store = golden_calls.JobStore.load(bytes.fromhex(self.golden["jobs"]))
        made = golden_calls.job_store()
        self.assertEqual((store.term, store.active, store.ended), (made.term, made.active, made.ended))
        self.assertEqual(store.blob().hex(), self.golden["jobs"])
        (job,) = store.jobs()
        self.assertEqual([task.done for task in job.step(0, 0).tasks], [True, False])

    def test_documents_of_the_feed_carry_all_additions(self) -> None:
        old, new = self.golden["feed"]["documents"]
        made = [
            names.encode_state(names.CONFIGURATION, old),
            names.encode_state(names.CONFIGURATION, new),
            names.encode_delta(names.CONFIGURATION, old, new, 1 << 20),
        ]
        blobs = [bytes.fromhex(blob) for blob in self.golden["feed"]["blobs"]]
        self.assertEqual([*map(zlib.decompress, made)], [*map(zlib.decompress, blobs)])
        first, second, delta = blobs
        self.assertEqual(names.apply_change(names.Change(0, 1, 1, 0, 0, first), None), old)
        self.assertEqual(names.apply_change(names.Change(0, 1, 2, 0, 0, second), None), new)
        self.assertEqual(names.apply_change(names.Change(0, 1, 2, 1, 1, delta), old), new)


if __name__ == "__main__":
    unittest.main()
