"""The simulator tells what held, and also what did not."""

import ast
import os
import unittest

from simulator import play
from tests.support.paths import ROOT


def imported(path):
    """The names of all modules that a file imports."""
    with open(path, encoding="utf-8") as f:
        nodes = list(ast.walk(ast.parse(f.read())))
    return {a.name for n in nodes if isinstance(n, ast.Import) for a in n.names} | {
        n.module or "" for n in nodes if isinstance(n, ast.ImportFrom)
    }


class Rehearsal(unittest.TestCase):
    def test_every_story_holds(self):
        for name in play.STORIES:
            self.assertIsNone(play.play(name, 3), name)

    def test_the_same_seed_plays_the_same(self):
        self.assertEqual(play.play("disk-lost", 9), play.play("disk-lost", 9))

    def test_a_claim_that_fails_is_told(self):
        play.STORIES["wrong"] = ("abc", 1, "ms a b c any\n2500 . . . has=9")
        try:
            self.assertIn("2500 ms", play.play("wrong", 1))
        finally:
            del play.STORIES["wrong"]

    def test_neither_programs_nor_the_emulator_need_the_tests(self):
        for top in ("simulator", "sparloom", "fakes"):
            for d, _, files in os.walk(os.path.join(ROOT, top)):
                for f in (f for f in files if f.endswith(".py")):
                    found = {m for m in imported(os.path.join(d, f)) if m.split(".")[0] == "tests"}
                    self.assertEqual(found, set(), os.path.join(d, f))
