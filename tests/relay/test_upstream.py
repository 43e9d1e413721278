"""The tier of relays: its plan, whom a router follows, and storms with 80 routers in one process.

Timelines have a column per node: ``relay`` and ``second`` (two relays of one zone), ``mate`` (a
follower of the first), ``core`` (all controllers), ``all``. Times in ms after the tier has stood.
"""

import random
import unittest

from simulator.timeline import rows
from sparloom.feed import CONFIGURATION, SourceTracker, VersionedStore
from sparloom.relay import LeaveReason, RelayTier, Upstream, UpstreamTiming, plan_tier
from tests.support.relay_network import CONTACT, MS, Net

THIRD = CONTACT / 3
MARGIN = 120 * MS


def members(*sizes):
    return [(f"z{z}-{i}", f"z{z}") for z, n in enumerate(sizes) for i in range(n)]


class Plan(unittest.TestCase):
    def test_small_fleets_have_no_tier(self):
        for sizes in ((1,), (2, 2, 1, 1), (4, 2, 2), (3, 3, 3)):
            for me, zone in (all := members(*sizes)):
                self.assertEqual(plan_tier(me, zone, [m for m in all if m[0] != me]), RelayTier())

    def test_all_with_the_same_members_name_the_same_relays(self):
        for sizes in ((17, 15, 13, 14, 14), (21, 21, 21), (40, 1, 39), (4, 4, 4, 4, 4)):
            all = members(*sizes)
            tiers = {
                me: plan_tier(me, zone, random.sample([m for m in all if m[0] != me], len(all) - 1)) for me, zone in all
            }
            self.assertEqual(len({t.relays for t in tiers.values()}), 1)
            relays = next(iter(tiers.values())).relays
            self.assertEqual({z for m, z in all if m in relays}, {z for _, z in all})
            for me, zone in all:
                t = tiers[me]
                self.assertEqual((t.is_relay, set(t.parents)), (me in relays, set(relays) - {me}))
                self.assertEqual({dict(all)[p] for p in t.parents[: t.local_parents]} - {zone}, set())
            self.assertLessEqual(2 * (len(relays) + len(all) / len(relays)), len(all) + 1)

    def test_one_that_comes_or_goes_changes_few_relays(self):
        for n in range(50, 110):
            one, more = (
                set(plan_tier("z0-0", "z0", members(*(n // 5 + (i < n % 5) for i in range(5)))[1:]).relays)
                for n in (n, n + 1)
            )
            self.assertLessEqual(len(one ^ more), 6 if int(n**0.5) ** 2 == n else 2)

    def test_the_followers_of_a_lost_relay_spread(self):
        all = members(20, 20, 20, 20)
        relays = plan_tier("z0-0", "z0", all[1:]).relays
        lost = relays[0]
        seconds = [
            next(p for p in plan_tier(m, z, [o for o in all if o[0] != m]).parents if p != lost)
            for m, z in all
            if m not in relays
        ]
        self.assertLessEqual(max(map(seconds.count, set(seconds))), 0.35 * len(seconds))


class Steps(unittest.TestCase):
    def test_steps_are_kept_only_while_they_are_smaller_than_the_whole(self):
        s = VersionedStore()
        s.put(CONFIGURATION, (1, 1), b"w" * 100)
        for n in range(2, 30):
            s.put(CONFIGURATION, (1, n), b"w" * 100, b"s" * 30)
            self.assertLessEqual(sum(len(c.payload) for c in s.changes_after({CONFIGURATION: (1, max(1, n - 3))})), 100)
        self.assertEqual([c.base for c in s.changes_after({CONFIGURATION: (1, 20)})], [(0, 0)])

    def test_a_whole_state_is_made_only_when_asked_for(self):
        s, made = VersionedStore(), []
        s.put(CONFIGURATION, (1, 1), b"w" * 100)
        s.put(CONFIGURATION, (1, 2), lambda: made.append(1) or b"x" * 100, b"s")
        self.assertEqual([c.payload for c in s.changes_after({CONFIGURATION: (1, 1)})], [b"s"])
        self.assertEqual(made, [])
        self.assertEqual([c.payload for c in s.changes_after({}) + s.changes_after({})], [b"x" * 100] * 2)
        self.assertEqual(made, [1])


class Sureness(unittest.TestCase):
    def test_delay_on_the_way_adds_to_the_age(self):
        t = SourceTracker(THIRD, THIRD)
        t.start(0 * MS)
        for now, sent, age in ((400, 5000, 10), (800, 5400, 10), (1900, 5800, 710), (2900, 6200, 1310)):
            t.on_heartbeat(now * MS, 10, sent)
            self.assertEqual(t.reported_age, age * MS)
        self.assertFalse(t.should_move(2900 * MS))
        self.assertTrue(t.should_move(2950 * MS))

    def test_what_was_known_is_passed_on_between_two_controllers(self):
        t = SourceTracker(THIRD, THIRD)
        t.start(0 * MS)
        t.on_heartbeat(100 * MS, 40)
        t.start(500 * MS)
        self.assertEqual((t.confirmation_age(600 * MS), t.last_confirmed_age(600 * MS)), (None, 540 * MS))


class Choosing(unittest.TestCase):
    def router(self, relay=False):
        u = Upstream("me", UpstreamTiming.from_contact_bound(CONTACT), random.Random(1))
        u.update_tier(0 * MS, RelayTier(("a", "b", "x"), ("a", "b", "x"), relay, 2))
        return u

    def test_at_the_start_it_follows_a_controller_at_once_and_moves_later(self):
        u = self.router()
        self.assertEqual(u.choose(0 * MS, ("c", "d")), "c")
        u.on_connecting(0 * MS, "c")
        for ms in range(0, int(CONTACT / MS), 400):
            u.on_heartbeat(ms * MS, 10)
            self.assertIsNone(u.leave_reason(ms * MS))
        u.on_heartbeat(2 * CONTACT, 10)
        self.assertIsNotNone(u.leave_reason(2 * CONTACT))
        self.assertEqual(u.choose(2 * CONTACT, ("c", "d")), "a")

    def test_a_relay_stays_with_controllers(self):
        u = self.router(relay=True)
        u.on_connecting(0 * MS, "c")
        for ms in range(0, 60000, 400):
            u.on_heartbeat(ms * MS, 10)
            self.assertIsNone(u.leave_reason(ms * MS))
        self.assertTrue(u.can_serve())

    def test_stale_relays_are_left_but_not_for_controllers(self):
        u, now, seen = self.router(), 3 * CONTACT, []
        u.on_connecting(now, u.choose(now, ("c",)))
        u.on_heartbeat(now, 10)
        for _ in range(4):
            while (why := u.leave_reason(now)) is None:
                now += 100 * MS
                u.on_heartbeat(now, 5000)
            seen.append((u.parent, why))
            u.on_disconnected(now, why)
            u.on_connecting(now, u.choose(now, ("c",)))
            u.on_heartbeat(now, 5000)
        self.assertEqual([p for p, _ in seen], ["a", "b", "x", "a"])
        self.assertEqual({w for _, w in seen}, {LeaveReason.STALE})

    def test_when_no_relay_answers_it_goes_to_a_controller_within_a_moment(self):
        u, now = self.router(), 3 * CONTACT
        u.on_connecting(now, "a")
        u.on_heartbeat(now, 10)
        now += THIRD
        lost = now
        u.on_disconnected(now, u.leave_reason(now))
        while (to := u.choose(now, ("c",))) != "c":
            u.on_connecting(now, to)
            now += u.timing.dial
            u.on_disconnected(now, "gone")
        self.assertLessEqual(now - lost, CONTACT / 4 + MARGIN)

    def test_a_relay_that_is_one_no_more_is_left_gently(self):
        u = self.router()
        u.on_connecting(2 * CONTACT, "a")
        u.update_tier(2 * CONTACT, RelayTier(("b", "x", "y"), ("b", "x", "y"), False, 1))
        left = next(
            ms
            for ms in range(0, 30000, 100)
            if u.on_heartbeat(2 * CONTACT + ms * MS, 10) or u.leave_reason(2 * CONTACT + ms * MS)
        )
        self.assertTrue(CONTACT <= left * MS <= 2 * CONTACT)


class Timelines(unittest.TestCase):
    """``moved``: follows one that was not hurt; ``others``: all not hurt are current. ``calm``: no more controller connections than relays and one in eight."""

    def play(self, text, seeds=(0,), routers=30):
        head, lines = rows(text)
        for seed in seeds:
            net = Net(routers, zones=3, seed=seed)
            net.write()
            net.run(12500)
            by = net.relays()
            one = next(r for r in by if sum(net.nodes[o].zone == net.nodes[r].zone for o in by) > 1)
            two = next(r for r in by if r != one and net.nodes[r].zone == net.nodes[one].zone)
            mate = min(p.f for p in net.nodes[one].served)
            who = {
                "relay": [one],
                "second": [two],
                "mate": [mate],
                "core": [c for c in net.nodes if c[0] == "c"],
                "all": list(net.routers),
            }
            self.limit = len(by) + routers // 8
            net.most, began, self.hurt = 0, net.now, set()
            for ms, cells in lines:
                while net.now - began < ms * MS:
                    net.run(min(50, ms - (net.now - began) / MS))
                    self.assertEqual(net.deep(), [], "no loops")
                for col, cell in zip(head, cells, strict=False):
                    for word in cell.split("+"):
                        if word not in (".", "|"):
                            self.do(net, who, col, word, f"seed {seed}, {ms} ms, {col}: {word}")

    def do(self, net, who, col, word, at):
        nodes = [net.nodes[n] for n in who[col]]
        if word in ("cut", "cut-in", "cut-out", "off-core", "kill", "dark", "freeze", "slow"):
            self.hurt |= set(who[col])
        cut = {"cut": "both", "cut-in": "in", "cut-out": "out"}
        if word in cut:
            for n in nodes:
                net.cut(n.name, way=cut[word])
        elif word == "off-core":
            for n in nodes:
                net.cut(n.name, who["core"])
        elif word in ("kill", "dark"):
            for n in nodes:
                net.kill(n.name, dark=word == "dark")
        elif word == "boot":
            for n in nodes:
                net.boot(n.name)
        elif word in ("freeze", "slow"):
            for n in nodes:
                net.ail(n.name, word == "freeze", 2500 * (word == "slow"))
        elif word == "heal":
            net.heal()
        elif word == "write":
            net.write()
        elif word == "moved":
            n = nodes[0]
            self.assertIsNotNone(n.pipe, at)
            self.assertNotIn(n.pipe.s, self.hurt, at)
        elif word == "current":
            self.assertEqual(net.behind(but=[] if col == "all" else set(net.routers) - set(who[col])), [], at)
        elif word == "others":
            self.assertEqual(net.behind(but=self.hurt), [], at)
        elif word == "calm":
            self.assertLessEqual(net.most, self.limit, at)
        elif word == "groups":
            self.assertLessEqual(net.direct(), len(net.relays()) + 3, at)
        else:
            raise ValueError(word)

    def test_quiet(self):
        self.play("""
            ms    all
            0     groups+write
            600   current+calm
        """)

    def test_a_relay_is_gone_without_a_word(self):
        self.play("""
            ms    relay  mate     all
            0     dark   .        write
            100   .      .        .
            1450  .      moved    current+calm
            8000  boot   .        write
            24000 .      .        current+calm+groups
        """)

    def test_a_relay_ends(self):
        self.play("""
            ms    relay  mate     all
            0     kill   .        write
            200   .      moved    .
            600   .      .        current+calm
        """)

    def test_a_relay_freezes(self):
        self.play("""
            ms    relay  mate     all
            0     freeze .        write
            1450  .      moved    others+calm
            3000  heal   .        .
            4500  .      .        current+calm
        """)

    def test_a_relay_is_slow(self):
        self.play("""
            ms    relay  mate     all
            0     slow   .        write
            1700  .      moved    others+calm
        """)

    def test_a_relay_talks_but_is_cut_from_the_core(self):
        self.play("""
            ms    relay     mate     all
            0     off-core  .        .
            500   .         .        write
            1450  .         moved    others+calm
        """)

    def test_a_relay_is_cut_each_way(self):
        for way in ("cut", "cut-out"):
            self.play(f"""
                ms    relay  mate     all
                0     {way}  .        write
                1450  .      moved    others+calm
            """)
        self.play("""
            ms    relay   mate     all
            0     cut-in  .        .
            2500  .       moved    calm
            2500  .       .        write
            3100  .       .        others+calm
        """)

    def test_two_relays_of_a_zone_are_gone(self):
        self.play("""
            ms    relay  second  mate     all
            0     dark   dark    .        write
            1800  .      .       moved    current+calm
        """)
        self.play("""
            ms    relay     second    mate     all
            0     off-core  off-core  .        write
            1800  .         .         moved    others+calm
        """)

    def test_everything_is_killed_and_comes_back(self):
        self.play("""
            ms    core  all
            0     .     kill
            800   .     boot
            850   .     write
            1450  .     current
            16000 .     current+groups
        """)

    def test_the_core_is_away_for_long(self):
        self.play("""
            ms     core    all
            0      freeze  .
            3500   .       calm
            3500   heal    write
            5000   .       current+calm
            18000  .       current+groups
        """)


class Storms(unittest.TestCase):
    def faults(self, net, rng):
        """Some seconds of trouble, each with relays in its hand."""
        relays = net.relays() or net.routers[:2]
        for _ in range(12):
            kind = rng.choice(
                ("kill", "dark", "freeze", "slow", "cut", "cut-in", "cut-out", "off-core", "boot", "heal", "release")
            )
            some = rng.sample(relays, min(len(relays), rng.choice((1, 1, 2)))) + rng.sample(
                net.routers, rng.choice((0, 0, 3, 20))
            )
            for r in some:
                n = net.nodes[r]
                if kind in ("kill", "dark") and n.on:
                    net.kill(r, dark=kind == "dark")
                elif kind == "boot" and not n.on:
                    net.boot(r)
                elif kind in ("freeze", "slow"):
                    net.ail(r, kind == "freeze", 400 * (kind == "slow"))
                elif kind == "off-core":
                    net.cut(r, [c for c in net.nodes if c[0] == "c"], rng.choice(("in", "out", "both")))
                elif kind.startswith("cut"):
                    net.cut(r, way={"cut": "both", "cut-in": "in", "cut-out": "out"}[kind])
                elif kind == "release" and n.on:
                    net.kill(r)
                    net.run(150)
                    net.boot(r)
            if kind == "heal":
                net.heal()
            if rng.random() < 0.6:
                net.write()
            net.run(rng.choice((150, 600, 1500)))
            self.assertEqual(net.deep(), [])

    def test_storms(self):
        for seed, routers in ((1, 84), (28, 40)):
            rng, net = random.Random(seed), Net(routers, seed=seed, loss=0.02, flicker=0.04)
            net.write()
            net.run(10000)
            self.faults(net, rng)
            net.heal()
            net.write()
            net.run(CONTACT / MS)
            self.assertEqual(net.behind(), [], seed)
            net.run(4 * CONTACT / MS)
            net.write()
            net.run(300)
            self.assertEqual(net.behind(), [], seed)
            self.assertLessEqual(net.direct(), len(net.relays()) + routers // 8, seed)

    def test_a_release_of_all_in_turn(self):
        net = Net(40, seed=5)
        net.write()
        net.run(12000)
        worst = 0
        for i, r in enumerate(net.routers):
            net.kill(r)
            net.run(150)
            net.boot(r)
            if i % 3 == 0:
                net.write()
            net.run(350)
            worst = max(worst, net.direct())
            self.assertEqual((net.deep(), net.behind()), ([], []), r)
        self.assertLess(worst, 32)
        net.run(4 * CONTACT / MS)
        self.assertLessEqual(net.direct(), len(net.relays()) + 8)
