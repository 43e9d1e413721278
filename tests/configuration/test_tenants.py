"""Tenants in the configuration: validation faults, patches and deltas."""

import unittest

from sparloom.configuration import build
from sparloom.configuration.check import TENANT_SCHEMA, _passes_fast_checks, check
from sparloom.configuration.patch import apply_patch, delta
from tests.support.router_fixture import POLICY

FIRST = {"name": "a", "apiKeys": ["secret-1", "secret-2"], "priority": 1}
SECOND = {"name": "b", "apiKeys": ["secret-3"]}
DOCUMENT = {**POLICY, "tenants": [FIRST, SECOND]}


class TenantFaults(unittest.TestCase):
    def validation_fault(self, *tenants):
        return check({**POLICY, "tenants": list(tenants)}).failure()

    def test_each_fault_has_its_message_without_a_key(self):
        cases = (
            (({**SECOND, "apiKeys": ["secret-1"]}, FIRST), "the tenants b and a share a key"),
            ((FIRST, {**SECOND, "name": "a"}), "two tenants are named a"),
            (({"name": "a"},), "tenant a: Missing key"),
            (({**FIRST, "apiKeys": "secret-1"},), "tenant a:"),
            (({**FIRST, "priority": -1},), "tenant a:"),
        )
        for tenants, message in cases:
            with self.subTest(message):
                self.assertIn(message, self.validation_fault(*tenants))
        self.assertNotIn("secret", self.validation_fault(FIRST, {**SECOND, "apiKeys": ["secret-2"]}))

    def test_tenants_must_be_a_list(self):
        self.assertEqual(check({**POLICY, "tenants": {}}).failure(), "tenants must be a list")

    def test_valid_tenants_pass_the_fast_checks_and_the_schema(self):
        self.assertEqual(check(DOCUMENT).unwrap(), DOCUMENT)
        for tenant in (FIRST, SECOND, {"name": "c", "apiKeys": []}, {**FIRST, "ratePerS": 3}):
            self.assertTrue(_passes_fast_checks(tenant, "tenant"))
            self.assertEqual(TENANT_SCHEMA.validate(tenant), tenant)

    def test_scaling_limits_are_checked(self):
        def check_scaling(scaling):
            return check({**POLICY, "services": [{**POLICY["services"][0], "scaling": scaling}]})

        self.assertTrue(check_scaling({"minimum": 1, "maximum": 1, "bootTimeS": 2.5}).value_or(None))
        for scaling in ({"minimum": 2, "maximum": 1}, {"minimum": 1}, {"minimum": True, "maximum": 2}, 3):
            self.assertIn("scaling must name minimum and maximum", check_scaling(scaling).failure())


class TenantPatches(unittest.TestCase):
    def patched(self, base, **patch):
        return apply_patch(base, {"revision": 2, **patch}).unwrap()

    def test_tenants_are_changed_added_and_removed_by_name(self):
        changed = {**FIRST, "apiKeys": ["secret-9"]}
        new = self.patched(
            DOCUMENT, upsert={"tenants": [changed, {"name": "c", "apiKeys": []}]}, remove={"tenants": ["b"]}
        )
        self.assertEqual(new["tenants"], [changed, {"name": "c", "apiKeys": []}])

    def test_a_patch_of_another_list_creates_no_list_of_tenants(self):
        """An empty list of tenants would reject every request."""
        self.assertNotIn("tenants", self.patched(POLICY, remove={"routes": ["once"]}))
        self.assertNotIn("tenants", self.patched(POLICY, remove={"tenants": ["a"]}))
        self.assertEqual(self.patched(DOCUMENT, remove={"tenants": ["a", "b"]})["tenants"], [])

    def test_deltas_between_all_lists_of_tenants_apply_exactly(self):
        for old in (POLICY, DOCUMENT, {**POLICY, "tenants": []}):
            for new in (POLICY, DOCUMENT, {**POLICY, "tenants": [SECOND]}, {**POLICY, "tenants": []}):
                patch = delta(old, {**new, "revision": 2})
                if patch is not None:
                    self.assertEqual(apply_patch(old, patch).unwrap(), {**new, "revision": 2})

    def test_a_key_moved_to_another_tenant_in_one_patch_has_one_owner(self):
        moved = [{**FIRST, "apiKeys": ["secret-1"]}, {**SECOND, "apiKeys": ["secret-2", "secret-3"]}]
        new = check(self.patched(DOCUMENT, upsert={"tenants": moved})).unwrap()
        self.assertEqual(build(new).tenants.find("Token secret-2").name, "b")
