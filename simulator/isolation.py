"""The prompt isolation scenario: members send equal prompts through real routers and controllers, in simulated time.

Routers are killed, restarted, added and partitioned; runners are restarted,
added and replaced; a member is added and the key is rotated. Runners record
every prompt part in their cache. A cache hit on a part of another member is a
violation. ``play_isolation`` runs one seed.
"""

import asyncio
import random
import statistics

from attrs import define, field
from scipy.stats import mannwhitneyu

from sparloom.router.program import Router
from sparloom.settings import from_dict

from .fleet import SERVICE, Fleet, Size, entries, startup
from .rivals import CacheRecords, CachingRunner, Clients, RequestCounts
from .virtual import HOST, world

SIZE = Size(nodes=6, runners=20, routes=0, zones=3, controllers=3, slots=16)
PUBLIC = "aa"
PROMPTS = 40
REQUESTS_PER_S = 8.0
DURATION_S = 45.0
ALL_MEMBERS = ("a", "b", "c", "d")
KEYS = ("11" * 32, "22" * 32)
# Routers reload their settings within 1 s, so a change is in force on all routers after this time.
PROPAGATION_S = 1.5
DRAIN_S = 0.4
# Significance level and power of the test of response times.
ALPHA, POWER = 0.01, 0.8


def policy():
    """Return a configuration with two routes for each member: one without stream resumption, one with it."""
    common = {"routeKind": "streaming", "timeoutMs": 5000, "targetMs": 450, "priority": 0, "service": SERVICE}
    routes = [
        {
            "name": f"{member}-{name}",
            "hostname": f"{member}.example",
            "pathPrefix": f"/{name}/",
            "maxAttempts": 2,
            "resumeStreams": name == "check",
            "gapTargetMs": 200,
            **common,
        }
        for member in ALL_MEMBERS
        for name in ("plan", "check")
    ]
    service = {"name": SERVICE, "connectionLimit": 570, "engine": {"slots": 16, "cacheTokens": 378959}}
    return {"revision": 1, "routes": routes, "services": [service]}


def settings(names, key, before=()):
    """Return the sections ``members`` and ``isolation`` of a startup file.

    ``before``: earlier (names, key) pairs under which running runners may still hold cached prompts.

    >>> sorted(settings(("a", "b"), KEYS[0])["isolation"])
    ['before', 'key', 'public']
    """
    members = {name: {"hosts": [f"{name}.example"], "reserve": 0.2} for name in names}
    earlier = [
        {"key": old_key, "public": [PUBLIC], "members": dict.fromkeys(old_names, 0.2)} for old_names, old_key in before
    ]
    return {"members": members, "isolation": {"key": key, "public": [PUBLIC], "before": earlier}}


