"""The service around the ledger and the membership: sockets, disk, time."""

import asyncio
import os
import random
from datetime import timedelta

from absl import logging
from mode import Service

from sparloom.ledger import CONTROLLERS, SEEDS, Confirmed, Decided, Ledger, Left, Lost, Member, Save, Send, Spans
from sparloom.ledger.records import Copy
from sparloom.link import Datagrams, Frames, bind, dial, steady
from sparloom.members import CONTROLLER, Ack, Compare, Peer, Ping, Relay, Swim, Times
from sparloom.startup import Address
from sparloom.wire import Broken

from .disk import Disk
from .remember import Remember

TICK = timedelta(milliseconds=40)


class Core(Service):
    """One controller's place among the others."""

    def __init__(self, up, serve_pipe, news):
        super().__init__()
        self.up, self.serve_pipe, self.news = up, serve_pipe, news
        self.port = up.controller_port
        self.key = f"{up.ip}:{self.port}"
        self.waits, self.ids, self.pipes = {}, 0, {}
        self.ledger = self.net = self.disk = None
        self.left = asyncio.Event()

    @property
    def seeds(self):
        """The seeds' internal addresses."""
        return tuple(f"{s.host}:{self.port}" for s in self.up.seeds)

    async def on_start(self):
        up, loop, rng = self.up, asyncio.get_running_loop(), random.Random()
        self.disk = Disk(up.data, loop, self._saved, self._failed)
        kept = await self.disk.load()
        id = kept[0].id if kept else int.from_bytes(os.urandom(7)) | 1
        control = str(up.listen.control or "")
        me = Member(id, up.ip, self.port, up.zone, control)
        self.ledger = Ledger.start(
            me,
            kept,
            up.first_start,
            Spans.of(up.bounds.contact),
            rng,
            up.tolerated.copies,
            {(s.host, self.port) for s in up.seeds},
            steady(),
        )
        peer = Peer(self.key, CONTROLLER, up.zone, control, int.from_bytes(os.urandom(7)), 0, 0)
        self.swim = Swim(peer, self.seeds, Times.of(up.bounds.contact), rng)
        self.prefixes = Remember(up.data, lambda to, rec: self.net.send(to, rec), up.bounds.contact.total_seconds() / 2)
        self.prefixes.load()
        self.net = await Datagrams.open(up.ip, self.port, self._arrive)
        await self.add_runtime_dependency(self.prefixes)
        self.server = await asyncio.start_server(self._pipe, sock=bind(Address(up.ip, self.port)))
        self.disk.start()
        if kept is None:
            self._act([self.ledger.save()])
        logging.info("core: member %x starts, %s.", id, "with its disk" if kept else "with an empty disk")

    async def on_stop(self):
        for s in self.swim.leave():
            self.net.send(s.to, s.rec)
        self.server.close()
        await self.disk.stop()
        self.net.close()

    @Service.task
    async def _beat(self):
        while not self.should_stop:
            now = steady()
            self._act(self.ledger.tick(now))
            for s in self.swim.tick(now):
                self.net.send(s.to, s.rec)
            await asyncio.sleep(TICK.total_seconds())

    # -- messages in --------------------------------------------------------
    def _arrive(self, src, rec):
        if isinstance(rec, (Ping, Ack, Relay, Compare)):
            for s in self.swim.receive(steady(), src, rec):
                self.net.send(s.to, s.rec)
        elif not self.prefixes.arrive(src, rec) and not isinstance(rec, Copy):
            self._act(self.ledger.receive(steady(), rec))

    async def _pipe(self, reader, writer):
        frames = Frames(reader, writer)
        try:
            first = await frames.read()
            if isinstance(first, Copy):
                await self._copies(frames, first)
            else:
                await self.serve_pipe(frames, first)
        except (OSError, EOFError, Broken, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            frames.close()

    async def _copies(self, frames, rec):
        while True:
            self._act(self.ledger.receive(steady(), rec))
            rec = await frames.read()
            if not isinstance(rec, Copy):
                return

    # -- actions out --------------------------------------------------------
    def _act(self, acts):
        for a in acts or ():
            if isinstance(a, Save):
                self.disk.put(a)
            elif isinstance(a, Send):
                self._send(a)
            elif isinstance(a, Decided):
                self.news(a.data)
                self._answer(a.id, a.data)
            elif isinstance(a, Confirmed):
                self._answer(a.id, a.data)
            elif isinstance(a, Lost):
                self._answer(a.id, None)
            elif isinstance(a, Left):
                self.left.set()

    def _send(self, a):
        if a.to is SEEDS:
            for s in self.seeds:
                if s == self.key:
                    self._act(self.ledger.receive(steady(), a.record))
                else:
                    self.net.send(s, a.record)
        elif a.to is CONTROLLERS:
            for p in self.swim.alive():
                if p.role == CONTROLLER:
                    self.net.send(p.key, a.record)
        elif a.to.id == self.ledger.member.id:
            asyncio.get_running_loop().call_soon(lambda: self._act(self.ledger.receive(steady(), a.record)))
        elif isinstance(a.record, Copy):
            self._bulk(a.to, a.record)
        else:
            self.net.send(f"{a.to.host}:{a.to.port}", a.record)

    def _bulk(self, to, rec):
        key = (to.host, to.port)
        old = self.pipes.get(key)
        if old is None or old[0].done():
            line = asyncio.Queue(4)
            self.pipes[key] = (asyncio.ensure_future(self._pump(key, line)), line)
        line = self.pipes[key][1]
        if line.full():
            line.get_nowait()
        line.put_nowait(rec)

    async def _pump(self, key, line):
        frames = None
        try:
            frames = await dial(*key, self.ledger.spans.patience)
            while True:
                async with asyncio.timeout(self.ledger.spans.dead.total_seconds() * 4):
                    rec = await line.get()
                await frames.write(rec, self.ledger.spans.patience)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            if frames:
                frames.close()

    def _saved(self, saves):
        for s in saves:
            self._act(self.ledger.saved(steady(), s))

    def _failed(self):
        self._act(self.ledger.save_failed(steady()))

    # -- asked from within --------------------------------------------------
    def _answer(self, id, val):
        fut = self.waits.pop(id, None)
        if fut and not fut.done():
            fut.set_result(val)

    async def _ask(self, start, wait):
        self.ids += 1
        id, fut = self.ids, asyncio.get_running_loop().create_future()
        self.waits[id] = fut
        acts = start(id)
        if acts is None:
            del self.waits[id]
            return None
        self._act(acts)
        try:
            async with asyncio.timeout(wait.total_seconds()):
                return await fut
        except TimeoutError:
            self.waits.pop(id, None)
            return None

    async def confirm(self, wait):
        """The data, if this member was the primary after the call began; else None."""
        return await self._ask(lambda id: self.ledger.read(steady(), id), wait)

    async def write(self, revision, blob, wait):
        """The data once it is on every copy; None when that isn't known."""
        return await self._ask(lambda id: self.ledger.write(steady(), id, revision, blob), wait)

    async def leave(self, bound):
        """Moves this member's copy and vote to others; returns once that is done, or at the bound."""
        self._act(self.ledger.leave(steady()))
        try:
            async with asyncio.timeout(bound.total_seconds()):
                await self.left.wait()
            logging.info("core: nothing rests on this member any more.")
        except TimeoutError:
            logging.warning("core: leaves at its bound; its copy or its vote may rest on it still.")
