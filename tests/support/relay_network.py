"""A play-ground for the tier of relays: many routers in one process, in simulated time; seeded luck.

Routers run the real plan, Upstream and Shelf. Links can be cut (each way), machines killed (with
or without word), frozen, slowed. Membership is told with a lag of its own to each router.
"""

import random

from simulator.clock import MS, Clock
from sparloom.feed import CONFIGURATION, UNCONFIRMED, Change, FeedHeartbeat, VersionedStore
from sparloom.relay import LeaveReason, RelayTier, Upstream, UpstreamTiming, plan_tier

CONTACT = 4000 * MS


class Pipe:
    """One follower's connection to the one that it follows."""

    def __init__(self, f, s, place):
        self.f, self.s, self.place, self.open, self.last, self.held, self.greeted = (
            f,
            s,
            place,
            True,
            0 * MS,
            None,
            False,
        )


class Node:
    """A controller or a router; what it holds is a text that grows with each version."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.on, self.frozen, self.slow, self.dark, self.life = False, False, 0, False, 0
        self.served = {}

    def boot(self, net):
        self.on, self.dark, self.frozen, self.life = True, False, False, self.life + 1
        self.store, self.text, self.served, self.pipe, self.confirmed = VersionedStore(), "", {}, None, None
        self.tier, self.seen, self.sees, self.late = RelayTier(), None, set(), {}
        self.up = Upstream(self.name, UpstreamTiming.from_contact_bound(CONTACT), random.Random(net.rng.random()))
        return self

    @property
    def controller(self):
        return self.name[0] == "c"

    def open(self):
        return self.controller or self.up.can_serve()

    def age(self, now):
        known = (
            (None if self.confirmed is None else now - self.confirmed)
            if self.controller
            else self.up.tracker.last_confirmed_age(now)
        )
        return UNCONFIRMED if known is None else int(known / MS)


class Net(Clock):
    """Controllers c0.. and routers r0.., dealt over the zones in turn."""

    def __init__(self, routers=80, controllers=5, zones=5, seed=1, loss=0.01, flicker=0.0):
        super().__init__()
        self.rng = random.Random(seed)
        self.cuts, self.loss, self.flicker, self.version = set(), loss, flicker, 0
        self.lone, self.led = (0, set()), 0 * MS
        self.primary, self.most, self.written = "c0", 0, {}
        names = [f"c{i}" for i in range(controllers)] + [f"r{i}" for i in range(routers)]
        self.nodes = {n: Node(n, f"z{int(n[1:]) % zones}") for n in names}
        self.routers = [n for n in names if n[0] == "r"]
        for n in names:
            self.boot(n)
        self.at(0 * MS, self._core)

    # -- links ------------------------------------------------------
    def path(self, a, b):
        return (a, b) not in self.cuts

    def ail(self, n, frozen=False, slow=0):
        """Freezes a machine, or slows it by ``slow`` ms for all that it sends."""
        self.stirred, self.nodes[n].frozen, self.nodes[n].slow = self.now, frozen, slow

    def cut(self, n, others=None, way="both"):
        self.stirred = self.now
        for o in others or self.nodes:
            if o != n:
                self.cuts |= {(n, o)} if way == "out" else {(o, n)} if way == "in" else {(n, o), (o, n)}

    def heal(self):
        self.cuts.clear()
        self.stirred = self.now
        for n in self.nodes.values():
            n.frozen, n.slow = False, 0
            if not n.on:
                self.boot(n.name)

    def boot(self, name):
        n = self.nodes[name].boot(self)
        life, self.stirred = n.life, self.now
        if not n.controller:
            self.at(20 * self.rng.random() * MS, lambda: self._choose(n, life))
            self.at(0 * MS, lambda: self._look(n, life))

    def kill(self, name, dark=False):
        n = self.nodes[name]
        n.on, n.dark, self.stirred = False, dark, self.now
        for p in list(n.served):
            self._close(p, word=not dark)
        if n.pipe:
            n.pipe.open = False
            self.nodes[n.pipe.s].served.pop(n.pipe, None)

    # -- the core --------------------------------------------------------------
    def _core(self):
        c = [n for n in self.nodes.values() if n.controller]
        head = self.nodes[self.primary]
        near = [o for o in c if o.on and not o.frozen and self.path(o.name, head.name) and self.path(head.name, o.name)]
        if head.on and not head.frozen and 2 * len(near) > len(c):
            self.led = self.now
            for o in near:
                o.confirmed = self.now
                if self.version and o.store.put(
                    CONFIGURATION,
                    (1, self.version),
                    self.written[self.version].encode(),
                    self.written[self.version][-1:].encode(),
                ):
                    self._ring(o)
        elif self.now - self.led > CONTACT * 0.4:
            self.primary = next((o.name for o in c if o.on and not o.frozen and o is not head), self.primary)
        if int(self.now / MS) % 400 == 0:
            for o in near:
                self._ring(o)
        self.at(40 * MS, self._core)

    def write(self):
        self.version += 1
        self.written[self.version] = self.written.get(self.version - 1, "") + chr(97 + self.version % 26)

    # -- membership --------------------------------------------------------------
    def _lone(self):
        """Routers that are cut from most others; reckoned anew when the cuts have changed."""
        if len(self.cuts) != self.lone[0]:
            bad = {}
            for a, b in {tuple(sorted(c)) for c in self.cuts if c[0][0] == c[1][0] == "r"}:
                bad[a], bad[b] = bad.get(a, 0) + 1, bad.get(b, 0) + 1
            self.lone = (len(self.cuts), {r for r, k in bad.items() if 2 * k > len(self.routers)})
        return self.lone[1]

    def _seen(self, v, u):
        n = self.nodes[u]
        if not n.on or n.frozen:
            return False
        return not self.cuts or u not in (lone := self._lone()) and v not in lone or self.path(u, v) and self.path(v, u)

    def _look(self, n, life):
        """What this router believes: each change is believed after a lag of its own."""
        if n.life != life or not n.on:
            return
        if not n.frozen and (self.flicker or self.now - self.stirred < CONTACT):
            for u in self.routers:
                up, was = self._seen(n.name, u), u in n.sees
                if up == was:
                    n.late.pop(u, None)
                elif self.now >= n.late.setdefault(u, self.now + (0.1 + 0.5 * self.rng.random()) * CONTACT):
                    (n.sees.add if up else n.sees.discard)(u)
            if self.rng.random() < self.flicker:
                n.sees.discard(self.rng.choice(self.routers))
            seen = frozenset(n.sees - {n.name})
            if seen != n.seen:
                n.seen, n.tier = seen, plan_tier(n.name, n.zone, [(u, self.nodes[u].zone) for u in seen])
        if not n.frozen:
            n.up.update_tier(self.now, n.tier)
        self.at(250 * MS, lambda: self._look(n, life))

    # -- following ----------------------------------------------------------------
    def _choose(self, n, life):
        if n.life != life or not n.on:
            return None
        if n.frozen:
            return self.at(20 * MS, lambda: self._choose(n, life))
        cs = [c for c in self.nodes if c[0] == "c"]
        self.rng.shuffle(cs)
        to = n.up.choose(self.now, cs)
        n.up.on_connecting(self.now, to)
        if not n.up.direct:
            for p in list(n.served):
                self._close(p)
        s, hop = self.nodes[to], (2 + 2 * self.rng.random()) * MS
        if not (self.path(n.name, to) and self.path(to, n.name)) or s.dark:
            self.at(n.up.timing.dial, lambda: self._over(n, life, LeaveReason.GONE))
        elif not s.on:
            self.at(hop, lambda: self._over(n, life, LeaveReason.GONE))
        else:
            self.at(hop, lambda: self._join(n, life, s, s.life))
        return None

    def _join(self, n, life, s, slife):
        if n.life != life or not n.on:
            return None
        if not s.on or s.life != slife:
            return self._over(n, life, LeaveReason.GONE)
        p = n.pipe = Pipe(n.name, s.name, {CONFIGURATION: n.store.version(CONFIGURATION)})
        n.up.tracker.start(self.now)
        s.served[p] = True
        self.most = max(self.most, self.direct())
        self._greet(p, s, s.life)
        self._check(n, p)
        return None

    def _greet(self, p, s, life):
        if s.on and s.life == life and p.open:
            if s.frozen:
                return self.at(20 * MS, lambda: self._greet(p, s, life))
            if not s.open() or not s.controller and len(s.served) > s.up.follower_limit():
                return self._close(p)
            p.greeted = True
            self._send(p, FeedHeartbeat(0, 0, s.age(self.now), self._clock(s)))
            self._flush(p)
            self._timer(p, s, life)
        return None

    def _clock(self, s):
        return int(self.now / MS) + 977 * (ord(s.name[0]) + int(s.name[1:])) % 5003 + 10000

    def _timer(self, p, s, life):
        if p.open and s.on and s.life == life:
            if not s.frozen:
                self._flush(p)
            self.at(CONTACT * 0.15, lambda: self._timer(p, s, life))

    def _ring(self, s):
        for p in list(s.served):
            self._flush(p)

    def _flush(self, p):
        s = self.nodes[p.s]
        if s.frozen:
            return None
        if not s.open():
            return self._close(p)
        for c in s.store.changes_after(p.place):
            p.place[c.topic] = c.version
            self._send(p, c)
        self._send(p, FeedHeartbeat(0, 0, s.age(self.now), self._clock(s)))
        return None

    def _send(self, p, rec):
        d = (1 + 2 * self.rng.random() + self.nodes[p.s].slow + 200 * (self.rng.random() < self.loss)) * MS
        p.last = max(p.last, self.now + d)
        self.at(p.last - self.now, lambda: self._arrive(p, rec))

    def _arrive(self, p, rec):
        if not p.open:
            return None
        n = self.nodes[p.f]
        if not self.path(p.s, p.f) or not self.path(p.f, p.s) and p.held and self.now - p.held > 800 * MS:
            p.held = p.held or self.now
            if self.now - p.held < 2000 * MS:
                p.last = max(p.last, self.now + 50 * MS)
                return self.at(50 * MS, lambda: self._arrive(p, rec))
            return self._close(p, word=False)
        p.held = None if self.path(p.f, p.s) else p.held or self.now
        if n.frozen:
            p.last = max(p.last, self.now + 20 * MS)
            return self.at(20 * MS, lambda: self._arrive(p, rec))
        if isinstance(rec, Change):
            n.up.on_change(self.now)
            if not self._take(n, rec):
                self._close(p, word=False)
                return self._over(n, n.life, LeaveReason.GONE)
        else:
            n.up.on_heartbeat(self.now, rec.confirmation_age_ms, rec.sent_at_ms)
        self._ring(n)
        self._check(n, p)
        return None

    def _take(self, n, c):
        """As the router's service does; never back a stamp, never a step on another base."""
        have = n.store.version(CONFIGURATION)
        if c.version <= have:
            return True
        if c.base != (0, 0) and c.base != have:
            return False
        n.text = n.text + c.payload.decode() if c.base != (0, 0) else c.payload.decode()
        assert n.text == self.written[c.version[1]], (n.name, n.text, c.version)
        n.store.put(CONFIGURATION, c.version, n.text.encode(), c.payload if c.base != (0, 0) else None)
        return True

    def _check(self, n, p):
        if not p.open or n.pipe is not p or not n.on:
            return None
        if n.frozen:
            return self.at(20 * MS, lambda: self._check(n, p))
        why = n.up.leave_reason(self.now)
        if why is None:
            return self.at(n.up.next_check_delay(self.now), lambda: self._check(n, p))
        p.open = False
        self.nodes[p.s].served.pop(p, None)
        self._over(n, n.life, why)
        return None

    def _close(self, p, word=True):
        """The server's end closes; the follower hears of it if word gets through."""
        p_open, p.open = p.open, False
        self.nodes[p.s].served.pop(p, None)
        n = self.nodes[p.f]
        if p_open and n.pipe is p:
            life = n.life
            wait = 2 * MS if word and self.path(p.s, p.f) else max(0 * MS, n.up.next_check_delay(self.now))
            self.at(wait, lambda: self._over(n, life, LeaveReason.GONE) if n.pipe is p else None)

    def _over(self, n, life, why):
        if n.life != life or not n.on:
            return
        n.pipe = None
        n.up.on_disconnected(self.now, why)
        self.at((20 + 40 * self.rng.random()) * MS, lambda: self._choose(n, life))

    # -- looks ---------------------------------------------------------------------
    def direct(self):
        """How many routers are connected to controllers."""
        return sum(len(n.served) for n in self.nodes.values() if n.controller)

    def behind(self, but=()):
        """Routers that lack the newest version."""
        return [
            r
            for r in self.routers
            if self.nodes[r].on and r not in but and self.nodes[r].store.version(CONFIGURATION)[1] < self.version
        ]

    def relays(self):
        """Routers that serve followers, those with the most first."""
        return sorted(
            (r for r in self.routers if self.nodes[r].on and any(p.greeted for p in self.nodes[r].served)),
            key=lambda r: -len(self.nodes[r].served),
        )

    def deep(self):
        """Routers that serve followers though they follow a router: there must be none."""
        return [r for r in self.relays() if not self.nodes[r].up.direct]
