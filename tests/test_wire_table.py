"""The page of what is served names each call of the control address as the programs treat it."""

import pathlib
import re
import unittest

from sparloom.controller.control_api import ControlApi
from tests.support.paths import ROOT

ROW = re.compile(r"^\| `(GET|PUT|PATCH|POST|DELETE) (/-/[^`]+)` \| controller[^|]* \| (served|refused) ", re.MULTILINE)


class WireTable(unittest.TestCase):
    def rows(self):
        return ROW.findall(pathlib.Path(ROOT, "docs/operate/wire.md").read_text(encoding="utf-8"))

    def test_each_call_is_served_or_refused_as_the_page_says(self):
        routes = ControlApi(None, None, None).routes
        for method, path, state in self.rows():
            with self.subTest(f"{method} {path}"):
                found = routes.find(method, path.replace("ZONE", "z").replace("ID", "1"))
                self.assertEqual(callable(found), state == "served")

    def test_each_call_that_is_served_is_on_the_page(self):
        routes = ControlApi(None, None, None).routes
        served = {(method, path) for path, methods in routes.paths.items() for method in methods}
        served |= {(method, path + "ZONE") for path, methods in routes.prefixes.items() for method in methods}
        named = {(method, path) for method, path, state in self.rows() if state == "served"}
        self.assertEqual(served, named)


if __name__ == "__main__":
    unittest.main()
