"""docs/operate/wire.md lists the calls, headers and keys that the programs support."""

import pathlib
import re
import unittest

from sparloom.controller import platform_calls
from sparloom.controller.control_api import ControlApi
from sparloom.settings import from_dict
from sparloom.settings.model import ROLLOUT_CONTRACT, SCALING_DUTY, USAGE_DUTY
from tests.support.paths import ROOT
from tests.support.router_fixture import STARTUP

CALL_ROW_PATTERN = re.compile(
    r"^\| `(GET|PUT|PATCH|POST|DELETE) (/-/[^`]+)` \| controller[^|]* \| (served|refused) ", re.MULTILINE
)


class WireTableTest(unittest.TestCase):
    def page(self):
        return pathlib.Path(ROOT, "docs/operate/wire.md").read_text(encoding="utf-8")

    def rows(self):
        return CALL_ROW_PATTERN.findall(self.page())

    def test_page_lists_duty_calls_headers_and_kinds(self):
        for path in (platform_calls.USAGE_PATH, platform_calls.SCALE_PATH):
            self.assertRegex(self.page(), rf"\| `POST {path}` \| platform[^|]* \| served \|")
        header_row = next(line for line in self.page().splitlines() if line.endswith("| sent with calls of duties |"))
        for header in (platform_calls.HOLDER_HEADER, platform_calls.FENCE_HEADER):
            self.assertIn(f"`{header}`", header_row)
        self.assertIn(f"| duties `{USAGE_DUTY}`, `{SCALING_DUTY}` | served |", self.page())

    def test_supported_duty_keys_affect_settings(self):
        """Covers every supported key in the section on duties and tenants."""
        bounds = {"leaseMs": 1, "thawSlackMs": 2, "usageWindowS": 3, "usageLatenessS": 4, "revokeMs": 5}
        bounds |= {"revocationClosed": True, "configApplyMs": 6, "fencingChecked": False, "usageError": 0.5}
        cloud = {"address": "h:1", "duties": [USAGE_DUTY, SCALING_DUTY], "dutyPerS": 7}
        defaults = from_dict(STARTUP).unwrap()
        for table in ({"bounds": {key: value}} for key, value in bounds.items()):
            with self.subTest(table):
                self.assertNotEqual(from_dict({**STARTUP, **table}).unwrap(), defaults)
        for key in ("duties", "dutyPerS"):
            without = {name: value for name, value in cloud.items() if name != key}
            with self.subTest(key):
                self.assertNotEqual(
                    from_dict({**STARTUP, "cloudApi": cloud}).unwrap(),
                    from_dict({**STARTUP, "cloudApi": without}).unwrap(),
                )
        section = self.page().split("## Keys of duties and tenants")[1].split("## ")[0]
        for key in (*bounds, "duties", "dutyPerS", "tenants", "apiKeys", "priority", "public", "scaling"):
            self.assertIn(f"`{key}`", section)

    def test_supported_rollout_keys_affect_settings(self):
        defaults = from_dict(STARTUP).unwrap()
        section = self.page().split("## Keys of roll-outs")[1].split("## ")[0]
        for key, value in {"exposureShare": 0.2, "exposureSlack": 7, "rollbackMs": 9}.items():
            with self.subTest(key):
                self.assertNotEqual(from_dict({**STARTUP, "bounds": {key: value}}).unwrap(), defaults)
                self.assertIn(f"`{key}`", section)
        self.assertTrue(from_dict({**STARTUP, "contracts": ["base", ROLLOUT_CONTRACT]}).unwrap().rollouts.enabled)
        for key in ("service", "targetVersion", "durationS", "state", "step", "share", "reason", "revision"):
            self.assertIn(f"`{key}`", section)

    def routes(self):
        """Returns the routes of a controller with all optional calls enabled."""
        api = ControlApi(None, None, None)
        api.serve_rollouts(dict)
        return api.routes

    def test_rollout_calls_need_the_rollout_contract(self):
        self.assertEqual(ControlApi(None, None, None).routes.find("POST", "/-/rollouts"), 404)

    def test_calls_are_served_or_refused_as_documented(self):
        routes = self.routes()
        for method, path, state in self.rows():
            with self.subTest(f"{method} {path}"):
                handler = routes.find(method, path.replace("ZONE", "z").replace("SERVICE", "s").replace("ID", "1"))
                self.assertEqual(callable(handler), state == "served")

    def test_every_served_call_is_documented(self):
        routes = self.routes()
        served = {(method, path) for path, methods in routes.paths.items() for method in methods}
        placeholders = {"/-/evacuation/": "ZONE", "/-/rollouts/": "SERVICE"}
        served |= {
            (method, path + placeholders[path]) for path, methods in routes.prefixes.items() for method in methods
        }
        documented = {(method, path) for method, path, state in self.rows() if state == "served"}
        self.assertEqual(served, documented)


if __name__ == "__main__":
    unittest.main()
