"""Tenants' API keys: authorization, headers sent to runners, and routers whose configuration may be outdated."""

import unittest
from datetime import timedelta
from types import SimpleNamespace

from multidict import CIMultiDict

from sparloom.configuration import build
from sparloom.router.access import Access, Denial, authorize
from sparloom.router.router_state import RouterState
from sparloom.settings import from_dict
from sparloom.transport import monotonic
from tests.support.router_fixture import POLICY, STARTUP, RouterFixture, route

MS = timedelta(milliseconds=1)
TENANTS = [
    {"name": "first", "apiKeys": ["k1", "k2"], "priority": 4},
    {"name": "second", "apiKeys": ["k3"]},
    {"name": "none", "apiKeys": []},
]
DOCUMENT = {**POLICY, "routes": [*POLICY["routes"], route("open", "/open/", public=True)], "tenants": TENANTS}


def make_state(document=DOCUMENT, age=timedelta(0), closed=False):
    """Return a router's state and the time at which its configuration has this age; None: it was never confirmed."""
    bounds = {"configApplyMs": 2000, "revokeMs": 5000, "revocationClosed": closed}
    state = RouterState(from_dict({**STARTUP, "bounds": bounds}).unwrap())
    state.configuration = build(document)
    if age is not None:
        state.record_configuration_confirmation(1000 * MS)
    return state, 1000 * MS + (age or timedelta(0))


def access_for(path, authorization, **options):
    state, now = make_state(**options)
    matched = state.configuration.match("h.example", path)
    return authorize(state, matched, authorization, now)


class Decisions(unittest.TestCase):
    """The cases of the table in ``sparloom.router.access``."""

    def test_known_key_grants_access_for_its_tenant(self):
        for key, tenant in (("k1", "first"), ("k2", "first"), ("k3", "second")):
            self.assertEqual(access_for("/once/", f"Token {key}").tenant.name, tenant)

    def test_unknown_key_is_rejected_only_with_a_confirmed_configuration(self):
        for key in ("Token k9", "Token ", "k1", "Basic k1", None):
            with self.subTest(key=key):
                self.assertIs(access_for("/once/", key), Denial.UNKNOWN_KEY)
                self.assertIs(access_for("/once/", key, age=1100 * MS), Denial.UNCONFIRMED)
                self.assertIs(access_for("/once/", key, age=None), Denial.UNCONFIRMED)

    def test_known_key_with_an_unconfirmed_configuration(self):
        minute = timedelta(seconds=60)
        self.assertEqual(access_for("/once/", "Token k1", age=minute).tenant.name, "first")
        self.assertIs(access_for("/once/", "Token k1", age=minute, closed=True), Denial.UNCONFIRMED)
        self.assertEqual(access_for("/once/", "Token k1", age=4000 * MS, closed=True).tenant.name, "first")

    def test_public_routes_need_no_key(self):
        self.assertEqual(access_for("/open/", None), Access(None))
        self.assertIs(access_for("/open/", "Token k9").tenant, None)

    def test_configuration_with_an_empty_tenant_list_rejects_all_keys(self):
        self.assertIs(access_for("/once/", "Token k1", document={**DOCUMENT, "tenants": []}), Denial.UNKNOWN_KEY)

    def test_revoked_key_is_rejected_with_the_next_configuration(self):
        state, now = make_state()
        state.configuration = build({**DOCUMENT, "tenants": TENANTS[1:]})
        matched = state.configuration.match("h.example", "/once/")
        self.assertIs(authorize(state, matched, "Token k1", now), Denial.UNKNOWN_KEY)

    def test_priority_of_the_tenant_overrides_that_of_the_route(self):
        matched = SimpleNamespace(priority=0)
        self.assertEqual(access_for("/once/", "Token k1").priority(matched), 4)
        self.assertEqual(access_for("/once/", "Token k3").priority(matched), 0)

    def test_repr_contains_no_key(self):
        self.assertNotIn("k1", repr(build(DOCUMENT).tenants))


class Headers(unittest.TestCase):
    def test_key_is_removed_and_tenant_is_replaced(self):
        headers = CIMultiDict({"authorization": "Token k1", "x-sparloom-tenant": "second", "A": "b"})
        access_for("/once/", "Token k1").rewrite_headers(headers)
        self.assertEqual(dict(headers), {"X-Sparloom-Tenant": "first", "A": "b"})

    def test_public_route_without_a_key_has_no_tenant_header(self):
        headers = CIMultiDict({"X-Sparloom-Tenant": "second"})
        access_for("/open/", None).rewrite_headers(headers)
        self.assertEqual(len(headers), 0)


class OnLoopback(unittest.IsolatedAsyncioTestCase):
    async def test_headers_at_the_runner_and_status_at_the_client(self):
        async with RouterFixture(1, DOCUMENT) as rig:
            rig.state.router_state.record_configuration_confirmation(monotonic())
            answer = await rig.send("/once/x", headers=("Authorization: Token k1", "X-Sparloom-Tenant: second"))
            self.assertEqual(answer.status, 200)
            (request,) = rig.runners[0].received
            self.assertEqual(request.head("X-Sparloom-Tenant"), "first")
            self.assertIsNone(request.head("Authorization"))
            self.assertEqual(request.head("X-Sparloom-Request-Urgency")[0], "4")
            for headers in ((), ("Authorization: Token no",)):
                denied = await rig.send("/once/x", headers=headers, id="a2")
                self.assertIn(denied.status, (401, 503))
            self.assertEqual(len(rig.runners[0].received), 1)

    async def test_without_tenants_no_key_is_required_and_headers_are_unchanged(self):
        async with RouterFixture(1) as rig:
            answer = await rig.send("/once/x", headers=("Authorization: Basic x", "X-Sparloom-Tenant: t"))
            (request,) = rig.runners[0].received
            headers = (request.head("Authorization"), request.head("X-Sparloom-Tenant"))
            self.assertEqual((answer.status, headers), (200, ("Basic x", "t")))

    async def test_unconfirmed_configuration_gives_503_with_retry_after(self):
        async with RouterFixture(1, DOCUMENT) as rig:
            denied = await rig.send("/once/x", headers=("Authorization: Token new",))
            self.assertEqual((denied.status, float(denied.headers["retry-after"]) > 0), (503, True))
