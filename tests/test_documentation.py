"""The pages name only what exists: files, modules, classes and tests."""

from __future__ import annotations

import ast
import pathlib
import re
import unittest

from tests.support.paths import ROOT

FILE_ENDINGS = ("md", "toml", "json", "py")
TOPS = ("sparloom", "simulator", "fakes", "tests", "docs", "deploy", "journal")
# Names of libraries and of other projects that the pages mention; not this project's.
FOREIGN = {"GraphViz", "JavaScript", "StreamResponse", "ClientSession", "RetryAfter"}
PATH_NAME = re.compile(rf"(?<![\w/.-])(?:{'|'.join(TOPS)})(?:/[\w.\-]+)++/?+(?![\w*<])")
MODULE_NAME = re.compile(r"(?<![\w/.-])(?:sparloom|simulator|fakes)(?:\.\w+)+(?![\w/])")
CLASS_NAME = re.compile(r"(?<!\w)[A-Z][a-z]+(?:[A-Z][a-z]+)+(?!\w)")
MEMBER_NAME = re.compile(r"(?<![\w.])([A-Z]\w+)\.(_?[a-z]\w+)")
TEST_NAME = re.compile(r"(?<![\w/.])test_\w{8,}(?![\w.])")


def pages() -> list[pathlib.Path]:
    """README and all pages but the glossary, whose work is to name what is gone."""
    root = pathlib.Path(ROOT)
    return [root / "README.md", *sorted(p for p in root.glob("docs/**/*.md") if p.name != "glossary.md")]


def defined_names() -> set[str]:
    """The names of all modules, classes, functions, attributes and constants of the project."""
    names: set[str] = set()
    for top in ("sparloom", "simulator", "fakes", "tests"):
        for path in pathlib.Path(ROOT, top).rglob("*.py"):
            names |= {path.stem, path.parent.name}
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
                    names.add(node.name)
                elif isinstance(node, ast.Name):
                    names.add(node.id)
                elif isinstance(node, ast.Attribute):
                    names.add(node.attr)
    return names


def spans(text: str) -> list[str]:
    """What a page sets as code, in line or as a block.

    >>> spans("a `b.c` d")
    ['b.c']
    """
    return [*re.findall(r"`([^`\n]+)`", text), *re.findall(r"^    (\S.*)$", text, flags=re.MULTILINE)]


def class_members() -> dict[str, set[str]]:
    """The names of the methods and attributes of each class, by the class's name, with those of its bases."""
    members: dict[str, set[str]] = {}
    bases: dict[str, set[str]] = {}
    for top in ("sparloom", "simulator", "fakes"):
        for path in pathlib.Path(ROOT, top).rglob("*.py"):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            for node in (found for found in ast.walk(tree) if isinstance(found, ast.ClassDef)):
                found = {
                    inner.name for inner in node.body if isinstance(inner, (ast.FunctionDef, ast.AsyncFunctionDef))
                }
                stored = [inner for inner in ast.walk(node) if isinstance(getattr(inner, "ctx", None), ast.Store)]
                found |= {inner.attr for inner in stored if isinstance(inner, ast.Attribute)}
                found |= {inner.id for inner in stored if isinstance(inner, ast.Name)}
                members.setdefault(node.name, set()).update(found)
                bases.setdefault(node.name, set()).update(base.id for base in node.bases if isinstance(base, ast.Name))
    return {name: own.union(*(members.get(base, set()) for base in bases[name])) for name, own in members.items()}


def missing(text: str, names: set[str], members: dict[str, set[str]]) -> list[str]:
    """What a page's code names and the project has not."""
    root, faults = pathlib.Path(ROOT), []
    for span in spans(text):
        faults += [path for path in PATH_NAME.findall(span) if not (root / path).exists()]
        for module in MODULE_NAME.findall(span):
            parts = module.split(".")
            if parts[-1] not in FILE_ENDINGS and not all(part in names or part in TOPS for part in parts):
                faults.append(module)
        faults += [name for name in CLASS_NAME.findall(span) if name not in names | FOREIGN]
        for owner, name in MEMBER_NAME.findall(span):
            if owner in members and name not in members[owner]:
                faults.append(f"{owner}.{name}")
        faults += [name for name in TEST_NAME.findall(span) if name not in names]
    return faults


class Documentation(unittest.TestCase):
    def test_pages_name_only_what_exists(self):
        names, members = defined_names(), class_members()
        for page in pages():
            with self.subTest(page.relative_to(ROOT)):
                self.assertEqual(missing(page.read_text(encoding="utf-8"), names, members), [])

    def test_names_that_are_gone_are_found(self):
        text = "`sparloom/nowhere.py` `sparloom.nowhere` `NoSuchClass` `Swim.nothing` `test_nothing_of_the_kind`"
        self.assertEqual(len(missing(text, defined_names(), class_members())), 5)


if __name__ == "__main__":
    unittest.main()
