"""The page of what is served names each call of the control address as the programs treat it."""

import pathlib
import re
import unittest

from sparloom.controller import platform_calls
from sparloom.controller.control_api import ControlApi
from sparloom.settings import from_dict
from sparloom.settings.model import ROLLOUT_CONTRACT, SCALING_DUTY, USAGE_DUTY
from tests.support.paths import ROOT
from tests.support.router_fixture import STARTUP

ROW = re.compile(r"^\| `(GET|PUT|PATCH|POST|DELETE) (/-/[^`]+)` \| controller[^|]* \| (served|refused) ", re.MULTILINE)


class WireTable(unittest.TestCase):
    def page(self):
        return pathlib.Path(ROOT, "docs/operate/wire.md").read_text(encoding="utf-8")

    def rows(self):
        return ROW.findall(self.page())

    def test_calls_headers_and_kinds_of_duties_are_on_the_page_as_the_programs_have_them(self):
        for path in (platform_calls.USAGE_PATH, platform_calls.SCALE_PATH):
            self.assertRegex(self.page(), rf"\| `POST {path}` \| platform[^|]* \| served \|")
        sent = next(line for line in self.page().splitlines() if line.endswith("| sent with calls of duties |"))
        for header in (platform_calls.HOLDER, platform_calls.FENCE):
            self.assertIn(f"`{header}`", sent)
        self.assertIn(f"| duties `{USAGE_DUTY}`, `{SCALING_DUTY}` | served |", self.page())

    def test_keys_that_are_served_change_what_the_settings_and_the_configuration_say(self):
        """Each key of the section of duties and tenants that is called served."""
        bounds = {"leaseMs": 1, "thawSlackMs": 2, "usageWindowS": 3, "usageLatenessS": 4, "revokeMs": 5}
        bounds |= {"revocationClosed": True, "configApplyMs": 6, "fencingChecked": False, "usageError": 0.5}
        cloud = {"address": "h:1", "duties": [USAGE_DUTY, SCALING_DUTY], "dutyPerS": 7}
        plain = from_dict(STARTUP).unwrap()
        for table in ({"bounds": {key: value}} for key, value in bounds.items()):
            with self.subTest(table):
                self.assertNotEqual(from_dict({**STARTUP, **table}).unwrap(), plain)
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

    def test_keys_of_roll_outs_that_are_served_change_what_the_settings_say(self):
        plain = from_dict(STARTUP).unwrap()
        section = self.page().split("## Keys of roll-outs")[1].split("## ")[0]
        for key, value in {"exposureShare": 0.2, "exposureSlack": 7, "rollbackMs": 9}.items():
            with self.subTest(key):
                self.assertNotEqual(from_dict({**STARTUP, "bounds": {key: value}}).unwrap(), plain)
                self.assertIn(f"`{key}`", section)
        self.assertTrue(from_dict({**STARTUP, "contracts": ["base", ROLLOUT_CONTRACT]}).unwrap().rollouts.enabled)
        for key in ("service", "targetVersion", "durationS", "state", "step", "share", "reason", "revision"):
            self.assertIn(f"`{key}`", section)

    def routes(self):
        """The calls of a controller on a deployment that has all that is served."""
        api = ControlApi(None, None, None)
        api.serve_rollouts(dict)
        return api.routes

    def test_roll_outs_are_no_calls_where_the_contract_is_not_in_force(self):
        self.assertEqual(ControlApi(None, None, None).routes.find("POST", "/-/rollouts"), 404)

    def test_each_call_is_served_or_refused_as_the_page_says(self):
        routes = self.routes()
        for method, path, state in self.rows():
            with self.subTest(f"{method} {path}"):
                found = routes.find(method, path.replace("ZONE", "z").replace("SERVICE", "s").replace("ID", "1"))
                self.assertEqual(callable(found), state == "served")

    def test_each_call_that_is_served_is_on_the_page(self):
        routes = self.routes()
        served = {(method, path) for path, methods in routes.paths.items() for method in methods}
        names = {"/-/evacuation/": "ZONE", "/-/rollouts/": "SERVICE"}
        served |= {(method, path + names[path]) for path, methods in routes.prefixes.items() for method in methods}
        named = {(method, path) for method, path, state in self.rows() if state == "served"}
        self.assertEqual(served, named)


if __name__ == "__main__":
    unittest.main()
