"""A fleet in simulated time: many routers choose over many runners, each knowing the others' calls late.

Runners are simple: a batch, a step that grows with what is read in it, prompts
read in pieces by urgency, parts kept by last use. Figures are of no real
engine; only the ways of choosing are compared by them.
"""

import heapq
import random
from collections import OrderedDict, defaultdict
from itertools import accumulate

from attrs import define, field

from sparloom.load_balancing import CachedPrefixes, Candidate, choose, is_heavy_prefill, rendezvous_weight
from sparloom.load_balancing.rank import WEIGHTS as DEFAULT_WEIGHTS

SLOTS, CHUNK, SPEED, ROOM = 16, 1024, 50.0, 380_000


@define(eq=False)
class Request:
    """One request on its way; times in seconds, parts in tokens."""

    at: float
    router: int
    long: bool
    parts: tuple
    out: int
    runner: int = -1
    unread: int = 0
    left: int = 0
    urgency: int = 0
    made: int = 0
    first: float = 0.0

    @property
    def key(self):
        """The longest shared part."""
        return max(self.parts[:-1], key=lambda p: p[1])[0]


@define(eq=False)
class Runner:
    """An engine that reads and writes in steps."""

    number: int
    zone: int
    kept: OrderedDict = field(factory=OrderedDict)
    used: int = 0
    waits: list = field(factory=list)
    runs: list = field(factory=list)
    busy: bool = False
    calls: int = 0

    def take(self, r):
        """Takes a request; gives the shared parts that it has to read."""
        unread, missed = [], False
        for part, n in r.parts:
            missed = missed or part not in self.kept
            if missed:
                unread.append((part, n))
            self.used += n - self.kept.pop(part, 0)
            self.kept[part] = n
        while self.used > ROOM:
            self.used -= self.kept.popitem(last=False)[1]
        r.left = sum(n for _, n in unread)
        self.calls += 1
        self.waits.append(r)
        return [p for p in unread if p[0] != r.parts[-1][0]]


