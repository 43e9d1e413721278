"""The examples in the comments of public functions hold, and functions stay short."""

import ast
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

    def test_no_function_over_60_lines(self):
        """The limit on the size of files is withdrawn; what costs a reader is a function that does several things."""
        for path in _sources("sparloom", "tests", "simulator", "fakes"):
            with open(path, encoding="utf-8") as file:
                tree = ast.parse(file.read())
            for node in ast.walk(tree):
                if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
                    with self.subTest(path, function=node.name):
                        self.assertLessEqual(node.end_lineno - node.lineno + 1, 60)
