"""The startup file: validation and its messages, and how the programs report a bad file."""

import os
import subprocess
import sys
import tempfile
import unittest
from datetime import timedelta

from returns.pipeline import is_successful

from sparloom.settings import from_dict, read
from tests.support.router_fixture import STARTUP


class SettingsValidation(unittest.TestCase):
    def test_each_fault_has_its_message(self):
        for overrides, message in (
            ({"nodeName": None}, "nodeName is missing"),
            ({"nodeName": 3}, "nodeName must be a string"),
            ({"internalPortRange": [1]}, "internalPortRange"),
            ({"internalPortRange": [9, 3]}, "internalPortRange"),
            ({"seedNodes": ["x"]}, "seedNodes must be HOST:PORT"),
            ({"listenAddresses": {"front": "x:y"}}, "listenAddresses.front"),
            ({"bounds": {"graceS": "8"}}, "bounds.graceS must be a number"),
            ({"bounds": {"drainMs": -1}}, "bounds.drainMs must not be negative"),
            ({"toleratedLosses": {"machines": -1}}, "toleratedLosses.machines"),
            ({"firstStart": 1}, "firstStart must be true or false"),
            ({"cloudApi": {"address": "h:1", "ratePerS": 0}}, "cloudApi.ratePerS"),
            ({"bounds": {"retryBudgetSlack": float("inf")}}, "bounds.retryBudgetSlack"),
            ({"bounds": {"contactMs": float("nan")}}, "bounds.contactMs"),
            ({"bounds": {"retryBudgetSlack": True}}, "bounds.retryBudgetSlack must be a number"),
        ):
            with self.subTest(overrides):
                changed = {key: value for key, value in overrides.items() if value is not None}
                base = {key: value for key, value in STARTUP.items() if key not in overrides}
                result = from_dict({**base, **changed})
                self.assertFalse(is_successful(result))
                self.assertIn(message, result.failure())

    def test_unknown_fields_are_ignored(self):
        self.assertTrue(is_successful(from_dict({**STARTUP, "shoeSize": 43, "bounds": {"newBound": "x"}})))

    def test_numbers_are_read_from_the_file(self):
        settings = from_dict(
            {**STARTUP, "bounds": {"contactMs": 4500, "retryBudgetSlack": 7}, "toleratedLosses": {"machines": 2}}
        ).unwrap()
        self.assertEqual(
            (settings.bounds.contact, settings.bounds.budget_slack, settings.tolerated.backups),
            (timedelta(seconds=4.5), 7, 2),
        )

    def test_each_number_may_be_an_integer_or_a_fraction(self):
        """Simulations at a small scale use fractions even for counts."""
        settings = from_dict(
            {
                **STARTUP,
                "bounds": {
                    "contactMs": 3000.5,
                    "graceS": 8,
                    "retryBudgetRatio": 1,
                    "retryBudgetSlack": 33.88,
                    "fenced": True,
                },
                "limits": {"memoryMb": 160.7, "fileDescriptors": 4100.0},
                "toleratedLosses": {"machines": 1.2, "zones": 0.0},
            }
        ).unwrap()
        self.assertEqual(
            (settings.bounds.contact, settings.bounds.budget_ratio, settings.bounds.budget_slack),
            (timedelta(milliseconds=3000.5), 1.0, 33.88),
        )
        self.assertEqual((settings.limits.memory_mb, settings.limits.descriptors), (160, 4100))
        self.assertEqual((settings.tolerated.machines, settings.tolerated.zones, settings.tolerated.backups), (2, 0, 2))

    def test_a_file_that_is_not_toml_is_rejected(self):
        with tempfile.NamedTemporaryFile("wb", suffix=".toml") as file:
            file.write(b"= nonsense")
            file.flush()
            self.assertIn("is not TOML", read(file.name).failure())


class ProgramStart(unittest.TestCase):
    def run_program(self, name, *args, **env):
        return subprocess.run(
            [sys.executable, "-m", f"sparloom.{name}", *args],
            capture_output=True,
            check=False,
            text=True,
            env={**os.environ, **env},
            timeout=60,
        )

    def test_a_missing_file_is_reported_in_one_sentence(self):
        for name in ("router", "controller"):
            completed = self.run_program(name, SPARLOOM_CONFIG="/nowhere/node.toml")
            self.assertEqual((completed.returncode, completed.stdout), (2, ""))
            self.assertEqual(completed.stderr, f"{name}: /nowhere/node.toml: the startup file is missing.\n")

    def test_help_and_version_options(self):
        for name in ("router", "controller", "compare"):
            self.assertIn("usage", self.run_program(name, "--help").stdout)
            self.assertEqual(self.run_program(name, "--version").returncode, 0)

    def test_check_command(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"revision": 1, "routes": [], "services": []}')
            file.flush()
            self.assertEqual(self.run_program("router", "check", "--policy", file.name).stdout, "sound\n")
            file.truncate(5)
            completed = self.run_program("router", "check", "--policy", file.name)
            self.assertEqual(completed.returncode, 1)
            self.assertIn("not JSON", completed.stdout)
