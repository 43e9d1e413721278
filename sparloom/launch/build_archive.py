"""Builds the archive that ``sparloom.launch.bytecode_archive`` loads: ``python3 -S -m sparloom.launch.build_archive``.

The deployment build runs this module. It imports both programs in the same way
as a program start does, and records the imported modules, the source code that
libraries generate and compile, and the compiled regular expressions. Everything
is written to one file.
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

from sparloom.launch.bytecode_archive import (
    ARCHIVE_MAGIC,
    ARCHIVE_PATH,
    CODE_GENERATING_MODULES,
    INDEX_SIZE_FIELD_BYTES,
    interpreter_version,
    strip_hash_salt,
)
from sparloom.launch.early_listen import block_unused_modules, skip_mime_files

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from importlib.machinery import ModuleSpec
    from types import CodeType, ModuleType

ORIGINAL_COMPILE_PATTERN = pattern_compiler.compile
PROGRAM_MODULES = (
    "sparloom.cli",
    "sparloom.router.program",
    "sparloom.controller.program",
    # Imported only if tenants are configured or the platform expects duties.
    "sparloom.configuration.tenants",
    "sparloom.router.access",
    "sparloom.controller.duty_updates",
    "sparloom.router.usage_reporter",
    "sparloom.controller.duty_service",
    "sparloom.controller.scaled_services",
)
PRELOADED_MODULES = frozenset(
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
    """Meta path finder that imports the code-generating modules with a ``compile`` that records its results.

    Attributes
    ----------
    generated
        Compiled code by (source without the hash salt, file name).
    """

    def __init__(self) -> None:
        self.generated: dict[tuple[str, str], CodeType] = {}
        self._loader: Any = None

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Returns a code-generating module's regular spec with this recorder as its loader; None for other modules."""
        if name not in CODE_GENERATING_MODULES:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path, target)
        if spec is not None:
            self._loader, spec.loader = spec.loader, self  # type: ignore[assignment]  # implements the loader protocol
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Returns None: the import system creates the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Executes the module with the recording ``compile``."""
        module.__dict__["compile"] = self.compile
        exec(self._loader.get_code(module.__name__), module.__dict__)  # noqa: S102 - a loader executes module code

    def compile(self, source: str, filename: str, mode: str) -> CodeType:
        """Calls the built-in ``compile`` and records the result."""
        code: CodeType = compile(source, filename, mode)
        self.generated[strip_hash_salt(source), filename] = code
        return code


class PatternRecorder:
    """Replaces ``_sre`` within ``re._compiler`` and records the arguments of ``_sre.compile``.

    Attributes
    ----------
    patterns
        The arguments that ``_sre.compile`` received, by (pattern, flags).
    """

    def __init__(self) -> None:
        self.patterns: dict[tuple[str | bytes, int], tuple[Any, ...] | None] = {}
        self._compile_arguments: tuple[Any, ...] | None = None

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
        """Calls ``_sre.compile`` and records its arguments as plain integers and strings, which can be marshalled."""
        self._compile_arguments = (
            int(flags),
            [int(instruction) for instruction in code],
            int(groups),
            {name: int(number) for name, number in group_index.items()},
            tuple(index_group),
        )
        compiled: re.Pattern[Any] = _sre.compile(pattern, flags, code, groups, group_index, index_group)
        return compiled

    def compile_pattern(self, pattern: Any, flags: int = 0) -> re.Pattern[Any]:
        """Calls the regular pattern compiler and records the result."""
        compiled: re.Pattern[Any] = ORIGINAL_COMPILE_PATTERN(pattern, flags)
        if isinstance(pattern, (str, bytes)):
            self.patterns[pattern, int(flags)] = self._compile_arguments
        return compiled

    def install(self) -> None:
        """Records every pattern compiled from now on.

        The cache of ``re`` is purged, so patterns that were compiled before are recorded too.
        """
        patched: Any = pattern_compiler
        patched._sre, patched.compile = self, self.compile_pattern
        re.purge()


class CodeWriter:
    """Collects marshalled code objects and assigns their locations in the archive.

    Attributes
    ----------
    chunks
        The marshalled code objects in the order of addition.
    size_bytes
        The total size of all chunks.
    """

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.size_bytes = 0

    def add(self, code: CodeType) -> tuple[int, int]:
        """Adds a code object; returns its offset and size in bytes."""
        chunk = marshal.dumps(code)
        location = (self.size_bytes, len(chunk))
        self.chunks.append(chunk)
        self.size_bytes += len(chunk)
        return location


def project_path(file: str) -> str:
    """Returns a path relative to the working directory if the file is below it, and the absolute path otherwise."""
    return os.path.abspath(file).removeprefix(os.getcwd() + os.sep)


def compile_file(file: str) -> CodeType:
    """Compiles a source file."""
    with open(file, "rb") as source:
        code: CodeType = compile(source.read(), project_path(file), "exec", dont_inherit=True)
    return code


def file_module_specs() -> dict[str, ModuleSpec]:
    """Returns the specs of all modules that were loaded from files, by name.

    >>> import json
    >>> file_module_specs()["json"].origin.endswith("__init__.py")
    True
    """
    specs = {name: getattr(module, "__spec__", None) for name, module in sys.modules.items() if module is not None}
    return {
        name: spec
        for name, spec in sorted(specs.items())
        if spec is not None and spec.name == name and spec.has_location and name not in PRELOADED_MODULES
    }


def import_programs() -> tuple[SourceRecorder, PatternRecorder]:
    """Imports both programs as a program start does; returns the recorders of generated sources and patterns."""
    gc.disable()
    sources, patterns = SourceRecorder(), PatternRecorder()
    sys.meta_path.insert(0, sources)
    patterns.install()
    block_unused_modules()
    skip_mime_files()
    for name in PROGRAM_MODULES:
        importlib.import_module(name)
    return sources, patterns


def build(path: str = ARCHIVE_PATH) -> int:
    """Imports both programs and writes the archive; returns the number of archived modules."""
    sources, patterns = import_programs()
    writer, specs = CodeWriter(), file_module_specs()
    origins = {name: spec.origin or "" for name, spec in specs.items()}
    from_source = {name for name, origin in origins.items() if origin.endswith(".py")}
    index = {
        "version": interpreter_version(),
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
    write(path, marshal.dumps(index), writer.chunks)
    return len(specs)


def write(path: str, index: bytes, chunks: Iterable[bytes]) -> None:
    """Writes the archive to a temporary file and renames it, so that a start never reads a partial archive."""
    os.makedirs(os.path.dirname(path) or ".", exist_ok=True)
    with open(f"{path}.new", "wb") as file:
        file.write(ARCHIVE_MAGIC + len(index).to_bytes(INDEX_SIZE_FIELD_BYTES))
        file.write(index)
        file.writelines(chunks)
    os.replace(f"{path}.new", path)


if __name__ == "__main__":
    print(f"build_archive: wrote {build()} modules to {ARCHIVE_PATH}.")
