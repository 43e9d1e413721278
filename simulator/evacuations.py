"""Operators who evacuate a zone and take it back while troubles go on, and a judge of what they were told.

Each dispatcher has a zone of its own and gives one order after the other, each
again and again until it is acknowledged. So a read must show what the order
that was acknowledged last asked for, or what a later one asks for that was
sent before the read was answered. An order that was given up by its caller
must not take effect behind a later one.
"""

import asyncio
import random

from attrs import define, field

from .caller import MOST_REDIRECTS, call, redirected
from .history import NEVER
from .virtual import HOST

PATH = "/-/evacuation"
SILENCE_S = 1.0
LOST_ANSWERS = 0.08
PAUSE_S = 0.1
OK = 200


@define(slots=True, eq=False)
class Order:
    """An order: whether the zone is to be evacuated, when it was first sent, and when it was acknowledged."""

    evacuate: bool
    sent: float
    acknowledged: float = NEVER


@define(slots=True, eq=False)
class Read:
    """A read: when it was sent and answered, and whether the zone was evacuated."""

    sent: float
    answered: float
    evacuated: bool


@define(slots=True, eq=False)
class Dispatch:
    """What one dispatcher did and was told, in order."""

    zone: str
    orders: list = field(factory=list)
    reads: list = field(factory=list)
    refused: list = field(factory=list)

    def fault(self):
        """The first thing wrong, as a sentence, or None.

        >>> acknowledged = Order(True, 1.0, 2.0)
        >>> Dispatch("z", [acknowledged], [Read(3.0, 4.0, True)]).fault()
        >>> Dispatch("z", [acknowledged], [Read(3.0, 4.0, False)]).fault()
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
        """What a read may show."""
        allowed = {False}
        for order in self.orders:
            if order.acknowledged < read.sent:
                allowed = {order.evacuate}
            elif order.sent < read.answered:
                allowed.add(order.evacuate)
        return allowed


class Dispatcher:
    """Orders and reads at nodes that luck picks, with answers that are lost."""

    def __init__(self, site, zone, rng):
        self.site, self.rng, self.done = site, rng, Dispatch(zone)
        self.host = f"127.6.0.{1 + ord(zone[-1]) % 250}"

    async def _call(self, method, path):
        """One call, redirects followed; the answer, or None where none came or it was lost."""
        address = self.site.control(self.rng.choice(self.site.addresses))
        for _ in range(MOST_REDIRECTS + 1):
            try:
                async with asyncio.timeout(SILENCE_S):
                    answer = await call(address, method, path, b"", {})
            except (OSError, EOFError, TimeoutError):
                return None
            if self.rng.random() < LOST_ANSWERS:
                return None
            if redirected(answer) is None:
                return answer
            address = redirected(answer)
        return None

    def _now(self):
        return self.site.loop.time()

    async def order(self, evacuate):
        """Gives an order until it is acknowledged."""
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
                await asyncio.sleep(PAUSE_S * self.rng.random())

    async def read(self):
        """Reads once; an answer that doesn't come tells nothing."""
        sent = self._now()
        answer = await self._call("GET", PATH)
        if answer is not None and answer.status == OK:
            self.done.reads.append(Read(sent, self._now(), self.done.zone in answer.body["zones"]))

    async def work(self, until):
        """Evacuates and takes back by turns until a moment, and reads in between."""
        HOST.set(self.host)
        evacuate = False
        while self._now() < until:
            evacuate = not evacuate
            await self.order(evacuate)
            for _ in range(self.rng.randrange(4)):
                await self.read()
                await asyncio.sleep(0.3 * self.rng.random())

    async def last(self):
        """Reads after all troubles until an answer comes."""
        HOST.set(self.host)
        before = len(self.done.reads)
        while len(self.done.reads) == before:
            await self.read()
            await asyncio.sleep(PAUSE_S)


def dispatchers(site, rng):
    """A dispatcher for each of two zones of the site."""
    zones = sorted(set(site.zones.values()))[:2]
    return [Dispatcher(site, zone, random.Random(rng.random())) for zone in zones]
