"""A fleet in simulated time: many routers balance requests over many runners, with delayed gossip.

The model of a runner has continuous batching, steps whose duration grows with
the prefill, chunked prefill by priority, and an LRU prefix cache. The constants
don't match a real engine; they serve only to compare load balancing policies.
"""

import heapq
import random
from collections import OrderedDict, defaultdict
from itertools import accumulate

from attrs import define, field

from sparloom.load_balancing import CachedPrefixes, Candidate, choose, is_heavy_prefill, rendezvous_weight
from sparloom.load_balancing.rank import DEFAULT_WEIGHTS

SLOTS, PREFILL_CHUNK_TOKENS, PREFILL_TOKENS_PER_MS, CACHE_TOKENS = 16, 1024, 50.0, 380_000


@define(eq=False)
class Request:
    """A request; times in seconds, lengths in tokens."""

    arrived_at: float
    router: int
    long: bool
    parts: tuple
    output_tokens: int
    runner: int = -1
    prefill_tokens: int = 0
    prefill_left: int = 0
    urgency: int = 0
    tokens_generated: int = 0
    first_event_at: float = 0.0

    @property
    def key(self):
        """The number of the longest shared part."""
        return max(self.parts[:-1], key=lambda part: part[1])[0]


@define(eq=False)
class Runner:
    """A runner that prefills and decodes in steps."""

    number: int
    zone: int
    cached: OrderedDict = field(factory=OrderedDict)
    used: int = 0
    waiting: list = field(factory=list)
    running: list = field(factory=list)
    busy: bool = False
    calls: int = 0

    def enqueue(self, request):
        """Queues a request; returns its shared parts that are not cached."""
        uncached, missed = [], False
        for part, tokens in request.parts:
            missed = missed or part not in self.cached
            if missed:
                uncached.append((part, tokens))
            self.used += tokens - self.cached.pop(part, 0)
            self.cached[part] = tokens
        while self.used > CACHE_TOKENS:
            self.used -= self.cached.popitem(last=False)[1]
        request.prefill_left = sum(tokens for _, tokens in uncached)
        self.calls += 1
        self.waiting.append(request)
        return [part for part in uncached if part[0] != request.parts[-1][0]]


