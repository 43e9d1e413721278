"""Makes the archive of modules that ``sparloom.launch.bytecode_archive`` loads: ``python3 -S -m sparloom.launch.build_archive``.

The build calls it. It loads both programs as they load themselves, notes which
modules that took and which source texts were generated and compiled on the
way, and writes the byte code of all of them to one file.
"""

import _sre
import gc
import importlib.machinery
import marshal
import os
import re
import re._compiler as pattern_compiler
import sys

from sparloom.launch.bytecode_archive import GENERATORS, MAGIC, PATH, SIZE_BYTES, unsalted, version
from sparloom.launch.early_listen import leave_out, skip_mime_files

COMPILE_PATTERN = pattern_compiler.compile
PROGRAMS = ("sparloom.cli", "sparloom.router.program", "sparloom.controller.program")
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


class Recorder:
    """Runs the generators of source with a ``compile`` that keeps what it made."""

    def __init__(self):
        self.generated = {}

    def find_spec(self, name, path=None, target=None):
        """The ordinary spec of a generator, with this recorder in its loader's place; else None."""
        if name not in GENERATORS:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path, target)
        self._loader, spec.loader = spec.loader, self
        return spec

    def create_module(self, spec):
        """Leaves the making of the module to the import system."""

    def exec_module(self, module):
        """Runs the generator's own code."""
        module.__dict__["compile"] = self.compile
        exec(self._loader.get_code(module.__spec__.name), module.__dict__)  # noqa: S102 - what an importer is for

    def compile(self, source, filename, mode):
        """The built-in ``compile``, and a note of the result."""
        code = compile(source, filename, mode)
        self.generated[unsalted(source), filename] = code
        return code


class PatternRecorder:
    """Stands for the matcher towards the compiler of patterns, and keeps what it was handed."""

    def __init__(self):
        self.patterns, self._handed = {}, None

    def __getattr__(self, name):
        return getattr(_sre, name)

    def compile(self, pattern, flags, code, groups, group_index, index_group):
        """The matcher's ``compile``, and a note of its arguments as plain numbers and strings."""
        self._handed = (
            int(flags),
            [int(word) for word in code],
            int(groups),
            {name: int(number) for name, number in group_index.items()},
            tuple(index_group),
        )
        return _sre.compile(pattern, flags, code, groups, group_index, index_group)

    def compile_pattern(self, pattern, flags=0):
        """The compiler of patterns, and a note of the result."""
        compiled = COMPILE_PATTERN(pattern, flags)
        if isinstance(pattern, (str, bytes)):
            self.patterns[pattern, int(flags)] = self._handed
        return compiled

    def install(self):
        """Records every pattern that is compiled from now on, also those that were compiled before."""
        pattern_compiler._sre, pattern_compiler.compile = self, self.compile_pattern
        re.purge()


class Writer:
    """Collects pieces of byte code and tells each one's place."""

    def __init__(self):
        self.pieces, self.size = [], 0

    def add(self, code):
        """Takes a code object; gives its offset and size."""
        piece = marshal.dumps(code)
        place = (self.size, len(piece))
        self.pieces.append(piece)
        self.size += len(piece)
        return place


def relative(file):
    """A file's path from the root of the project where it lies below it; else the whole path."""
    file = os.path.abspath(file)
    root = os.getcwd() + os.sep
    return file.removeprefix(root)


def compiled(file):
    """The byte code of a source file."""
    with open(file, "rb") as source:
        return compile(source.read(), relative(file), "exec", dont_inherit=True)


def loaded():
    """The modules that were loaded from files, by name: their specs.

    >>> import json
    >>> loaded()["json"].origin.endswith("__init__.py")
    True
    """
    specs = {name: getattr(module, "__spec__", None) for name, module in sys.modules.items() if module is not None}
    return {
        name: spec
        for name, spec in sorted(specs.items())
        if spec is not None and spec.name == name and spec.has_location and name not in LOADED_BEFORE
    }


def load_programs():
    """Loads the programs as a start does; gives the generated code and the compiled patterns that this took."""
    gc.disable()
    recorder, patterns = Recorder(), PatternRecorder()
    sys.meta_path.insert(0, recorder)
    patterns.install()
    leave_out()
    skip_mime_files()
    for name in PROGRAMS:
        importlib.import_module(name)
    return recorder.generated, patterns.patterns


def pack(path=PATH):
    """Loads the programs and writes the archive; gives how many modules are in it."""
    generated, patterns = load_programs()
    writer, specs = Writer(), loaded()
    sources = {name: spec for name, spec in specs.items() if spec.origin.endswith(".py")}
    index = {
        "version": version(),
        "modules": {
            name: (
                relative(spec.origin),
                spec.submodule_search_locations is not None,
                writer.add(compiled(spec.origin)),
            )
            for name, spec in sources.items()
        },
        "extensions": {name: relative(spec.origin) for name, spec in specs.items() if name not in sources},
        "generated": {key: writer.add(code) for key, code in generated.items()},
        "patterns": patterns,
    }
    write(path, marshal.dumps(index), writer.pieces)
    return len(specs)


def write(path, index, pieces):
    """Writes the archive beside its place and then puts it there."""
    os.makedirs(os.path.dirname(path) or ".", exist_ok=True)
    with open(f"{path}.new", "wb") as file:
        file.write(MAGIC + len(index).to_bytes(SIZE_BYTES))
        file.write(index)
        file.writelines(pieces)
    os.replace(f"{path}.new", path)


if __name__ == "__main__":
    print(f"packing: {pack()} modules are in {PATH}.")
