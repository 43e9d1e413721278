"""The service around the ledger and the membership: sockets, disk, time."""

import asyncio
import os
import random
from datetime import timedelta
from functools import singledispatchmethod

from absl import logging
from mode import Service

from sparloom.codec import DecodeError
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
from sparloom.membership import CONTROLLER, Ack, Peer, Ping, PingRequest, Swim, SwimTiming, TableComparison
from sparloom.settings import Address
from sparloom.transport import Datagrams, Frames, bind, dial, monotonic

from .durable_writer import DurableWriter
from .prefix_snapshots import PrefixSnapshots

TICK = timedelta(milliseconds=40)
COPIES_IN_LINE = 4


class ConsensusService(Service):
    """One controller's place among the others."""

    def __init__(self, up, serve_pipe, news):
        super().__init__()
        self.up, self.serve_pipe, self.news = up, serve_pipe, news
        self.port = up.controller_port
        self.key = f"{up.ip}:{self.port}"
        self.waits, self.ids, self.pipes = {}, 0, {}
        self.ledger = self.net = self.disk = self.swim = None
        self.left = asyncio.Event()

    @property
    def seeds(self):
        """The seeds' internal addresses."""
        return tuple(f"{s.host}:{self.port}" for s in self.up.seeds)

    async def on_start(self):
        up, loop, rng = self.up, asyncio.get_running_loop(), random.Random()
        self.disk = DurableWriter(up.data, loop, self._saved, self._failed)
        kept = await self.disk.load()
        # A disk that held something unreadable may have promised something: its machine is no founder.
        first_start = up.first_start and not self.disk.set_aside
        genesis = {(s.host, self.port) for s in up.seeds}
        id = kept[0].id if kept else self._new_id(genesis if first_start else ())
        control = str(up.listen.control or "")
        me = Member(id, up.ip, self.port, up.zone, control)
        spans = ConsensusTiming.of(up.bounds.contact)
        copies = up.tolerated.copies
        self.ledger = ConsensusMember.start(me, kept, first_start, spans, rng, copies, genesis, monotonic())
        peer = Peer(self.key, CONTROLLER, up.zone, control, int.from_bytes(os.urandom(7)), 0, 0)
        self.swim = Swim(peer, self.seeds, SwimTiming.of(up.bounds.contact), rng)
        self.prefixes = PrefixSnapshots(
            up.data, lambda to, rec: self.net.send(to, rec), up.bounds.contact.total_seconds() / 2
        )
        self.prefixes.load()
        self.net = await Datagrams.open(up.ip, self.port, self._arrive)
        await self.add_runtime_dependency(self.prefixes)
        self.server = await asyncio.start_server(self._pipe, sock=bind(Address(up.ip, self.port)))
        self.disk.start()
        if kept is None:
            self._act([self.ledger.save()])
        logging.info("core: member %x starts, %s.", id, "with its disk" if kept else "with an empty disk")

    def _new_id(self, genesis):
        """The id of a member with an empty disk: a founder's own, or one drawn by lot."""
        if (self.up.ip, self.port) in genesis:
            return founder_id(genesis, self.up.ip, self.port)
        return int.from_bytes(os.urandom(7)) | 1

    async def on_stop(self):
        for s in self.swim.leave():
            self.net.send(s.to, s.record)
        self.server.close()
        await self.disk.stop()
        self.net.close()

    @Service.task
    async def _beat(self):
        while not self.should_stop:
            now = monotonic()
            self._act(self.ledger.tick(now))
            for s in self.swim.tick(now):
                self.net.send(s.to, s.record)
            await asyncio.sleep(TICK.total_seconds())

    # -- messages in --------------------------------------------------------
    def _arrive(self, src, rec):
        if isinstance(rec, (Ping, Ack, PingRequest, TableComparison)):
            for s in self.swim.receive(monotonic(), src, rec):
                self.net.send(s.to, s.record)
        elif not self.prefixes.arrive(src, rec) and not isinstance(rec, Copy):
            self._act(self.ledger.receive(monotonic(), rec))

    async def _pipe(self, reader, writer):
        frames = Frames(reader, writer)
        try:
            async with asyncio.timeout(self.up.bounds.contact.total_seconds()):
                first = await frames.read()
            if isinstance(first, Copy):
                await self._copies(frames, first)
            else:
                await self.serve_pipe(frames, first)
        except (OSError, EOFError, DecodeError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            frames.close()

    async def _copies(self, frames, rec):
        while True:
            self._act(self.ledger.receive(monotonic(), rec))
            rec = await frames.read()
            if not isinstance(rec, Copy):
                return

    # -- actions out --------------------------------------------------------
    def _act(self, actions):
        for action in actions or ():
            self._do(action)

    @singledispatchmethod
    def _do(self, action):
        raise TypeError(f"no such action: {action!r}")

    @_do.register
    def _(self, action: Save):
        self.disk.put(action)

    @_do.register
    def _(self, action: Committed):
        self.news(action.data)
        self._answer(action.id, action.data)

    @_do.register
    def _(self, action: ReadConfirmed):
        self._answer(action.id, action.data)

    @_do.register
    def _(self, action: Aborted):
        self._answer(action.id, None)

    @_do.register
    def _(self, action: LeaveCompleted):
        self.left.set()

    @_do.register
    def _(self, action: Send):
        if action.to is SEEDS:
            for seed in self.seeds:
                self._send_to(seed, action.record)
        elif action.to is CONTROLLERS:
            for peer in self.swim.alive():
                if peer.role == CONTROLLER:
                    self.net.send(peer.key, action.record)
        elif isinstance(action.record, Copy) and action.to.id != self.ledger.member.id:
            self._send_copy(action.to, action.record)
        else:
            self._send_to(f"{action.to.host}:{action.to.port}", action.record)

    def _send_to(self, key, record):
        """Sends by datagram; what a member says to itself is heard in the next turn of the event loop."""
        if key != self.key:
            self.net.send(key, record)
            return
        asyncio.get_running_loop().call_soon(lambda: self._act(self.ledger.receive(monotonic(), record)))

    def _send_copy(self, to, copy):
        """Puts a copy in line for a member's connection; the newest few are kept."""
        key = (to.host, to.port)
        task, line = self.pipes.get(key, (None, None))
        if task is None or task.done():
            line = asyncio.Queue(COPIES_IN_LINE)
            task = asyncio.ensure_future(self._pump(key, line))
            self.pipes[key] = (task, line)
        if line.full():
            line.get_nowait()
        line.put_nowait(copy)

    async def _pump(self, key, line):
        """Writes copies as they come; a copy may take as long as its bytes make way."""
        spans, frames = self.ledger.spans, None
        try:
            frames = await dial(*key, spans.patience)
            while True:
                async with asyncio.timeout(spans.dead.total_seconds() * 4):
                    copy = await line.get()
                await frames.write(copy, spans.patience)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            if frames:
                frames.close()

    def _saved(self, saves):
        for save in saves:
            self._act(self.ledger.saved(monotonic(), save))

    def _failed(self):
        self._act(self.ledger.save_failed(monotonic()))

    # -- asked from within --------------------------------------------------
    def _answer(self, call, value):
        waiting = self.waits.pop(call, None)
        if waiting and not waiting.done():
            waiting.set_result(value)

    async def _ask(self, start, wait):
        """Starts a call of the ledger; its data, or None when it can't start or gets no answer in time."""
        self.ids += 1
        call, waiting = self.ids, asyncio.get_running_loop().create_future()
        actions = start(call)
        if actions is None:
            return None
        self.waits[call] = waiting
        self._act(actions)
        try:
            async with asyncio.timeout(wait.total_seconds()):
                return await waiting
        except TimeoutError:
            return None
        finally:
            self.waits.pop(call, None)

    async def confirm(self, wait):
        """The data, if this member was the primary after the call began; else None."""
        return await self._ask(lambda id: self.ledger.read(monotonic(), id), wait)

    async def write(self, revision, blob, wait):
        """The data once it is on every copy; None when that isn't known."""
        return await self._ask(lambda id: self.ledger.write(monotonic(), id, revision, blob), wait)

    async def leave(self, bound):
        """Moves this member's copy and vote to others; returns once that is done, or at the bound."""
        self._act(self.ledger.leave(monotonic()))
        try:
            async with asyncio.timeout(bound.total_seconds()):
                await self.left.wait()
            logging.info("core: nothing rests on this member any more.")
        except TimeoutError:
            logging.warning("core: leaves at its bound; its copy or its vote may rest on it still.")
