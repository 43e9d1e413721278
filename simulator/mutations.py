"""Changes one check of the programs at a time and runs the tests that bind it: what survives is bound by none.

A mutation replaces one comparison, or one call of a quorum, by a constant.
Each is tried in a copy of the tree, so that the tree itself stays as it is. It
is tried with the module's own examples first, then with the tests that import
the module.
"""

from __future__ import annotations

import ast
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from enum import Enum
from math import inf
from pathlib import Path
from queue import SimpleQueue
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# Calls that are checks of their own.
QUORUM_CALLS = frozenset({"quorum", "majority"})
# What a copy of the tree needs; the package that is changed is copied, the others are linked.
CHANGED_PACKAGE = "sparloom"
LINKED = ("tests", "simulator", "fakes", "deploy", "docs", "README.md", "requirements.txt", "requirements-tools.txt")


# Runs the examples in a module's comments.
EXAMPLES = "import doctest, importlib, sys; sys.exit(doctest.testmod(importlib.import_module(sys.argv[1])).failed > 0)"


class Result(Enum):
    """What became of a mutation."""

    FOUND = "found"
    RAN_ON = "ran on"
    SURVIVED = "survived"
    NOT_TRIED = "not tried"


@define(frozen=True, slots=True)
class Mutation:
    """One check of one file, and the constant that replaces it.

    Attributes
    ----------
    path
        The file, relative to the tree.
    line
        The line on which the check begins.
    check
        The check's source.
    constant
        ``True`` or ``False``, as source.
    start, end
        The check's place in the file's bytes.
    """

    path: str
    line: int
    check: str
    constant: str
    start: int
    end: int

    def apply(self, source: bytes) -> bytes:
        """Return the file with the check replaced.

        >>> Mutation("m.py", 1, "a < b", "True", 3, 8).apply(b"if a < b: pass")
        b'if True: pass'
        """
        return source[: self.start] + self.constant.encode() + source[self.end :]

    def __str__(self) -> str:
        return f"{self.path}:{self.line}: {self.check} -> {self.constant}"


def _is_check(node: ast.AST) -> bool:
    if isinstance(node, ast.Call):
        return isinstance(node.func, ast.Name) and node.func.id in QUORUM_CALLS
    return isinstance(node, ast.Compare)


def find_mutations(path: str, source: str, only: str = "") -> Iterator[Mutation]:
    """Yield the mutations of a file; two for each comparison, and a quorum is only taken for granted.

    Parameters
    ----------
    only
        A regular expression that must be found in the check's source.

    >>> [(m.check, m.constant) for m in find_mutations("m.py", "x = quorum(a, b) and c < d")]
    [('quorum(a, b)', 'True'), ('c < d', 'True'), ('c < d', 'False')]
    """
    raw = source.encode()
    offsets = [0]
    for line in raw.splitlines(keepends=True):
        offsets.append(offsets[-1] + len(line))
    for node in ast.walk(ast.parse(source)):
        if not _is_check(node):
            continue
        assert isinstance(node, (ast.Call, ast.Compare))
        assert node.end_lineno is not None and node.end_col_offset is not None, "parsed nodes have an end"
        start = offsets[node.lineno - 1] + node.col_offset
        end = offsets[node.end_lineno - 1] + node.end_col_offset
        check = raw[start:end].decode()
        if not re.search(only, check):
            continue
        for constant in ("True",) if isinstance(node, ast.Call) else ("True", "False"):
            yield Mutation(path, node.lineno, " ".join(check.split()), constant, start, end)


def mutations_of(paths: Sequence[str], only: str = "") -> list[Mutation]:
    """Return the mutations of some files and folders, by file and line."""
    files: list[Path] = []
    for path in map(Path, paths):
        files += sorted(path.rglob("*.py")) if path.is_dir() else [path]
    found = [mutation for file in files for mutation in find_mutations(str(file), file.read_text(), only)]
    return sorted(found, key=lambda mutation: (mutation.path, mutation.start, mutation.constant))


def module_of(path: str) -> str:
    """Return the name of the module in a file.

    >>> module_of("sparloom/duties/lease.py"), module_of("sparloom/duties/__init__.py")
    ('sparloom.duties.lease', 'sparloom.duties')
    """
    return ".".join(Path(path).with_suffix("").parts).removesuffix(".__init__")


