"""Loads modules from one archive that the build has made.

A start loads some four hundred modules. Looking each of them up on the disk,
and compiling again what libraries generate as source text and their regular
expressions, takes a third of its processor time, and after a loss of all power
every machine of a fleet spends that time while clients wait. The archive holds
the byte code of all these modules and of generated source texts, the places of
the extension modules, and compiled patterns. It is made by
``sparloom.launch.build_archive`` and bound to one build of Python, since compiled patterns
are that build's own matter; where it is missing or made for another one,
modules are loaded in the ordinary way.
"""

import _sre
import marshal
import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

PATH = os.path.join("target", "programs.bin")
GENERATORS = ("attr._make",)
MAGIC = b"sparloom programs 1\n"
SIZE_BYTES = 8


def version():
    """What the archive must have been made for: the interpreter, its library and its byte code."""
    return (sys.implementation.cache_tag, sys.version, os.path.dirname(os.__file__))


def unsalted(source):
    """Generated source without the lines that hold but a number.

    Such a line is the salt of a generated ``__hash__``; it is drawn anew by
    each process, so two of them never generate quite the same text.

    >>> unsalted("return hash((\\n    -17,\\n    self.a,\\n))")
    'return hash((\\n    self.a,\\n))'
    """
    lines = source.split("\n")
    return "\n".join(line for line in lines if not line.strip().rstrip(",").lstrip("-").isdigit())


class Archive:
    """An importer for ``sys.meta_path``.

    ``index``: ``modules`` (name: file, is it a package, place), ``extensions``
    (name: file) and ``generated`` (unsalted source, file name: place); a place is
    the offset and the size of marshalled byte code. ``patterns`` (pattern, flags):
    what the pattern's compiler hands to the matcher. Byte code is read when it
    is asked for, so that what is never used takes no memory.
    """

    def __init__(self, descriptor, base, index):
        self._descriptor, self._base = descriptor, base
        self._modules, self._extensions = index["modules"], index["extensions"]
        self._generated, self._patterns = index["generated"], index["patterns"]
        self._compile_pattern = None

    @classmethod
    def open(cls, path=PATH):
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
            pass
        os.close(descriptor)
        return None

    def close(self):
        """Frees what it holds; nothing is read from it any more."""
        self._modules, self._extensions, self._generated, self._patterns = {}, {}, {}, {}
        os.close(self._descriptor)

    def _code(self, place):
        offset, size = place
        return marshal.loads(os.pread(self._descriptor, size, self._base + offset))

    # -- the importer's protocol ----------------------------------------------
    def find_spec(self, name, path=None, target=None):
        """The spec of a module that the archive knows; else None."""
        entry = self._modules.get(name)
        if entry is not None:
            file, is_package, _ = entry
            spec = ModuleSpec(name, self, origin=os.path.abspath(file), is_package=is_package)
            spec.has_location = True
            if is_package:
                spec.submodule_search_locations.append(os.path.dirname(spec.origin))
            return spec
        file = self._extensions.get(name)
        if file is not None:
            file = os.path.abspath(file)
            return ModuleSpec(name, ExtensionFileLoader(name, file), origin=file)
        return None

    def create_module(self, spec):
        """Leaves the making of the module to the import system."""

    def exec_module(self, module):
        """Runs a module's byte code; one that generates source gets a ``compile`` that knows the archive."""
        name = module.__spec__.name
        if name in GENERATORS:
            module.__dict__["compile"] = self.compile
        exec(self._code(self._modules[name][2]), module.__dict__)  # noqa: S102 - what an importer is for

    def compile(self, source, filename, mode, **options):
        """The built-in ``compile``, without the work where the archive holds the result."""
        known = isinstance(source, str) and mode == "exec" and not options
        place = self._generated.get((unsalted(source), filename)) if known else None
        return compile(source, filename, mode, **options) if place is None else self._code(place)

    def compile_pattern(self, pattern, flags=0):
        """What ``re`` compiles a pattern with, without the work where the archive holds the result."""
        compiled = self._patterns.get((pattern, int(flags))) if isinstance(pattern, (str, bytes)) else None
        return self._compile_pattern(pattern, flags) if compiled is None else _sre.compile(pattern, *compiled)

    # -- in use ---------------------------------------------------------------
    def enter(self):
        """Lets modules and patterns come from here from now on."""
        sys.meta_path.insert(0, self)
        import re._compiler

        self._compile_pattern = re._compiler.compile
        re._compiler.compile = self.compile_pattern

    def leave(self):
        """Takes back what ``enter`` did and closes the archive."""
        sys.meta_path.remove(self)
        sys.modules["re._compiler"].compile = self._compile_pattern
        self.close()


def install(path=PATH):
    """Lets modules come from the archive from now on; gives the archive, or None where it can't be used.

    >>> install("/nowhere") is None
    True
    """
    archive = Archive.open(path)
    if archive is not None:
        archive.enter()
    return archive


def release():
    """Closes the archives in use, once a program is loaded.

    >>> release()
    """
    for archive in [finder for finder in sys.meta_path if isinstance(finder, Archive)]:
        archive.leave()
