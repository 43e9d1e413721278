"""Packages import one way: each only from those that stand below it."""

from __future__ import annotations

import ast
import pathlib
import unittest
from graphlib import CycleError, TopologicalSorter

from tests.support.paths import ROOT

# From bottom to top; what stands on one line doesn't import its neighbours. docs/architecture.md has the same list.
LAYERS = (
    ("errors", "launch.early_listen", "launch.bytecode_archive"),
    ("codec", "metrics"),
    (
        "admission",
        "isolation",
        "configuration",
        "event_stream",
        "retry",
        "load_balancing",
        "scheduler",
        "duties",
        "usage",
        "rollouts",
    ),
    ("settings", "discovery", "dynamic_timeout", "membership", "consensus", "transport"),
    ("prefix_cache", "aggregation", "feed"),
    ("relay", "compare", "serving_program"),
    ("router", "controller"),
    ("cli",),
    ("launch.launcher", "launch.build_archive"),
    ("launch", "router.__main__", "controller.__main__"),
)
LEVEL = {part: level for level, parts in enumerate(LAYERS) for part in parts}


def part_of(module: str) -> str:
    """The part of the program that a module belongs to: the longest entry of ``LAYERS`` that names it.

    >>> part_of("sparloom.launch.early_listen"), part_of("sparloom.router.request")
    ('launch.early_listen', 'router')
    """
    names = module.removeprefix("sparloom.").split(".")
    return next((".".join(names[:n]) for n in range(len(names), 0, -1) if ".".join(names[:n]) in LEVEL), names[0])


def imported_modules(path: pathlib.Path, package: list[str]) -> set[str]:
    """The modules of this project that a file imports anywhere, those for type checkers aside."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    typing_only = {
        inner
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and isinstance(node.test, ast.Name) and node.test.id == "TYPE_CHECKING"
        for inner in ast.walk(node)
    }
    found = set()
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or node in typing_only:
            continue
        base = package[: len(package) - node.level + 1] if node.level else []
        module = ".".join([*base, *([node.module] if node.module else [])])
        if module == "sparloom":
            found |= {f"sparloom.{alias.name}" for alias in node.names if alias.name != "__version__"}
        elif module.startswith("sparloom."):
            found.add(module)
    return found


def neighbours(package: pathlib.Path) -> dict[str, set[str]]:
    """For each module of a package the modules beside it that it imports, also those for type checkers."""
    modules = {path.stem: ast.parse(path.read_text(encoding="utf-8")) for path in package.glob("*.py")}
    modules.pop("__init__", None)
    return {
        name: {
            imported
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom) and node.level == 1
            for imported in ([node.module] if node.module else [alias.name for alias in node.names])
            if imported in modules
        }
        for name, tree in modules.items()
    }


class Imports(unittest.TestCase):
    def test_each_package_imports_only_from_lower_layers(self):
        for path in sorted(pathlib.Path(ROOT, "sparloom").rglob("*.py")):
            names = list(path.relative_to(ROOT).with_suffix("").parts)
            package = names[:-1]
            own = part_of(".".join(package if names[-1] == "__init__" else names))
            if names == ["sparloom", "__init__"]:
                continue
            with self.subTest(path.relative_to(ROOT)):
                self.assertIn(own, LEVEL)
                for module in imported_modules(path, package):
                    other = part_of(module)
                    if other != own:
                        self.assertLess(LEVEL[other], LEVEL[own], f"{own} imports {module}")

    def test_modules_of_a_program_need_each_other_in_one_direction_only(self):
        """Also for types: a part takes what it needs, and not the value that composes all parts."""
        for package in ("router", "controller"):
            with self.subTest(package):
                tuple(TopologicalSorter(neighbours(pathlib.Path(ROOT, "sparloom", package))).static_order())

    def test_a_circle_would_be_found(self):
        with self.assertRaises(CycleError):
            tuple(TopologicalSorter({"a": {"b"}, "b": {"a"}}).static_order())
        graph = neighbours(pathlib.Path(ROOT, "sparloom", "router"))
        self.assertLessEqual({"attempt", "forwarding_services", "request"}, graph["backend_choice"])

    def test_a_wrong_import_would_be_found(self):
        """The check reads imports of every form."""
        own = pathlib.Path(ROOT, "sparloom", "cli.py")
        found = imported_modules(own, ["sparloom"])
        self.assertLessEqual({"sparloom.metrics", "sparloom.settings", "sparloom.router.program"}, found)


if __name__ == "__main__":
    unittest.main()
