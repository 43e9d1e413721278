"""Operators who work at once while troubles go on; all their calls are recorded."""

import asyncio
import json
import random
from itertools import count

from attrs import define, field

from . import virtual
from .caller import MAX_REDIRECTS, call, redirected
from .evacuations import dispatchers
from .fleet import SERVICE
from .history import Call, Outcome, Sent, fault_in
from .site import Site, storm_disks
from .virtual import HOST, world

PATH = "/-/configuration"
SILENCE = 1.0
FIRST_PAUSE, PAUSE_GROWTH = 0.05, 1.6
MOST_TRIES = 6
FIRST_TROUBLE = 2.5
# A machine counts as lost for so long after it is back, and no further one may lose its disk meanwhile.
CATCH_UP = 4.0
OUTCOMES = {200: Outcome.ACKNOWLEDGED, 400: Outcome.INVALID, 404: Outcome.EMPTY, 412: Outcome.STALE}


TROUBLES = ("kill", "power", "cut", "one_way", "shun", "stall", "all_killed", "all_power")
REPLACING = (*TROUBLES, "wipe", "replace", "wipe", "replace")


@define(frozen=True, slots=True)
class Plan:
    """How a history is played: operators, seconds of trouble, and the troubles that may come."""

    operators: int = 8
    seconds: float = 30.0
    controllers: int = 3
    troubles: tuple = TROUBLES
    settle: float = 12.0


STORMY = Plan()


@define(slots=True)
class Played:
    """What was recorded: the calls, the troubles by time, and what was wrong."""

    calls: list = field(factory=list)
    troubles: list = field(factory=list)
    fault: str | None = None
    evacuations: list = field(factory=list)

    def count(self, outcome):
        """How many calls were answered so.

        >>> Played([Call(0.0)]).count(Outcome.UNCLEAR)
        1
        """
        return sum(c.outcome is outcome for c in self.calls)

    def summary(self):
        """The calls by their answers, and the troubles, in a line.

        >>> Played([Call(0.0)]).summary()
        '1 unclear; 0 evacuations, 0 reads of them; 0 troubles'
        """
        orders = sum(len(dispatch.orders) for dispatch in self.evacuations)
        reads = sum(len(dispatch.reads) for dispatch in self.evacuations)
        counts = ((self.count(outcome), outcome.name.lower()) for outcome in Outcome)
        calls = ", ".join(f"{n} {name}" for n, name in counts if n)
        return f"{calls}; {orders} evacuations, {reads} reads of them; {len(self.troubles)} troubles"


def route(name, target):
    """A route of a configuration, with a name of its own."""
    return {
        "name": name,
        "hostname": "history.example",
        "pathPrefix": f"/{name}/",
        "routeKind": "safe",
        "timeoutMs": 3000,
        "targetMs": target,
        "service": SERVICE,
    }


