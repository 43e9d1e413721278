"""Mutation testing: which checks are found, which tests are run, and how their results are classified."""

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


class FindMutations(unittest.TestCase):
    def test_each_comparison_and_quorum_call_is_found(self):
        found = [(mutation.line, mutation.check, mutation.constant) for mutation in find_mutations("m.py", SOURCE)]
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

    def test_only_matching_checks_are_found(self):
        self.assertEqual(
            {mutation.check for mutation in find_mutations("m.py", SOURCE, "epoch|quorum")},
            {
                "epoch < other",
                "quorum(ids, rosters)",
            },
        )

    def test_mutation_changes_only_its_check(self):
        [mutation] = [mutation for mutation in find_mutations("m.py", SOURCE, "epoch") if mutation.constant == "True"]
        self.assertEqual(mutation.apply(SOURCE.encode()).decode(), SOURCE.replace("epoch < other", "True"))


class TestRuns(unittest.TestCase):
    def setUp(self):
        self.previous_directory = os.getcwd()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, self.previous_directory)
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
        return {
            (mutation.check, mutation.constant): result
            for mutation, result in Trials(["tests.test_ages"], 60, 2).run(mutations)
        }

    def test_undetected_mutations_survive(self):
        self.assertEqual(
            self.results("self.assertTrue(older(1, 2))"),
            {
                ("a < b", "True"): Result.SURVIVED,
                ("a < b", "False"): Result.FOUND,
                ("a == b", "True"): Result.SURVIVED,
                ("a == b", "False"): Result.SURVIVED,
            },
        )

    def test_default_is_doctests_then_tests_that_import_the_module(self):
        self.results("self.assertTrue(older(1, 2))")
        Path("tests/base.py").write_text("from sparloom import ages\n")
        Path("tests/test_other.py").write_text("from tests import base\n")
        Path("tests/test_else.py").write_text("import json\n")
        self.assertEqual(tests_of("sparloom/ages.py"), ["tests.test_ages", "tests.test_other"])
        with Path("sparloom/ages.py").open("a") as file:
            file.write('\n\ndef late(a):\n    """\n    >>> late(3)\n    True\n    """\n    return a > 2\n')
        found = dict(Trials([], 60, 1).run(mutations_of(["sparloom/ages.py"], "a > 2")))
        self.assertEqual(
            {mutation.constant: result for mutation, result in found.items()},
            {"True": Result.SURVIVED, "False": Result.FOUND},
        )

    def test_unreached_module_uses_tests_of_its_package(self):
        Path("sparloom/part").mkdir()
        Path("sparloom/part/alone.py").write_text("")
        Path("tests/part").mkdir()
        Path("tests/part/test_whole.py").write_text("import json\n")
        self.assertEqual(tests_of("sparloom/part/alone.py"), ["tests.part.test_whole"])

    def test_no_mutation_is_tried_after_deadline(self):
        self.results("self.assertTrue(older(1, 2))")
        found = Trials(["tests.test_ages"], 60, 1, deadline=0.0).run(mutations_of(["sparloom/ages.py"]))
        self.assertEqual({result for _, result in found}, {Result.NOT_TRIED})

    def test_tests_that_fail_without_mutation_are_an_error(self):
        with self.assertRaisesRegex(RuntimeError, "without a mutation"):
            self.results("self.assertTrue(older(2, 1))")


if __name__ == "__main__":
    unittest.main()
