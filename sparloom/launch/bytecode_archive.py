"""Imports modules from a single bytecode archive.

A program start imports about four hundred modules. Finding each of them on disk,
and compiling the source code that libraries generate and their regular
expressions, takes a third of the CPU time of a start. After a complete power
loss, every machine of a fleet spends that time while clients wait.

``Archive`` is a meta path importer. The archive file holds the bytecode of all
these modules and of generated source code, the paths of extension modules, and
compiled regular expressions. ``sparloom.launch.build_archive`` writes it. An
archive is valid only for the Python build that wrote it, because compiled
patterns are internal to that build. If the archive is missing or was written by
another build, the regular import system loads the modules.
"""

from __future__ import annotations

import _sre
import marshal
import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

# Importing ``typing`` would load it before the archive is installed. Type checkers treat this name as true.
TYPE_CHECKING = False
if TYPE_CHECKING:
    import re
    from collections.abc import Callable, Mapping, Sequence
    from types import CodeType, ModuleType
    from typing import Any

ARCHIVE_PATH = os.path.join("target", "programs.bin")
CODE_GENERATING_MODULES = ("attr._make",)
ARCHIVE_MAGIC = b"sparloom programs 1\n"
INDEX_SIZE_FIELD_BYTES = 8


def interpreter_version() -> tuple[str | None, str, str]:
    """Returns the identity of this Python build: bytecode tag, interpreter version and standard library path."""
    return (sys.implementation.cache_tag, sys.version, os.path.dirname(os.__file__))


def strip_hash_salt(source: str) -> str:
    """Removes the lines that hold only a number from generated source code.

    Such a line is the salt of a generated ``__hash__`` method. Each process picks
    a random salt, so the generated source differs between processes.

    >>> strip_hash_salt("return hash((\\n    -17,\\n    self.a,\\n))")
    'return hash((\\n    self.a,\\n))'
    """
    lines = source.split("\n")
    return "\n".join(line for line in lines if not line.strip().rstrip(",").lstrip("-").isdigit())


class Archive:
    """An importer for ``sys.meta_path``.

    Bytecode is read from the file on demand, so unused modules take no memory.

    Parameters
    ----------
    descriptor
        File descriptor of the archive, open for reading. The importer closes it.
    bytecode_offset
        Offset of the bytecode in the file, in bytes.
    index
        ``modules`` (name: file, whether it is a package, location),
        ``extensions`` (name: file), ``generated`` (source without the hash salt,
        file name: location), ``patterns`` (pattern, flags: arguments of
        ``_sre.compile``). A location is an offset and a size in bytes.
    """

    def __init__(self, descriptor: int, bytecode_offset: int, index: Mapping[str, Any]) -> None:
        self._descriptor, self._bytecode_offset = descriptor, bytecode_offset
        self._modules: dict[str, tuple[str, bool, tuple[int, int]]] = index["modules"]
        self._extensions: dict[str, str] = index["extensions"]
        self._generated: dict[tuple[str, str], tuple[int, int]] = index["generated"]
        self._patterns: dict[tuple[str | bytes, int], Sequence[Any]] = index["patterns"]
        self._original_compile_pattern: Callable[..., re.Pattern[Any]] | None = None

    @classmethod
    def open(cls, path: str = ARCHIVE_PATH) -> Archive | None:
        """Opens the archive at a path; returns None if it is missing, damaged or from another Python build.

        >>> Archive.open("/nowhere") is None
        True
        """
        try:
            descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            header = os.pread(descriptor, len(ARCHIVE_MAGIC) + INDEX_SIZE_FIELD_BYTES, 0)
            if header.startswith(ARCHIVE_MAGIC):
                size = int.from_bytes(header[len(ARCHIVE_MAGIC) :])
                index = marshal.loads(os.pread(descriptor, size, len(header)))
                if index["version"] == interpreter_version():
                    return cls(descriptor, len(header) + size, index)
        except (EOFError, ValueError, TypeError, KeyError, OSError):
            # A damaged archive is ignored; the modules are loaded from their source files.
            pass
        os.close(descriptor)
        return None

    def close(self) -> None:
        """Drops the index and closes the file; the archive can't be used afterwards."""
        self._modules, self._extensions, self._generated, self._patterns = {}, {}, {}, {}
        os.close(self._descriptor)

    def _read_code(self, location: tuple[int, int]) -> CodeType:
        offset, size = location
        code: CodeType = marshal.loads(os.pread(self._descriptor, size, self._bytecode_offset + offset))
        return code

    # -- importer protocol ------------------------------------------------------
    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Returns the spec of an archived module; None for other modules."""
        entry = self._modules.get(name)
        if entry is not None:
            file, is_package, _ = entry
            origin = os.path.abspath(file)
            spec = ModuleSpec(name, self, origin=origin, is_package=is_package)  # type: ignore[arg-type]  # implements the loader protocol
            spec.has_location = True
            if spec.submodule_search_locations is not None:
                spec.submodule_search_locations.append(os.path.dirname(origin))
            return spec
        extension = self._extensions.get(name)
        if extension is not None:
            extension = os.path.abspath(extension)
            return ModuleSpec(name, ExtensionFileLoader(name, extension), origin=extension)
        return None

    def create_module(self, spec: ModuleSpec) -> None:
        """Returns None: the import system creates the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Executes a module; a code-generating module gets a ``compile`` that reads from the archive."""
        name = module.__name__
        if name in CODE_GENERATING_MODULES:
            module.__dict__["compile"] = self.compile
        exec(self._read_code(self._modules[name][2]), module.__dict__)  # noqa: S102 - a loader executes module code

    def compile(self, source: Any, filename: str, mode: str, **options: Any) -> CodeType:
        """Returns the archived code of generated source; calls the built-in ``compile`` if there is none."""
        cacheable = isinstance(source, str) and mode == "exec" and not options
        location = self._generated.get((strip_hash_salt(source), filename)) if cacheable else None
        if location is not None:
            return self._read_code(location)
        compiled: CodeType = compile(source, filename, mode, **options)
        return compiled

    def compile_pattern(self, pattern: Any, flags: int = 0) -> re.Pattern[Any]:
        """Returns an archived regular expression; calls the compiler of ``re`` if there is none."""
        compile_arguments = self._patterns.get((pattern, int(flags))) if isinstance(pattern, (str, bytes)) else None
        if compile_arguments is None:
            assert self._original_compile_pattern is not None, "the archive is not installed"
            return self._original_compile_pattern(pattern, flags)
        compiled: re.Pattern[Any] = _sre.compile(pattern, *compile_arguments)
        return compiled

    # -- installation -----------------------------------------------------------
    def activate(self) -> None:
        """Adds the archive to the import system and to the compiler of ``re``."""
        sys.meta_path.insert(0, self)
        import re._compiler

        self._original_compile_pattern = re._compiler.compile
        re._compiler.compile = self.compile_pattern

    def deactivate(self) -> None:
        """Reverts ``activate`` and closes the archive."""
        sys.meta_path.remove(self)
        sys.modules["re._compiler"].__dict__["compile"] = self._original_compile_pattern
        self.close()


def install_archive(path: str = ARCHIVE_PATH) -> Archive | None:
    """Activates the archive at a path; returns None if it can't be used.

    >>> install_archive("/nowhere") is None
    True
    """
    archive = Archive.open(path)
    if archive is not None:
        archive.activate()
    return archive


def uninstall_archives() -> None:
    """Deactivates and closes all active archives, once a program is loaded.

    >>> uninstall_archives()
    """
    for archive in [finder for finder in sys.meta_path if isinstance(finder, Archive)]:
        archive.deactivate()
