"""A play-ground for ledgers: simulated time, links and disks; seeded luck."""

import random
from datetime import timedelta
from itertools import count

from sparloom.ledger import Confirmed, Decided, Ledger, Lost, Member, Save, Send, Spans
from sparloom.ledger.records import Copy

from .clock import MS, Clock

SPANS = Spans.of(timedelta(seconds=3))


class Core(Clock):
    """Some controllers, each with a ledger, a disk and links that can be cut.

    >>> core = Core("abc"); core.run(2500); core.write(5)
    True
    """

    def __init__(self, names="abc", copies=1, seed=1, loss=0.02, seeds=None):
        super().__init__()
        self.rng = random.Random(seed)
        self.names, self.copies, self.loss = list(names), copies, loss
        self.nodes, self.disks, self.members = {}, {}, {}
        self.cuts, self.stall, self.off = set(), set(), set()
        self.decided, self.lost, self.confirmed = {}, set(), {}
        self.acked, self.ids, self.lives = [], count(100), count()
        self.seeds = [(n, 1) for n in seeds or names]
        for n in names:
            self.boot(n, first=True)

    def boot(self, n, first=False):
        """Starts a member with what its disk holds."""
        disk = self.disks.get(n)
        if disk is None:
            self.members[n] = Member(next(self.ids), n, 1, "z" + n, n + ":9")
        led = Ledger.start(
            self.members[n], disk, first, SPANS, random.Random(self.rng.random()), self.copies, self.seeds, self.now
        )
        life = next(self.lives)
        self.nodes[n] = (led, life)
        self.off.discard(n)
        self.at(MS, lambda: self._tick(n, life))

    def up(self, n, life):
        """Whether that life of a member still runs."""
        return n not in self.off and self.nodes[n][1] == life

    def _tick(self, n, life):
        if not self.up(n, life):
            return
        self.act(n, self.nodes[n][0].tick(self.now))
        self.at(20 * MS, lambda: self._tick(n, life))

    def act(self, n, acts):
        """Carries out a member's actions."""
        led, life = self.nodes[n]
        for a in acts or ():
            if isinstance(a, Save):
                if n in self.stall:
                    continue
                self.at((20 + 10 * self.rng.random()) * MS, lambda a=a: self._saved(n, life, a))
            elif isinstance(a, Send):
                for to in self._where(n, a.to):
                    self._send(n, to, a.rec)
            elif isinstance(a, Decided):
                self.decided[n, a.id] = a.data
                if a.id:
                    self.acked.append(a.data)
            elif isinstance(a, Lost):
                self.lost.add((n, a.id))
            elif isinstance(a, Confirmed):
                self.confirmed[n, a.id] = led.data

    def _saved(self, n, life, a):
        if not self.up(n, life) or n in self.stall:
            return
        old = self.disks.get(n)
        led = self.nodes[n][0]
        if a.mark < getattr(self, "_m", {}).get((n, life), 0):
            return
        self.disks[n] = (a.reg, a.data if a.data is not None else (old[1] if old else led.data))
        self.act(n, led.saved(self.now, a))

    def _where(self, n, to):
        if to is None:
            return [m for m in self.nodes if m != n]
        if to == "seeds":
            return [m for m, _ in self.seeds]
        return [to.host]

    def _send(self, n, to, rec):
        if to not in self.nodes:
            return
        life = self.nodes[to][1]
        lost = not isinstance(rec, Copy) and n != to and self.rng.random() < self.loss
        if (n, to) in self.cuts or lost:
            return
        delay = 0 * MS if n == to else (1 + 2 * self.rng.random()) * MS
        self.at(delay, lambda: self._arrive(to, life, rec))

    def _arrive(self, to, life, rec):
        if self.up(to, life):
            self.act(to, self.nodes[to][0].receive(self.now, rec))

    def leader(self):
        """The member that leads in the newest epoch, or None."""
        up = [n for n in self.nodes if n not in self.off and self.nodes[n][0].leading()]
        return max(up, key=lambda n: self.nodes[n][0].lead.view.epoch, default=None)

    def kill(self, n):
        """Stops a member; its disk stays."""
        self.off.add(n)

    def wipe(self, n):
        """Stops a member and empties its disk."""
        self.kill(n)
        self.disks.pop(n, None)

    def cut(self, n, others=None, way="both"):
        """Cuts a member from others (all), both ways, or ``in`` or ``out`` only."""
        for o in others or self.nodes:
            if o != n:
                self.cuts |= {(n, o)} if way == "out" else {(o, n)} if way == "in" else {(n, o), (o, n)}

    def heal(self):
        """Joins all links."""
        self.cuts.clear()

    def write(self, rev, n=None, wait=1500):
        """Writes at a node (the leader); whether it was acknowledged."""
        n = n or self.leader()
        if n is None:
            return False
        acts = self.nodes[n][0].write(self.now, rev, rev, b"p%d" % rev)
        if acts is None:
            return False
        self.act(n, acts)
        end = self.now + wait * MS
        while self.now < end and (n, rev) not in self.decided and (n, rev) not in self.lost:
            self.run(5)
        return (n, rev) in self.decided
