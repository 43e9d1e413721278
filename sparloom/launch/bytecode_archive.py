"""Loads modules from one archive that the build has made.

A start loads some four hundred modules. Looking each of them up on the disk,
and compiling again what libraries generate as source text and their regular
expressions, takes a third of its processor time, and after a loss of all power
every machine of a fleet spends that time while clients wait. The archive holds
the byte code of all these modules and of generated source texts, the paths of
the extension modules, and compiled patterns. It is made by
``sparloom.launch.build_archive`` and bound to one build of Python, since
compiled patterns are internal to that build; where it is missing or made for
another one, modules are loaded in the ordinary way.
"""

from __future__ import annotations

import _sre
import marshal
import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

# Importing ``typing`` here would load it before the archive is in use; type checkers take this name for true.
TYPE_CHECKING = False
if TYPE_CHECKING:
    import re
    from collections.abc import Callable, Mapping, Sequence
    from types import CodeType, ModuleType
    from typing import Any

PATH = os.path.join("target", "programs.bin")
GENERATORS = ("attr._make",)
MAGIC = b"sparloom programs 1\n"
SIZE_BYTES = 8


def version() -> tuple[str | None, str, str]:
    """What the archive must have been made for: the interpreter, its library and its byte code."""
    return (sys.implementation.cache_tag, sys.version, os.path.dirname(os.__file__))


def without_salt(source: str) -> str:
    """Generated source without the lines that hold only a number.

    Such a line is the salt of a generated ``__hash__``; each process draws it
    anew, so two of them never generate quite the same text.

    >>> without_salt("return hash((\\n    -17,\\n    self.a,\\n))")
    'return hash((\\n    self.a,\\n))'
    """
    lines = source.split("\n")
    return "\n".join(line for line in lines if not line.strip().rstrip(",").lstrip("-").isdigit())


class Archive:
    """An importer for ``sys.meta_path``.

    Byte code is read when it is asked for, so that what is never used takes no
    memory.

    Parameters
    ----------
    descriptor
        The archive, open for reading; the importer closes it.
    base
        The offset at which the byte code begins, in bytes.
    index
        ``modules`` (name: file, whether it is a package, location),
        ``extensions`` (name: file), ``generated`` (source without salt, file
        name: location), ``patterns`` (pattern, flags: what the pattern's
        compiler hands to the matcher).
    """

    def __init__(self, descriptor: int, base: int, index: Mapping[str, Any]) -> None:
        self._descriptor, self._base = descriptor, base
        self._modules: dict[str, tuple[str, bool, tuple[int, int]]] = index["modules"]
        self._extensions: dict[str, str] = index["extensions"]
        self._generated: dict[tuple[str, str], tuple[int, int]] = index["generated"]
        self._patterns: dict[tuple[str | bytes, int], Sequence[Any]] = index["patterns"]
        self._compile_pattern: Callable[..., re.Pattern[Any]] | None = None

    @classmethod
    def open(cls, path: str = PATH) -> Archive | None:
        """The archive at a path; None where there is none, or one for another version of Python.

        >>> Archive.open("/nowhere") is None
        True
        """
        try:
            descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            head = os.pread(descriptor, len(MAGIC) + SIZE_BYTES, 0)
            if head.startswith(MAGIC):
                size = int.from_bytes(head[len(MAGIC) :])
                index = marshal.loads(os.pread(descriptor, size, len(head)))
                if index["version"] == version():
                    return cls(descriptor, len(head) + size, index)
        except (EOFError, ValueError, TypeError, KeyError, OSError):
            # A damaged archive is no archive: the modules are loaded from the sources.
            pass
        os.close(descriptor)
        return None

    def close(self) -> None:
        """Frees what it holds; nothing is read from it any more."""
        self._modules, self._extensions, self._generated, self._patterns = {}, {}, {}, {}
        os.close(self._descriptor)

    def _code(self, location: tuple[int, int]) -> CodeType:
        offset, size = location
        code: CodeType = marshal.loads(os.pread(self._descriptor, size, self._base + offset))
        return code

    # -- the importer's protocol ----------------------------------------------
    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """The spec of a module that the archive has; else None."""
        entry = self._modules.get(name)
        if entry is not None:
            file, is_package, _ = entry
            origin = os.path.abspath(file)
            spec = ModuleSpec(name, self, origin=origin, is_package=is_package)  # type: ignore[arg-type]  # a loader by protocol
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
        """Leaves the making of the module to the import system."""

    def exec_module(self, module: ModuleType) -> None:
        """Runs a module's byte code; one that generates source gets a ``compile`` that uses the archive."""
        name = module.__name__
        if name in GENERATORS:
            module.__dict__["compile"] = self.compile
        exec(self._code(self._modules[name][2]), module.__dict__)  # noqa: S102 - what an importer is for

    def compile(self, source: Any, filename: str, mode: str, **options: Any) -> CodeType:
        """The built-in ``compile``, without the work where the archive holds the result."""
        cacheable = isinstance(source, str) and mode == "exec" and not options
        location = self._generated.get((without_salt(source), filename)) if cacheable else None
        if location is not None:
            return self._code(location)
        compiled: CodeType = compile(source, filename, mode, **options)
        return compiled

    def compile_pattern(self, pattern: Any, flags: int = 0) -> re.Pattern[Any]:
        """What ``re`` compiles a pattern with, without the work where the archive holds the result."""
        compiled = self._patterns.get((pattern, int(flags))) if isinstance(pattern, (str, bytes)) else None
        if compiled is None:
            assert self._compile_pattern is not None, "the archive is not in use"
            return self._compile_pattern(pattern, flags)
        matcher: re.Pattern[Any] = _sre.compile(pattern, *compiled)
        return matcher

    # -- in use ---------------------------------------------------------------
    def enter(self) -> None:
        """Lets modules and patterns come from here from now on."""
        sys.meta_path.insert(0, self)
        import re._compiler

        self._compile_pattern = re._compiler.compile
        re._compiler.compile = self.compile_pattern

    def leave(self) -> None:
        """Takes back what ``enter`` did and closes the archive."""
        sys.meta_path.remove(self)
        sys.modules["re._compiler"].__dict__["compile"] = self._compile_pattern
        self.close()


def install(path: str = PATH) -> Archive | None:
    """Lets modules come from the archive from now on; gives the archive, or None where it can't be used.

    >>> install("/nowhere") is None
    True
    """
    archive = Archive.open(path)
    if archive is not None:
        archive.enter()
    return archive


def release() -> None:
    """Closes the archives in use, once a program is loaded.

    >>> release()
    """
    for archive in [finder for finder in sys.meta_path if isinstance(finder, Archive)]:
        archive.leave()
