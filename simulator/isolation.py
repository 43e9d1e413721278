"""Plays rivals' identical prompts over a fleet of real routers and controllers, in simulated time.

Routers are killed, restarted, added and cut off, runners are restarted, added
and replaced, a member is added and the key is turned over. Runners account for
every part that they keep; a part that is found though another member left it
is what must never be seen.
"""

import asyncio
import random
import statistics

from attrs import define, field
from scipy.stats import mannwhitneyu

from sparloom.router.program import Router
from sparloom.settings import from_dict

from .fleet import SERVICE, Fleet, Size, entries, startup
from .rivals import Books, Clients, KeepingRunner, Seen
from .virtual import HOST, world

SIZE = Size(nodes=6, runners=20, routes=0, zones=3, controllers=3, slots=16)
PUBLIC = "aa"
PROMPTS = 40
RATE = 8.0
SECONDS = 45.0
MOST_MEMBERS = ("a", "b", "c", "d")
KEYS = ("11" * 32, "22" * 32)
# A router reads its settings again within a second; so a step is in force everywhere after this.
STEP_S = 1.5
DRAIN_S = 0.4
ALPHA, POWER = 0.01, 0.8


def policy():
    """A configuration with two routes a member: one whose requests may run once only, one that may be resumed."""
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
        for member in MOST_MEMBERS
        for name in ("plan", "check")
    ]
    service = {"name": SERVICE, "connectionLimit": 570, "engine": {"slots": 16, "cacheTokens": 378959}}
    return {"revision": 1, "routes": routes, "services": [service]}


def settings(names, key, before=()):
    """The sections ``members`` and ``isolation`` of a startup file.

    ``before``: earlier (names, key) pairs that lives of runners may still go by.

    >>> sorted(settings(("a", "b"), KEYS[0])["isolation"])
    ['before', 'key', 'public']
    """
    members = {name: {"hosts": [f"{name}.example"], "reserve": 0.2} for name in names}
    earlier = [{"key": k, "public": [PUBLIC], "members": dict.fromkeys(ns, 0.2)} for ns, k in before]
    return {"members": members, "isolation": {"key": key, "public": [PUBLIC], "before": earlier}}


class RivalFleet(Fleet):
    """Real routers, with their fronts, before runners that keep prompts."""

    def __init__(self, loop, isolated, books):
        super().__init__(loop, SIZE)
        self.isolated, self.books = isolated, books
        self.told = settings(MOST_MEMBERS[:3], KEYS[0])
        self.runners, self.births, self.draining = {}, {}, None

    def _settings(self, ip, i):
        told = dict(self.told)
        if not self.isolated:
            del told["isolation"]
        return from_dict({**startup(self.size, ip, "router", self.size.zone(i), 1), **told}).unwrap()

    async def boot(self, i, wait=0.0):
        """Starts the i-th router, with a new life."""
        await asyncio.sleep(wait)
        ip = self.size.router(i)
        self.births[ip] = self.births.get(ip, 0) + 1
        self.loop.net.off.discard(ip)
        self.routers[ip] = await self._on(ip, Router(self._settings(ip, i), ""))

    async def kill(self, ips):
        """Routers lose power."""
        for ip in ips:
            self.births[ip] += 1
        await super().kill(ips)

    def ready(self):
        """The addresses of the routers that clients may be given."""
        return [ip for ip, router in self.routers.items() if router.node.ready()]

    async def tell(self, told):
        """Gives all routers other settings, one after another within a second."""
        self.told = told
        for i, ip in enumerate(sorted(self.routers)):
            await asyncio.sleep(1.0 / (len(self.routers) + 1))
            if ip in self.routers:
                self.routers[ip].apply_settings(self._settings(ip, i))

    # -- runners ----------------------------------------------------------------
    async def start_runner(self, i):
        """Starts the i-th runner in a new life, with nothing kept."""
        old = self.runners.get(i)
        life = old.life + 1 if old else 0
        if old:
            began = self.loop.time()
            await old.runner.stop()
            self.books.runner_ends.append((began, self.loop.time()))
        host = f"127.4.0.{i + 1}"
        runner = KeepingRunner(id=f"i-{i}-{life}", events=4, pause=0.005, books=self.books)
        HOST.set(host)
        await runner.start(host, 8080)
        self.runners[i] = Life(runner, life)
        self.tell_list()

    def tell_list(self):
        """Lets the platform list what runs now."""
        for controller in self.controllers.values():
            controller.poller.listing = self.listed()

    def listed(self):
        """The platform's list: the runners that run now."""
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
        """Replaces all runners one after another, each after a time of draining; waits until routers know the list."""
        for i in list(self.runners):
            self.draining = i
            self.tell_list()
            await asyncio.sleep(DRAIN_S)
            self.draining = None
            await self.start_runner(i)
        await asyncio.sleep(STEP_S)


@define(frozen=True, slots=True)
class Life:
    """One life of a runner."""

    runner: KeepingRunner
    life: int


