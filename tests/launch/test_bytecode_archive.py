"""Bytecode archive: what a program start loads from it, and the fallback if it is unusable."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

from sparloom.launch.bytecode_archive import Archive
from tests.support.paths import ROOT

IMPORT_SCRIPT = """
import gc, json, sys
events = {"compile": 0, "open": 0}
opened = []
def audit_hook(event, args):
    if event == "compile" and str(args[1]).startswith("<attrs"):
        events["compile"] += 1
    elif event == "open" and str(args[0]).endswith((".py", ".pyc")):
        opened.append(args[0])
from sparloom.launch.bytecode_archive import Archive, install_archive, uninstall_archives
archive = install_archive(sys.argv[1])
from sparloom.launch.early_listen import block_unused_modules, skip_mime_files
block_unused_modules()
skip_mime_files()
sys.addaudithook(audit_hook)
import sparloom.cli, sparloom.router.program
modules = len(sys.modules)
from sparloom.launch.bytecode_archive import uninstall_archives
uninstall_archives()
import re, inspect
from sparloom.membership.records import Ping
from sparloom.dynamic_timeout.buckets import Bucket
print(json.dumps({
    "used": archive is not None,
    "compiled": events["compile"],
    "opened": [name for name in opened if "archive" not in name],
    "loader": type(sparloom.router.program.__spec__.loader).__name__,
    "file": sparloom.router.program.__file__,
    "modules": modules,
    "left": [type(finder).__name__ for finder in sys.meta_path if isinstance(finder, Archive)],
    "record": str(inspect.signature(Ping)),
    "bucket": repr(Bucket(None, 3)) == repr(Bucket(None, 3)) and Bucket(None, 3) == Bucket(None, 3),
    "pattern": re.compile("(?P<a>x+)[^y]", re.I).match("xXz").groupdict(),
}))
"""


TIMING_SCRIPT = """
import gc, sys, time
if sys.argv[1] == "archive":
    gc.disable()
    from sparloom.launch.bytecode_archive import install_archive
    assert install_archive(sys.argv[2])
from sparloom.launch.early_listen import block_unused_modules, skip_mime_files
block_unused_modules()
skip_mime_files()
import sparloom.cli, sparloom.router.program
print(time.process_time())
"""
# Largest CPU time of a start from the archive, relative to a start from source files. It takes about 0.6.
MAXIMUM_CPU_TIME_RATIO = 0.85


def run_python(*arguments):
    """Runs Python in the project's root directory; returns the completed process."""
    return subprocess.run(
        [sys.executable, *arguments], cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )


def import_report(path):
    """Returns the report of a process that imports the router from the archive at a path."""
    completed = run_python("-c", IMPORT_SCRIPT, path)
    if completed.returncode:
        raise AssertionError(completed.stderr)
    return json.loads(completed.stdout)


class BytecodeArchiveTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.path = os.path.join(cls.folder.name, "programs.bin")
        completed = run_python(
            "-c", "import sys; from sparloom.launch.build_archive import build; print(build(sys.argv[1]))", cls.path
        )
        if completed.returncode:
            raise AssertionError(completed.stderr)
        cls.module_count = int(completed.stdout)

    def modified_copy(self, name, change):
        """Writes a modified copy of the archive; returns its path."""
        path = os.path.join(self.folder.name, name)
        with open(self.path, "rb") as source, open(path, "wb") as copy:
            copy.write(change(source.read()))
        return path

    def test_start_from_archive_opens_no_source_file_and_compiles_nothing(self):
        """Guards the start time, which matters when all machines of a fleet start at once."""
        plain, archived = import_report("/nowhere"), import_report(self.path)
        self.assertFalse(plain["used"])
        self.assertTrue(archived["used"])
        self.assertGreater(plain["compiled"], 100, "libraries should still generate source code")
        self.assertEqual((archived["compiled"], archived["opened"]), (0, []))
        self.assertEqual(archived["loader"], "Archive")
        self.assertLessEqual(archived["modules"], 520)
        self.assertGreater(self.module_count, 300)

    def test_start_from_archive_takes_less_cpu_time(self):
        """Compares minimums of alternating runs, so that other load on the machine affects both modes equally."""
        times = {"plain": [], "archive": []}
        for _ in range(5):
            for mode, durations in times.items():
                completed = run_python("-c", TIMING_SCRIPT, mode, self.path)
                self.assertEqual(completed.returncode, 0, completed.stderr)
                durations.append(float(completed.stdout))
        self.assertLess(min(times["archive"]), MAXIMUM_CPU_TIME_RATIO * min(times["plain"]), times)

    def test_imported_modules_are_identical(self):
        plain, archived = import_report("/nowhere"), import_report(self.path)
        for key in ("record", "bucket", "pattern", "file"):
            with self.subTest(key):
                self.assertEqual(plain[key], archived[key])

    def test_uninstall_removes_archive_from_import_system(self):
        self.assertEqual(import_report(self.path)["left"], [])

    def test_unusable_archive_is_ignored(self):
        truncated = self.modified_copy("cut", lambda raw: raw[:100])
        empty = self.modified_copy("empty", lambda raw: b"")
        other_python = self.modified_copy(
            "other", lambda raw: raw.replace(sys.version.encode(), b"0" * len(sys.version.encode()))
        )
        garbage = self.modified_copy("noise", lambda raw: bytes(range(255, 0, -1)) * 16)
        incomplete = self.modified_copy("shorter", lambda raw: raw[:5000])
        for path in (truncated, empty, other_python, garbage, incomplete, "/nowhere", self.folder.name):
            with self.subTest(path):
                self.assertIsNone(Archive.open(path))
        self.assertEqual(import_report(other_python)["loader"], "SourceFileLoader")

    def test_programs_behave_the_same_with_and_without_archive(self):
        for name in ("router", "controller"):
            for arguments in (["--version"], ["serve", "--config", "/nowhere"], ["nonsense"]):
                with self.subTest(name=name, arguments=arguments):
                    from_source, from_archive = (
                        run_python("-m", f"sparloom.{name}", *arguments),
                        run_python("-m", "sparloom.launch", name, *arguments),
                    )
                    self.assertEqual(
                        (from_source.returncode, from_source.stdout, from_source.stderr),
                        (from_archive.returncode, from_archive.stdout, from_archive.stderr),
                    )

    def test_unknown_program_name_is_rejected(self):
        for arguments in ([], ["relay"]):
            completed = run_python("-m", "sparloom.launch", *arguments)
            self.assertEqual(completed.returncode, 1)
            self.assertIn("usage: python3 -m sparloom.launch {router|controller}", completed.stderr)
