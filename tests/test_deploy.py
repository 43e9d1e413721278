"""The deploy file parses, its package names are valid and its roles run existing programs."""

import importlib.util
import os
import tomllib
import unittest

from sparloom.launch.launcher import LISTEN_ADDRESSES
from tests.support.paths import ROOT

MACHINE_CLASSES = {"front", "core"}


def load_deploy_file():
    """Returns the parsed deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)


class DeployFileTest(unittest.TestCase):
    def setUp(self):
        self.deploy = load_deploy_file()

    def test_packages_are_valid_debian_names(self):
        packages = self.deploy["packages"]
        self.assertIsInstance(packages, list)
        for name in packages:
            self.assertRegex(name, r"\A[a-z0-9][a-z0-9+.-]+\Z")
        self.assertEqual(packages, sorted(set(packages)))
        self.assertLessEqual({"python3", "python3-pip"}, set(packages))

    def test_build_installs_runtime_requirements_only(self):
        build = self.deploy["build"]
        self.assertIn("-r requirements.txt", build)
        self.assertNotIn("requirements-tools", build)
        self.assertNotIn("tests", build)

    def test_every_role_runs_an_existing_program_from_the_built_archive(self):
        self.assertTrue(self.deploy["build"].endswith("-m sparloom.launch.build_archive"))
        for name, role in self.deploy["roles"].items():
            with self.subTest(name):
                interpreter, *options, module, program = role["run"].split()
                self.assertEqual((interpreter, options[-1]), ("python3", "-m"))
                self.assertIsNotNone(importlib.util.find_spec(module))
                self.assertIn(program, LISTEN_ADDRESSES)
                self.assertIsNotNone(importlib.util.find_spec(f"sparloom.{program}.__main__"))

    def test_program_listens_on_every_address_of_its_role(self):
        for role in self.deploy["roles"].values():
            program = role["run"].split()[-1]
            self.assertLessEqual(set(role["serves"]), set(LISTEN_ADDRESSES[program]))

    def test_every_role_has_a_machine_class_and_addresses(self):
        served = []
        for name, role in self.deploy["roles"].items():
            with self.subTest(name):
                self.assertIn(role["on"], MACHINE_CLASSES)
                self.assertTrue(0 < role["share"] <= 1)
                served += role["serves"]
        self.assertEqual(sorted(served), ["control", "front"])
