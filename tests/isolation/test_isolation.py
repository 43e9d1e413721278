"""Tests tenant isolation: owners of runners, settings, routers, and rival clients in a simulated fleet."""

import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from simulator.clients import Outcome
from simulator.isolation import play_isolation
from simulator.rivals import CacheRecords, Clients
from sparloom.isolation import UNDECLARED, Generation, Isolation, part_ids
from sparloom.load_balancing import parse_parts
from sparloom.router.router_node import RouterNode
from sparloom.settings import from_dict
from tests.support.router_fixture import POLICY, STARTUP, RouterFixture, route

KEY = "ab" * 32
MEMBERS = {"a": {"hosts": ["a.example"], "reserve": 0.3}, "b": {"hosts": ["b.example"], "reserve": 0.3}}
ISOLATED = {**STARTUP, "members": MEMBERS, "isolation": {"key": KEY, "public": ["aa"]}}
ROUTES = {
    **POLICY,
    "routes": [route(f"{member}-once", "/once/", hostname=f"{member}.example") for member in "ab"]
    + [route(f"{member}-resume", "/resume/", hostname=f"{member}.example", resumeStreams=True) for member in "ab"],
}
names = st.sampled_from("abcdefgh")
ids = st.text("0123456789abcdef", min_size=1, max_size=8)


@st.composite
def generations(draw):
    """Isolation settings with up to eight members."""
    members = draw(st.lists(names, unique=True, max_size=8))
    weights = tuple((member, draw(st.floats(0.01, 1))) for member in sorted([*members, UNDECLARED]))
    return Generation(draw(st.binary(min_size=16, max_size=64)), weights, frozenset(), draw(ids))


def instances(numbers):
    """Runner instances with an id only."""
    return [SimpleNamespace(id=f"i-{number}") for number in numbers]


