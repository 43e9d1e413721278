"""Configuration documents: every kind of fault, patches and route lookup."""

import copy
import random
import unittest
from unittest import mock

from returns.pipeline import is_successful

from sparloom.configuration import build
from sparloom.configuration.check import _FIELD_CHECKS, ROUTE_SCHEMA, SERVICE_SCHEMA, _passes_fast_checks, check, parse
from sparloom.configuration.patch import apply_patch
from tests.support.router_fixture import POLICY, route

ROUTE_KEYS = list(_FIELD_CHECKS["route"])


class ValidationFaults(unittest.TestCase):
    def validation_fault(self, edit, above=0):
        document = copy.deepcopy(POLICY)
        edit(document)
        result = check(document, above)
        self.assertFalse(is_successful(result))
        return result.failure()

    def test_each_fault_has_its_message(self):
        cases = (
            (
                lambda document: document["routes"][0].update(service="ghost"),
                "route once: the service ghost is unknown",
            ),
            (lambda document: document["routes"].append(route("twin", "/once/")), "two routes share host and prefix"),
            (lambda document: document["routes"].append(route("once", "/other/")), "two routes are named once"),
            (
                lambda document: (
                    document["routes"][0].pop("service"),
                    document["routes"][0].update(weightedServices=[{"service": "s", "weight": 0}]),
                ),
                "weights add up to 0",
            ),
            (lambda document: document["routes"][0].update(timeoutMs=0), "timeoutMs must be above 0"),
            (lambda document: document.update(revision=0), "revision"),
            (lambda document: document.update(revision="3"), "revision"),
            (lambda document: document["routes"][0].update(pathPrefix="once"), "pathPrefix"),
            (lambda document: document["routes"][0].update(routeKind="odd"), "route once"),
            (lambda document: document.update(routes={}), "routes must be a list"),
            (lambda document: document["services"][0].update(connectionLimit="9"), "service s"),
            (lambda document: document["routes"][0].update(maxAttempts=0), "route once"),
            (lambda document: document["routes"][0].pop("service"), "either service or weightedServices"),
        )
        for edit, message in cases:
            with self.subTest(message):
                self.assertIn(message, self.validation_fault(edit))

    def test_items_that_pass_the_fast_checks_are_valid_by_the_schema(self):
        rng = random.Random(4)
        values = (
            "",
            "x",
            "/",
            "/x/",
            0,
            1,
            -1,
            0.0,
            0.5,
            -0.5,
            True,
            False,
            None,
            [],
            {},
            [{"service": "s", "weight": 1}],
            [{"service": "", "weight": 1}],
            [{"service": "s", "weight": -1}],
            [{"service": "s", "weight": True}],
            [{"weight": 1}],
            [1],
            {"slots": 1},
            "safe",
            "streaming",
            float("nan"),
        )
        counts = {True: 0, False: 0}
        for kind, schema, keys in (
            ("route", ROUTE_SCHEMA, [*ROUTE_KEYS, "other"]),
            ("service", SERVICE_SCHEMA, ["name", "healthPath", "connectionLimit", "engine", "other"]),
        ):
            for _ in range(1500):
                item = copy.deepcopy(POLICY["routes"][0] if kind == "route" else POLICY["services"][0])
                for key in rng.sample(keys, rng.randrange(1, 4)):
                    item[key] = rng.choice(values)
                    if rng.random() < 0.2:
                        del item[key]
                passes = _passes_fast_checks(item, kind)
                counts[passes] += 1
                self.assertLessEqual(passes, schema.is_valid(item), (kind, item))
        self.assertGreater(min(counts.values()), 300)

    def test_valid_routes_are_checked_without_the_schema(self):
        """Checking thousands of routes with the slow schema would delay a controller's heartbeats."""
        document = {
            "revision": 1,
            "services": [{"name": "s"}],
            "routes": [route(f"r{i}", f"/{i}/") for i in range(3000)],
        }
        with mock.patch("sparloom.configuration.check.ROUTE_SCHEMA", None):
            self.assertTrue(is_successful(check(document)), "a valid route must not need the schema")

    def test_outdated_revisions_are_rejected(self):
        self.assertIn("not above the current 1", self.validation_fault(lambda document: None, above=1))

    def test_malformed_json_is_rejected(self):
        for raw in (b'{"revision":', b"\xff\xfe", b"[" * 100000):
            self.assertFalse(is_successful(parse(raw)))

    def test_malformed_documents_are_rejected_without_an_exception(self):
        for malformed in (
            None,
            3,
            "x",
            [],
            {},
            {"revision": 1, "routes": [3]},
            {"revision": 1, "routes": [{}]},
            {"revision": True},
            {"revision": 1, "limits": 4},
            {"revision": 1, "services": [{"name": 3}]},
        ):
            self.assertFalse(is_successful(check(malformed)), malformed)


class Patches(unittest.TestCase):
    def test_upsert_and_remove(self):
        patch = {
            "revision": 2,
            "upsert": {"routes": [route("once", "/once/", timeoutMs=9), route("new", "/new/")]},
            "remove": {"routes": ["safe"]},
        }
        new = apply_patch(POLICY, patch).bind(check).unwrap()
        names = [item["name"] for item in new["routes"]]
        self.assertEqual(
            (names[0], names[-1], "safe" in names, new["routes"][0]["timeoutMs"]), ("once", "new", False, 9)
        )
        self.assertEqual(POLICY["revision"], 1)

    def test_a_patch_that_removes_a_service_in_use_is_rejected(self):
        self.assertIn(
            "unknown", apply_patch(POLICY, {"revision": 2, "remove": {"services": ["s"]}}).bind(check).failure()
        )

    def test_malformed_patches_are_rejected(self):
        for patch in (
            [],
            {"revision": 2, "upsert": []},
            {"revision": 2, "upsert": {"routes": [{}]}},
            {"revision": 2, "remove": {"routes": [1]}},
            {"revision": 2, "upsert": {"odd": []}},
            {},
        ):
            self.assertFalse(is_successful(apply_patch(POLICY, patch).bind(check)), patch)


class RouteLookup(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        configuration = build(
            {
                "revision": 1,
                "services": [],
                "routes": [
                    route("a", "/"),
                    route("b", "/x/"),
                    route("c", "/x/y/"),
                    route("d", "/x/", hostname="other"),
                ],
            }
        )
        for path, expected in (("/", "a"), ("/x/", "b"), ("/x", "a"), ("/x/y/z", "c"), ("/x/yy", "b")):
            self.assertEqual(configuration.match("h.example:80", path).name, expected)
        self.assertEqual(configuration.match("OTHER", "/x/1").name, "d")
        self.assertIsNone(configuration.match("other", "/z"))
        self.assertIsNone(configuration.match("nobody", "/"))

    def test_lookup_among_hundreds_of_routes(self):
        document = {**POLICY, "routes": [route(f"r{i}", f"/p{i}/") for i in range(800)]}
        self.assertEqual(build(check(document).unwrap()).match("h.example", "/p799/x").name, "r799")
