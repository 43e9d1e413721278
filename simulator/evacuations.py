"""Dispatchers that evacuate and restore zones while faults are injected, and a check of the states they read.

Each dispatcher has its own zone. It sends one order after another, each with
retries until it is acknowledged. So a read must show the state requested by
the last acknowledged order, or by a later order that was sent before the
response to the read. A call that its sender gave up must not take effect after
a later order.
"""

import asyncio
import random

from attrs import define, field

from .caller import MAX_REDIRECTS, call, redirected
from .history import NEVER
from .virtual import HOST

PATH = "/-/evacuation"
CALL_TIMEOUT_S = 1.0
# Probability that a response is dropped.
LOST_RESPONSE_RATE = 0.08
RETRY_DELAY_S = 0.1
OK = 200


@define(slots=True, eq=False)
class Order:
    """An order: whether to evacuate the zone, when it was first sent, and when it was acknowledged."""

    evacuate: bool
    sent: float
    acknowledged: float = NEVER


@define(slots=True, eq=False)
class Read:
    """A read: when it was sent and answered, and whether it showed the zone as evacuated."""

    sent: float
    answered: float
    evacuated: bool


@define(slots=True, eq=False)
class DispatcherLog:
    """The orders and reads of one dispatcher, in order, and the statuses of refused orders."""

    zone: str
    orders: list = field(factory=list)
    reads: list = field(factory=list)
    refused: list = field(factory=list)

    def fault(self):
        """Return a message about the first fault, or None.

        >>> acknowledged = Order(True, 1.0, 2.0)
        >>> DispatcherLog("z", [acknowledged], [Read(3.0, 4.0, True)]).fault()
        >>> DispatcherLog("z", [acknowledged], [Read(3.0, 4.0, False)]).fault()
        'zone z: a read sent 3.000, answered 4.000 shows evacuated False'
        """
        if self.refused:
            return f"zone {self.zone}: an order was refused with {self.refused[0]}"
        for read in self.reads:
            if read.evacuated not in self._allowed(read):
                when = f"sent {read.sent:.3f}, answered {read.answered:.3f}"
                return f"zone {self.zone}: a read {when} shows evacuated {read.evacuated}"
        return None

    def _allowed(self, read):
        """Return the states that a read may show."""
        allowed = {False}
        for order in self.orders:
            if order.acknowledged < read.sent:
                allowed = {order.evacuate}
            elif order.sent < read.answered:
                allowed.add(order.evacuate)
        return allowed


class Dispatcher:
    """Sends orders and reads to random nodes, and drops some of the responses."""

    def __init__(self, site, zone, rng):
        self.site, self.rng, self.done = site, rng, DispatcherLog(zone)
        self.host = f"127.6.0.{1 + ord(zone[-1]) % 250}"

    async def _call(self, method, path):
        """Send one call and follow redirects; return the response, or None when there was none or it was dropped."""
        address = self.site.control(self.rng.choice(self.site.addresses))
        for _ in range(MAX_REDIRECTS + 1):
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    answer = await call(address, method, path, b"", {})
            except (OSError, EOFError, TimeoutError):
                return None
            if self.rng.random() < LOST_RESPONSE_RATE:
                return None
            if redirected(answer) is None:
                return answer
            address = redirected(answer)
        return None

    def _now(self):
        return self.site.loop.time()

    async def order(self, evacuate):
        """Send an order, with retries until it is acknowledged or refused."""
        order = Order(evacuate, self._now())
        self.done.orders.append(order)
        while order.acknowledged == NEVER:
            answer = await self._call("POST" if evacuate else "DELETE", f"{PATH}/{self.done.zone}")
            if answer is not None and answer.status == OK:
                order.acknowledged = self._now()
            elif answer is not None and answer.status < 500:
                self.done.refused.append(answer.status)
                return
            else:
                await asyncio.sleep(RETRY_DELAY_S * self.rng.random())

    async def read(self):
        """Read once; record the result if there is a response."""
        sent = self._now()
        answer = await self._call("GET", PATH)
        if answer is not None and answer.status == OK:
            self.done.reads.append(Read(sent, self._now(), self.done.zone in answer.body["zones"]))

    async def work(self, until):
        """Evacuate and restore the zone in turn until an event loop time, with reads in between."""
        HOST.set(self.host)
        evacuate = False
        while self._now() < until:
            evacuate = not evacuate
            await self.order(evacuate)
            for _ in range(self.rng.randrange(4)):
                await self.read()
                await asyncio.sleep(0.3 * self.rng.random())

    async def last(self):
        """Read after the last fault, with retries until there is a response."""
        HOST.set(self.host)
        before = len(self.done.reads)
        while len(self.done.reads) == before:
            await self.read()
            await asyncio.sleep(RETRY_DELAY_S)


def dispatchers(site, rng):
    """Return a dispatcher for each of two zones of the site."""
    zones = sorted(set(site.zones.values()))[:2]
    return [Dispatcher(site, zone, random.Random(rng.random())) for zone in zones]