class RivalFleet(Fleet):
    """Real routers that accept clients, in front of runners that cache prompts."""

    def __init__(self, loop, isolated, cache_records):
        super().__init__(loop, SIZE)
        self.isolated, self.cache_records = isolated, cache_records
        self.member_settings = settings(ALL_MEMBERS[:3], KEYS[0])
        self.runners, self.incarnations, self.draining = {}, {}, None

    def _settings(self, ip, index):
        sections = dict(self.member_settings)
        if not self.isolated:
            del sections["isolation"]
        return from_dict({**startup(self.size, ip, "router", self.size.zone(index), 1), **sections}).unwrap()

    async def boot(self, i, wait=0.0):
        """Start the i-th router as a new incarnation."""
        await asyncio.sleep(wait)
        ip = self.size.router(i)
        self.incarnations[ip] = self.incarnations.get(ip, 0) + 1
        self.loop.net.off.discard(ip)
        self.routers[ip] = await self._start_on(ip, Router(self._settings(ip, i), ""))

    async def kill(self, ips):
        """Cut the power of routers."""
        for ip in ips:
            self.incarnations[ip] += 1
        await super().kill(ips)

    def ready(self):
        """Return the addresses of the routers that are ready for clients."""
        return [ip for ip, router in self.routers.items() if router.node.ready()]

    async def update_settings(self, sections):
        """Apply changed settings to all routers, one after another within a second."""
        self.member_settings = sections
        for i, ip in enumerate(sorted(self.routers)):
            await asyncio.sleep(1.0 / (len(self.routers) + 1))
            if ip in self.routers:
                self.routers[ip].apply_settings(self._settings(ip, i))

    # -- runners ------------------------------------------------------------------
    async def start_runner(self, index):
        """Start a runner as a new incarnation, with an empty cache."""
        old = self.runners.get(index)
        number = old.number + 1 if old else 0
        if old:
            stopping_at = self.loop.time()
            await old.runner.stop()
            self.cache_records.runner_ends.append((stopping_at, self.loop.time()))
        host = f"127.4.0.{index + 1}"
        runner = CachingRunner(id=f"i-{index}-{number}", events=4, pause=0.005, cache_records=self.cache_records)
        HOST.set(host)
        await runner.start(host, 8080)
        self.runners[index] = RunnerIncarnation(runner, number)
        self.update_listing()

    def update_listing(self):
        """Update the platform's list on all controllers."""
        for controller in self.controllers.values():
            controller.poller.listing = self.listed()

    def listed(self):
        """Return the platform's list: the runners that run now."""
        return [
            {
                **entry,
                "runnerId": self.runners[i].runner.id,
                "address": f"127.4.0.{i + 1}:8080",
                "state": "draining" if i == self.draining else "ready",
            }
            for i, entry in enumerate(entries(len(self.runners), self.size.zones, 0, self.size.slots))
        ]

    async def replace_runners(self):
        """Drain and replace the runners one after another; wait until the routers have the new list."""
        for i in list(self.runners):
            self.draining = i
            self.update_listing()
            await asyncio.sleep(DRAIN_S)
            self.draining = None
            await self.start_runner(i)
        await asyncio.sleep(PROPAGATION_S)


@define(frozen=True, slots=True)
class RunnerIncarnation:
    """One incarnation of a runner, with its number."""

    runner: CachingRunner
    number: int


@define(slots=True)
class ResponseTimes:
    """Response times, in seconds, of prompts that another member has sent before and of new prompts."""

    repeated: list = field(factory=list)
    fresh: list = field(factory=list)

    def p_value(self):
        """Return the p-value of the difference, by a two-sided Mann-Whitney U test."""
        return float(mannwhitneyu(self.repeated, self.fresh).pvalue)

    def difference_ms(self):
        """Return the mean response time of new prompts minus that of repeated prompts, in ms."""
        return 1000 * (statistics.fmean(self.fresh) - statistics.fmean(self.repeated))

    def minimum_detectable_effect_ms(self):
        """Return the shift of the mean that the test detects with probability ``POWER`` (normal approximation)."""
        normal = statistics.NormalDist()
        spread = statistics.pstdev(self.repeated + self.fresh)
        quantiles = normal.inv_cdf(1 - ALPHA / 2) + normal.inv_cdf(POWER)
        return 1000 * quantiles * spread * (1 / len(self.repeated) + 1 / len(self.fresh)) ** 0.5


@define(frozen=True, slots=True)
class IsolationResult:
    """The results of one run."""

    cache_records: CacheRecords
    seen: RequestCounts
    times: ResponseTimes
    twice: int

    @property
    def held(self):
        """Whether there was no cross-member hit, no lost or repeated request, and no significant timing difference."""
        isolated = not self.cache_records.cross_member_hits and self.times.p_value() >= ALPHA
        return isolated and not self.seen.lost and not self.twice

    def balance(self):
        """Return the load of the busiest runner incarnation divided by the mean load of all incarnations."""
        load = self.cache_records.load.values()
        return max(load) / statistics.mean(load)

    def lines(self):
        """Return the report, one string per line."""
        cache_records, seen, times = self.cache_records, self.seen, self.times
        return [
            f"cache hits on parts of other members: {len(cache_records.cross_member_hits)}; on own parts: {cache_records.own_hits}; parts prefilled: {cache_records.prefills}",
            f"requests answered {seen.answered}, refused {seen.refused}, lost {len(seen.lost)}, run twice {self.twice}",
            f"aborted by the end of a router or a runner {seen.cut}, no connection {seen.unread}",
            f"load of the busiest runner incarnation over the mean: {self.balance():.2f}",
            f"prompts of another member and new prompts: {len(times.repeated)} and {len(times.fresh)} responses",
            f"mean response time of new prompts {times.difference_ms():+.2f} ms, p = {times.p_value():.3g}",
            f"a shift of {times.minimum_detectable_effect_ms():.2f} ms is detected with probability {POWER}",
        ]