class Fleet:
    """The day: Poisson arrivals, uneven routers, counts told every 0.2 s, long parts after ``late`` s."""

    def __init__(
        self,
        weights=DEFAULT_WEIGHTS,
        seed=1,
        routers=30,
        runners=15,
        zones=3,
        prefixes=130,
        subjects=2500,
        quick=150,
        long=18,
        span=12.0,
        late=0.1,
        rest=6.0,
        yields=True,
    ):
        self.rng, self.weights, self.late, self.rest, self.yields = random.Random(seed), weights, late, rest, yields
        self.zones, self.routers, self.span = zones, routers, span
        self.runners = [Runner(self.rng.getrandbits(64), i % zones) for i in range(runners)]
        grid = lambda: [[0] * runners for _ in range(routers)]
        self.own, self.told, self.tokens, self.told_tokens = grid(), grid(), grid(), grid()
        self.sum, self.sum_tokens = [0] * runners, [0] * runners
        self.heard = [CachedPrefixes(ROOM) for _ in range(runners)]
        self.mine = [[CachedPrefixes(ROOM) for _ in range(runners)] for _ in range(routers)]
        self.idle, self.opened, self.pairs = defaultdict(list), 0, set()
        self.read, self.again, self.done, self.events, self.turn = set(), 0, [], [], 0
        self._arrivals(prefixes, subjects, quick, long)

    def _arrivals(self, prefixes, subjects, quick, long):
        rng = self.rng
        size = lambda mean, top: min(top, int(rng.lognormvariate(0, 0.9) * mean / 1.5) + 1)
        heads = [(rng.getrandbits(64), size(13_000, 40_000)) for _ in range(prefixes)]
        roots = [(rng.getrandbits(64), 55) for _ in range(80)]
        leaves = [(rng.getrandbits(64), 37) for _ in range(subjects)]
        busy = list(accumulate(rng.uniform(0.3, 1.7) for _ in range(self.routers)))
        t = 0.0
        while (t := t + rng.expovariate(quick + long)) < self.span:
            big, last = rng.random() < long / (quick + long), rng.getrandbits(64)
            leaf = rng.randrange(subjects)
            parts = (
                (rng.choice(heads), (last, size(3700, 50_000)))
                if big
                else (roots[leaf % 80], leaves[leaf], (last, size(290, 1800)))
            )
            at = rng.choices(range(self.routers), cum_weights=busy)[0]
            self._at(t, self._send, Request(t, at, big, parts, 120 if big else 45, urgency=int(big)))
        for i in range(self.routers):
            self._at(rng.random() * 0.2, self._beat, i)

    def _at(self, t, do, *args):
        self.turn += 1
        heapq.heappush(self.events, (t, self.turn, do, args))

    def run(self):
        """Plays the day."""
        while self.events and (ev := heapq.heappop(self.events))[0] < self.span + 10:
            self.now = ev[0]
            ev[2](*ev[3])
        return self

    def _tell(self, i):
        for now, told, total in ((self.own, self.told, self.sum), (self.tokens, self.told_tokens, self.sum_tokens)):
            for j, (n, old) in enumerate(zip(now[i], told[i])):
                if n != old:
                    total[j] += n - old
            told[i][:] = now[i]

    def _beat(self, i):
        self._tell(i)
        self._at(self.now + 0.2, self._beat, i)

    def _warm(self, i, j):
        return any(self.now - t < self.rest for t in self.idle[i, j])

    def _send(self, r):
        i = r.router
        stands = [
            Candidate(
                j,
                min(self.mine[i][j].prefill_tokens(r.parts), self.heard[j].prefill_tokens(r.parts)),
                self.sum_tokens[j] - self.told_tokens[i][j] + self.tokens[i][j],
                self.sum[j] - self.told[i][j] + self.own[i][j],
                SLOTS,
                same_zone=u.zone == i % self.zones,
                warm=self._warm(i, j),
                affinity_weight=rendezvous_weight(r.key, u.number),
            )
            for j, u in enumerate(self.runners)
        ]
        best = choose(stands, sum(n for _, n in r.parts[:-1]), self.weights)[0]
        r.runner, r.unread = best.id, best.prefill_tokens
        j = r.runner
        r.urgency += self.yields and is_heavy_prefill(r.unread, ROOM, SLOTS)
        self.own[i][j] += 1
        self.tokens[i][j] += r.unread
        self.mine[i][j].add(r.parts)
        if r.long:
            self._at(self.now + self.late, self.heard[j].add, r.parts[:1])
        if self._warm(i, j):
            self.idle[i, j] = sorted(self.idle[i, j])[:-1]
        else:
            self.opened += 1
        self.pairs.add((i, j))
        self._at(self.now + 0.002, self._arrive, r)

    def _arrive(self, r):
        u = self.runners[r.runner]
        for part, n in u.take(r):
            self.again += n * (part in self.read)
            self.read.add(part)
        if not u.busy:
            u.busy = True
            self._at(self.now + 0.003, self._step, u)

    def _step(self, u):
        u.waits.sort(key=lambda r: (r.urgency, r.at))
        while u.waits and len(u.runs) < SLOTS:
            u.runs.append(u.waits.pop(0))
        u.busy = bool(u.runs)
        if not u.runs:
            return
        room, writing = CHUNK, [r for r in u.runs if not r.left]
        for r in sorted(u.runs, key=lambda r: (r.urgency, r.at)):
            n = min(room, r.left)
            r.left, room = r.left - n, room - n
        end = self.now + (5 + (CHUNK - room) / SPEED) / 1000
        for r in writing:
            r.made += 1
            if r.made == 6:
                r.first = end
                self.tokens[r.router][r.runner] -= r.unread
            if r.made == r.out:
                u.runs.remove(r)
                self._at(end, self._end, r)
        self._at(end, self._step, u)

    def _end(self, r):
        self.own[r.router][r.runner] -= 1
        self.idle[r.router, r.runner].append(self.now)
        self.done.append(r)

    # -- what is measured ------------------------------------------------------
    def late_share(self, long, aim):
        """The share of requests of a kind whose first event came after the aim (s)."""
        some = [r for r in self.done if r.long is long]
        return sum(r.first - r.at > aim for r in some) / len(some)

    def spread(self):
        """Most calls at a runner over the mean."""
        return max(u.calls for u in self.runners) * len(self.runners) / sum(u.calls for u in self.runners)

    def opened_share(self):
        """New connections for each request."""
        return self.opened / len(self.done)
