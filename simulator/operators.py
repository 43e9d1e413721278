"""Concurrent operators under injected faults; all their calls are recorded and checked."""

import asyncio
import json
import random
from itertools import count

from attrs import define, field

from . import virtual
from .caller import MAX_REDIRECTS, call, redirected
from .evacuations import dispatchers
from .fleet import SERVICE
from .history import Call, ChangeOrder, Outcome, fault_in
from .site import Site, faulty_disks
from .virtual import HOST, world

PATH = "/-/configuration"
CALL_TIMEOUT_S = 1.0
FIRST_PAUSE_S, PAUSE_GROWTH = 0.05, 1.6
MAXIMUM_ATTEMPTS = 6
FIRST_FAULT_DELAY_S = 2.5
# Seconds without another fault before and after the loss of a disk. A machine counts as lost until it has caught up,
# and no other machine may lose its disk before that.
CATCH_UP_S = 4.0
OUTCOMES = {200: Outcome.ACKNOWLEDGED, 400: Outcome.INVALID, 404: Outcome.EMPTY, 412: Outcome.STALE}


FAULTS = ("kill", "power", "cut", "one_way", "shun", "stall", "all_killed", "all_power")
REPLACEMENT_FAULTS = (*FAULTS, "wipe", "replace", "wipe", "replace")


@define(frozen=True, slots=True)
class Plan:
    """Parameters of a history: operators, seconds with faults, controllers, kinds of faults, and time to recover."""

    operators: int = 8
    seconds: float = 30.0
    controllers: int = 3
    troubles: tuple = FAULTS
    recovery_s: float = 12.0


DEFAULT_PLAN = Plan()


@define(slots=True)
class RecordedHistory:
    """A recorded history: the calls, the injected faults by time, and a message for its first fault, or None."""

    calls: list = field(factory=list)
    faults: list = field(factory=list)
    fault: str | None = None
    evacuations: list = field(factory=list)

    def count(self, outcome):
        """Return the number of calls with an outcome.

        >>> RecordedHistory([Call(0.0)]).count(Outcome.UNCLEAR)
        1
        """
        return sum(call_record.outcome is outcome for call_record in self.calls)

    def summary(self):
        """Return one line with the numbers of calls by outcome, of evacuations, and of injected faults.

        >>> RecordedHistory([Call(0.0)]).summary()
        '1 unclear; 0 evacuations, 0 reads of them; 0 faults'
        """
        orders = sum(len(dispatch.orders) for dispatch in self.evacuations)
        reads = sum(len(dispatch.reads) for dispatch in self.evacuations)
        counts = ((self.count(outcome), outcome.name.lower()) for outcome in Outcome)
        calls = ", ".join(f"{number} {name}" for number, name in counts if number)
        return f"{calls}; {orders} evacuations, {reads} reads of them; {len(self.faults)} faults"