class Operator:
    """One operator: it reads, changes, repeats and errs as luck has it."""

    def __init__(self, site, recorded, name, rng):
        self.site, self.recorded, self.name, self.rng = site, recorded, name, rng
        self.host = f"127.5.0.{int(name) + 1}"
        self.known, self.older, self.numbers = 0, [], count(1)
        self.past, self.late = [], set()

    def _now(self):
        return self.site.loop.time()

    # -- calls --------------------------------------------------------------
    async def _once(self, address, order, body_after=0.0):
        """One call of one node, recorded unless it was redirected; gives the answer or None."""
        record = Call(self._now(), order)
        self.recorded.append(record)
        method = order.method if order else "GET"
        body = json.dumps(order.body).encode() if order else b""
        headers = {"If-Match": str(order.base)} if order else {}
        try:
            async with asyncio.timeout(None if body_after else SILENCE):
                answer = await call(address, method, PATH, body, headers, body_after)
        except (OSError, EOFError, TimeoutError):
            answer = None
        lost = self.rng.random() < 0.08
        if answer is not None and not lost:
            record.outcome = OUTCOMES.get(answer.status, Outcome.UNCLEAR)
            if order is None and answer.status == 200:
                record.outcome, record.content = Outcome.READ, answer.body
            if record.outcome is not Outcome.UNCLEAR:
                record.answered = self._now()
        if answer is not None and redirected(answer) is not None:
            self.recorded.remove(record)
        return None if lost else answer

    async def _try(self, address, order, body_after=0.0):
        """Calls a node and follows redirects; gives the call's last answer or None."""
        for _ in range(MAX_REDIRECTS + 1):
            answer = await self._once(address, order, body_after)
            if answer is None or redirected(answer) is None:
                return answer
            address = redirected(answer)
        return None

    def _node(self):
        return self.site.control(self.rng.choice(self.site.addresses))

    async def ask(self, order, tries=MOST_TRIES):
        """Sends an order (None: a read) until the answer is clear; gives the answer or None."""
        pause = FIRST_PAUSE
        for _ in range(tries):
            answer = await self._try(self._node(), order)
            if answer is not None and answer.status in OUTCOMES:
                self._learn(order, answer)
                return answer
            await asyncio.sleep(pause * (0.5 + self.rng.random()))
            pause *= PAUSE_GROWTH
        return None

    def _learn(self, order, answer):
        newest = self.known
        if answer.status == 200:
            newest = order.revision if order else answer.body["revision"]
        elif answer.status == 412:
            newest = int(answer.headers["revision"])
        if newest > self.known:
            self.older.append(self.known)
            self.known = newest

    # -- what it does -------------------------------------------------------
    def order(self):
        """A new order: on the newest revision known or a stale one, sound or not, whole or an edit."""
        rng, number = self.rng, next(self.numbers)
        stale = self.older and rng.random() < 0.15
        base = rng.choice(self.older) if stale else self.known
        revision = max(1, base + rng.choice((1, 1, 2, 2, 3, 5, 0)))
        valid = rng.random() > 0.1
        name = f"o{self.name}-{number}"
        mine = route(name if rng.random() < 0.5 else f"shared-{rng.randrange(4)}", 100 + int(self.name) + 10 * number)
        if not valid:
            mine["service"] = "nobody"
        if base and rng.random() < 0.5:
            body = {
                "revision": revision,
                "upsert": {"routes": [mine]},
                "remove": {"routes": [f"o{self.name}-{number - 1}"]},
            }
            return Sent(name, "PATCH", base, body, valid)
        body = {"revision": revision, "routes": [mine], "services": [{"name": SERVICE}]}
        return Sent(name, "PUT", base, body, valid)

    def _afterwards(self, coro):
        task = asyncio.ensure_future(coro)
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    async def act(self):
        """One thing: a read, a change, an old order again, an order twice at once, or one held up on its way."""
        luck = self.rng.random()
        if luck < 0.25 or not self.known and luck < 0.5:
            await self.ask(None)
        elif luck < 0.4 and self.past:
            await self.ask(self.rng.choice(self.past[-4:]))
        else:
            order = self.order()
            self.past.append(order)
            if luck < 0.5:
                self._afterwards(self._try(self._node(), order))
            elif luck < 0.6:
                self._afterwards(self._try(self._node(), order, 4 * self.rng.random()))
                return
            await self.ask(order)

    async def work(self, until):
        """Acts until a moment."""
        HOST.set(self.host)
        while self._now() < until:
            await self.act()
            await asyncio.sleep(0.4 * self.rng.random() ** 2)


