"""Makes the archive that ``sparloom.launch.bytecode_archive`` loads: ``python3 -S -m sparloom.launch.build_archive``.

The build calls it. It loads both programs as they load themselves, notes which
modules that took and which source texts were generated and compiled on the
way, and writes the byte code of all of them to one file.
"""

from __future__ import annotations

import _sre
import gc
import importlib.machinery
import marshal
import os
import re
import re._compiler as pattern_compiler
import sys
from typing import TYPE_CHECKING, Any

from sparloom.launch.bytecode_archive import GENERATORS, MAGIC, PATH, SIZE_BYTES, version, without_salt
from sparloom.launch.early_listen import block_unused_modules, skip_mime_files

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from importlib.machinery import ModuleSpec
    from types import CodeType, ModuleType

COMPILE_PATTERN = pattern_compiler.compile
PROGRAMS = (
    "sparloom.cli",
    "sparloom.router.program",
    "sparloom.controller.program",
    # Loaded only where there are tenants, or the platform expects duties.
    "sparloom.configuration.tenants",
    "sparloom.router.access",
    "sparloom.controller.duty_updates",
    "sparloom.router.usage_reporter",
    "sparloom.controller.duty_service",
    "sparloom.controller.scaled_services",
)
LOADED_BEFORE = frozenset(
    (
        "__main__",
        "sparloom",
        "sparloom.launch",
        "sparloom.launch.build_archive",
        "sparloom.launch.bytecode_archive",
        "sparloom.launch.launcher",
    )
)


class SourceRecorder:
    """Runs the generators of source with a ``compile`` that keeps what it made.

    Attributes
    ----------
    generated
        Byte code by (source without salt, file name).
    """

    def __init__(self) -> None:
        self.generated: dict[tuple[str, str], CodeType] = {}
        self._loader: Any = None

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """The ordinary spec of a generator, with this recorder in its loader's place; else None."""
        if name not in GENERATORS:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path, target)
        if spec is not None:
            self._loader, spec.loader = spec.loader, self  # type: ignore[assignment]  # a loader by protocol
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Leaves the making of the module to the import system."""

    def exec_module(self, module: ModuleType) -> None:
        """Runs the generator's own code."""
        module.__dict__["compile"] = self.compile
        exec(self._loader.get_code(module.__name__), module.__dict__)  # noqa: S102 - what an importer is for

    def compile(self, source: str, filename: str, mode: str) -> CodeType:
        """The built-in ``compile``, and a note of the result."""
        code: CodeType = compile(source, filename, mode)
        self.generated[without_salt(source), filename] = code
        return code


class PatternRecorder:
    """Stands for the matcher towards the compiler of patterns, and keeps what it was handed.

    Attributes
    ----------
    patterns
        What the matcher was handed, by (pattern, flags).
    """

    def __init__(self) -> None:
        self.patterns: dict[tuple[str | bytes, int], tuple[Any, ...] | None] = {}
        self._handed: tuple[Any, ...] | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(_sre, name)

    def compile(
        self,
        pattern: str | bytes,
        flags: int,
        code: Sequence[int],
        groups: int,
        group_index: dict[str, int],
        index_group: Sequence[str | None],
    ) -> re.Pattern[Any]:
        """The matcher's ``compile``, and a note of its arguments as plain numbers and strings."""
        self._handed = (
            int(flags),
            [int(word) for word in code],
            int(groups),
            {name: int(number) for name, number in group_index.items()},
            tuple(index_group),
        )
        matcher: re.Pattern[Any] = _sre.compile(pattern, flags, code, groups, group_index, index_group)
        return matcher

    def compile_pattern(self, pattern: Any, flags: int = 0) -> re.Pattern[Any]:
        """The compiler of patterns, and a note of the result."""
        compiled: re.Pattern[Any] = COMPILE_PATTERN(pattern, flags)
        if isinstance(pattern, (str, bytes)):
            self.patterns[pattern, int(flags)] = self._handed
        return compiled

    def install(self) -> None:
        """Records every pattern that is compiled from now on, also those that were compiled before."""
        replaced: Any = pattern_compiler
        replaced._sre, replaced.compile = self, self.compile_pattern
        re.purge()


class CodeWriter:
    """Collects marshalled byte code and gives the location of each piece.

    Attributes
    ----------
    pieces
        The marshalled code objects in the order in which they were added.
    size
        The sum of their sizes in bytes.
    """

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.size = 0

    def add(self, code: CodeType) -> tuple[int, int]:
        """Takes a code object; gives its offset and size in bytes."""
        piece = marshal.dumps(code)
        location = (self.size, len(piece))
        self.pieces.append(piece)
        self.size += len(piece)
        return location


def project_path(file: str) -> str:
    """A file's path from the root of the project where it lies below it; else its absolute path."""
    return os.path.abspath(file).removeprefix(os.getcwd() + os.sep)


def compile_file(file: str) -> CodeType:
    """The byte code of a source file."""
    with open(file, "rb") as source:
        code: CodeType = compile(source.read(), project_path(file), "exec", dont_inherit=True)
    return code


def loaded_modules() -> dict[str, ModuleSpec]:
    """The specs of the modules that were loaded from files, by name.

    >>> import json
    >>> loaded_modules()["json"].origin.endswith("__init__.py")
    True
    """
    specs = {name: getattr(module, "__spec__", None) for name, module in sys.modules.items() if module is not None}
    return {
        name: spec
        for name, spec in sorted(specs.items())
        if spec is not None and spec.name == name and spec.has_location and name not in LOADED_BEFORE
    }


def load_programs() -> tuple[SourceRecorder, PatternRecorder]:
    """Loads the programs as a start does; gives what was generated and compiled on the way."""
    gc.disable()
    sources, patterns = SourceRecorder(), PatternRecorder()
    sys.meta_path.insert(0, sources)
    patterns.install()
    block_unused_modules()
    skip_mime_files()
    for name in PROGRAMS:
        importlib.import_module(name)
    return sources, patterns


def build(path: str = PATH) -> int:
    """Loads the programs and writes the archive; gives how many modules are in it."""
    sources, patterns = load_programs()
    writer, specs = CodeWriter(), loaded_modules()
    origins = {name: spec.origin or "" for name, spec in specs.items()}
    from_source = {name for name, origin in origins.items() if origin.endswith(".py")}
    index = {
        "version": version(),
        "modules": {
            name: (
                project_path(origins[name]),
                spec.submodule_search_locations is not None,
                writer.add(compile_file(origins[name])),
            )
            for name, spec in specs.items()
            if name in from_source
        },
        "extensions": {name: project_path(origin) for name, origin in origins.items() if name not in from_source},
        "generated": {key: writer.add(code) for key, code in sources.generated.items()},
        "patterns": patterns.patterns,
    }
    write(path, marshal.dumps(index), writer.pieces)
    return len(specs)


def write(path: str, index: bytes, pieces: Iterable[bytes]) -> None:
    """Writes the archive beside its path and then puts it there, so that a start never reads half of one."""
    os.makedirs(os.path.dirname(path) or ".", exist_ok=True)
    with open(f"{path}.new", "wb") as file:
        file.write(MAGIC + len(index).to_bytes(SIZE_BYTES))
        file.write(index)
        file.writelines(pieces)
    os.replace(f"{path}.new", path)


if __name__ == "__main__":
    print(f"build_archive: {build()} modules are in {PATH}.")
