"""Doctests of public functions pass, and functions stay below the length limit."""

import ast
import doctest
import importlib
import os
import unittest

from tests.support.paths import ROOT


def _source_files(*packages):
    return sorted(
        os.path.join(directory, name)
        for package in packages
        for directory, _, names in os.walk(os.path.join(ROOT, package))
        for name in names
        if name.endswith(".py")
    )


class SourceChecks(unittest.TestCase):
    def test_doctests_pass(self):
        for path in _source_files("sparloom", "simulator"):
            module_path = os.path.relpath(path, ROOT)[:-3].replace(os.sep, ".")
            if module_path.endswith("__main__"):
                continue
            name = module_path.removesuffix(".__init__")
            with self.subTest(name):
                module = importlib.import_module(name)
                self.assertEqual(doctest.testmod(module).failed, 0)

    def test_no_function_over_60_lines(self):
        """Limits functions rather than files: a function that does several things is what makes code hard to read."""
        for path in _source_files("sparloom", "tests", "simulator", "fakes"):
            with open(path, encoding="utf-8") as file:
                tree = ast.parse(file.read())
            for node in ast.walk(tree):
                if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
                    with self.subTest(path, function=node.name):
                        self.assertLessEqual(node.end_lineno - node.lineno + 1, 60)
