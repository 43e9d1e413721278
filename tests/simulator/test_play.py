"""Tests of the simulator's failure scenarios, and of its independence from the tests."""

import ast
import os
import unittest

from simulator import play
from tests.support.paths import ROOT


def imported_modules(path):
    """Return the names of all modules that a file imports."""
    with open(path, encoding="utf-8") as file:
        nodes = list(ast.walk(ast.parse(file.read())))
    return {alias.name for node in nodes if isinstance(node, ast.Import) for alias in node.names} | {
        node.module or "" for node in nodes if isinstance(node, ast.ImportFrom)
    }


class FailureScenarios(unittest.TestCase):
    def test_all_scenarios_hold(self):
        for name in play.STORIES:
            self.assertIsNone(play.play(name, 3), name)

    def test_same_seed_gives_same_result(self):
        self.assertEqual(play.play("disk-lost", 9), play.play("disk-lost", 9))

    def test_failed_assertion_is_reported_with_its_time(self):
        play.STORIES["wrong"] = ("abc", 1, "ms a b c any\n2500 . . . has=9")
        try:
            self.assertIn("2500 ms", play.play("wrong", 1))
        finally:
            del play.STORIES["wrong"]

    def test_programs_and_simulator_do_not_import_tests(self):
        for top in ("simulator", "sparloom", "fakes"):
            for folder, _, files in os.walk(os.path.join(ROOT, top)):
                for file in (file for file in files if file.endswith(".py")):
                    found = {
                        module
                        for module in imported_modules(os.path.join(folder, file))
                        if module.split(".")[0] == "tests"
                    }
                    self.assertEqual(found, set(), os.path.join(folder, file))