def _imported_names(file: Path) -> set[str]:
    """Modules, and names in modules, that a file imports, in dotted form."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            package = ".".join(file.parts[: len(file.parts) - node.level]) if node.level else ""
            module = ".".join(filter(None, (package, node.module)))
            found.add(module)
            found.update(f"{module}.{alias.name}" for alias in node.names)
    return found


def _importing_tests(path: str, files: Sequence[Path]) -> list[str]:
    """Return the test modules that import the module in a file, also by way of other files."""
    importers = {module_of(str(file)): _imported_names(file) for file in files}
    reached = {module_of(path)}
    while more := {name for name, imported in importers.items() if name not in reached and imported & reached}:
        reached |= more
    return sorted(name for name in reached if name.rpartition(".")[2].startswith("test_"))


def tests_of(path: str) -> list[str]:
    """Return the test modules that are to notice a change of a file.

    Those that import its module; without any, those that import what its package makes of it; without any, those in
    the folder of tests that is named after the package.

    >>> "tests.scheduler.test_late_orders" in tests_of("sparloom/scheduler/late_orders.py")
    True
    >>> "tests.duties.test_lease" in tests_of("sparloom/duties/lease.py")
    True
    """
    package, tests = Path(path).parent, sorted(Path("tests").rglob("*.py"))
    found = _importing_tests(path, tests) or _importing_tests(path, [*tests, *package.rglob("*.py")])
    return found or sorted(module_of(str(file)) for file in Path("tests", package.name).glob("test_*.py"))


class Trials:
    """Copies of the tree in which mutations are tried, one at a time in each.

    Parameters
    ----------
    tests
        Names of tests or test modules, as ``unittest`` takes them; without any, those that import the module.
    limit_s
        Seconds for which one run of the tests may take; one that runs on is as good as found.
    jobs
        How many copies there are.
    ends_at
        No mutation is tried after this moment, in seconds of the monotonic clock.
    """

    def __init__(self, tests: Sequence[str], limit_s: float, jobs: int, ends_at: float = inf) -> None:
        self._tests = list(tests)
        self._limit_s = limit_s
        self._jobs = jobs
        self._ends_at = ends_at
        self._copies: SimpleQueue[Path] = SimpleQueue()

    def run(self, mutations: Sequence[Mutation]) -> Iterator[tuple[Mutation, Result]]:
        """Yield each mutation with its result, in order.

        Raises
        ------
        RuntimeError
            The tests fail without any mutation, so they would tell nothing.
        """
        with self._trees(), ThreadPoolExecutor(self._jobs) as pool:
            copy = self._copies.get()
            for path in sorted({mutation.path for mutation in mutations}):
                if self._test(copy, path) is not Result.SURVIVED:
                    raise RuntimeError(f"the tests of {path} fail without a mutation")
            self._copies.put(copy)
            yield from zip(mutations, pool.map(self._try, mutations), strict=True)

    @contextmanager
    def _trees(self) -> Iterator[None]:
        with tempfile.TemporaryDirectory() as folder:
            for number in range(self._jobs):
                copy = Path(folder, str(number))
                shutil.copytree(CHANGED_PACKAGE, copy / CHANGED_PACKAGE)
                for name in filter(os.path.exists, LINKED):
                    (copy / name).symlink_to(Path(name).resolve())
                self._copies.put(copy)
            yield

    def _try(self, mutation: Mutation) -> Result:
        if time.monotonic() > self._ends_at:
            return Result.NOT_TRIED
        copy = self._copies.get()
        file = copy / mutation.path
        original = file.read_bytes()
        try:
            file.write_bytes(mutation.apply(original))
            return self._test(copy, mutation.path)
        finally:
            file.write_bytes(original)
            self._copies.put(copy)

    def _commands(self, path: str) -> Iterator[list[str]]:
        """The commands that are to notice a mutation of a file, the quickest first."""
        yield [sys.executable, "-B", "-c", EXAMPLES, module_of(path)]
        tests = self._tests or tests_of(path)
        if tests:
            yield [sys.executable, "-B", "-W", "ignore", "-m", "unittest", "-f", *tests]

    def _test(self, copy: Path, path: str) -> Result:
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        for command in self._commands(path):
            try:
                ended = subprocess.run(
                    command, cwd=copy, env=environment, capture_output=True, timeout=self._limit_s, check=False
                )
            except subprocess.TimeoutExpired:
                return Result.RAN_ON
            if ended.returncode:
                return Result.FOUND
        return Result.SURVIVED


def mutate(
    *paths: str, tests: str = "", only: str = "", limit_s: float = 240.0, jobs: int = 2, within_s: float = 600.0
) -> int:
    """Replace one check at a time by a constant and run the tests that are to notice it.

    :param paths: files and folders of the package ``sparloom`` whose checks are replaced
    :param tests: names of test modules, parted by commas; without them, those that import the module
    :param only: a regular expression that a check's source must match
    :param limit_s: seconds after which a run of the tests is ended, and the mutation counts as found
    :param jobs: how many are tried at the same time
    :param within_s: seconds after which no more are tried; those that were not are counted and named
    """
    mutations = mutations_of(paths, only)
    counts = dict.fromkeys(Result, 0)
    trials = Trials([name for name in tests.split(",") if name], limit_s, jobs, time.monotonic() + within_s)
    for mutation, result in trials.run(mutations):
        counts[result] += 1
        print(f"{result.value}: {mutation}", flush=True)
    print(", ".join(f"{count} {result.value}" for result, count in counts.items()))
    return 1 if counts[Result.SURVIVED] or counts[Result.NOT_TRIED] else 0