class IsolationRun:
    """One run: the fleet, its traffic and its faults."""

    def __init__(self, loop, seed, isolated, seconds):
        self.loop, self.seconds, self.rng = loop, seconds, random.Random(seed)
        self.cache_records, self.times = CacheRecords(frozenset([PUBLIC])), ResponseTimes()
        self.fleet = RivalFleet(loop, isolated, self.cache_records)
        self.clients = Clients(seed, self.fleet.ready, lambda ip: self.fleet.incarnations[ip], self.cache_records)

    async def run(self):
        """Run the scenario; return the results."""
        for i in range(SIZE.runners):
            await self.fleet.start_runner(i)
        await self._start_fleet()
        HOST.set("127.9.0.1")
        end = self.loop.time() + self.seconds
        for member in ALL_MEMBERS:
            self.clients.start(self.clients.send_at_rate(member, REQUESTS_PER_S, self._prompt, end))
        self.clients.start(self._probe(end))
        await self._inject_faults()
        await asyncio.sleep(max(0.0, end - self.loop.time()))
        await self.clients.all_done()
        await asyncio.gather(*(router.stop() for router in self.fleet.routers.values()))
        twice = sum(runs > 1 for runs in self.cache_records.runs.values())
        return IsolationResult(self.cache_records, self.clients.seen, self.times, twice)

    async def _start_fleet(self):
        fleet = self.fleet
        fleet.first_configuration = policy()
        await fleet.start()
        while len(fleet.ready()) < SIZE.nodes:
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def _prompt(self):
        """Return one of the prompts that all members send."""
        number = self.rng.randrange(PROMPTS)
        return f"{PUBLIC}:200,{0x5C00 + number:x}:2000,{0x9000 + number:x}:300"

    def _new_prompt(self):
        return f"{PUBLIC}:200,{self.rng.getrandbits(60):x}:2000,{self.rng.getrandbits(60):x}:300"

    async def _probe(self, end):
        """Measure response times of prompts that another member has just sent and of new prompts, in turn."""
        while self.loop.time() < end:
            known = self._new_prompt()
            for _ in range(2):
                await self.clients.send("a", known)
            for prompt, times in ((known, self.times.repeated), (self._new_prompt(), self.times.fresh)):
                response_s = await self.clients.send("b", prompt)
                if response_s is not None:
                    times.append(response_s)

    async def _inject_faults(self):
        fleet, size = self.fleet, self.fleet.size
        await asyncio.sleep(3)
        await fleet.kill([size.router(1)])
        await asyncio.sleep(3)
        await fleet.boot(1)
        await fleet.start_runner(2)
        await asyncio.sleep(2)
        await fleet.boot(SIZE.nodes)
        await fleet.start_runner(SIZE.runners)
        await self._partition()
        await self._add_member()
        await asyncio.sleep(2)
        await fleet.update_settings(settings(ALL_MEMBERS, KEYS[1]))

    async def _partition(self):
        """Partition two routers from all other routers and controllers for 4 s; clients and runners still reach them."""
        fleet = self.fleet
        isolated = {fleet.size.router(0), fleet.size.router(3)}
        others = ({*fleet.routers} - isolated) | {*fleet.controllers}
        await asyncio.sleep(2)
        fleet.loop.net.cut(isolated, others)
        await asyncio.sleep(4)
        fleet.loop.net.cuts.clear()
        await asyncio.sleep(2)

    async def _add_member(self):
        """Add a member, in the three steps of the operators' documentation."""
        fleet = self.fleet
        await fleet.update_settings(settings(ALL_MEMBERS, KEYS[0], [(ALL_MEMBERS[:3], KEYS[0])]))
        await asyncio.sleep(PROPAGATION_S)
        await fleet.replace_runners()
        await fleet.update_settings(settings(ALL_MEMBERS, KEYS[0]))


def play_isolation(seed, isolated=True, seconds=DURATION_S):
    """Run one seed; return the results."""
    with world(seed) as loop:
        return loop.run_until_complete(IsolationRun(loop, seed, isolated, seconds).run())
