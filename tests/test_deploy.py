"""The deploy file: it parses, its packages are plain names, its roles run modules that exist."""

import importlib.util
import os
import tomllib
import unittest

from sparloom.launch.launcher import LISTEN_ADDRESSES
from tests.support.paths import ROOT

CLASSES = {"front", "core"}


def deploy_file():
    """The deploy file as a dict."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
        return tomllib.load(f)


class Deploy(unittest.TestCase):
    def setUp(self):
        self.deploy = deploy_file()

    def test_packages_are_plain_debian_names(self):
        packages = self.deploy["packages"]
        self.assertIsInstance(packages, list)
        for name in packages:
            self.assertRegex(name, r"\A[a-z0-9][a-z0-9+.-]+\Z")
        self.assertEqual(packages, sorted(set(packages)))
        self.assertLessEqual({"python3", "python3-pip"}, set(packages))

    def test_the_build_installs_the_requirements_and_needs_no_tests(self):
        build = self.deploy["build"]
        self.assertIn("-r requirements.txt", build)
        self.assertNotIn("requirements-tools", build)
        self.assertNotIn("tests", build)

    def test_every_role_runs_a_program_that_exists_from_the_archive_that_the_build_makes(self):
        self.assertTrue(self.deploy["build"].endswith("-m sparloom.launch.build_archive"))
        for name, role in self.deploy["roles"].items():
            with self.subTest(name):
                program, *options, module, started = role["run"].split()
                self.assertEqual((program, options[-1]), ("python3", "-m"))
                self.assertIsNotNone(importlib.util.find_spec(module))
                self.assertIn(started, LISTEN_ADDRESSES)
                self.assertIsNotNone(importlib.util.find_spec(f"sparloom.{started}.__main__"))

    def test_a_program_listens_at_what_its_role_serves(self):
        for role in self.deploy["roles"].values():
            started = role["run"].split()[-1]
            self.assertLessEqual(set(role["serves"]), set(LISTEN_ADDRESSES[started]))

    def test_every_role_has_a_place_and_a_duty(self):
        served = []
        for name, role in self.deploy["roles"].items():
            with self.subTest(name):
                self.assertIn(role["on"], CLASSES)
                self.assertTrue(0 < role["share"] <= 1)
                served += role["serves"]
        self.assertEqual(sorted(served), ["control", "front"])
