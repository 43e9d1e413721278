"""The configuration: every kind of fault that the protocol lists, patches, and the lookup."""

import copy
import random
import unittest
from unittest import mock

from returns.pipeline import is_successful

from sparloom.configuration import apply_patch, build, check, parse
from sparloom.configuration.check import _FIELD_CHECKS, ROUTE, SERVICE, _passes_quick_checks
from tests.support.router_fixture import POLICY, route

ROUTE_KEYS = list(_FIELD_CHECKS["route"])


class Faults(unittest.TestCase):
    def fault(self, edit, above=0):
        document = copy.deepcopy(POLICY)
        edit(document)
        result = check(document, above)
        self.assertFalse(is_successful(result))
        return result.failure()

    def test_each_fault_is_named(self):
        cases = (
            (lambda d: d["routes"][0].update(service="ghost"), "route once: the service ghost is unknown"),
            (lambda d: d["routes"].append(route("twin", "/once/")), "two routes share host and prefix"),
            (lambda d: d["routes"].append(route("once", "/other/")), "two routes are named once"),
            (
                lambda d: (
                    d["routes"][0].pop("service"),
                    d["routes"][0].update(weightedServices=[{"service": "s", "weight": 0}]),
                ),
                "weights add up to 0",
            ),
            (lambda d: d["routes"][0].update(timeoutMs=0), "timeoutMs must be above 0"),
            (lambda d: d.update(revision=0), "revision"),
            (lambda d: d.update(revision="3"), "revision"),
            (lambda d: d["routes"][0].update(pathPrefix="once"), "pathPrefix"),
            (lambda d: d["routes"][0].update(routeKind="odd"), "route once"),
            (lambda d: d.update(routes={}), "routes must be a list"),
            (lambda d: d["services"][0].update(connectionLimit="9"), "service s"),
            (lambda d: d["routes"][0].update(maxAttempts=0), "route once"),
            (lambda d: d["routes"][0].pop("service"), "either service or weightedServices"),
        )
        for edit, words in cases:
            with self.subTest(words):
                self.assertIn(words, self.fault(edit))

    def test_what_passes_the_quick_checks_is_valid_by_the_schema(self):
        rng = random.Random(4)
        odd = (
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
        seen = {True: 0, False: 0}
        for kind, schema, keys in (
            ("route", ROUTE, [*ROUTE_KEYS, "other"]),
            ("service", SERVICE, ["name", "healthPath", "connectionLimit", "engine", "other"]),
        ):
            for _ in range(1500):
                item = copy.deepcopy(POLICY["routes"][0] if kind == "route" else POLICY["services"][0])
                for key in rng.sample(keys, rng.randrange(1, 4)):
                    item[key] = rng.choice(odd)
                    if rng.random() < 0.2:
                        del item[key]
                is_quick = _passes_quick_checks(item, kind)
                seen[is_quick] += 1
                self.assertLessEqual(is_quick, schema.is_valid(item), (kind, item))
        self.assertGreater(min(seen.values()), 300)

    def test_a_large_configuration_is_checked_without_holding_up_the_heartbeat(self):
        d = {"revision": 1, "services": [{"name": "s"}], "routes": [route(f"r{i}", f"/{i}/") for i in range(3000)]}
        with mock.patch("sparloom.configuration.check.ROUTE", None):
            self.assertTrue(is_successful(check(d)), "the schema is not needed for what is valid")

    def test_old_revisions_are_refused(self):
        self.assertIn("not above the current 1", self.fault(lambda d: None, above=1))

    def test_broken_json(self):
        for raw in (b'{"revision":', b"\xff\xfe", b"[" * 100000):
            self.assertFalse(is_successful(parse(raw)))

    def test_junk_is_refused_without_an_exception(self):
        for junk in (
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
            self.assertFalse(is_successful(check(junk)), junk)


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

    def test_a_patch_may_not_take_away_a_service_in_use(self):
        self.assertIn(
            "unknown", apply_patch(POLICY, {"revision": 2, "remove": {"services": ["s"]}}).bind(check).failure()
        )

    def test_ill_formed_patches(self):
        for patch in (
            [],
            {"revision": 2, "upsert": []},
            {"revision": 2, "upsert": {"routes": [{}]}},
            {"revision": 2, "remove": {"routes": [1]}},
            {"revision": 2, "upsert": {"odd": []}},
            {},
        ):
            self.assertFalse(is_successful(apply_patch(POLICY, patch).bind(check)), patch)


class Lookup(unittest.TestCase):
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
        for path, want in (("/", "a"), ("/x/", "b"), ("/x", "a"), ("/x/y/z", "c"), ("/x/yy", "b")):
            self.assertEqual(configuration.match("h.example:80", path).name, want)
        self.assertEqual(configuration.match("OTHER", "/x/1").name, "d")
        self.assertIsNone(configuration.match("other", "/z"))
        self.assertIsNone(configuration.match("nobody", "/"))

    def test_hundreds_of_routes(self):
        d = {**POLICY, "routes": [route(f"r{i}", f"/p{i}/") for i in range(800)]}
        self.assertEqual(build(check(d).unwrap()).match("h.example", "/p799/x").name, "r799")
