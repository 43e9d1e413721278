"""The examples in the comments of public functions hold, and files stay short."""

import doctest
import importlib
import os
import unittest

from tests.support.paths import ROOT


def _sources(*tops):
    return sorted(
        os.path.join(d, f)
        for top in tops
        for d, _, fs in os.walk(os.path.join(ROOT, top))
        for f in fs
        if f.endswith(".py")
    )


class Examples(unittest.TestCase):
    def test_examples(self):
        for path in _sources("sparloom", "simulator"):
            rel = os.path.relpath(path, ROOT)[:-3].replace(os.sep, ".")
            if rel.endswith("__main__"):
                continue
            name = rel.removesuffix(".__init__")
            with self.subTest(name):
                mod = importlib.import_module(name)
                self.assertEqual(doctest.testmod(mod).failed, 0)

    def test_no_file_over_400_lines(self):
        for path in _sources("sparloom", "tests", "simulator"):
            with self.subTest(path), open(path, encoding="utf-8") as f:
                self.assertLessEqual(sum(1 for _ in f), 400)
