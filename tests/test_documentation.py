"""The documentation names only files, modules, classes, members and tests that exist."""

from __future__ import annotations

import ast
import pathlib
import re
import unittest

from tests.support.paths import ROOT

FILE_EXTENSIONS = ("md", "toml", "json", "py")
TOP_LEVEL_DIRECTORIES = ("sparloom", "simulator", "fakes", "tests", "docs", "deploy", "journal")
# Names from libraries and other projects that the documentation mentions.
EXTERNAL_NAMES = {"GraphViz", "JavaScript", "StreamResponse", "ClientSession", "RetryAfter"}
PATH_PATTERN = re.compile(rf"(?<![\w/.-])(?:{'|'.join(TOP_LEVEL_DIRECTORIES)})(?:/[\w.\-]+)++/?+(?![\w*<])")
MODULE_PATTERN = re.compile(r"(?<![\w/.-])(?:sparloom|simulator|fakes)(?:\.\w+)+(?![\w/])")
CLASS_PATTERN = re.compile(r"(?<!\w)[A-Z][a-z]+(?:[A-Z][a-z]+)+(?!\w)")
MEMBER_PATTERN = re.compile(r"(?<![\w.])([A-Z]\w+)\.(_?[a-z]\w+)")
TEST_PATTERN = re.compile(r"(?<![\w/.])test_\w{8,}(?![\w.])")


def pages() -> list[pathlib.Path]:
    """Returns the README and all pages except the glossary, which lists former names."""
    root = pathlib.Path(ROOT)
    return [root / "README.md", *sorted(page for page in root.glob("docs/**/*.md") if page.name != "glossary.md")]


def defined_names() -> set[str]:
    """Returns the names of all modules, classes, functions, attributes and constants of the project."""
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


def code_spans(text: str) -> list[str]:
    """Returns the inline code and code blocks of a page.

    >>> code_spans("a `b.c` d")
    ['b.c']
    """
    return [*re.findall(r"`([^`\n]+)`", text), *re.findall(r"^    (\S.*)$", text, flags=re.MULTILINE)]


def class_members() -> dict[str, set[str]]:
    """Returns the methods and attributes of each class, including those of its bases, by class name."""
    members: dict[str, set[str]] = {}
    bases: dict[str, set[str]] = {}
    for top in ("sparloom", "simulator", "fakes"):
        for path in pathlib.Path(ROOT, top).rglob("*.py"):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            for node in (candidate for candidate in ast.walk(tree) if isinstance(candidate, ast.ClassDef)):
                own_members = {
                    inner.name for inner in node.body if isinstance(inner, (ast.FunctionDef, ast.AsyncFunctionDef))
                }
                stored = [inner for inner in ast.walk(node) if isinstance(getattr(inner, "ctx", None), ast.Store)]
                own_members |= {inner.attr for inner in stored if isinstance(inner, ast.Attribute)}
                own_members |= {inner.id for inner in stored if isinstance(inner, ast.Name)}
                members.setdefault(node.name, set()).update(own_members)
                bases.setdefault(node.name, set()).update(base.id for base in node.bases if isinstance(base, ast.Name))
    return {name: own.union(*(members.get(base, set()) for base in bases[name])) for name, own in members.items()}


def missing_names(text: str, names: set[str], members: dict[str, set[str]]) -> list[str]:
    """Returns the names in a page's code spans that the project does not define."""
    root, missing = pathlib.Path(ROOT), []
    for span in code_spans(text):
        missing += [path for path in PATH_PATTERN.findall(span) if not (root / path).exists()]
        for module in MODULE_PATTERN.findall(span):
            parts = module.split(".")
            if parts[-1] not in FILE_EXTENSIONS and not all(
                part in names or part in TOP_LEVEL_DIRECTORIES for part in parts
            ):
                missing.append(module)
        missing += [name for name in CLASS_PATTERN.findall(span) if name not in names | EXTERNAL_NAMES]
        for owner, name in MEMBER_PATTERN.findall(span):
            if owner in members and name not in members[owner]:
                missing.append(f"{owner}.{name}")
        missing += [name for name in TEST_PATTERN.findall(span) if name not in names]
    return missing


class DocumentationTest(unittest.TestCase):
    def test_pages_reference_existing_names_only(self):
        names, members = defined_names(), class_members()
        for page in pages():
            with self.subTest(page.relative_to(ROOT)):
                self.assertEqual(missing_names(page.read_text(encoding="utf-8"), names, members), [])

    def test_missing_names_are_detected(self):
        text = "`sparloom/nowhere.py` `sparloom.nowhere` `NoSuchClass` `Swim.nothing` `test_nothing_of_the_kind`"
        self.assertEqual(len(missing_names(text, defined_names(), class_members())), 5)


if __name__ == "__main__":
    unittest.main()
