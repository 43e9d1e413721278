"""A consensus group of controllers in simulated time, with simulated disks and links and a seeded random generator."""

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

TIMING = ConsensusTiming.of(timedelta(seconds=3))
TICK = 20 * MS
LEAVE_TIMEOUT = 4000 * MS


class Core(Clock):
    """A group of controllers with fault injection: cut links, stalled or wiped disks, and killed members.

    >>> core = Core("abc"); core.run(2500); core.write(5)
    True
    """

    def __init__(self, names="abc", replicas=1, seed=1, loss=0.02, seeds=None, zones=None):
        super().__init__()
        self.rng = random.Random(seed)
        self.names, self.replicas, self.loss, self.zones = list(names), replicas, loss, zones or {}
        self.nodes, self.disks, self.members = {}, {}, {}
        self.cuts, self.stalled, self.off = set(), set(), set()
        self.disk_free_at, self.stalled_saves = {}, {}
        self.decided, self.lost, self.confirmed = {}, set(), {}
        self.acknowledged, self.ids, self.incarnations = [], count(100), count()
        self.left = {}
        self.copy_delay = 0 * MS
        self.seeds = [(name, 1) for name in seeds or names]
        for name in names:
            self.boot(name, first=True)

    def boot(self, name, first=False):
        """Start a member from its disk; an empty disk gives it a new identity."""
        disk = self.disks.get(name)
        if disk is None:
            founder = first and (name, 1) in self.seeds
            identity = founder_id(self.seeds, name, 1) if founder else next(self.ids)
            self.members[name] = Member(identity, name, 1, self.zones.get(name, "z" + name), name + ":9")
        member_rng = random.Random(self.rng.random())
        ledger = ConsensusMember.start(
            self.members[name], disk, first, TIMING, member_rng, self.replicas, self.seeds, self.now
        )
        incarnation = next(self.incarnations)
        self.nodes[name] = (ledger, incarnation)
        self.off.discard(name)
        self.left.pop(name, None)
        self.disk_free_at[name], self.stalled_saves[name] = self.now, []
        if disk is None:
            self.act(name, [ledger.save()])
        self.at(MS, lambda: self._tick(name, incarnation))

    def is_running(self, name, incarnation):
        """Whether this incarnation of a member is running."""
        return name not in self.off and self.nodes[name][1] == incarnation

    def _tick(self, name, incarnation):
        if not self.is_running(name, incarnation):
            return
        self.act(name, self.nodes[name][0].tick(self.now))
        self.at(TICK, lambda: self._tick(name, incarnation))

    def act(self, name, actions):
        """Execute a member's actions."""
        for action in actions or ():
            if isinstance(action, Save):
                self._save(name, action)
            elif isinstance(action, Send):
                for target in self._targets(name, action.destination):
                    self._send(name, target, action.record)
            elif isinstance(action, Committed):
                self.decided[name, action.id] = action.data
                if action.id:
                    self.acknowledged.append(action.data)
            elif isinstance(action, Aborted):
                self.lost.add((name, action.id))
            elif isinstance(action, ReadConfirmed):
                self.confirmed[name, action.id] = action.data
            elif isinstance(action, LeaveCompleted):
                self.left[name] = self.now

    def _save(self, name, save):
        """Complete a save after the disk's latency, in order; the saves of a stalled disk wait."""
        if name in self.stalled:
            self.stalled_saves[name].append(save)
            return
        incarnation = self.nodes[name][1]
        self.disk_free_at[name] = max(self.disk_free_at[name] + MS, self.now + (20 + 10 * self.rng.random()) * MS)
        self.at(self.disk_free_at[name] - self.now, lambda: self._saved(name, incarnation, save))

    def _saved(self, name, incarnation, save):
        if not self.is_running(name, incarnation):
            return
        if name in self.stalled:
            self.stalled_saves[name].append(save)
            return
        ledger, previous = self.nodes[name][0], self.disks.get(name)
        self.disks[name] = (
            save.register,
            save.data if save.data is not None else previous[1] if previous else ledger.data,
        )
        self.act(name, ledger.saved(self.now, save))

    def stall(self, name):
        """Stall a member's disk, so that no save completes."""
        self.stalled.add(name)

    def flow(self, name=None):
        """Resume a stalled disk, or all of them, with the saves that wait."""
        for stalled_name in [name] if name else list(self.stalled):
            self.stalled.discard(stalled_name)
            saves, self.stalled_saves[stalled_name] = self.stalled_saves.get(stalled_name, []), []
            for save in saves:
                self._save(stalled_name, save)

    def _targets(self, name, destination):
        if destination is CONTROLLERS:
            return [other for other in self.nodes if other != name]
        if destination is SEEDS:
            return [other for other, _ in self.seeds]
        return [destination.host]

    def _send(self, name, target, record):
        if target not in self.nodes:
            return
        incarnation = self.nodes[target][1]
        lost = not isinstance(record, Copy) and name != target and self.rng.random() < self.loss
        if (name, target) in self.cuts or lost:
            return
        delay = 0 * MS if name == target else (1 + 2 * self.rng.random()) * MS
        if isinstance(record, Copy) and name != target:
            delay += self.copy_delay
        self.at(delay, lambda: self._arrive(target, incarnation, record))

    def _arrive(self, target, incarnation, record):
        if self.is_running(target, incarnation):
            self.act(target, self.nodes[target][0].receive(self.now, record))

    def leave(self, name, timeout=LEAVE_TIMEOUT):
        """Start a planned leave; the member stops once it has left, or at the timeout."""
        self.act(name, self.nodes[name][0].leave(self.now))
        incarnation, end = self.nodes[name][1], self.now + timeout

        def stop_when_left():
            if not self.is_running(name, incarnation):
                return
            if name in self.left or self.now >= end:
                self.kill(name)
                return
            self.at(TICK, stop_when_left)

        stop_when_left()

    def view(self):
        """Return the leader's view."""
        return self.nodes[self.leader()][0].leadership.view

    def voters(self):
        """Return the names of the voters of the leader's view."""
        return {member.host for member in self.view().roster}

    def holders(self):
        """Return the names of the members that hold the data in the leader's view."""
        view = self.view()
        return {member.host for member in view.roster if member.id in view.holders}

    def leader(self):
        """Return the member that leads in the newest epoch, or None."""
        leaders = [name for name in self.nodes if name not in self.off and self.nodes[name][0].leading()]
        return max(leaders, key=lambda name: self.nodes[name][0].leadership.epoch, default=None)

    def kill(self, name):
        """Stop a member; its disk is kept."""
        self.off.add(name)

    def wipe(self, name):
        """Stop a member and erase its disk."""
        self.kill(name)
        self.disks.pop(name, None)

    def cut(self, name, others=None, way="both"):
        """Cut the links between a member and others (default: all), in both directions, or only ``in`` or ``out``."""
        for other in others or self.nodes:
            if other != name:
                self.cuts |= (
                    {(name, other)}
                    if way == "out"
                    else {(other, name)}
                    if way == "in"
                    else {(name, other), (other, name)}
                )

    def heal(self):
        """Restore all links."""
        self.cuts.clear()

    def write(self, revision, name=None, wait=1500):
        """Write at a member (default: the leader); return whether the write was acknowledged within ``wait`` ms."""
        name = name or self.leader()
        if name is None:
            return False
        actions = self.nodes[name][0].write(self.now, revision, revision, b"p%d" % revision)
        if actions is None:
            return False
        self.act(name, actions)
        end = self.now + wait * MS
        while self.now < end and (name, revision) not in self.decided and (name, revision) not in self.lost:
            self.run(5)
        return (name, revision) in self.decided