def route(name, target):
    """Return a route with a name and a target time."""
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
    """An operator that reads, changes, retries and sends invalid or stale orders at random."""

    def __init__(self, site, recorded, name, rng):
        self.site, self.recorded, self.name, self.rng = site, recorded, name, rng
        self.host = f"127.5.0.{int(name) + 1}"
        self.known_revision, self.older_revisions, self.order_numbers = 0, [], count(1)
        self.past_orders, self.background_tasks = [], set()

    def _now(self):
        return self.site.loop.time()

    # -- calls --------------------------------------------------------------
    async def _call_once(self, address, order, body_after=0.0):
        """Call one node; the call is recorded unless it was redirected. Return the answer or None."""
        record = Call(self._now(), order)
        self.recorded.append(record)
        method = order.method if order else "GET"
        body = json.dumps(order.body).encode() if order else b""
        headers = {"If-Match": str(order.base)} if order else {}
        try:
            async with asyncio.timeout(None if body_after else CALL_TIMEOUT_S):
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

    async def _call_with_redirects(self, address, order, body_after=0.0):
        """Call a node and follow redirects; return the last answer or None."""
        for _ in range(MAX_REDIRECTS + 1):
            answer = await self._call_once(address, order, body_after)
            if answer is None or redirected(answer) is None:
                return answer
            address = redirected(answer)
        return None

    def _pick_node(self):
        return self.site.control(self.rng.choice(self.site.addresses))

    async def send(self, order, attempts=MAXIMUM_ATTEMPTS):
        """Send an order (None: a read) until an answer is conclusive; return it or None."""
        pause = FIRST_PAUSE_S
        for _ in range(attempts):
            answer = await self._call_with_redirects(self._pick_node(), order)
            if answer is not None and answer.status in OUTCOMES:
                self._update_known_revision(order, answer)
                return answer
            await asyncio.sleep(pause * (0.5 + self.rng.random()))
            pause *= PAUSE_GROWTH
        return None

    def _update_known_revision(self, order, answer):
        newest = self.known_revision
        if answer.status == 200:
            newest = order.revision if order else answer.body["revision"]
        elif answer.status == 412:
            newest = int(answer.headers["revision"])
        if newest > self.known_revision:
            self.older_revisions.append(self.known_revision)
            self.known_revision = newest

    # -- behaviour ----------------------------------------------------------
    def order(self):
        """Return a new order, on the newest known revision or a stale one, valid or not, as a PUT or a PATCH."""
        rng, number = self.rng, next(self.order_numbers)
        stale = self.older_revisions and rng.random() < 0.15
        base = rng.choice(self.older_revisions) if stale else self.known_revision
        revision = max(1, base + rng.choice((1, 1, 2, 2, 3, 5, 0)))
        valid = rng.random() > 0.1
        name = f"o{self.name}-{number}"
        new_route = route(
            name if rng.random() < 0.5 else f"shared-{rng.randrange(4)}", 100 + int(self.name) + 10 * number
        )
        if not valid:
            new_route["service"] = "nobody"
        if base and rng.random() < 0.5:
            body = {
                "revision": revision,
                "upsert": {"routes": [new_route]},
                "remove": {"routes": [f"o{self.name}-{number - 1}"]},
            }
            return ChangeOrder(name, "PATCH", base, body, valid)
        body = {"revision": revision, "routes": [new_route], "services": [{"name": SERVICE}]}
        return ChangeOrder(name, "PUT", base, body, valid)

    def _run_in_background(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def act(self):
        """Read, change, retry an old order, send an order twice at once, or send one with a delayed body."""
        draw = self.rng.random()
        if draw < 0.25 or not self.known_revision and draw < 0.5:
            await self.send(None)
        elif draw < 0.4 and self.past_orders:
            await self.send(self.rng.choice(self.past_orders[-4:]))
        else:
            order = self.order()
            self.past_orders.append(order)
            if draw < 0.5:
                self._run_in_background(self._call_with_redirects(self._pick_node(), order))
            elif draw < 0.6:
                self._run_in_background(self._call_with_redirects(self._pick_node(), order, 4 * self.rng.random()))
                return
            await self.send(order)

    async def work(self, until):
        """Act until a time."""
        HOST.set(self.host)
        while self._now() < until:
            await self.act()
            await asyncio.sleep(0.4 * self.rng.random() ** 2)


class FaultInjector:
    """Injects seeded faults one after another; each one ends before the next begins."""

    def __init__(self, site, operators, rng, played):
        self.site, self.operators, self.rng, self.played = site, operators, rng, played

    def _record(self, fault, *hosts):
        self.played.faults.append((round(self.site.loop.time() - virtual.START, 3), fault, *hosts))

    def _pick_host(self):
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
        """Isolate a controller from the others; operators still reach it."""
        self.site.cut([ip], self.site.addresses)
        await asyncio.sleep(8 * self.rng.random())
        self.site.heal()

    async def one_way(self, ip):
        """Cut only one direction between a controller and the others."""
        others = [address for address in self.site.addresses if address != ip]
        self.site.cut(*(([ip], others) if self.rng.random() < 0.5 else (others, [ip])), one_way=True)
        await asyncio.sleep(6 * self.rng.random())
        self.site.heal()

    async def shun(self, ip):
        """Drop a controller's answers to the operators; their calls still arrive."""
        self.site.cut([ip], [operator.host for operator in self.operators], one_way=True)
        await asyncio.sleep(3 * self.rng.random())
        self.site.heal()

    async def stall(self, ip):
        self.site.stall(ip)
        await asyncio.sleep(4 * self.rng.random())
        self.site.flow()

    async def wipe(self, ip):
        """Erase a controller's disk and restart it at the same address."""
        await asyncio.sleep(CATCH_UP_S)
        self.site.wipe(ip)
        await asyncio.sleep(0.1 + self.rng.random())
        await self.site.boot(ip)
        await asyncio.sleep(CATCH_UP_S)

    async def replace(self, ip):
        """Replace a controller by an empty machine at another address."""
        await asyncio.sleep(CATCH_UP_S)
        replacement = self.site.replace(ip)
        await asyncio.sleep(1.5 * self.rng.random())
        await self.site.boot(replacement)
        await asyncio.sleep(CATCH_UP_S)

    async def run(self, names, until):
        """Inject one fault after another until a time."""
        await asyncio.sleep(FIRST_FAULT_DELAY_S)
        while self.site.loop.time() < until:
            await asyncio.sleep(1.5 * self.rng.random())
            name, ip = self.rng.choice(names), self._pick_host()
            self._record(name, ip)
            await getattr(self, name)(ip)


async def _play(loop, plan, rng, played):
    site = Site(loop, plan.controllers)
    operators = [
        Operator(site, played.calls, str(number), random.Random(rng.random())) for number in range(plan.operators)
    ]
    await site.start()
    until = loop.time() + plan.seconds
    injector = FaultInjector(site, operators, random.Random(rng.random()), played)
    dispatchers_of_zones = dispatchers(site, rng)
    played.evacuations = [dispatcher.done for dispatcher in dispatchers_of_zones]
    work = [asyncio.ensure_future(operator.work(until)) for operator in (*operators, *dispatchers_of_zones)]
    if plan.troubles:
        await injector.run(plan.troubles, until)
    await asyncio.gather(*work)
    await asyncio.sleep(plan.recovery_s)
    for dispatcher in dispatchers_of_zones:
        await dispatcher.last()
    return await _check_recovery(operators[0])


async def _check_recovery(operator):
    """Check after all faults that a read, a change based on it, and another read are answered.

    Return a message if one is not, else None.
    """
    HOST.set(operator.host)
    read = await operator.send(None, 3 * MAXIMUM_ATTEMPTS)
    if read is None:
        return "no read was answered after all faults had ended"
    operator.known_revision = read.body["revision"] if read.status == 200 else 0
    body = {"revision": operator.known_revision + 1, "routes": [route("last", 1)], "services": [{"name": SERVICE}]}
    done = await operator.send(ChangeOrder("last", "PUT", operator.known_revision, body), 3 * MAXIMUM_ATTEMPTS)
    if done is None or done.status not in (200, 412):
        return "no change was acknowledged after all faults had ended"
    second_read = await operator.send(None, 3 * MAXIMUM_ATTEMPTS)
    return None if second_read is not None else "no read was answered after the last change"


def play_history(seed, plan=DEFAULT_PLAN):
    """Play and check one history; the same seed and plan give the same history.

    >>> play_history(1, Plan(operators=2, seconds=2.0, troubles=(), recovery_s=0.0)).fault
    """
    rng, played = random.Random(seed), RecordedHistory()
    with world(seed, loss=0.01) as loop, faulty_disks():
        recovery_fault = loop.run_until_complete(_play(loop, plan, rng, played))
    evacuation_faults = filter(None, (dispatch.fault() for dispatch in played.evacuations))
    played.fault = fault_in(played.calls) or next(evacuation_faults, None) or recovery_fault
    return played
