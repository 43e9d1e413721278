"""Names that leave the process stay letter for letter.

``tests/golden/outer_names.txt`` lists them, collected from the code of 27e3511: fields
and values of messages, stored fields and file names, keys of settings and of plans,
flags, environment variables, and labels of metrics. A name that is missing from the
code was renamed, which breaks clients, peers of another version, or stored data.
"""

from __future__ import annotations

import ast
import importlib.util
import pathlib
import unittest
from functools import cache

import attrs

from simulator.fleet import Size
from simulator.history import Outcome
from simulator.host import Host
from simulator.simulated_router import Load
from sparloom.rollouts.state import Step
from sparloom.scheduler.messages import JobState

from . import test_golden
from .golden_names import BY_TAG
from .support.paths import ROOT

LIST = pathlib.Path(ROOT, "tests", "golden", "outer_names.txt")
FOLDERS = ("sparloom", "simulator", "fakes")
ENUMS_SHOWN_BY_NAME = (Step, JobState, Outcome)
CLASSES_WRITTEN_BY_FIELD = (Size, Load)


def text_constants(source: str) -> set[str]:
    """All text constants of a module, those within formatted strings included, without docstrings.

    >>> sorted(text_constants('"doc"\\nx = {"a b": f"c{x}d", "e": b"f"}'))
    ['a b', 'c', 'd', 'e', 'f']
    """
    tree = ast.parse(source)
    left_out = {inner for node in ast.walk(tree) if _is_no_value(node) for inner in ast.walk(node)}
    constants = (node for node in ast.walk(tree) if isinstance(node, ast.Constant) and node not in left_out)
    values = (node.value for node in constants if isinstance(node.value, (str, bytes)))
    return {value.decode("latin-1") if isinstance(value, bytes) else value for value in values}


def _is_no_value(node: ast.AST) -> bool:
    """Whether the constants below a node are docstrings, exported names or types."""
    if isinstance(node, ast.Expr):
        return isinstance(node.value, ast.Constant)
    if isinstance(node, ast.Assign):
        return any(isinstance(target, ast.Name) and target.id == "__all__" for target in node.targets)
    return isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in ("cast", "TypeVar")


def flags(source: str) -> set[str]:
    """The parameters of commands that a docstring lists for the command line, each as FUNCTION.PARAMETER."""
    functions = (node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.FunctionDef))
    return {
        f"{function.name}.{argument.arg}"
        for function in functions
        for argument in (*function.args.args, *function.args.kwonlyargs, *filter(None, [function.args.vararg]))
        if f":param {argument.arg}:" in (ast.get_docstring(function) or "")
    }


@cache
def sources(folder: str) -> tuple[str, ...]:
    """The source of all modules below a folder of the repository."""
    return tuple(path.read_text(encoding="utf-8") for path in pathlib.Path(ROOT, folder).rglob("*.py"))


@cache
def outer_names() -> dict[str, frozenset[str]]:
    """The names that stand in the code, by their kind."""
    tags = test_golden.program_tags()
    return {
        **{f"text/{folder}": frozenset().union(*map(text_constants, sources(folder))) for folder in FOLDERS},
        "flag": frozenset().union(*(flags(source) for folder in FOLDERS for source in sources(folder))),
        "record": frozenset(BY_TAG[tag].__name__ for tag in tags),
        "member": frozenset(f"{enum.__name__}.{member.name}" for enum in ENUMS_SHOWN_BY_NAME for member in enum),
        "field": frozenset(
            f"{cls.__name__}.{field.name}" for cls in CLASSES_WRITTEN_BY_FIELD for field in attrs.fields(cls)
        ),
        "command": frozenset(name for name, value in vars(Host).items() if callable(value)),
    }


def missing(lines: list[str]) -> list[str]:
    """The lines of a list, each a kind and a name, whose name doesn't stand in the code."""
    kinds_and_names = (line.split(" ", 1) for line in lines)
    return [f"{kind} {name}" for kind, name in kinds_and_names if not _stands(kind, name)]


def _stands(kind: str, name: str) -> bool:
    if kind == "module":
        return importlib.util.find_spec(name) is not None
    return name in outer_names()[kind]


class OuterNames(unittest.TestCase):
    def test_each_name_that_leaves_the_process_stands_in_the_code(self) -> None:
        lines = LIST.read_text(encoding="utf-8").splitlines()
        self.assertGreater(len(lines), 1000)
        self.assertEqual(missing(lines), [])

    def test_a_name_that_was_changed_is_found(self) -> None:
        changed = ["text/sparloom X-Sparloom-Attempt-Idx", "record Pingg", "member Step.FIRSTLY", "field Size.noddes"]
        changed += ["command bboot", "module sparloom.rooter", "flag rollout.serviced"]
        self.assertEqual(missing(changed), changed)


if __name__ == "__main__":
    unittest.main()
