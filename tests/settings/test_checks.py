"""The startup file: what is refused, and with which words."""

import os
import subprocess
import sys
import tempfile
import unittest
from datetime import timedelta

from returns.pipeline import is_successful

from sparloom.settings import from_dict, read
from tests.support.router_fixture import STARTUP


class Checked(unittest.TestCase):
    def bad(self, **kw):
        res = from_dict({**STARTUP, **kw})
        self.assertFalse(is_successful(res))
        return res.failure()

    def test_faults_are_named(self):
        for kw, words in (
            ({"nodeName": None}, "nodeName is missing"),
            ({"nodeName": 3}, "nodeName must be a text"),
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
            with self.subTest(kw):
                d = {k: v for k, v in kw.items() if v is not None}
                base = {k: v for k, v in STARTUP.items() if k not in kw}
                res = from_dict({**base, **d})
                self.assertFalse(is_successful(res))
                self.assertIn(words, res.failure())

    def test_unknown_fields_are_ignored(self):
        self.assertTrue(is_successful(from_dict({**STARTUP, "shoeSize": 43, "bounds": {"newBound": "x"}})))

    def test_figures_come_from_the_file(self):
        up = from_dict(
            {**STARTUP, "bounds": {"contactMs": 4500, "retryBudgetSlack": 7}, "toleratedLosses": {"machines": 2}}
        ).unwrap()
        self.assertEqual(
            (up.bounds.contact, up.bounds.budget_slack, up.tolerated.backups), (timedelta(seconds=4.5), 7, 2)
        )

    def test_every_figure_may_be_whole_or_a_fraction(self):
        """Days played at a small size name fractions also where things are counted."""
        up = from_dict(
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
            (up.bounds.contact, up.bounds.budget_ratio, up.bounds.budget_slack),
            (timedelta(milliseconds=3000.5), 1.0, 33.88),
        )
        self.assertEqual((up.limits.memory_mb, up.limits.descriptors), (160, 4100))
        self.assertEqual((up.tolerated.machines, up.tolerated.zones, up.tolerated.backups), (2, 0, 2))

    def test_not_toml(self):
        with tempfile.NamedTemporaryFile("wb", suffix=".toml") as f:
            f.write(b"= nonsense")
            f.flush()
            self.assertIn("is not TOML", read(f.name).failure())


class Programs(unittest.TestCase):
    def run_it(self, name, *args, **env):
        return subprocess.run(
            [sys.executable, "-m", f"sparloom.{name}", *args],
            capture_output=True,
            check=False,
            text=True,
            env={**os.environ, **env},
            timeout=60,
        )

    def test_a_missing_file_ends_with_one_sentence(self):
        for name in ("router", "controller"):
            got = self.run_it(name, SPARLOOM_CONFIG="/nowhere/node.toml")
            self.assertEqual((got.returncode, got.stdout), (2, ""))
            self.assertEqual(got.stderr, f"{name}: /nowhere/node.toml: the startup file is missing.\n")

    def test_help_and_version(self):
        for name in ("router", "controller", "compare"):
            self.assertIn("usage", self.run_it(name, "--help").stdout)
            self.assertEqual(self.run_it(name, "--version").returncode, 0)

    def test_check(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as f:
            f.write('{"revision": 1, "routes": [], "services": []}')
            f.flush()
            self.assertEqual(self.run_it("router", "check", "--policy", f.name).stdout, "sound\n")
            f.truncate(5)
            got = self.run_it("router", "check", "--policy", f.name)
            self.assertEqual(got.returncode, 1)
            self.assertIn("not JSON", got.stdout)
