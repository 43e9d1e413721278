"""Mutation testing: replaces one check of the programs at a time and runs its tests; a survivor is covered by no test.

A mutation replaces one comparison, or one call of a quorum function, by a
constant. It is applied in a copy of the tree, so that the tree itself does not
change. The module's doctests run first, then the tests that import the module.
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

# Functions whose calls are checks themselves.
QUORUM_CALLS = frozenset({"quorum", "majority"})
# The mutated package is copied into each copy of the tree; the other paths that the tests need are linked.
MUTATED_PACKAGE = "sparloom"
LINKED_PATHS = (
    "tests",
    "simulator",
    "fakes",
    "deploy",
    "docs",
    "README.md",
    "requirements.txt",
    "requirements-tools.txt",
)


# Runs the doctests of a module.
DOCTEST_SCRIPT = (
    "import doctest, importlib, sys; sys.exit(doctest.testmod(importlib.import_module(sys.argv[1])).failed > 0)"
)


class Result(Enum):
    """Result of a mutation."""

    FOUND = "found"
    TIMED_OUT = "timed out"
    SURVIVED = "survived"
    NOT_TRIED = "not tried"


@define(frozen=True, slots=True)
class Mutation:
    """One check in a file, and the constant that replaces it.

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
        The check's byte offsets in the file.
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
    """Yield the mutations of a file: two for each comparison, and only ``True`` for a quorum call.

    Parameters
    ----------
    only
        A regular expression that must match a part of the check's source.

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
    """Return the mutations of files and directories, in order of file and position."""
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
    """Return the modules, and names in modules, that a file imports, in dotted form."""
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
    """Return the test modules that import the module of a file, directly or through other files."""
    importers = {module_of(str(file)): _imported_names(file) for file in files}
    reached = {module_of(path)}
    while importers_of_reached := {
        name for name, imported in importers.items() if name not in reached and imported & reached
    }:
        reached |= importers_of_reached
    return sorted(name for name in reached if name.rpartition(".")[2].startswith("test_"))


def tests_of(path: str) -> list[str]:
    """Return the test modules that should detect a mutation of a file.

    These are the ones that import its module. If there are none, the ones that import it through other modules of its
    package are used. If there are none either, all in the test directory named after the package are used.

    >>> "tests.scheduler.test_late_orders" in tests_of("sparloom/scheduler/late_orders.py")
    True
    >>> "tests.duties.test_lease" in tests_of("sparloom/duties/lease.py")
    True
    """
    package, tests = Path(path).parent, sorted(Path("tests").rglob("*.py"))
    found = _importing_tests(path, tests) or _importing_tests(path, [*tests, *package.rglob("*.py")])
    return found or sorted(module_of(str(file)) for file in Path("tests", package.name).glob("test_*.py"))


class Trials:
    """Copies of the tree in which mutations are tested, one at a time in each.

    Parameters
    ----------
    tests
        Names of tests or test modules for ``unittest``; if empty, those returned by ``tests_of``.
    limit_s
        Timeout of one test run in seconds; a mutation whose run times out counts as found.
    jobs
        Number of copies, and of mutations tested in parallel.
    deadline
        No mutation is started after this time, in seconds of the monotonic clock.
    """

    def __init__(self, tests: Sequence[str], limit_s: float, jobs: int, deadline: float = inf) -> None:
        self._tests = list(tests)
        self._limit_s = limit_s
        self._jobs = jobs
        self._deadline = deadline
        self._copies: SimpleQueue[Path] = SimpleQueue()

    def run(self, mutations: Sequence[Mutation]) -> Iterator[tuple[Mutation, Result]]:
        """Yield each mutation with its result, in order.

        Raises
        ------
        RuntimeError
            The tests fail without any mutation, so their results would be meaningless.
        """
        with self._create_copies(), ThreadPoolExecutor(self._jobs) as pool:
            copy = self._copies.get()
            for path in sorted({mutation.path for mutation in mutations}):
                if self._run_tests(copy, path) is not Result.SURVIVED:
                    raise RuntimeError(f"the tests of {path} fail without a mutation")
            self._copies.put(copy)
            yield from zip(mutations, pool.map(self._try, mutations), strict=True)

    @contextmanager
    def _create_copies(self) -> Iterator[None]:
        with tempfile.TemporaryDirectory() as folder:
            for number in range(self._jobs):
                copy = Path(folder, str(number))
                shutil.copytree(MUTATED_PACKAGE, copy / MUTATED_PACKAGE)
                for name in filter(os.path.exists, LINKED_PATHS):
                    (copy / name).symlink_to(Path(name).resolve())
                self._copies.put(copy)
            yield

    def _try(self, mutation: Mutation) -> Result:
        if time.monotonic() > self._deadline:
            return Result.NOT_TRIED
        copy = self._copies.get()
        file = copy / mutation.path
        original = file.read_bytes()
        try:
            file.write_bytes(mutation.apply(original))
            return self._run_tests(copy, mutation.path)
        finally:
            file.write_bytes(original)
            self._copies.put(copy)

    def _commands(self, path: str) -> Iterator[list[str]]:
        """Yield the commands that should detect a mutation of a file, fastest first."""
        yield [sys.executable, "-B", "-c", DOCTEST_SCRIPT, module_of(path)]
        tests = self._tests or tests_of(path)
        if tests:
            yield [sys.executable, "-B", "-W", "ignore", "-m", "unittest", "-f", *tests]

    def _run_tests(self, copy: Path, path: str) -> Result:
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        for command in self._commands(path):
            try:
                completed = subprocess.run(
                    command, cwd=copy, env=environment, capture_output=True, timeout=self._limit_s, check=False
                )
            except subprocess.TimeoutExpired:
                return Result.TIMED_OUT
            if completed.returncode:
                return Result.FOUND
        return Result.SURVIVED


def mutate(
    *paths: str, tests: str = "", only: str = "", limit_s: float = 240.0, jobs: int = 2, within_s: float = 600.0
) -> int:
    """Replace one check at a time by a constant and run the tests that should detect it.

    :param paths: files and directories of the package ``sparloom`` whose checks are replaced
    :param tests: comma-separated names of test modules (default: those that import the module)
    :param only: regular expression that must match a part of a check's source
    :param limit_s: timeout of a test run in seconds; a mutation whose run times out counts as found
    :param jobs: number of mutations tested in parallel
    :param within_s: seconds after which no mutation is started; the remaining ones are counted and printed
    """
    mutations = mutations_of(paths, only)
    counts = dict.fromkeys(Result, 0)
    trials = Trials([name for name in tests.split(",") if name], limit_s, jobs, time.monotonic() + within_s)
    for mutation, result in trials.run(mutations):
        counts[result] += 1
        print(f"{result.value}: {mutation}", flush=True)
    print(", ".join(f"{count} {result.value}" for result, count in counts.items()))
    return 1 if counts[Result.SURVIVED] or counts[Result.NOT_TRIED] else 0