class Troubles:
    """Seeded troubles, one after another; each ends before all machines are needed again."""

    def __init__(self, site, operators, rng, played):
        self.site, self.operators, self.rng, self.played = site, operators, rng, played

    def _tell(self, what, *hosts):
        self.played.troubles.append((round(self.site.loop.time() - virtual.START, 3), what, *hosts))

    def _some(self):
        primary = self.site.primary()
        running = sorted(self.site.running)
        return primary if primary and self.rng.random() < 0.6 else self.rng.choice(running)

    async def _restart(self, hosts, power):
        for ip in hosts:
            self.site.end(ip, power)
        await asyncio.sleep(0.05 + 1.5 * self.rng.random())
        for ip in hosts:
            await self.site.boot(ip)

    async def kill(self, ip):
        await self._restart([ip], power=False)

    async def power(self, ip):
        await self._restart([ip], power=True)

    async def all_killed(self, ip):
        await self._restart(sorted(self.site.running), power=False)

    async def all_power(self, ip):
        await self._restart(sorted(self.site.running), power=True)

    async def cut(self, ip):
        """Cut off from the others, while operators still reach it."""
        self.site.cut([ip], self.site.addresses)
        await asyncio.sleep(8 * self.rng.random())
        self.site.heal()

    async def one_way(self, ip):
        """Only one way is cut."""
        others = [a for a in self.site.addresses if a != ip]
        self.site.cut(*(([ip], others) if self.rng.random() < 0.5 else (others, [ip])), one_way=True)
        await asyncio.sleep(6 * self.rng.random())
        self.site.heal()

    async def shun(self, ip):
        """Operators' calls arrive, and no answer comes back."""
        self.site.cut([ip], [o.host for o in self.operators], one_way=True)
        await asyncio.sleep(3 * self.rng.random())
        self.site.heal()

    async def stall(self, ip):
        self.site.stall(ip)
        await asyncio.sleep(4 * self.rng.random())
        self.site.flow()

    async def wipe(self, ip):
        """The disk is lost; the machine comes back at its address."""
        await asyncio.sleep(CATCH_UP)
        self.site.wipe(ip)
        await asyncio.sleep(0.1 + self.rng.random())
        await self.site.boot(ip)
        await asyncio.sleep(CATCH_UP)

    async def replace(self, ip):
        """Another machine comes in its place."""
        await asyncio.sleep(CATCH_UP)
        new = self.site.replace(ip)
        await asyncio.sleep(1.5 * self.rng.random())
        await self.site.boot(new)
        await asyncio.sleep(CATCH_UP)

    async def run(self, names, until):
        """One trouble after another until a moment."""
        await asyncio.sleep(FIRST_TROUBLE)
        while self.site.loop.time() < until:
            await asyncio.sleep(1.5 * self.rng.random())
            name, ip = self.rng.choice(names), self._some()
            self._tell(name, ip)
            await getattr(self, name)(ip)


async def _play(loop, plan, rng, played):
    site = Site(loop, plan.controllers)
    operators = [Operator(site, played.calls, str(i), random.Random(rng.random())) for i in range(plan.operators)]
    await site.start()
    until = loop.time() + plan.seconds
    troubles = Troubles(site, operators, random.Random(rng.random()), played)
    evacuating = dispatchers(site, rng)
    played.evacuations = [dispatcher.done for dispatcher in evacuating]
    work = [asyncio.ensure_future(o.work(until)) for o in (*operators, *evacuating)]
    if plan.troubles:
        await troubles.run(plan.troubles, until)
    await asyncio.gather(*work)
    await asyncio.sleep(plan.settle)
    for dispatcher in evacuating:
        await dispatcher.last()
    return await _last(operators[0])


async def _last(operator):
    """After all troubles: a read, a change upon it, and a read back."""
    HOST.set(operator.host)
    read = await operator.ask(None, 3 * MOST_TRIES)
    if read is None:
        return "no read was answered after the troubles"
    operator.known = read.body["revision"] if read.status == 200 else 0
    body = {"revision": operator.known + 1, "routes": [route("last", 1)], "services": [{"name": SERVICE}]}
    done = await operator.ask(Sent("last", "PUT", operator.known, body), 3 * MOST_TRIES)
    if done is None or done.status not in (200, 412):
        return "no change was acknowledged after the troubles"
    again = await operator.ask(None, 3 * MOST_TRIES)
    return None if again is not None else "no read was answered at the end"


def play_history(seed, plan=STORMY):
    """Plays and checks one history; the same seed plays the same luck.

    >>> play_history(1, Plan(operators=2, seconds=2.0, troubles=(), settle=0.0)).fault
    """
    rng, played = random.Random(seed), Played()
    with world(seed, loss=0.01) as loop, storm_disks():
        ended = loop.run_until_complete(_play(loop, plan, rng, played))
    evacuation_faults = filter(None, (dispatch.fault() for dispatch in played.evacuations))
    played.fault = fault_in(played.calls) or next(evacuation_faults, None) or ended
    return played
