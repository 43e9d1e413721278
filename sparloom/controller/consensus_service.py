"""Runs one consensus member: its sockets, disk and timer.

The state machines of ``sparloom.consensus`` and ``sparloom.membership`` make
every decision. ``ConsensusService`` passes messages and ticks to them and
executes the actions that they return.
"""

from __future__ import annotations

import asyncio
import os
import random
from datetime import timedelta
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

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
from sparloom.transport import Datagrams, bind, dial, monotonic
from sparloom.transport.frame_server import FrameServer

from .durable_writer import DurableWriter
from .prefix_snapshots import PrefixSnapshots

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from sparloom.codec import Record
    from sparloom.consensus import Data
    from sparloom.settings import Settings
    from sparloom.transport import Frames

    Action = Save | Send | Committed | ReadConfirmed | Aborted | LeaveCompleted
    HostPort = tuple[str, int]

TICK_INTERVAL = timedelta(milliseconds=40)
# Limits the queue of each connection; a further copy replaces the oldest one.
QUEUED_COPIES_PER_MEMBER = 4
# The fraction of the sockets that connections of other nodes may use.
INTERNAL_CONNECTION_FRACTION = 0.5
RANDOM_ID_BYTES = 7
# An idle connection is closed after this multiple of the removal timeout of a dead member.
IDLE_CONNECTION_FACTOR = 4


