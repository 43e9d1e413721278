"""In-memory replacement for the consensus of several controllers.

``Store`` holds the committed data and the leader; ``Consensus`` is the interface
of one node to it. One node leads in each epoch. A write is committed only if
its node still leads when the write ends, and its outcome may remain unknown; a
read is confirmed only at the leader. A deposed node may still believe that it
leads. A frozen node pauses at its next step.
"""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from attrs import evolve

from sparloom.consensus.records import Data
from sparloom.controller.configuration_writer import ConfigurationWriter
from sparloom.transport import monotonic

WRITE_TIMEOUT = timedelta(seconds=2)


class Store:
    """The committed data and the current leader."""

    def __init__(self):
        self.data, self.epoch, self.leader = Data(0, 0, 0, b""), 0, None
        self.number = 0
        self.on_commit = lambda data: None

    def commit(self, node, epoch, revision, blob):
        """Commits a write if the node leads in the epoch; returns the data, else None."""
        if (self.leader, self.epoch) != (node, epoch):
            return None
        self.number += 1
        self.data = Data(epoch, self.number, revision, blob)
        self.on_commit(self.data)
        return self.data


class Consensus:
    """One node's interface to the store, as used by ``ConfigurationWriter`` and the other services."""

    def __init__(self, node):
        self.node, self.believed, self.key = node, None, node.name
        self.confirmed_at = monotonic()
        self.member = SimpleNamespace(
            leading=lambda: self.believed is not None,
            primary=lambda: None,
            confirmation_age=lambda now: now - self.confirmed_at,
        )
        self.swim = SimpleNamespace(table={}, alive=node.group.alive_routers)
        self.sent = []

    def heartbeat(self):
        """Simulates a heartbeat of the leader that a majority acknowledges."""
        if self.believed == self.node.group.store.epoch and not self.node.cut and self.node.thawed.is_set():
            self.confirmed_at = monotonic()

    def leading_epoch(self):
        return self.believed

    def backup_keys(self):
        return [name for name in self.node.group.names if name != self.node.name]

    def send_datagram(self, to, record):
        self.node.group.replies.append((to, record))

    async def _round_trip(self, timeout):
        """Returns whether the node reaches a majority that accepts it as primary."""
        await self.node.step()
        await asyncio.sleep(self.node.luck.uniform(0.001, 0.02))
        if self.node.cut:
            await asyncio.sleep(timeout.total_seconds())
            return False
        return self.believed is not None and self.node.group.store.epoch == self.believed

    async def confirm(self, timeout):
        confirmed = await self._round_trip(timeout)
        await self.node.step()
        return self.node.group.store.data if confirmed else None

    async def write(self, revision, blob, timeout):
        epoch = self.believed
        confirmed = await self._round_trip(timeout)
        data = self.node.group.store.commit(self.node.name, epoch, revision, blob) if confirmed else None
        if data is not None and self.node.luck.random() < 0.05:
            # The write is committed, but the node is deposed before it is informed.
            self.believed = None
            return None
        await self.node.step()
        if data is not None and self.believed == epoch:
            self.node.writer.on_committed(data)
        return data


class ControllerNode:
    """One controller that uses the store; subclasses define the service that it runs."""

    def __init__(self, group, name):
        self.group, self.name, self.luck = group, name, group.luck
        self.settings = evolve(group.settings, node=name)
        self.cut, self.partitioned_at, self.thawed = False, timedelta(0), asyncio.Event()
        self.thawed.set()
        self.service = None

    async def step(self):
        """Waits while the node is frozen."""
        await self.thawed.wait()

    def join(self, publish=lambda *change: None):
        """Creates the store interface and the writer of a new process, without state of an earlier process."""
        self.consensus = Consensus(self)
        self.writer = ConfigurationWriter(self.consensus, SimpleNamespace(publish=publish), lambda: WRITE_TIMEOUT)

    async def kill(self):
        """Stops the process."""
        service, self.service = self.service, None
        self.consensus.believed = None
        if service is not None:
            await service.stop()

    def lead(self, epoch):
        """Wins an election; commits the committed data again in the new epoch, as a new primary does."""
        store = self.group.store
        store.epoch, store.leader = epoch, self.name
        data = store.commit(self.name, epoch, store.data.revision, store.data.blob)
        self.consensus.believed = epoch
        self.writer.on_committed(data)


class ControllerGroup:
    """Base class of groups of nodes; subclasses define ``nodes``, ``store`` and ``luck``."""

    def leader(self):
        """Returns the leader."""
        return next(node for node in self.nodes if node.name == self.store.leader)

    def elect(self, node):
        """Elects a node as leader in the next epoch."""
        node.lead(self.store.epoch + 1)

    def elect_any_available(self):
        """Elects a random node among those that can lead."""
        candidates = [node for node in self.nodes if node.service is not None and not node.cut and node.thawed.is_set()]
        if candidates:
            self.elect(self.luck.choice(candidates))

    async def notice(self, node, longest_s):
        """Lets a deposed node detect that it no longer leads after a random delay of up to ``longest_s``."""
        await asyncio.sleep(self.luck.uniform(0.0, longest_s))
        if self.store.leader != node.name and node.service is not None:
            node.consensus.believed = None