@define(slots=True)
class Times:
    """Seconds until the answer of a prompt that a rival has sent before, and of one that nobody has."""

    rivals: list = field(factory=list)
    fresh: list = field(factory=list)

    def p_value(self):
        """How likely such a difference is by chance, by the test of Mann and Whitney, both sides."""
        return float(mannwhitneyu(self.rivals, self.fresh).pvalue)

    def difference_ms(self):
        """By how much the fresh prompts are answered later in the mean."""
        return 1000 * (statistics.fmean(self.fresh) - statistics.fmean(self.rivals))

    def least_effect_ms(self):
        """The shift of the mean that the test would have found with a chance of ``POWER`` (normal approximation)."""
        normal = statistics.NormalDist()
        spread = statistics.pstdev(self.rivals + self.fresh)
        quantiles = normal.inv_cdf(1 - ALPHA / 2) + normal.inv_cdf(POWER)
        return 1000 * quantiles * spread * (1 / len(self.rivals) + 1 / len(self.fresh)) ** 0.5


@define(frozen=True, slots=True)
class Played:
    """What one play showed."""

    books: Books
    seen: Seen
    times: Times
    twice: int

    @property
    def held(self):
        """Whether nothing crossed, was lost or ran twice, and the answer times tell nothing."""
        apart = not self.books.crossed and self.times.p_value() >= ALPHA
        return apart and not self.seen.lost and not self.twice

    def balance(self):
        """The busiest life of a runner over the mean of all lives."""
        load = self.books.load.values()
        return max(load) / statistics.mean(load)

    def lines(self):
        """What is printed."""
        books, seen, times = self.books, self.seen, self.times
        return [
            f"parts found that a rival had left: {len(books.crossed)}; own parts found: {books.own_hits}; parts read: {books.reads}",
            f"requests answered {seen.answered}, refused {seen.refused}, lost {len(seen.lost)}, run twice {self.twice}",
            f"cut by the end of a router or a runner {seen.cut}, no connection {seen.unread}",
            f"busiest life of a runner over the mean: {self.balance():.2f}",
            f"a rival's prompt against a fresh one: {len(times.rivals)} and {len(times.fresh)} answers",
            f"the fresh ones {times.difference_ms():+.2f} ms in the mean, p = {times.p_value():.3g}",
            f"a shift of {times.least_effect_ms():.2f} ms would have been found with a chance of {POWER}",
        ]


class Play:
    """One play: the fleet, its traffic and its troubles."""

    def __init__(self, loop, seed, isolated, seconds):
        self.loop, self.seconds, self.luck = loop, seconds, random.Random(seed)
        self.books, self.times = Books(frozenset([PUBLIC])), Times()
        self.fleet = RivalFleet(loop, isolated, self.books)
        self.clients = Clients(seed, self.fleet.ready, lambda ip: self.fleet.births[ip], self.books)

    async def run(self):
        """Plays it; gives what it showed."""
        for i in range(SIZE.runners):
            await self.fleet.start_runner(i)
        await self._start_fleet()
        HOST.set("127.9.0.1")
        end = self.loop.time() + self.seconds
        for member in MOST_MEMBERS:
            self.clients.start(self.clients.often(member, RATE, self._prompt, end))
        self.clients.start(self._probe(end))
        await self._troubles()
        await asyncio.sleep(max(0.0, end - self.loop.time()))
        await self.clients.all_done()
        await asyncio.gather(*(router.stop() for router in self.fleet.routers.values()))
        twice = sum(runs > 1 for runs in self.books.runs.values())
        return Played(self.books, self.clients.seen, self.times, twice)

    async def _start_fleet(self):
        fleet = self.fleet
        fleet.first_policy = policy()
        await fleet.start()
        while len(fleet.ready()) < SIZE.nodes:
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def _prompt(self):
        """A prompt out of those that all members send."""
        number = self.luck.randrange(PROMPTS)
        return f"{PUBLIC}:200,{0x5C00 + number:x}:2000,{0x9000 + number:x}:300"

    def _new_prompt(self):
        return f"{PUBLIC}:200,{self.luck.getrandbits(60):x}:2000,{self.luck.getrandbits(60):x}:300"

    async def _probe(self, end):
        """Times prompts that a rival has just sent against fresh ones, in turn."""
        while self.loop.time() < end:
            known = self._new_prompt()
            for _ in range(2):
                await self.clients.send("a", known)
            for prompt, times in ((known, self.times.rivals), (self._new_prompt(), self.times.fresh)):
                taken = await self.clients.send("b", prompt)
                if taken is not None:
                    times.append(taken)

    async def _troubles(self):
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
        await fleet.tell(settings(MOST_MEMBERS, KEYS[1]))

    async def _partition(self):
        """Two routers are cut from all other routers and controllers for some seconds; clients and runners reach them."""
        fleet = self.fleet
        some = {fleet.size.router(0), fleet.size.router(3)}
        others = ({*fleet.routers} - some) | {*fleet.controllers}
        await asyncio.sleep(2)
        fleet.loop.net.cut(some, others)
        await asyncio.sleep(4)
        fleet.loop.net.cuts.clear()
        await asyncio.sleep(2)

    async def _add_member(self):
        """A further member, in the three steps of the operators' page."""
        fleet = self.fleet
        await fleet.tell(settings(MOST_MEMBERS, KEYS[0], [(MOST_MEMBERS[:3], KEYS[0])]))
        await asyncio.sleep(STEP_S)
        await fleet.replace_runners()
        await fleet.tell(settings(MOST_MEMBERS, KEYS[0]))


def play_isolation(seed, isolated=True, seconds=SECONDS):
    """Plays one seed; gives what it showed."""
    with world(seed) as loop:
        return loop.run_until_complete(Play(loop, seed, isolated, seconds).run())
