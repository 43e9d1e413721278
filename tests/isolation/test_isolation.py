"""Members' prompts kept apart: who owns what, what the settings allow, and rivals over a played fleet."""

import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from simulator.clients import Outcome
from simulator.isolation import play_isolation
from simulator.rivals import Books, Clients
from sparloom.isolation import COMMON, Generation, Isolation, part_ids
from sparloom.load_balancing import parse_parts
from sparloom.router.router_node import RouterNode
from sparloom.settings import from_dict
from tests.support.router_fixture import POLICY, STARTUP, Rig, route

KEY = "ab" * 32
MEMBERS = {"a": {"hosts": ["a.example"], "reserve": 0.3}, "b": {"hosts": ["b.example"], "reserve": 0.3}}
APART = {**STARTUP, "members": MEMBERS, "isolation": {"key": KEY, "public": ["aa"]}}
ROUTES = {
    **POLICY,
    "routes": [route(f"{m}-once", "/once/", hostname=f"{m}.example") for m in "ab"]
    + [route(f"{m}-resume", "/resume/", hostname=f"{m}.example", resumeStreams=True) for m in "ab"],
}
names = st.sampled_from("abcdefgh")
ids = st.text("0123456789abcdef", min_size=1, max_size=8)


@st.composite
def generations(draw):
    """Any setting of up to eight members."""
    members = draw(st.lists(names, unique=True, max_size=8))
    weights = tuple((member, draw(st.floats(0.01, 1))) for member in sorted([*members, COMMON]))
    return Generation(draw(st.binary(min_size=16, max_size=64)), weights, frozenset(), draw(ids))


def instances(numbers):
    """Runner instances, as far as ownership is concerned."""
    return [SimpleNamespace(id=f"i-{number}") for number in numbers]


