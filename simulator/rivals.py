"""Runners that account for every part of a prompt, and rivals who send the same prompts."""

import asyncio
import random
from collections import Counter

from attrs import define, field

from fakes.runner import Runner

from .clients import Client, Outcome

PROMPT = "X-Sparloom-Prompt-Prefix"
SECONDS_A_TOKEN = 1 / 50_000
FRONT_PORT = 8263
CONNECT_S, MOST_WAIT_S = 1.0, 6.0


def member_of(host):
    """The member that a host name stands for.

    >>> member_of("a.example")
    'a'
    """
    return host.partition(".")[0]


@define(slots=True)
class Books:
    """What all runners together have seen.

    ``public``: ids of parts that all may share. ``crossed``: parts found that
    another member's prompt had left, as (runner, part, finder, first reader).
    ``broken``: requests that a runner's end broke off. ``runner_ends``: when
    runners ended, as (begin, end) in seconds of the loop.
    """

    public: frozenset
    runs: Counter = field(factory=Counter)
    load: Counter = field(factory=Counter)
    own_hits: int = 0
    reads: int = 0
    crossed: list = field(factory=list)
    broken: set = field(factory=set)
    runner_ends: list = field(factory=list)

    def runner_ended_during(self, began, ended):
        """Whether a runner ended between two times of the loop.

        >>> Books(frozenset(), runner_ends=[(2.0, 3.0)]).runner_ended_during(2.5, 2.6)
        True
        """
        return any(first <= ended and began <= last for first, last in self.runner_ends)

    def lookup(self, runner, member, prompt):
        """Looks a prompt up in a runner's cache and leaves it there; gives the tokens that had to be read.

        A part is found only behind those before it, so it is known by all ids up to its own.
        """
        unread, chain, found = 0, "", True
        for part in prompt.split(","):
            id, _, tokens = part.partition(":")
            chain = f"{chain},{id}"
            readers = runner.kept.setdefault(chain, [])
            found = found and bool(readers)
            if not found:
                unread += int(tokens)
                self.reads += 1
            elif id not in self.public:
                self._found(runner, member, id, readers)
            if member not in readers:
                readers.append(member)
        return unread

    def _found(self, runner, member, id, readers):
        if member in readers:
            self.own_hits += 1
        else:
            self.crossed.append((runner.id, id, member, readers[0]))


@define(slots=True, eq=False)
class KeepingRunner(Runner):
    """A runner that takes its time for what it has to read, and keeps it for its life."""

    books: Books = None
    kept: dict = field(factory=dict)

    async def _ok(self, g, w, **kw):
        if g.head("X-Sparloom-Expected-Instance") != self.id:
            return await self._moved(g, w)
        member = member_of(g.head("Host"))
        id = g.head("X-Sparloom-Attempt-Id")
        self.books.runs[id] += 1
        self.books.load[self.id] += 1
        unread = self.books.lookup(self, member, g.head(PROMPT))
        try:
            await asyncio.sleep(unread * SECONDS_A_TOKEN)
            return await Runner._ok(self, g, w, **kw)
        except asyncio.CancelledError:
            self.books.broken.add(id)
            raise


@define(slots=True)
class Seen:
    """What the clients saw, summed up.

    ``lost``: requests that were read and got neither a whole answer nor a
    refusal, though their router and their runner went on running. ``cut``:
    those whose router lost its power or whose runner ended. ``unread``: those
    that found no connection.
    """

    answered: int = 0
    refused: int = 0
    cut: int = 0
    unread: int = 0
    lost: list = field(factory=list)


class Clients:
    """Sends prompts as members, each on a connection of its own, to routers that run.

    ``routers()``: the addresses of the fronts that clients may be given now.
    ``lives(address)``: a number that changes when that router loses power.
    """

    def __init__(self, seed, routers, lives, books):
        self.luck, self.routers, self.lives, self.books = random.Random(seed), routers, lives, books
        self.seen = Seen()
        self.tasks = set()

    async def send(self, member, prompt, path="/plan/"):
        """Sends one request; gives the seconds until its answer was whole, or None without an answer."""
        address = self.luck.choice(sorted(self.routers()))
        life, id = self.lives(address), f"{self.luck.getrandbits(64):016x}"
        try:
            async with asyncio.timeout(CONNECT_S):
                client = await Client.connect(address, FRONT_PORT)
        except (OSError, TimeoutError):
            self.seen.unread += 1
            return None
        try:
            async with asyncio.timeout(MOST_WAIT_S):
                outcome = await client.send(path, id, host=f"{member}.example", heads=[f"{PROMPT}: {prompt}"])
        except TimeoutError:
            outcome = Outcome(id, 0.0, 0.0)
        finally:
            client.close()
        return self._count(outcome, self.lives(address) == life)

    def _count(self, outcome, router_lived):
        if outcome.whole and outcome.status == 200:
            self.seen.answered += 1
            return outcome.ended - outcome.began
        if outcome.refused:
            self.seen.refused += 1
        elif not router_lived or outcome.id in self.books.broken or self._failed_by_runner(outcome):
            self.seen.cut += 1
        else:
            self.seen.lost.append(outcome.id)
        return None

    def _failed_by_runner(self, outcome):
        """Whether a complete 502 came while a runner ended.

        The request may have been on its way to that runner, which read none of
        it: the runner's books don't know it, and the router can't tell.
        """
        complete = outcome.whole and outcome.status == 502
        return complete and self.books.runner_ended_during(outcome.began, outcome.ended)

    def start(self, work):
        """Does some work in a task that is waited for at the end."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def often(self, member, rate, prompt, until):
        """Sends prompts at a rate, at random moments, until a time of the loop; ``prompt()`` gives the next one."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.luck.expovariate(rate))
            self.start(self.send(member, prompt()))

    async def all_done(self):
        """Waits for the answers that are still due."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))
