"""A core of controllers in simulated time: each has a ledger, a disk and links; seeded luck."""

import random
from datetime import timedelta
from itertools import count

from sparloom.consensus import (
    CONTROLLERS,
    SEEDS,
    Aborted,
    Committed,
    ConsensusMember,
    ConsensusTiming,
    LeaveCompleted,
    Member,
    ReadConfirmed,
    Save,
    Send,
    founder_id,
)
from sparloom.consensus.records import Copy

from .clock import MS, Clock

SPANS = ConsensusTiming.of(timedelta(seconds=3))
TICK = 20 * MS
LEAVE_BOUND = 4000 * MS


class Core(Clock):
    """Some controllers whose links can be cut, whose disks can stall, and that can be killed or wiped.

    >>> core = Core("abc"); core.run(2500); core.write(5)
    True
    """

    def __init__(self, names="abc", replicas=1, seed=1, loss=0.02, seeds=None, zones=None):
        super().__init__()
        self.rng = random.Random(seed)
        self.names, self.replicas, self.loss, self.zones = list(names), replicas, loss, zones or {}
        self.nodes, self.disks, self.members = {}, {}, {}
        self.cuts, self.stalled, self.off = set(), set(), set()
        self.disk_free, self.waiting = {}, {}
        self.decided, self.lost, self.confirmed = {}, set(), {}
        self.acked, self.ids, self.lives = [], count(100), count()
        self.left = {}
        self.copy_delay = 0 * MS
        self.seeds = [(n, 1) for n in seeds or names]
        for n in names:
            self.boot(n, first=True)

    def boot(self, n, first=False):
        """Starts a member with what its disk holds; a name not used before is a new machine."""
        disk = self.disks.get(n)
        if disk is None:
            founder = first and (n, 1) in self.seeds
            id = founder_id(self.seeds, n, 1) if founder else next(self.ids)
            self.members[n] = Member(id, n, 1, self.zones.get(n, "z" + n), n + ":9")
        luck = random.Random(self.rng.random())
        ledger = ConsensusMember.start(self.members[n], disk, first, SPANS, luck, self.replicas, self.seeds, self.now)
        life = next(self.lives)
        self.nodes[n] = (ledger, life)
        self.off.discard(n)
        self.left.pop(n, None)
        self.disk_free[n], self.waiting[n] = self.now, []
        if disk is None:
            self.act(n, [ledger.save()])
        self.at(MS, lambda: self._tick(n, life))

    def up(self, n, life):
        """Whether that life of a member still runs."""
        return n not in self.off and self.nodes[n][1] == life

    def _tick(self, n, life):
        if not self.up(n, life):
            return
        self.act(n, self.nodes[n][0].tick(self.now))
        self.at(TICK, lambda: self._tick(n, life))

    def act(self, n, actions):
        """Carries out a member's actions."""
        for action in actions or ():
            if isinstance(action, Save):
                self._save(n, action)
            elif isinstance(action, Send):
                for to in self._where(n, action.destination):
                    self._send(n, to, action.record)
            elif isinstance(action, Committed):
                self.decided[n, action.id] = action.data
                if action.id:
                    self.acked.append(action.data)
            elif isinstance(action, Aborted):
                self.lost.add((n, action.id))
            elif isinstance(action, ReadConfirmed):
                self.confirmed[n, action.id] = action.data
            elif isinstance(action, LeaveCompleted):
                self.left[n] = self.now

    def _save(self, n, save):
        """Saves reach the disk in order; a stalled disk keeps them all waiting."""
        if n in self.stalled:
            self.waiting[n].append(save)
            return
        life = self.nodes[n][1]
        self.disk_free[n] = max(self.disk_free[n] + MS, self.now + (20 + 10 * self.rng.random()) * MS)
        self.at(self.disk_free[n] - self.now, lambda: self._saved(n, life, save))

    def _saved(self, n, life, save):
        if not self.up(n, life):
            return
        if n in self.stalled:
            self.waiting[n].append(save)
            return
        ledger, old = self.nodes[n][0], self.disks.get(n)
        self.disks[n] = (save.register, save.data if save.data is not None else old[1] if old else ledger.data)
        self.act(n, ledger.saved(self.now, save))

    def stall(self, n):
        """The member's disk answers nothing."""
        self.stalled.add(n)

    def flow(self, n=None):
        """The stalled disk, or all, go on with what waits for them."""
        for name in [n] if n else list(self.stalled):
            self.stalled.discard(name)
            saves, self.waiting[name] = self.waiting.get(name, []), []
            for save in saves:
                self._save(name, save)

    def _where(self, n, to):
        if to is CONTROLLERS:
            return [m for m in self.nodes if m != n]
        if to is SEEDS:
            return [m for m, _ in self.seeds]
        return [to.host]

    def _send(self, n, to, record):
        if to not in self.nodes:
            return
        life = self.nodes[to][1]
        lost = not isinstance(record, Copy) and n != to and self.rng.random() < self.loss
        if (n, to) in self.cuts or lost:
            return
        delay = 0 * MS if n == to else (1 + 2 * self.rng.random()) * MS
        if isinstance(record, Copy) and n != to:
            delay += self.copy_delay
        self.at(delay, lambda: self._arrive(to, life, record))

    def _arrive(self, to, life, record):
        if self.up(to, life):
            self.act(to, self.nodes[to][0].receive(self.now, record))

    def leave(self, n, bound=LEAVE_BOUND):
        """A planned end: the member goes once nothing rests on it, or at the bound."""
        self.act(n, self.nodes[n][0].leave(self.now))
        life, end = self.nodes[n][1], self.now + bound

        def watch():
            if not self.up(n, life):
                return
            if n in self.left or self.now >= end:
                self.kill(n)
                return
            self.at(TICK, watch)

        watch()

    def view(self):
        """The view of the member that leads."""
        return self.nodes[self.leader()][0].leadership.view

    def voters(self):
        """The names of the machines that vote in the leader's view."""
        return {member.host for member in self.view().roster}

    def holders(self):
        """The names of the machines that hold the data in the leader's view."""
        view = self.view()
        return {member.host for member in view.roster if member.id in view.holders}

    def leader(self):
        """The member that leads in the newest epoch, or None."""
        up = [n for n in self.nodes if n not in self.off and self.nodes[n][0].leading()]
        return max(up, key=lambda n: self.nodes[n][0].leadership.epoch, default=None)

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
        actions = self.nodes[n][0].write(self.now, rev, rev, b"p%d" % rev)
        if actions is None:
            return False
        self.act(n, actions)
        end = self.now + wait * MS
        while self.now < end and (n, rev) not in self.decided and (n, rev) not in self.lost:
            self.run(5)
        return (n, rev) in self.decided
