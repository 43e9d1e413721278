"""Runners that record every prompt part in their prefix cache, and clients of several members with equal prompts.

``CachingRunner`` simulates the prefix cache, ``CacheRecords`` records cache hits and
runs of all runners, and ``Clients`` sends prompts and classifies the outcomes.
"""

import asyncio
import random
from collections import Counter

from attrs import define, field

from fakes.runner import Runner

from .clients import Client, Outcome

PROMPT = "X-Sparloom-Prompt-Prefix"
PREFILL_S_PER_TOKEN = 1 / 50_000
FRONT_PORT = 8263
CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S = 1.0, 6.0


def member_of(host):
    """Return the member that owns a host name.

    >>> member_of("a.example")
    'a'
    """
    return host.partition(".")[0]


@define(slots=True)
class CacheRecords:
    """The combined records of all runners.

    ``public``: ids of the parts that all members may share. ``runs``: runs by
    request id. ``load``: requests by runner id. ``own_hits``: cache hits on
    parts that the same member has sent. ``prefills``: parts not found in the
    cache. ``cross_member_hits``: cache hits on parts of other members, as (runner, part,
    member, first member). ``broken``: ids of requests aborted by the end of a
    runner. ``runner_ends``: when runners stopped, as (start, end) in event
    loop time.
    """

    public: frozenset
    runs: Counter = field(factory=Counter)
    load: Counter = field(factory=Counter)
    own_hits: int = 0
    prefills: int = 0
    cross_member_hits: list = field(factory=list)
    broken: set = field(factory=set)
    runner_ends: list = field(factory=list)

    def runner_ended_during(self, began, ended):
        """Whether a runner was stopping at some time in an interval of event loop time.

        >>> CacheRecords(frozenset(), runner_ends=[(2.0, 3.0)]).runner_ended_during(2.5, 2.6)
        True
        """
        return any(first <= ended and began <= last for first, last in self.runner_ends)

    def lookup(self, runner, member, prompt):
        """Look a prompt up in a runner's cache and add it; return the number of tokens to prefill.

        A part is a hit only if all parts before it are, so its cache key contains all ids up to its own.
        """
        uncached_tokens, chain, hit = 0, "", True
        for part in prompt.split(","):
            id, _, tokens = part.partition(":")
            chain = f"{chain},{id}"
            members = runner.cache.setdefault(chain, [])
            hit = hit and bool(members)
            if not hit:
                uncached_tokens += int(tokens)
                self.prefills += 1
            elif id not in self.public:
                self._record_hit(runner, member, id, members)
            if member not in members:
                members.append(member)
        return uncached_tokens

    def _record_hit(self, runner, member, id, members):
        if member in members:
            self.own_hits += 1
        else:
            self.cross_member_hits.append((runner.id, id, member, members[0]))


@define(slots=True, eq=False)
class CachingRunner(Runner):
    """A runner that waits for the prefill of uncached tokens and caches prompts until it stops."""

    cache_records: CacheRecords = None
    cache: dict = field(factory=dict)

    async def _ok(self, request, writer, **options):
        if request.head("X-Sparloom-Expected-Instance") != self.id:
            return await self._moved(request, writer)
        member = member_of(request.head("Host"))
        id = request.head("X-Sparloom-Attempt-Id")
        self.cache_records.runs[id] += 1
        self.cache_records.load[self.id] += 1
        uncached_tokens = self.cache_records.lookup(self, member, request.head(PROMPT))
        try:
            await asyncio.sleep(uncached_tokens * PREFILL_S_PER_TOKEN)
            return await Runner._ok(self, request, writer, **options)
        except asyncio.CancelledError:
            self.cache_records.broken.add(id)
            raise


@define(slots=True)
class RequestCounts:
    """Request counts by outcome, as observed by the clients.

    ``lost``: ids of requests that were read and got neither a complete
    response nor a refusal, although their router and their runner kept
    running. ``cut``: requests whose router lost power or whose runner stopped. ``unread``:
    requests for which no connection could be opened.
    """

    answered: int = 0
    refused: int = 0
    cut: int = 0
    unread: int = 0
    lost: list = field(factory=list)


class Clients:
    """Sends prompts as different members to running routers, each on a new connection.

    ``routers()``: the addresses of the routers that accept clients now.
    ``incarnation(address)``: a number that changes when that router loses power.
    """

    def __init__(self, seed, routers, incarnation, cache_records):
        self.rng, self.routers, self.incarnation, self.cache_records = (
            random.Random(seed),
            routers,
            incarnation,
            cache_records,
        )
        self.seen = RequestCounts()
        self.tasks = set()

    async def send(self, member, prompt, path="/plan/"):
        """Send one request; return the seconds until its 200 response was complete, or None without one."""
        address = self.rng.choice(sorted(self.routers()))
        incarnation, id = self.incarnation(address), f"{self.rng.getrandbits(64):016x}"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                client = await Client.connect(address, FRONT_PORT)
        except (OSError, TimeoutError):
            self.seen.unread += 1
            return None
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                outcome = await client.send(path, id, host=f"{member}.example", heads=[f"{PROMPT}: {prompt}"])
        except TimeoutError:
            outcome = Outcome(id, 0.0, 0.0)
        finally:
            client.close()
        return self._count(outcome, self.incarnation(address) == incarnation)

    def _count(self, outcome, router_running):
        if outcome.whole and outcome.status == 200:
            self.seen.answered += 1
            return outcome.ended - outcome.began
        if outcome.refused:
            self.seen.refused += 1
        elif not router_running or outcome.id in self.cache_records.broken or self._failed_by_runner(outcome):
            self.seen.cut += 1
        else:
            self.seen.lost.append(outcome.id)
        return None

    def _failed_by_runner(self, outcome):
        """Whether the response is a complete 502 and a runner stopped during the request.

        The request may have been forwarded to that runner without being read:
        then it isn't in the runner's records, and the router can't know that.
        """
        complete = outcome.whole and outcome.status == 502
        return complete and self.cache_records.runner_ended_during(outcome.began, outcome.ended)

    def start(self, coroutine):
        """Run a coroutine in a task that ``all_done`` waits for."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def send_at_rate(self, member, rate, prompt, until):
        """Send prompts at random times with a mean rate per second, until an event loop time; ``prompt()`` returns the next."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.start(self.send(member, prompt()))

    async def all_done(self):
        """Wait until all tasks have finished."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))
