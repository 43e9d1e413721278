"""A fleet of the tier's machines on a simulated net: seeded luck, no sleeping."""

import random
from itertools import count

from simulator.clock import MS, Clock
from sparloom.admission import FleetSize
from sparloom.aggregation import InFlightAggregator
from sparloom.codec import pack
from sparloom.relay import plan_tier

CONTACT = 3000 * MS
SHARED = 10**6


class Fleet(Clock):
    """Each life of a node holds one call at a resource of its own (its number), and some at shared ones."""

    def __init__(self, n, zones=3, seed=1, loss=0.03, twice=0.02, churn=0, private=True):
        super().__init__()
        self.rng = random.Random(seed)
        self.loss, self.twice, self.churn, self.own = loss, twice, churn, private
        self.names = [f"n{i}" for i in range(n)]
        self.zone = {k: f"z{i % zones}" for i, k in enumerate(self.names)}
        self.nodes, self.lives = {}, count(1)
        self.sent, self.size, self.biggest = dict.fromkeys(self.names, 0), dict.fromkeys(self.names, 0), 0
        self.off, self.frozen, self.cuts, self.timers = set(), set(), set(), set()
        self.queue, self.plans = {}, {}
        self.fleet_sizes, self.recorded = {}, n
        self.views, self.held = {}, {}
        for k in self.names:
            self.boot(k, told=True)
        for k in self.names:
            for o in self.names:
                self.views[k][o] = self.nodes[o].instance_id

    def boot(self, k, told=False):
        """A new life of a node; the others learn of it within a sixth of the contact bound."""
        self.nodes[k] = s = InFlightAggregator(k, next(self.lives), CONTACT)
        self.off.discard(k)
        self.views[k] = {o: self.nodes[o].instance_id for o in self.nodes if o not in self.off}
        self.held[k] = {}
        for o in () if told else self.names:
            if o != k:
                self.at(self.rng.random() * CONTACT / 6, lambda o=o, life=s.instance_id: self.learn(o, k, life))
        self.at(self.rng.random() * 50 * MS, lambda: self.tick(k, s))

    def join(self):
        """A router that was not there before."""
        k = f"n{len(self.names)}"
        self.names.append(k)
        self.zone[k], self.sent[k], self.size[k] = self.zone[self.names[0]], 0, 0
        self.boot(k)

    def learn(self, o, k, life):
        if o in self.nodes and self.nodes[k].instance_id == life and k not in self.off:
            self.views[o][k] = life
            self.nodes[o].on_departed(k, life)

    def kill(self, k):
        """It is gone; the others know between 0.3 and 0.7 of the contact bound later."""
        self.off.add(k)
        life = self.nodes[k].instance_id
        for o in self.names:
            if o != k:
                self.at((0.3 + 0.4 * self.rng.random()) * CONTACT, lambda o=o: self.forget(o, k, life))

    def forget(self, o, k, life):
        if self.views[o].get(k) == life and (k in self.off or self.nodes[k].instance_id != life):
            del self.views[o][k]
            self.nodes[o].on_departed(k)

    def thaw(self, k):
        self.frozen.discard(k)
        for rec in self.queue.pop(k, []):
            self.nodes[k].on_message(self.now, rec)

    def tick(self, k, s):
        if k in self.off or self.nodes[k] is not s:
            return
        if k not in self.frozen:
            self._churn(k)
            up = {o: life for o, life in self.views[k].items() if o != k}
            s.update_membership(self.now, self.plan(k, up), up)
            own = ({s.instance_id: (1, 0, 0, 0, 0, 0)} if self.own else {}) | {
                SHARED + r: (n, 0, 0, 0, 0, 0) for r, n in self.held[k].items() if n
            }
            c = self.fleet_sizes.setdefault(s.instance_id, FleetSize(CONTACT))
            told = s.fleet_sizes(self.now) if s.peers_in_flight(self.now) is not None else {"": 0}
            c.update(self.now, 1 + len(up), self.recorded, told)
            s.update_in_flight(self.now, own, c.divisor)
            for m in s.due_messages(self.now):
                self.send(k, m)
        self.at(50 * MS, lambda: self.tick(k, s))

    def plan(self, k, up):
        if self.plans.get(k, (None,))[0] != up.keys():
            self.plans[k] = (set(up), plan_tier(k, self.zone[k], [(o, self.zone[o]) for o in up]))
        return self.plans[k][1]

    def _churn(self, k):
        for r in range(self.churn):
            n, x = self.held[k].get(r, 0), self.rng.random()
            if x < 0.02:
                self.held[k][r] = n + 1
            elif x < 0.04 and n:
                self.held[k][r] = n - 1

    def send(self, k, m):
        raw = len(pack(m.message))
        self.biggest = max(self.biggest, raw)
        for to in m.destinations:
            self.sent[k] += 1
            self.size[k] += raw + 28
            for _ in range(1 + (self.rng.random() < self.twice)):
                if (k, to) not in self.cuts and self.rng.random() > self.loss:
                    self.at((1 + 20 * self.rng.random() ** 4) * MS, lambda to=to: self.arrive(to, m.message))

    def arrive(self, to, rec):
        if to in self.frozen:
            q = self.queue.setdefault(to, [])
            if len(q) < 200:
                q.append(rec)
        elif to in self.nodes and to not in self.off:
            s = self.nodes[to]
            s.on_message(self.now, rec)
            self.hasten(to, s)

    def hasten(self, k, s):
        """Long prompts do not wait for the next beat."""
        wait = s.flush_delay(self.now)
        if wait is not None and k not in self.timers:
            self.timers.add(k)
            self.at(wait, lambda: self.flush(k, s))

    def flush(self, k, s):
        self.timers.discard(k)
        if k not in self.off and k not in self.frozen and self.nodes[k] is s:
            for m in s.due_messages(self.now):
                self.send(k, m)
            self.hasten(k, s)

    def run(self, span, check=None, every=100 * MS):
        """Moves time on; ``check`` is called now and then."""
        end = self.now + span
        while check and self.now + every <= end:
            self.run_for(every)
            check()
        self.run_for(end - self.now)

    def running(self):
        return [k for k in self.names if k not in self.off and k not in self.frozen]

    def private(self, k):
        """What a node counts of each life's own call: {life: calls}."""
        return {r: v[0] for r, v in (self.nodes[k].peers_in_flight(self.now) or {}).items() if r < SHARED and v[0]}

    def missing(self, k, of=None):
        have = self.private(k)
        return {o for o in (of or self.names) if o != k and o not in self.off and self.nodes[o].instance_id not in have}

    def error(self, k, shared):
        """The mean absolute error of a node's counts at the shared resources."""
        got = self.nodes[k].peers_in_flight(self.now) or {}
        return (
            sum(
                abs(got.get(SHARED + r, (0,))[0] - sum(self.held[o].get(r, 0) for o in self.names if o != k))
                for r in range(shared)
            )
            / shared
        )