class Ownership(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(generations(), ids, st.sets(st.integers(0, 99), min_size=1))
    def test_each_runner_instance_is_allowed_to_exactly_one_member(self, generation, part, numbers):
        runners = instances(numbers)
        allowed = [
            runner.id for member, _ in generation.weights for runner in generation.allowed(member, (part,), runners)
        ]
        self.assertEqual(sorted(allowed), sorted(runner.id for runner in runners))

    @settings(derandomize=True, deadline=None)
    @given(generations(), ids, st.sets(st.integers(0, 99), min_size=1), st.sets(st.integers(0, 99)))
    def test_added_or_removed_runners_do_not_change_other_owners(self, generation, part, some, others):
        for member, _ in generation.weights:
            before = {runner.id for runner in generation.allowed(member, (part,), instances(some))}
            after = {runner.id for runner in generation.allowed(member, (part,), instances(some | others))}
            self.assertEqual(before, after & {runner.id for runner in instances(some)})

    @settings(derandomize=True, deadline=None)
    @given(generations(), generations(), ids)
    def test_routers_one_step_apart_send_prompts_of_one_member_to_an_instance(self, old, new, part):
        steps = [Isolation((old,)), Isolation((new, old)), Isolation((new,))]
        runners = instances(range(40))
        members = {member for member, _ in (*old.weights, *new.weights)}
        for first, second in ((0, 0), (0, 1), (1, 1), (1, 2), (2, 2)):
            owners = {}
            for step in (steps[first], steps[second]):
                for member in members:
                    for runner in step.allowed(member, (part,), runners):
                        self.assertEqual(owners.setdefault(runner.id, member), member)

    @settings(derandomize=True, deadline=None)
    @given(generations(), st.binary(min_size=16, max_size=64), ids)
    def test_the_key_does_not_affect_owners(self, generation, key, part):
        other = Generation(key, generation.weights, generation.public, generation.division)
        ids = [runner.id for runner in instances(range(40))]
        self.assertEqual(generation.owners(part, ids), other.owners(part, ids))

    def test_members_own_runners_in_proportion_to_their_weights(self):
        generation = Generation(b"k" * 32, (("", 0.1), ("a", 0.6), ("b", 0.3)))
        owners = [
            owner
            for part in range(200)
            for owner in generation.owners(f"{part:x}", [f"i-{number}" for number in range(30)])
        ]
        for member, weight in generation.weights:
            self.assertAlmostEqual(owners.count(member) / len(owners), weight, delta=0.02)

    def test_an_added_member_changes_owners_to_itself_only(self):
        old = Generation(b"k" * 32, (("", 0.2), ("a", 0.4), ("b", 0.4)))
        new = Generation(b"k" * 32, (("", 0.15), ("a", 0.3), ("b", 0.3), ("c", 0.25)))
        runner_ids = [f"i-{number}" for number in range(1000)]
        owners = zip(old.owners("5c", runner_ids), new.owners("5c", runner_ids), strict=True)
        moved = [(before, after) for before, after in owners if before != after]
        self.assertEqual({after for _, after in moved}, {"c"})
        self.assertEqual({before for before, _ in moved}, {"", "a", "b"})

    def test_prompts_without_private_parts_may_use_all_runners(self):
        generation = Generation(b"k" * 32, (("", 0.5), ("a", 0.5)), frozenset(["aa"]))
        runners = tuple(instances(range(9)))
        for prompt in (None, "", "AA:3", "0aa:3"):
            self.assertEqual(generation.allowed("a", part_ids(prompt), runners), runners)
        for prompt in ("aa:3,b:4", "b:4", "what is no prompt"):
            self.assertLess(len(generation.allowed("a", part_ids(prompt), runners)), len(runners))

    def test_part_numbers_differ_between_members_and_keys(self):
        part_numbers = {
            parse_parts("5c1e:800", generation.part_key(member))[0][0]
            for generation in (Generation(b"k" * 32, ()), Generation(b"l" * 32, ()))
            for member in ("a", "b", UNDECLARED)
        }
        self.assertEqual(len(part_numbers | {parse_parts("5c1e:800")[0][0]}), 7)


class Settings(unittest.TestCase):
    def parse(self, isolation, members=None):
        return from_dict({**STARTUP, "members": members or MEMBERS, "isolation": isolation})

    def test_without_the_section_there_is_no_isolation(self):
        self.assertIsNone(from_dict({**STARTUP, "members": MEMBERS}).unwrap().isolation)

    def test_error_messages_name_the_invalid_setting(self):
        valid = {"key": KEY}
        fully_reserved = {"a": {"hosts": ["a.example"], "reserve": 1.0}}
        for isolation, members, message in (
            ([], None, "isolation must be a table"),
            ({}, None, "isolation.key must be 32 to 128 hexadecimal digits"),
            ({"key": "ab" * 15}, None, "isolation.key must be 32 to 128 hexadecimal digits"),
            ({"key": "x" * 64}, None, "isolation.key must be"),
            ({**valid, "public": "aa"}, None, "isolation.public must be a list"),
            ({**valid, "public": ["no id"]}, None, "isolation.public must contain ids"),
            ({**valid, "division": 3}, None, "isolation.division must be a string"),
            (valid, fully_reserved, "leave no runners for prompts of undeclared members"),
            ({**valid, "before": {}}, None, "isolation.before must be a list"),
            ({**valid, "before": [{"key": KEY}]}, None, "isolation.before[0].members must be a table"),
            ({**valid, "before": [{"key": KEY, "members": {"a": 2}}]}, None, "isolation.before[0].members.a must be"),
            ({**valid, "before": [{"members": {"a": 0.2}}]}, None, "isolation.before[0].key must be"),
        ):
            with self.subTest(isolation=isolation):
                self.assertIn(message, self.parse(isolation, members).failure())
        self.assertIn("needs declared members", from_dict({**STARTUP, "isolation": valid}).failure())

    def test_the_key_is_not_displayed(self):
        parsed = self.parse({"key": KEY, "before": [{"key": KEY, "members": {"a": 0.2}}]}).unwrap()
        self.assertNotIn("abab", repr(parsed) + str(parsed.isolation.fingerprints()))
        self.assertNotIn(str(bytes.fromhex(KEY)), repr(parsed))

    def test_fingerprints_differ_between_settings(self):
        isolation = self.parse({"key": KEY}).unwrap().isolation
        for other in ({"key": "cd" * 32}, {"key": KEY, "public": ["aa"]}, {"key": KEY, "division": "2"}):
            self.assertNotEqual(isolation.fingerprints(), self.parse(other).unwrap().isolation.fingerprints())

    def test_runners_that_predate_a_change_are_counted(self):
        state = RouterNode(self.parse({"key": KEY}).unwrap())
        state.backends = SimpleNamespace(by_id={"i-1": None, "i-2": None})
        state.record_isolation_change(state.settings.isolation)
        self.assertEqual(state.backends_before_isolation(), 0)
        state.record_isolation_change(self.parse({"key": KEY, "division": "2"}).unwrap().isolation)
        state.backends = SimpleNamespace(by_id={"i-2": None, "i-3": None})
        self.assertEqual(state.backends_before_isolation(), 1)


class Routers(unittest.IsolatedAsyncioTestCase):
    """Sends requests through a router on loopback."""

    async def send(self, rig, member, prompt, path="/once/x", id="a1"):
        """Sends a request of a member with a prompt."""
        raw = (
            f"POST {path} HTTP/1.1\r\nHost: {member}.example\r\nX-Sparloom-Attempt-Id: {id}\r\n"
            f"X-Sparloom-Deadline-Remaining: 2000\r\nX-Sparloom-Prompt-Prefix: {prompt}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        return await rig.send("", raw=raw.encode())

    def received(self, rig, member):
        """The (runner id, prompt prefix header) pairs of a member's requests that runners have received."""
        return {
            (runner.id, request.head("X-Sparloom-Prompt-Prefix"))
            for runner in rig.runners
            for request in runner.received
            if request.head("Host") == f"{member}.example"
        }

    async def test_identical_prompts_of_two_members_go_to_different_runners(self):
        async with RouterFixture(6, ROUTES, ISOLATED) as rig:
            for number in range(40):
                for member in "ab":
                    answer = await self.send(rig, member, f"aa:9,{number:x}:2000,b{number:x}:5", id=f"{member}{number}")
                    self.assertIn(answer.status, (200, 503))
            received_a, received_b = self.received(rig, "a"), self.received(rig, "b")
            self.assertGreater(min(len(received_a), len(received_b)), 20)
            self.assertEqual(received_a & received_b, set())

    async def test_a_request_without_an_allowed_runner_is_rejected_with_retry_after(self):
        async with RouterFixture(1, ROUTES, ISOLATED) as rig:
            owner = rig.settings.isolation.newest.owners("5c", ["i-0"])[0]
            other = "a" if owner != "a" else "b"
            answer = await self.send(rig, other, "5c:2000")
            self.assertEqual((answer.status, rig.runners[0].received), (503, []))
            self.assertGreater(float(answer.headers["retry-after"]), 0)

    async def test_retries_use_allowed_runners_only(self):
        async with RouterFixture(8, ROUTES, ISOLATED) as rig:
            for number in range(30):
                allowed = {
                    runner.id
                    for runner in rig.settings.isolation.allowed(
                        "a", (f"{number:x}",), list(rig.state.backends.by_id.values())
                    )
                }
                for runner in rig.runners:
                    runner.script = ["shed"]
                    runner.received.clear()
                await self.send(rig, "a", f"{number:x}:2000", "/resume/x", id=f"r{number}")
                self.assertLessEqual({runner.id for runner in rig.runners if runner.received}, allowed)

    async def test_part_ids_are_not_sent_unkeyed(self):
        async with RouterFixture(3, ROUTES, ISOLATED) as rig:
            with (
                mock.patch.object(rig.state.gossip, "on_prompt_sent") as gossiped,
                mock.patch.object(rig.state.prefix_recall, "on_prompt_sent") as recorded,
            ):
                for number in range(8):
                    await self.send(rig, "a", f"{number:x}:2000,b{number}:5")
            unkeyed = {parse_parts(f"{number:x}:2000")[0][0] for number in range(8)}
            numbers = {part for call in (*gossiped.mock_calls, *recorded.mock_calls) for part, _ in call.args[1]}
            self.assertTrue(numbers)
            self.assertEqual(numbers & unkeyed, set())

    async def test_new_settings_change_the_member_of_a_route_at_once(self):
        async with RouterFixture(2, ROUTES, ISOLATED) as rig:
            matched = rig.state.configuration.match("a.example", "/once/x")
            self.assertEqual(rig.state.queues.member(matched), "a")
            renamed = {"z": MEMBERS["a"], "b": MEMBERS["b"]}
            rig.state.settings = from_dict({**ISOLATED, "members": renamed}).unwrap()
            self.assertEqual(rig.state.queues.member(matched), "z")


class ClientCounts(unittest.TestCase):
    """How the simulated clients count a request that was neither answered nor rejected."""

    def counted(self, **outcome):
        cache_records = CacheRecords(frozenset(), runner_ends=[(10.0, 10.2)])
        clients = Clients(1, list, lambda address: 0, cache_records)
        clients._count(Outcome("id", 0.0, 0.0, **outcome), True)
        return clients.seen

    def test_a_502_while_a_runner_ends_is_attributed_to_the_runner(self):
        counts = self.counted(status=502, whole=True, ended=10.1)
        self.assertEqual((counts.cut, counts.lost), (1, []))

    def test_a_502_at_another_time_counts_as_lost(self):
        counts = self.counted(status=502, whole=True, ended=9.9)
        self.assertEqual((counts.cut, counts.lost), (0, ["id"]))

    def test_an_incomplete_response_counts_as_lost_even_while_a_runner_ends(self):
        for status in (0, 200, 502):
            counts = self.counted(status=status, whole=False, ended=10.1)
            self.assertEqual((counts.cut, counts.lost), (0, ["id"]))


class SimulatedIsolation(unittest.TestCase):
    def test_isolated_members_share_no_cache_in_a_simulated_fleet(self):
        result = play_isolation(1)
        self.assertTrue(result.held, result.lines())
        self.assertEqual((result.cache_records.cross_member_hits, result.seen.lost, result.twice), ([], [], 0))
        self.assertGreater(result.cache_records.own_hits, 500)
        self.assertGreater(result.seen.answered, 1000)
        self.assertLess(result.times.minimum_detectable_effect_ms(), 5.0)

    def test_the_simulation_detects_shared_caches_without_isolation(self):
        result = play_isolation(1, isolated=False)
        self.assertFalse(result.held)
        self.assertGreater(len(result.cache_records.cross_member_hits), 50)
        self.assertLess(result.times.p_value(), 0.01)