class ConsensusService(Service):
    """The consensus member and the membership instance of one controller.

    Attributes
    ----------
    settings : Settings
        The settings in force.
    key : str
        This controller's internal address, HOST:PORT.
    member : ConsensusMember
        The consensus state machine; set by ``on_start``.
    swim : Swim
        The membership state machine; set by ``on_start``.
    pending_calls : dict
        The futures of the reads and writes in flight, by call id.
    connections : dict
        The sending task and the queue of copies for each member, by (host, port).
    leave_completed : asyncio.Event
        Set when a planned leave has completed.

    Parameters
    ----------
    settings
        The initial settings.
    serve_connection
        Serves a connection whose first record is not a copy; called with the connection and that record.
    on_committed
        Called with data that every replica has on disk.
    handle_other_record
        Called with the sender and the record of each datagram that does not belong to the membership protocol.
        Returns whether it handled the record.
    """

    # Set by on_start, because the initial state of a member is loaded from disk.
    member: ConsensusMember
    swim: Swim
    disk: DurableWriter
    datagrams: Datagrams
    prefixes: PrefixSnapshots
    server: FrameServer

    def __init__(
        self,
        settings: Settings,
        serve_connection: Callable[[Frames, Record], Awaitable[None]],
        on_committed: Callable[[Data], None],
        handle_other_record: Callable[[str, Record], bool] = lambda sender, record: False,
    ) -> None:
        super().__init__()
        self.handle_other_record = handle_other_record
        self.settings, self.serve_connection, self.on_committed = settings, serve_connection, on_committed
        self.port = settings.controller_port
        self.key = f"{settings.ip}:{self.port}"
        self.pending_calls: dict[int, asyncio.Future[Data | None]] = {}
        self.last_call_id = 0
        self.connections: dict[HostPort, tuple[asyncio.Task[None], asyncio.Queue[Copy]]] = {}
        self.leave_completed = asyncio.Event()
        self._membership_started = False

    @property
    def seeds(self) -> tuple[str, ...]:
        """The internal addresses of the seeds, HOST:PORT."""
        return tuple(f"{seed.host}:{self.port}" for seed in self.settings.seeds)

    def apply_settings(self, settings: Settings) -> None:
        """Replaces the settings; the new ones must have been validated."""
        self.settings = settings
        if self._membership_started:
            self.swim.seeds = self.seeds

    @property
    def _data_directory(self) -> str:
        assert self.settings.data is not None, "the command line requires dataDirectory"
        return self.settings.data

    def leading_epoch(self) -> int | None:
        """The epoch in which this member is currently the primary, or None."""
        leadership = self.member.leadership if self.member.leading() else None
        return leadership.epoch if leadership else None

    def backup_keys(self) -> list[str]:
        """The internal addresses of the backups, HOST:PORT; empty unless this member is the primary."""
        leadership = self.member.leadership
        if leadership is None:
            return []
        backups = (member for member in leadership.view.roster if member.id in leadership.view.backups)
        return [f"{member.host}:{member.port}" for member in backups]

    # -- start and stop -----------------------------------------------------
    async def on_start(self) -> None:
        """Loads the stored state and joins the cluster; raises OSError if the internal address can't be bound."""
        settings, loop, rng = self.settings, asyncio.get_running_loop(), random.Random()
        self.disk = DurableWriter(self._data_directory, loop, self._on_saved, self._on_save_failed)
        stored = await self.disk.load()
        genesis = {(seed.host, self.port) for seed in settings.seeds}
        # An unreadable file may have recorded a promise, so a member that set one aside must not act as a founder.
        first_start = settings.first_start and not self.disk.set_aside
        member_id = stored[0].id if stored else self._new_member_id(genesis if first_start else set())
        control = str(settings.listen.control or "")
        own_member = Member(member_id, settings.ip, self.port, settings.zone, control)
        timing = ConsensusTiming.of(settings.bounds.contact)
        backups = settings.tolerated.backups
        self.member = ConsensusMember.start(own_member, stored, first_start, timing, rng, backups, genesis, monotonic())
        instance_id = int.from_bytes(os.urandom(RANDOM_ID_BYTES))
        peer = Peer(self.key, CONTROLLER, settings.zone, control, instance_id, 0, 0)
        self.swim = Swim(peer, self.seeds, SwimTiming.of(settings.bounds.contact), rng)
        self._membership_started = True
        await self._open_sockets()
        self.disk.start()
        if stored is None:
            # The new id must be on disk before this member makes a promise under it.
            self._carry_out([self.member.save()])
        logging.info("consensus: member started id=%x disk=%s", member_id, "loaded" if stored else "empty")

    async def _open_sockets(self) -> None:
        settings = self.settings
        save_interval_s = settings.bounds.contact.total_seconds() / 2
        self.prefixes = PrefixSnapshots(self._data_directory, self.send_datagram, save_interval_s)
        self.prefixes.load()
        self.datagrams = await Datagrams.open(settings.ip, self.port, self._receive)
        await self.add_runtime_dependency(self.prefixes)
        address = Address(settings.ip, self.port)
        self.server = self._frame_server()
        await self.server.start(bind(address))

    def _frame_server(self) -> FrameServer:
        maximum_connections = self.settings.limits.connections(INTERNAL_CONNECTION_FRACTION)
        return FrameServer(self._serve_connection, maximum_connections, self.settings.bounds.contact)

    def send_datagram(self, address: str, record: Record) -> None:
        """Sends a record by datagram to an internal address, HOST:PORT; delivery is not guaranteed."""
        self.datagrams.send(address, record)

    def _new_member_id(self, genesis: set[HostPort]) -> int:
        """The id of a member with an empty disk: derived from the address for a founder, else a random odd number."""
        if (self.settings.ip, self.port) in genesis:
            own_id: int = founder_id(genesis, self.settings.ip, self.port)
            return own_id
        return int.from_bytes(os.urandom(RANDOM_ID_BYTES)) | 1

    async def on_stop(self) -> None:
        """Announces the departure to the membership and flushes pending saves."""
        for message in self.swim.leave():
            self.datagrams.send(message.to, message.record)
        self.server.close()
        await self.disk.stop()
        self.datagrams.close()

    async def leave(self, timeout: timedelta) -> None:
        """Hands this member's replica and vote over to other members; returns when done or at the timeout."""
        self._carry_out(self.member.leave(monotonic()))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self.leave_completed.wait()
            logging.info("consensus: leave completed")
        except TimeoutError:
            # The cluster may still depend on the replica or the vote of this member.
            logging.warning("consensus: leave timed out timeout_ms=%d", timeout / timedelta(milliseconds=1))

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            now = monotonic()
            self._carry_out(self.member.tick(now))
            for message in self.swim.tick(now):
                self.datagrams.send(message.to, message.record)
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    # -- messages in --------------------------------------------------------
    def _receive(self, sender: str, record: Record) -> None:
        """Handles a record received by datagram."""
        if isinstance(record, (Ping, Ack, PingRequest, TableComparison)):
            for message in self.swim.receive(monotonic(), sender, record):
                self.datagrams.send(message.to, message.record)
        elif self.handle_other_record(sender, record) or self.prefixes.receive(sender, record):
            return
        elif not isinstance(record, Copy):
            self._carry_out(self.member.receive(monotonic(), record))

    async def _serve_connection(self, frames: Frames, first: Record) -> None:
        """Serves an incoming connection; its first record determines the protocol."""
        if isinstance(first, Copy):
            await self._receive_copies(frames, first)
        else:
            await self.serve_connection(frames, first)

    async def _receive_copies(self, frames: Frames, record: Record) -> None:
        while isinstance(record, Copy):
            self._carry_out(self.member.receive(monotonic(), record))
            record = await frames.read()

    # -- actions out --------------------------------------------------------
    def _carry_out(self, actions: Iterable[Action] | None) -> None:
        for action in actions or ():
            self._execute(action)

    @singledispatchmethod
    def _execute(self, action: Action) -> None:
        raise TypeError(f"unknown action of the consensus member: {action!r}")

    @_execute.register(Save)
    def _(self, action: Save) -> None:
        self.disk.put(action)

    @_execute.register(Committed)
    def _(self, action: Committed) -> None:
        self.on_committed(action.data)
        self._finish_call(action.id, action.data)

    @_execute.register(ReadConfirmed)
    def _(self, action: ReadConfirmed) -> None:
        self._finish_call(action.id, action.data)

    @_execute.register(Aborted)
    def _(self, action: Aborted) -> None:
        self._finish_call(action.id, None)

    @_execute.register(LeaveCompleted)
    def _(self, action: LeaveCompleted) -> None:
        self.leave_completed.set()

    @_execute.register(Send)
    def _(self, action: Send) -> None:
        if action.destination is SEEDS:
            for seed in self.seeds:
                self._send_to(seed, action.record)
        elif action.destination is CONTROLLERS:
            for peer in self.swim.alive():
                if peer.role == CONTROLLER:
                    self.datagrams.send(peer.key, action.record)
        elif isinstance(action.record, Copy) and action.destination.id != self.member.member.id:
            self._send_copy(action.destination, action.record)
        else:
            self._send_to(f"{action.destination.host}:{action.destination.port}", action.record)

    def _send_to(self, key: str, record: Record) -> None:
        """Sends a record by datagram; one to this member itself is delivered in the next event loop iteration."""
        if key != self.key:
            self.datagrams.send(key, record)
            return
        asyncio.get_running_loop().call_soon(self._receive_own, record)

    def _receive_own(self, record: Record) -> None:
        self._carry_out(self.member.receive(monotonic(), record))

    def _send_copy(self, destination: Member, copy: Copy) -> None:
        """Queues a copy for a member's connection; a full queue drops its oldest copy."""
        address = (destination.host, destination.port)
        connection = self.connections.get(address)
        if connection is None or connection[0].done():
            copies: asyncio.Queue[Copy] = asyncio.Queue(QUEUED_COPIES_PER_MEMBER)
            task = asyncio.ensure_future(self._send_copies(address, copies))
            connection = self.connections[address] = (task, copies)
        _, copies = connection
        if copies.full():
            copies.get_nowait()
        copies.put_nowait(copy)

    async def _send_copies(self, address: HostPort, copies: asyncio.Queue[Copy]) -> None:
        """Sends queued copies over one connection; a copy times out only while its bytes make no progress."""
        timing, frames = self.member.timing, None
        try:
            frames = await dial(*address, timing.election_timeout)
            while True:
                async with asyncio.timeout(timing.removal_timeout.total_seconds() * IDLE_CONNECTION_FACTOR):
                    copy = await copies.get()
                await frames.write(copy, timing.election_timeout)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            if frames:
                frames.close()

    def _on_saved(self, saves: list[Save]) -> None:
        for save in saves:
            self._carry_out(self.member.saved(monotonic(), save))

    def _on_save_failed(self) -> None:
        self._carry_out(self.member.save_failed(monotonic()))

    # -- reads and writes ---------------------------------------------------
    def _finish_call(self, call_id: int, data: Data | None) -> None:
        future = self.pending_calls.pop(call_id, None)
        if future and not future.done():
            future.set_result(data)

    async def _call(self, start: Callable[[int], Iterable[Action] | None], timeout: timedelta) -> Data | None:
        """Performs a read or write; returns its data, or None if it can't start or times out."""
        self.last_call_id += 1
        call_id = self.last_call_id
        future: asyncio.Future[Data | None] = asyncio.get_running_loop().create_future()
        actions = start(call_id)
        if actions is None:
            return None
        self.pending_calls[call_id] = future
        self._carry_out(actions)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except TimeoutError:
            return None
        finally:
            # Also removes the call when the caller is cancelled.
            self.pending_calls.pop(call_id, None)

    async def confirm(self, timeout: timedelta) -> Data | None:
        """Returns the committed data if a majority confirms, during this call, that this member is the primary."""
        return await self._call(lambda call_id: self.member.read(monotonic(), call_id), timeout)

    async def write(self, revision: int, blob: bytes, timeout: timedelta) -> Data | None:
        """Returns the data once every replica has it on disk; None if that is not known by the timeout."""
        return await self._call(lambda call_id: self.member.write(monotonic(), call_id, revision, blob), timeout)
