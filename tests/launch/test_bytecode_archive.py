"""The archive of modules: what a start loads from it, and what happens where it can't be used."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

from sparloom.launch.bytecode_archive import Archive
from tests.support.paths import ROOT

LOAD = """
import gc, json, sys
events = {"compile": 0, "open": 0}
opened = []
def hook(event, args):
    if event == "compile" and str(args[1]).startswith("<attrs"):
        events["compile"] += 1
    elif event == "open" and str(args[0]).endswith((".py", ".pyc")):
        opened.append(args[0])
from sparloom.launch.bytecode_archive import Archive, install, release
archive = install(sys.argv[1])
from sparloom.launch.early_listen import block_unused_modules, skip_mime_files
block_unused_modules()
skip_mime_files()
sys.addaudithook(hook)
import sparloom.cli, sparloom.router.program
modules = len(sys.modules)
from sparloom.launch.bytecode_archive import release
release()
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


TIMED = """
import gc, sys, time
if sys.argv[1] == "archive":
    gc.disable()
    from sparloom.launch.bytecode_archive import install
    assert install(sys.argv[2])
from sparloom.launch.early_listen import block_unused_modules, skip_mime_files
block_unused_modules()
skip_mime_files()
import sparloom.cli, sparloom.router.program
print(time.process_time())
"""
# A start from the archive takes about 0.6 of the processor time of one from the sources.
MOST_OF_A_PLAIN_START = 0.85


def python(*arguments):
    """Runs Python at the root of the project; gives the finished process."""
    return subprocess.run(
        [sys.executable, *arguments], cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )


def loaded_from(path):
    """What a process tells that loads the router from an archive at a path."""
    done = python("-c", LOAD, path)
    if done.returncode:
        raise AssertionError(done.stderr)
    return json.loads(done.stdout)


class Archives(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.path = os.path.join(cls.folder.name, "programs.bin")
        done = python(
            "-c", "import sys; from sparloom.launch.build_archive import build; print(build(sys.argv[1]))", cls.path
        )
        if done.returncode:
            raise AssertionError(done.stderr)
        cls.packed = int(done.stdout)

    def changed(self, name, change):
        """The path of a copy of the archive after a change of its bytes."""
        path = os.path.join(self.folder.name, name)
        with open(self.path, "rb") as old, open(path, "wb") as new:
            new.write(change(old.read()))
        return path

    def test_a_start_from_the_archive_opens_no_source_and_compiles_nothing(self):
        """Each of these costs a start its time, on every machine of a fleet at once."""
        plain, packed = loaded_from("/nowhere"), loaded_from(self.path)
        self.assertFalse(plain["used"])
        self.assertTrue(packed["used"])
        self.assertGreater(plain["compiled"], 100, "libraries generate source as before")
        self.assertEqual((packed["compiled"], packed["opened"]), (0, []))
        self.assertEqual(packed["loader"], "Archive")
        self.assertLessEqual(packed["modules"], 520)
        self.assertGreater(self.packed, 300)

    def test_a_start_from_the_archive_takes_less_processor_time(self):
        """The least of several runs in turn, so that other work on the machine weighs on both alike."""
        times = {"plain": [], "archive": []}
        for _ in range(5):
            for how, taken in times.items():
                done = python("-c", TIMED, how, self.path)
                self.assertEqual(done.returncode, 0, done.stderr)
                taken.append(float(done.stdout))
        self.assertLess(min(times["archive"]), MOST_OF_A_PLAIN_START * min(times["plain"]), times)

    def test_what_is_loaded_is_the_same(self):
        plain, packed = loaded_from("/nowhere"), loaded_from(self.path)
        for what in ("record", "bucket", "pattern", "file"):
            with self.subTest(what):
                self.assertEqual(plain[what], packed[what])

    def test_nothing_of_it_stays_once_the_program_is_loaded(self):
        self.assertEqual(loaded_from(self.path)["left"], [])

    def test_an_archive_that_does_not_fit_is_not_used(self):
        cut = self.changed("cut", lambda raw: raw[:100])
        empty = self.changed("empty", lambda raw: b"")
        other = self.changed("other", lambda raw: raw.replace(sys.version.encode(), b"0" * len(sys.version.encode())))
        noise = self.changed("noise", lambda raw: bytes(range(255, 0, -1)) * 16)
        shorter = self.changed("shorter", lambda raw: raw[:5000])
        for path in (cut, empty, other, noise, shorter, "/nowhere", self.folder.name):
            with self.subTest(path):
                self.assertIsNone(Archive.open(path))
        self.assertEqual(loaded_from(other)["loader"], "SourceFileLoader")

    def test_programs_start_alike_with_and_without_it(self):
        for name in ("router", "controller"):
            for arguments in (["--version"], ["serve", "--config", "/nowhere"], ["nonsense"]):
                with self.subTest(name=name, arguments=arguments):
                    one, two = (
                        python("-m", f"sparloom.{name}", *arguments),
                        python("-m", "sparloom.launch", name, *arguments),
                    )
                    self.assertEqual((one.returncode, one.stdout, one.stderr), (two.returncode, two.stdout, two.stderr))

    def test_an_unknown_program_is_refused(self):
        for arguments in ([], ["relay"]):
            done = python("-m", "sparloom.launch", *arguments)
            self.assertEqual(done.returncode, 1)
            self.assertIn("usage: python3 -m sparloom.launch {router|controller}", done.stderr)
