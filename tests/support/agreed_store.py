"""A store that stands for the consensus of several controllers, and one node's part of it.

One node at a time leads, by epoch; a write is committed only if its node still
leads when it ends, and its outcome may stay unknown; a confirmation comes only
to the node that leads. Nodes may go on believing that they lead. A frozen node
stands still at the next step of whatever it was doing.
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
    """The agreed data, and who leads."""

    def __init__(self):
        self.data, self.epoch, self.leader = Data(0, 0, 0, b""), 0, None
        self.number = 0
        self.on_commit = lambda data: None

    def commit(self, node, epoch, revision, blob):
        """Commits for the node that leads in this epoch; gives the data, or None."""
        if (self.leader, self.epoch) != (node, epoch):
            return None
        self.number += 1
        self.data = Data(epoch, self.number, revision, blob)
        self.on_commit(self.data)
        return self.data


class Consensus:
    """One node's part of the store, as ``ConfigurationWriter`` and the services beside it use it."""

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
        """A majority answers a heartbeat of the node that leads."""
        if self.believed == self.node.group.store.epoch and not self.node.cut and self.node.thawed.is_set():
            self.confirmed_at = monotonic()

    def leading_epoch(self):
        return self.believed

    def backup_keys(self):
        return [name for name in self.node.group.names if name != self.node.name]

    def send_datagram(self, to, record):
        self.node.group.replies.append((to, record))

    async def _round_trip(self, timeout):
        """Whether the node reaches a majority that takes it for the primary."""
        await self.node.step()
        await asyncio.sleep(self.node.luck.uniform(0.001, 0.02))
        if self.node.cut:
            await asyncio.sleep(timeout.total_seconds())
            return False
        return self.believed is not None and self.node.group.store.epoch == self.believed

    async def confirm(self, timeout):
        sure = await self._round_trip(timeout)
        await self.node.step()
        return self.node.group.store.data if sure else None

    async def write(self, revision, blob, timeout):
        epoch = self.believed
        sure = await self._round_trip(timeout)
        data = self.node.group.store.commit(self.node.name, epoch, revision, blob) if sure else None
        if data is not None and self.node.luck.random() < 0.05:
            # Committed, and the node doesn't learn of it: it is deposed at once.
            self.believed = None
            return None
        await self.node.step()
        if data is not None and self.believed == epoch:
            self.node.writer.on_committed(data)
        return data


class AgreedNode:
    """One controller over the store; a subclass says which service it runs."""

    def __init__(self, group, name):
        self.group, self.name, self.luck = group, name, group.luck
        self.settings = evolve(group.settings, node=name)
        self.cut, self.cut_at, self.thawed = False, timedelta(0), asyncio.Event()
        self.thawed.set()
        self.service = None

    async def step(self):
        """Stands still while the node is frozen."""
        await self.thawed.wait()

    def join(self, publish=lambda *change: None):
        """Makes the process's part of the store and its writer, which know nothing of an earlier process."""
        self.consensus = Consensus(self)
        self.writer = ConfigurationWriter(self.consensus, SimpleNamespace(publish=publish), lambda: WRITE_TIMEOUT)

    async def kill(self):
        """Ends the process."""
        service, self.service = self.service, None
        self.consensus.believed = None
        if service is not None:
            await service.stop()

    def lead(self, epoch):
        """Wins an election: it has the committed data, and commits it again in its epoch."""
        store = self.group.store
        store.epoch, store.leader = epoch, self.name
        data = store.commit(self.name, epoch, store.data.revision, store.data.blob)
        self.consensus.believed = epoch
        self.writer.on_committed(data)


class AgreedGroup:
    """What groups of such nodes have in common; a subclass has ``nodes``, ``store`` and ``luck``."""

    def leader(self):
        """The node that leads."""
        return next(node for node in self.nodes if node.name == self.store.leader)

    def elect(self, node):
        """A node takes the lead over."""
        node.lead(self.store.epoch + 1)

    def elect_other(self):
        """Any node that can lead takes over."""
        able = [node for node in self.nodes if node.service is not None and not node.cut and node.thawed.is_set()]
        if able:
            self.elect(self.luck.choice(able))

    async def notice(self, node, longest_s):
        """A deposed primary notices after a while; until then it believes that it leads."""
        await asyncio.sleep(self.luck.uniform(0.0, longest_s))
        if self.store.leader != node.name and node.service is not None:
            node.consensus.believed = None
