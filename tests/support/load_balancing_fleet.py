"""A fleet in simulated time: many routers balance over many runners and learn each other's requests late.

Runners are simple: continuous batching, a step that grows with its prefill,
chunked prefill by priority, an LRU prefix cache. The figures are of no real
engine; they only compare ways of load balancing.
"""

import heapq
import random
from collections import OrderedDict, defaultdict
from itertools import accumulate

from attrs import define, field

from sparloom.load_balancing import CachedPrefixes, Candidate, choose, is_heavy_prefill, rendezvous_weight
from sparloom.load_balancing.rank import WEIGHTS as DEFAULT_WEIGHTS

SLOTS, CHUNK, PREFILL_TOKENS_PER_MS, CACHE_TOKENS = 16, 1024, 50.0, 380_000


@define(eq=False)
class Request:
    """One request in flight; times in seconds, lengths in tokens."""

    at: float
    router: int
    long: bool
    parts: tuple
    out: int
    runner: int = -1
    prefill_tokens: int = 0
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
    """An engine that prefills and decodes in steps."""

    number: int
    zone: int
    cached: OrderedDict = field(factory=OrderedDict)
    used: int = 0
    waits: list = field(factory=list)
    runs: list = field(factory=list)
    busy: bool = False
    calls: int = 0

    def enqueue(self, r):
        """Queues a request; returns the shared parts that need prefill."""
        uncached, missed = [], False
        for part, n in r.parts:
            missed = missed or part not in self.cached
            if missed:
                uncached.append((part, n))
            self.used += n - self.cached.pop(part, 0)
            self.cached[part] = n
        while self.used > CACHE_TOKENS:
            self.used -= self.cached.popitem(last=False)[1]
        r.left = sum(n for _, n in uncached)
        self.calls += 1
        self.waits.append(r)
        return [p for p in uncached if p[0] != r.parts[-1][0]]


class Fleet:
    """A day: Poisson arrivals, uneven routers, counts gossiped every 0.2 s, long parts after ``late`` s."""

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

        def grid():
            return [[0] * runners for _ in range(routers)]

        self.own, self.gossiped, self.tokens, self.gossiped_tokens = grid(), grid(), grid(), grid()
        self.sum, self.sum_tokens = [0] * runners, [0] * runners
        self.heard = [CachedPrefixes(CACHE_TOKENS) for _ in range(runners)]
        self.mine = [[CachedPrefixes(CACHE_TOKENS) for _ in range(runners)] for _ in range(routers)]
        self.idle, self.opened, self.pairs = defaultdict(list), 0, set()
        self.read, self.again, self.done, self.events, self.turn = set(), 0, [], [], 0
        self._arrivals(prefixes, subjects, quick, long)

    def _arrivals(self, prefixes, subjects, quick, long):
        rng = self.rng

        def size(mean, top):
            return min(top, int(rng.lognormvariate(0, 0.9) * mean / 1.5) + 1)

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

    def _gossip(self, i):
        for now, gossiped, total in (
            (self.own, self.gossiped, self.sum),
            (self.tokens, self.gossiped_tokens, self.sum_tokens),
        ):
            for j, (n, old) in enumerate(zip(now[i], gossiped[i], strict=False)):
                if n != old:
                    total[j] += n - old
            gossiped[i][:] = now[i]

    def _beat(self, i):
        self._gossip(i)
        self._at(self.now + 0.2, self._beat, i)

    def _warm(self, i, j):
        return any(self.now - t < self.rest for t in self.idle[i, j])

    def _send(self, r):
        i = r.router
        candidates = [
            Candidate(
                j,
                min(self.mine[i][j].prefill_tokens(r.parts), self.heard[j].prefill_tokens(r.parts)),
                self.sum_tokens[j] - self.gossiped_tokens[i][j] + self.tokens[i][j],
                self.sum[j] - self.gossiped[i][j] + self.own[i][j],
                SLOTS,
                same_zone=u.zone == i % self.zones,
                warm=self._warm(i, j),
                affinity_weight=rendezvous_weight(r.key, u.number),
            )
            for j, u in enumerate(self.runners)
        ]
        best = choose(candidates, sum(n for _, n in r.parts[:-1]), self.weights)[0]
        r.runner, r.prefill_tokens = best.id, best.prefill_tokens
        j = r.runner
        r.urgency += self.yields and is_heavy_prefill(r.prefill_tokens, CACHE_TOKENS, SLOTS)
        self.own[i][j] += 1
        self.tokens[i][j] += r.prefill_tokens
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
        for part, n in u.enqueue(r):
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
        budget, decoding = CHUNK, [r for r in u.runs if not r.left]
        for r in sorted(u.runs, key=lambda r: (r.urgency, r.at)):
            n = min(budget, r.left)
            r.left, budget = r.left - n, budget - n
        end = self.now + (5 + (CHUNK - budget) / PREFILL_TOKENS_PER_MS) / 1000
        for r in decoding:
            r.made += 1
            if r.made == 6:
                r.first = end
                self.tokens[r.router][r.runner] -= r.prefill_tokens
            if r.made == r.out:
                u.runs.remove(r)
                self._at(end, self._end, r)
        self._at(end, self._step, u)

    def _end(self, r):
        self.own[r.router][r.runner] -= 1
        self.idle[r.router, r.runner].append(self.now)
        self.done.append(r)

    # -- what is measured ------------------------------------------------------
    def late_share(self, long, target):
        """The share of requests of a kind whose first event came after the latency target (s)."""
        some = [r for r in self.done if r.long is long]
        return sum(r.first - r.at > target for r in some) / len(some)

    def spread(self):
        """Most requests at a runner over the mean."""
        return max(u.calls for u in self.runners) * len(self.runners) / sum(u.calls for u in self.runners)

    def opened_share(self):
        """New connections for each request."""
        return self.opened / len(self.done)