class Fleet:
    """Poisson arrivals at unevenly loaded routers.

    Counts are gossiped every 0.2 s; placements of long parts arrive after ``placement_delay_s``.
    """

    def __init__(
        self,
        weights=DEFAULT_WEIGHTS,
        seed=1,
        routers=30,
        runners=15,
        zones=3,
        prefixes=130,
        topics=2500,
        short_per_s=150,
        long_per_s=18,
        duration_s=12.0,
        placement_delay_s=0.1,
        idle_timeout_s=6.0,
        defer_heavy_prefills=True,
    ):
        self.rng, self.weights, self.placement_delay_s, self.idle_timeout_s, self.defer_heavy_prefills = (
            random.Random(seed),
            weights,
            placement_delay_s,
            idle_timeout_s,
            defer_heavy_prefills,
        )
        self.zones, self.routers, self.duration_s = zones, routers, duration_s
        self.runners = [Runner(self.rng.getrandbits(64), index % zones) for index in range(runners)]

        def grid():
            return [[0] * runners for _ in range(routers)]

        self.calls, self.gossiped_calls, self.tokens, self.gossiped_tokens = grid(), grid(), grid(), grid()
        self.total_calls, self.total_tokens = [0] * runners, [0] * runners
        self.gossiped_prefixes = [CachedPrefixes(CACHE_TOKENS) for _ in range(runners)]
        self.sent_prefixes = [[CachedPrefixes(CACHE_TOKENS) for _ in range(runners)] for _ in range(routers)]
        self.idle_connections, self.connections_opened, self.connected_pairs = defaultdict(list), 0, set()
        self.prefilled_parts, self.repeated_prefill_tokens, self.done, self.events, self.event_count = (
            set(),
            0,
            [],
            [],
            0,
        )
        self._schedule_arrivals(prefixes, topics, short_per_s, long_per_s)

    def _schedule_arrivals(self, prefixes, topics, short_per_s, long_per_s):
        rng = self.rng

        def size(mean, maximum):
            return min(maximum, int(rng.lognormvariate(0, 0.9) * mean / 1.5) + 1)

        long_prefixes = [(rng.getrandbits(64), size(13_000, 40_000)) for _ in range(prefixes)]
        roots = [(rng.getrandbits(64), 55) for _ in range(80)]
        leaves = [(rng.getrandbits(64), 37) for _ in range(topics)]
        cumulative_load = list(accumulate(rng.uniform(0.3, 1.7) for _ in range(self.routers)))
        now = 0.0
        while (now := now + rng.expovariate(short_per_s + long_per_s)) < self.duration_s:
            is_long, last = rng.random() < long_per_s / (short_per_s + long_per_s), rng.getrandbits(64)
            leaf = rng.randrange(topics)
            parts = (
                (rng.choice(long_prefixes), (last, size(3700, 50_000)))
                if is_long
                else (roots[leaf % 80], leaves[leaf], (last, size(290, 1800)))
            )
            router = rng.choices(range(self.routers), cum_weights=cumulative_load)[0]
            self._schedule(
                now, self._send, Request(now, router, is_long, parts, 120 if is_long else 45, urgency=int(is_long))
            )
        for router in range(self.routers):
            self._schedule(rng.random() * 0.2, self._on_heartbeat, router)

    def _schedule(self, time, action, *args):
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, action, args))

    def run(self):
        """Runs all events up to 10 s after the last arrival."""
        while self.events and (event := heapq.heappop(self.events))[0] < self.duration_s + 10:
            self.now = event[0]
            event[2](*event[3])
        return self

    def _gossip(self, router):
        for current, gossiped, total in (
            (self.calls, self.gossiped_calls, self.total_calls),
            (self.tokens, self.gossiped_tokens, self.total_tokens),
        ):
            for runner, (new, old) in enumerate(zip(current[router], gossiped[router], strict=False)):
                if new != old:
                    total[runner] += new - old
            gossiped[router][:] = current[router]

    def _on_heartbeat(self, router):
        self._gossip(router)
        self._schedule(self.now + 0.2, self._on_heartbeat, router)

    def _is_warm(self, router, runner):
        return any(self.now - idle_since < self.idle_timeout_s for idle_since in self.idle_connections[router, runner])

    def _send(self, request):
        router = request.router
        candidates = [
            Candidate(
                index,
                min(
                    self.sent_prefixes[router][index].prefill_tokens(request.parts),
                    self.gossiped_prefixes[index].prefill_tokens(request.parts),
                ),
                self.total_tokens[index] - self.gossiped_tokens[router][index] + self.tokens[router][index],
                self.total_calls[index] - self.gossiped_calls[router][index] + self.calls[router][index],
                SLOTS,
                same_zone=runner.zone == router % self.zones,
                warm=self._is_warm(router, index),
                affinity_weight=rendezvous_weight(request.key, runner.number),
            )
            for index, runner in enumerate(self.runners)
        ]
        best = choose(candidates, sum(tokens for _, tokens in request.parts[:-1]), self.weights)[0]
        request.runner, request.prefill_tokens = best.id, best.prefill_tokens
        runner = request.runner
        request.urgency += self.defer_heavy_prefills and is_heavy_prefill(request.prefill_tokens, CACHE_TOKENS, SLOTS)
        self.calls[router][runner] += 1
        self.tokens[router][runner] += request.prefill_tokens
        self.sent_prefixes[router][runner].add(request.parts)
        if request.long:
            self._schedule(self.now + self.placement_delay_s, self.gossiped_prefixes[runner].add, request.parts[:1])
        if self._is_warm(router, runner):
            self.idle_connections[router, runner] = sorted(self.idle_connections[router, runner])[:-1]
        else:
            self.connections_opened += 1
        self.connected_pairs.add((router, runner))
        self._schedule(self.now + 0.002, self._arrive, request)

    def _arrive(self, request):
        runner = self.runners[request.runner]
        for part, tokens in runner.enqueue(request):
            self.repeated_prefill_tokens += tokens * (part in self.prefilled_parts)
            self.prefilled_parts.add(part)
        if not runner.busy:
            runner.busy = True
            self._schedule(self.now + 0.003, self._step, runner)

    def _step(self, runner):
        runner.waiting.sort(key=lambda request: (request.urgency, request.arrived_at))
        while runner.waiting and len(runner.running) < SLOTS:
            runner.running.append(runner.waiting.pop(0))
        runner.busy = bool(runner.running)
        if not runner.running:
            return
        budget, decoding = PREFILL_CHUNK_TOKENS, [request for request in runner.running if not request.prefill_left]
        for request in sorted(runner.running, key=lambda request: (request.urgency, request.arrived_at)):
            tokens = min(budget, request.prefill_left)
            request.prefill_left, budget = request.prefill_left - tokens, budget - tokens
        end = self.now + (5 + (PREFILL_CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_MS) / 1000
        for request in decoding:
            request.tokens_generated += 1
            if request.tokens_generated == 6:
                request.first_event_at = end
                self.tokens[request.router][request.runner] -= request.prefill_tokens
            if request.tokens_generated == request.output_tokens:
                runner.running.remove(request)
                self._schedule(end, self._end, request)
        self._schedule(end, self._step, runner)

    def _end(self, request):
        self.calls[request.router][request.runner] -= 1
        self.idle_connections[request.router, request.runner].append(self.now)
        self.done.append(request)

    def late_fraction(self, long, target):
        """The fraction of long or short requests whose first event missed the latency target (in seconds)."""
        requests = [request for request in self.done if request.long is long]
        return sum(request.first_event_at - request.arrived_at > target for request in requests) / len(requests)

    def imbalance(self):
        """The maximum number of requests at a runner, divided by the mean."""
        return (
            max(runner.calls for runner in self.runners)
            * len(self.runners)
            / sum(runner.calls for runner in self.runners)
        )

    def connections_per_request(self):
        """The number of connections opened per request."""
        return self.connections_opened / len(self.done)
