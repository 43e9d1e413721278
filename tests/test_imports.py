"""Layering of imports: each package imports only from lower layers."""

from __future__ import annotations

import ast
import pathlib
import unittest
from graphlib import CycleError, TopologicalSorter

from tests.support.paths import ROOT

# From bottom to top. Packages in one layer don't import each other. docs/architecture.md has the same list.
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
LEVELS = {component: level for level, components in enumerate(LAYERS) for component in components}


def component_of(module: str) -> str:
    """Returns the component of a module: the longest entry of ``LAYERS`` that contains it.

    >>> component_of("sparloom.launch.early_listen"), component_of("sparloom.router.request")
    ('launch.early_listen', 'router')
    """
    names = module.removeprefix("sparloom.").split(".")
    return next((".".join(names[:n]) for n in range(len(names), 0, -1) if ".".join(names[:n]) in LEVELS), names[0])


def imported_modules(path: pathlib.Path, package: list[str]) -> set[str]:
    """Returns the project modules that a file imports at any level, except imports for type checking."""
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


def sibling_imports(package: pathlib.Path) -> dict[str, set[str]]:
    """Returns the sibling imports of each module of a package, including imports for type checking."""
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


class ImportLayersTest(unittest.TestCase):
    def test_packages_import_only_from_lower_layers(self):
        for path in sorted(pathlib.Path(ROOT, "sparloom").rglob("*.py")):
            names = list(path.relative_to(ROOT).with_suffix("").parts)
            package = names[:-1]
            own = component_of(".".join(package if names[-1] == "__init__" else names))
            if names == ["sparloom", "__init__"]:
                continue
            with self.subTest(path.relative_to(ROOT)):
                self.assertIn(own, LEVELS)
                for module in imported_modules(path, package):
                    other = component_of(module)
                    if other != own:
                        self.assertLess(LEVELS[other], LEVELS[own], f"{own} imports {module}")

    def test_modules_of_a_program_have_no_import_cycles(self):
        """Covers imports for type checking: a module takes its dependencies, not the object that composes them all."""
        for package in ("router", "controller"):
            with self.subTest(package):
                tuple(TopologicalSorter(sibling_imports(pathlib.Path(ROOT, "sparloom", package))).static_order())

    def test_import_cycle_is_detected(self):
        with self.assertRaises(CycleError):
            tuple(TopologicalSorter({"a": {"b"}, "b": {"a"}}).static_order())
        graph = sibling_imports(pathlib.Path(ROOT, "sparloom", "router"))
        self.assertLessEqual({"attempt", "forwarding_services", "request"}, graph["backend_choice"])

    def test_imports_of_every_form_are_detected(self):
        """Covers module-level imports, imports within functions and imports of names from the package."""
        path = pathlib.Path(ROOT, "sparloom", "cli.py")
        imported = imported_modules(path, ["sparloom"])
        self.assertLessEqual({"sparloom.metrics", "sparloom.settings", "sparloom.router.program"}, imported)


if __name__ == "__main__":
    unittest.main()
