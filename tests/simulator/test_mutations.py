"""The command that changes one check at a time: which checks it finds, and what it makes of a run of tests."""

import os
import tempfile
import unittest
from pathlib import Path

from simulator.mutations import Result, Trials, find_mutations, mutations_of, tests_of

SOURCE = """\
def older(epoch, other):
    return epoch < other


def wide(ids, rosters):
    return quorum(ids, rosters) and len(ids) > 2
"""


class Sites(unittest.TestCase):
    def test_each_comparison_and_quorum_by_itself(self):
        found = [(m.line, m.check, m.constant) for m in find_mutations("m.py", SOURCE)]
        self.assertCountEqual(
            found,
            [
                (2, "epoch < other", "True"),
                (2, "epoch < other", "False"),
                (6, "quorum(ids, rosters)", "True"),
                (6, "len(ids) > 2", "True"),
                (6, "len(ids) > 2", "False"),
            ],
        )

    def test_only_checks_that_match(self):
        self.assertEqual(
            {m.check for m in find_mutations("m.py", SOURCE, "epoch|quorum")},
            {
                "epoch < other",
                "quorum(ids, rosters)",
            },
        )

    def test_a_mutation_changes_nothing_else(self):
        [mutation] = [m for m in find_mutations("m.py", SOURCE, "epoch") if m.constant == "True"]
        self.assertEqual(mutation.apply(SOURCE.encode()).decode(), SOURCE.replace("epoch < other", "True"))


class Runs(unittest.TestCase):
    def setUp(self):
        self.before = os.getcwd()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, self.before)
        os.chdir(folder.name)
        Path("sparloom").mkdir()
        Path("sparloom/__init__.py").write_text("")
        Path("sparloom/ages.py").write_text(
            "def older(a, b):\n    return a < b\n\n\ndef same(a, b):\n    return a == b\n"
        )
        Path("tests").mkdir()
        Path("tests/__init__.py").write_text("")

    def results(self, test):
        Path("tests/test_ages.py").write_text(
            f"import unittest\nfrom sparloom.ages import older\n\n\n"
            f"class Ages(unittest.TestCase):\n    def test(self):\n        {test}\n"
        )
        mutations = mutations_of(["sparloom/ages.py"])
        return {(m.check, m.constant): result for m, result in Trials(["tests.test_ages"], 60, 2).run(mutations)}

    def test_what_no_test_notices_survives(self):
        self.assertEqual(
            self.results("self.assertTrue(older(1, 2))"),
            {
                ("a < b", "True"): Result.SURVIVED,
                ("a < b", "False"): Result.FOUND,
                ("a == b", "True"): Result.SURVIVED,
                ("a == b", "False"): Result.SURVIVED,
            },
        )

    def test_without_names_the_tests_that_import_the_module_are_run_and_its_examples_before_them(self):
        self.results("self.assertTrue(older(1, 2))")
        Path("tests/base.py").write_text("from sparloom import ages\n")
        Path("tests/test_other.py").write_text("from tests import base\n")
        Path("tests/test_else.py").write_text("import json\n")
        self.assertEqual(tests_of("sparloom/ages.py"), ["tests.test_ages", "tests.test_other"])
        with Path("sparloom/ages.py").open("a") as file:
            file.write('\n\ndef late(a):\n    """\n    >>> late(3)\n    True\n    """\n    return a > 2\n')
        found = dict(Trials([], 60, 1).run(mutations_of(["sparloom/ages.py"], "a > 2")))
        self.assertEqual({m.constant: r for m, r in found.items()}, {"True": Result.SURVIVED, "False": Result.FOUND})

    def test_a_module_that_no_test_reaches_is_left_to_the_tests_that_are_named_after_its_package(self):
        Path("sparloom/part").mkdir()
        Path("sparloom/part/alone.py").write_text("")
        Path("tests/part").mkdir()
        Path("tests/part/test_whole.py").write_text("import json\n")
        self.assertEqual(tests_of("sparloom/part/alone.py"), ["tests.part.test_whole"])

    def test_nothing_is_tried_after_the_time_that_it_has(self):
        self.results("self.assertTrue(older(1, 2))")
        found = Trials(["tests.test_ages"], 60, 1, ends_at=0.0).run(mutations_of(["sparloom/ages.py"]))
        self.assertEqual({result for _, result in found}, {Result.NOT_TRIED})

    def test_tests_that_fail_by_themselves_tell_nothing(self):
        with self.assertRaisesRegex(RuntimeError, "without a mutation"):
            self.results("self.assertTrue(older(2, 1))")


if __name__ == "__main__":
    unittest.main()