class Ownership(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(generations(), ids, st.sets(st.integers(0, 99), min_size=1))
    def test_each_runner_instance_is_allowed_to_exactly_one_member(self, generation, part, numbers):
        runners = instances(numbers)
        allowed = [r.id for member, _ in generation.weights for r in generation.allowed(member, (part,), runners)]
        self.assertEqual(sorted(allowed), sorted(r.id for r in runners))

    @settings(derandomize=True, deadline=None)
    @given(generations(), ids, st.sets(st.integers(0, 99), min_size=1), st.sets(st.integers(0, 99)))
    def test_runners_that_come_and_go_move_nobody_elses_owner(self, generation, part, some, others):
        for member, _ in generation.weights:
            here = {r.id for r in generation.allowed(member, (part,), instances(some))}
            there = {r.id for r in generation.allowed(member, (part,), instances(some | others))}
            self.assertEqual(here, there & {r.id for r in instances(some)})

    @settings(derandomize=True, deadline=None)
    @given(generations(), generations(), ids)
    def test_routers_one_step_apart_never_send_two_members_to_one_instance(self, old, new, part):
        steps = [Isolation((old,)), Isolation((new, old)), Isolation((new,))]
        runners = instances(range(40))
        members = {member for member, _ in (*old.weights, *new.weights)}
        for one, two in ((0, 0), (0, 1), (1, 1), (1, 2), (2, 2)):
            owners = {}
            for step in (steps[one], steps[two]):
                for member in members:
                    for runner in step.allowed(member, (part,), runners):
                        self.assertEqual(owners.setdefault(runner.id, member), member)

    @settings(derandomize=True, deadline=None)
    @given(generations(), st.binary(min_size=16, max_size=64), ids)
    def test_another_key_moves_no_owner(self, generation, key, part):
        other = Generation(key, generation.weights, generation.public, generation.division)
        ids = [r.id for r in instances(range(40))]
        self.assertEqual(generation.owners(part, ids), other.owners(part, ids))

    def test_members_get_their_weight_of_the_runners(self):
        generation = Generation(b"k" * 32, (("", 0.1), ("a", 0.6), ("b", 0.3)))
        owners = [o for part in range(200) for o in generation.owners(f"{part:x}", [f"i-{n}" for n in range(30)])]
        for member, weight in generation.weights:
            self.assertAlmostEqual(owners.count(member) / len(owners), weight, delta=0.02)

    def test_a_further_member_takes_runners_from_all_and_moves_none_between_the_others(self):
        old = Generation(b"k" * 32, (("", 0.2), ("a", 0.4), ("b", 0.4)))
        new = Generation(b"k" * 32, (("", 0.15), ("a", 0.3), ("b", 0.3), ("c", 0.25)))
        runner_ids = [f"i-{number}" for number in range(1000)]
        owners = zip(old.owners("5c", runner_ids), new.owners("5c", runner_ids), strict=True)
        moved = [(before, after) for before, after in owners if before != after]
        self.assertEqual({after for _, after in moved}, {"c"})
        self.assertEqual({before for before, _ in moved}, {"", "a", "b"})

    def test_public_parts_and_prompts_without_parts_bind_to_no_runner(self):
        generation = Generation(b"k" * 32, (("", 0.5), ("a", 0.5)), frozenset(["aa"]))
        runners = tuple(instances(range(9)))
        for prompt in (None, "", "AA:3", "0aa:3"):
            self.assertEqual(generation.allowed("a", part_ids(prompt), runners), runners)
        for prompt in ("aa:3,b:4", "b:4", "what is no prompt"):
            self.assertLess(len(generation.allowed("a", part_ids(prompt), runners)), len(runners))

    def test_parts_have_another_number_for_each_member_and_key(self):
        told = {
            parse_parts("5c1e:800", generation.part_key(member))[0][0]
            for generation in (Generation(b"k" * 32, ()), Generation(b"l" * 32, ()))
            for member in ("a", "b", COMMON)
        }
        self.assertEqual(len(told | {parse_parts("5c1e:800")[0][0]}), 7)


class Settings(unittest.TestCase):
    def read(self, isolation, members=None):
        return from_dict({**STARTUP, "members": members or MEMBERS, "isolation": isolation})

    def test_no_section_is_no_isolation(self):
        self.assertIsNone(from_dict({**STARTUP, "members": MEMBERS}).unwrap().isolation)

    def test_faults_are_named(self):
        good = {"key": KEY}
        full = {"a": {"hosts": ["a.example"], "reserve": 1.0}}
        for isolation, members, words in (
            ([], None, "isolation must be a table"),
            ({}, None, "isolation.key must be 32 to 128 hexadecimal digits"),
            ({"key": "ab" * 15}, None, "isolation.key must be 32 to 128 hexadecimal digits"),
            ({"key": "x" * 64}, None, "isolation.key must be"),
            ({**good, "public": "aa"}, None, "isolation.public must be a list"),
            ({**good, "public": ["no id"]}, None, "isolation.public must hold ids"),
            ({**good, "division": 3}, None, "isolation.division must be a text"),
            (good, full, "leave no runner to prompts of no member"),
            ({**good, "before": {}}, None, "isolation.before must be a list"),
            ({**good, "before": [{"key": KEY}]}, None, "isolation.before[0].members must be a table"),
            ({**good, "before": [{"key": KEY, "members": {"a": 2}}]}, None, "isolation.before[0].members.a must be"),
            ({**good, "before": [{"members": {"a": 0.2}}]}, None, "isolation.before[0].key must be"),
        ):
            with self.subTest(isolation=isolation):
                self.assertIn(words, self.read(isolation, members).failure())
        self.assertIn("needs declared members", from_dict({**STARTUP, "isolation": good}).failure())

    def test_the_key_is_never_shown(self):
        up = self.read({"key": KEY, "before": [{"key": KEY, "members": {"a": 0.2}}]}).unwrap()
        self.assertNotIn("abab", repr(up) + str(up.isolation.fingerprints()))
        self.assertNotIn(str(bytes.fromhex(KEY)), repr(up))

    def test_fingerprints_tell_other_settings(self):
        one = self.read({"key": KEY}).unwrap().isolation
        for other in ({"key": "cd" * 32}, {"key": KEY, "public": ["aa"]}, {"key": KEY, "division": "2"}):
            self.assertNotEqual(one.fingerprints(), self.read(other).unwrap().isolation.fingerprints())

    def test_runners_that_are_older_than_a_change_are_counted(self):
        state = RouterNode(self.read({"key": KEY}).unwrap())
        state.backends = SimpleNamespace(by_id={"i-1": None, "i-2": None})
        state.note_isolation(state.settings.isolation)
        self.assertEqual(state.lives_before_isolation(), 0)
        state.note_isolation(self.read({"key": KEY, "division": "2"}).unwrap().isolation)
        state.backends = SimpleNamespace(by_id={"i-2": None, "i-3": None})
        self.assertEqual(state.lives_before_isolation(), 1)


class Routers(unittest.IsolatedAsyncioTestCase):
    """Requests through a real front, on loopback."""

    async def ask(self, rig, member, prompt, path="/once/x", id="a1"):
        """One request as a member, with a prompt."""
        raw = (
            f"POST {path} HTTP/1.1\r\nHost: {member}.example\r\nX-Sparloom-Attempt-Id: {id}\r\n"
            f"X-Sparloom-Deadline-Remaining: 2000\r\nX-Sparloom-Prompt-Prefix: {prompt}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        return await rig.send("", raw=raw.encode())

    def takers(self, rig, member):
        """The runners that have taken requests of a member, with the first private part."""
        return {
            (runner.id, got.head("X-Sparloom-Prompt-Prefix"))
            for runner in rig.runners
            for got in runner.got
            if got.head("Host") == f"{member}.example"
        }

    async def test_rivals_identical_prompts_never_meet_at_a_runner(self):
        async with Rig(6, ROUTES, APART) as rig:
            for number in range(40):
                for member in "ab":
                    answer = await self.ask(rig, member, f"aa:9,{number:x}:2000,b{number:x}:5", id=f"{member}{number}")
                    self.assertIn(answer.status, (200, 503))
            a, b = self.takers(rig, "a"), self.takers(rig, "b")
            self.assertGreater(min(len(a), len(b)), 20)
            self.assertEqual(a & b, set())

    async def test_nothing_allowed_is_rejected_at_once_with_a_retry_after(self):
        async with Rig(1, ROUTES, APART) as rig:
            owner = rig.up.isolation.newest.owners("5c", ["i-0"])[0]
            rival = "a" if owner != "a" else "b"
            answer = await self.ask(rig, rival, "5c:2000")
            self.assertEqual((answer.status, rig.runners[0].got), (503, []))
            self.assertGreater(float(answer.heads["retry-after"]), 0)

    async def test_a_retry_stays_among_the_allowed_runners(self):
        async with Rig(8, ROUTES, APART) as rig:
            for number in range(30):
                allowed = {
                    r.id
                    for r in rig.up.isolation.allowed("a", (f"{number:x}",), list(rig.state.backends.by_id.values()))
                }
                for runner in rig.runners:
                    runner.script = ["shed"]
                    runner.got.clear()
                await self.ask(rig, "a", f"{number:x}:2000", "/resume/x", id=f"r{number}")
                self.assertLessEqual({r.id for r in rig.runners if r.got}, allowed)

    async def test_no_id_of_a_part_is_sent_in_the_clear(self):
        async with Rig(3, ROUTES, APART) as rig:
            with (
                mock.patch.object(rig.state.gossip, "on_prompt_sent") as told,
                mock.patch.object(rig.state.prefix_recall, "on_prompt_sent") as left,
            ):
                for number in range(8):
                    await self.ask(rig, "a", f"{number:x}:2000,b{number}:5")
            plain = {parse_parts(f"{number:x}:2000")[0][0] for number in range(8)}
            numbers = {part for call in (*told.mock_calls, *left.mock_calls) for part, _ in call.args[1]}
            self.assertTrue(numbers)
            self.assertEqual(numbers & plain, set())

    async def test_members_of_other_settings_are_known_at_once(self):
        async with Rig(2, ROUTES, APART) as rig:
            mine = rig.state.configuration.match("a.example", "/once/x")
            self.assertEqual(rig.state.queues.member(mine), "a")
            renamed = {"z": MEMBERS["a"], "b": MEMBERS["b"]}
            rig.state.settings = from_dict({**APART, "members": renamed}).unwrap()
            self.assertEqual(rig.state.queues.member(mine), "z")


class Judging(unittest.TestCase):
    """What the clients' judge makes of a request that was neither answered nor refused."""

    def judged(self, **seen):
        books = Books(frozenset(), runner_ends=[(10.0, 10.2)])
        clients = Clients(1, list, lambda address: 0, books)
        clients._count(Outcome("id", 0.0, 0.0, **seen), True)
        return clients.seen

    def test_a_502_while_a_runner_ends_is_that_runners(self):
        seen = self.judged(status=502, whole=True, ended=10.1)
        self.assertEqual((seen.cut, seen.lost), (1, []))

    def test_a_502_at_any_other_time_is_lost(self):
        seen = self.judged(status=502, whole=True, ended=9.9)
        self.assertEqual((seen.cut, seen.lost), (0, ["id"]))

    def test_no_whole_answer_is_lost_though_a_runner_ends(self):
        for status in (0, 200, 502):
            seen = self.judged(status=status, whole=False, ended=10.1)
            self.assertEqual((seen.cut, seen.lost), (0, ["id"]))


class Rivals(unittest.TestCase):
    def test_nothing_crosses_in_a_played_fleet(self):
        played = play_isolation(1)
        self.assertTrue(played.held, played.lines())
        self.assertEqual((played.books.crossed, played.seen.lost, played.twice), ([], [], 0))
        self.assertGreater(played.books.own_hits, 500)
        self.assertGreater(played.seen.answered, 1000)
        self.assertLess(played.times.least_effect_ms(), 5.0)

    def test_the_play_finds_what_crosses_where_prompts_are_not_kept_apart(self):
        played = play_isolation(1, isolated=False)
        self.assertFalse(played.held)
        self.assertGreater(len(played.books.crossed), 50)
        self.assertLess(played.times.p_value(), 0.01)
