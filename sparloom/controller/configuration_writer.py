"""Reads and changes the control state: one write at a time, and what became of it.

Every answer rests on committed state that a majority confirmed after the
request came. That assumes what the consensus assumes: a primary serves only
while it is in contact with a majority of its roster, and a disk keeps what it
has acknowledged. Whatever can't be confirmed is left open and never a refusal.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from absl import logging
from attrs import define

from sparloom.configuration import ROLLOUTS, evacuated_zones_addition, with_additions
from sparloom.feed import CONFIGURATION
from sparloom.membership import ROUTER
from sparloom.transport import monotonic

from .change_requests import ChangeRequest, StateUpdate, Verdict, judge
from .control_state import State
from .evacuation_orders import EvacuationOrder, judge_evacuation
from .offload import is_large, run

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.consensus import Data

    from .change_requests import Judgement
    from .consensus_service import ConsensusService
    from .control_state import ConfigurationDict
    from .feed_server import FeedServer

    Version = tuple[int, int]
    Order = ChangeRequest | EvacuationOrder | StateUpdate[Any]

# Callers move on after a second of silence; a large body is given more.
ANSWER_WITHIN = timedelta(milliseconds=800)
ANSWER_WITHIN_PER_MIB = timedelta(seconds=1)
MIB = 1 << 20


@define(frozen=True, slots=True)
class Deadline:
    """The moment by which a request is answered.

    Attributes
    ----------
    at : timedelta
        On the clock of ``sparloom.transport.monotonic``.
    """

    at: timedelta

    @classmethod
    def after_body(cls, length: int) -> Deadline:
        """The deadline of a request whose body of that many bytes was just read."""
        return cls(monotonic() + ANSWER_WITHIN + ANSWER_WITHIN_PER_MIB * (length / MIB))

    def left(self) -> timedelta:
        """How much time is left; never less than none."""
        remaining: timedelta = self.at - monotonic()
        return max(timedelta(0), remaining)


@define(frozen=True, slots=True)
class Snapshot:
    """A state and the version of the data that it was unpacked from.

    Attributes
    ----------
    version : tuple of int
        Epoch and number.
    blob : bytes
        The packed state.
    state : State
        The same, unpacked.
    """

    version: Version
    blob: bytes
    state: State


@define(frozen=True, slots=True)
class PendingWrite:
    """A change whose write is under way.

    Attributes
    ----------
    request : ChangeRequest, EvacuationOrder or StateUpdate
        The change.
    blob : bytes
        The packed state that is being written.
    state : State
        The same, unpacked.
    committed : asyncio.Task
        Gives whether the write is known to be committed.
    """

    request: Order
    blob: bytes
    state: State
    committed: asyncio.Task[bool]


@define(frozen=True, slots=True)
class Acknowledged:
    """The change is committed; ``revision`` is that of the configuration."""

    revision: int


@define(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may be committed, or may yet be; it is to be sent again."""


@define(frozen=True, slots=True)
class NotConfirmed:
    """This controller is not known to be the primary, so it can't tell."""


@define(frozen=True, slots=True)
class Stale:
    """The change builds on another revision than the current one."""

    current_revision: int


@define(frozen=True, slots=True)
class Invalid:
    """The change can't be made on its base."""

    fault: str


@define(frozen=True, slots=True)
class Conflict:
    """Another change of the kind is under way."""

    fault: str


@define(frozen=True, slots=True)
class UnknownName:
    """The change names something that is not there."""

    fault: str


ChangeOutcome = Acknowledged | OutcomeUnknown | NotConfirmed | Stale | Invalid | Conflict | UnknownName


class ConfigurationWriter:
    """The committed configuration, and the one write that may be under way.

    Attributes
    ----------
    committed : Snapshot or None
        The newest committed state that the consensus told of.
    pending : PendingWrite or None
        The write under way.

    Parameters
    ----------
    consensus
        Confirms reads and carries out writes.
    feed_server
        Is given each committed configuration.
    write_timeout
        How long a write may take until its outcome counts as unknown.
    """

    def __init__(
        self, consensus: ConsensusService, feed_server: FeedServer, write_timeout: Callable[[], timedelta]
    ) -> None:
        self.consensus, self.feed_server, self.write_timeout = consensus, feed_server, write_timeout
        self.committed: Snapshot | None = None
        self.pending: PendingWrite | None = None
        # What was published last, and in which epoch.
        self._published: tuple[int, ConfigurationDict] | None = None

    def cancel(self) -> None:
        """Waits no longer for the write under way, whose outcome stays unknown."""
        if self.pending is not None:
            self.pending.committed.cancel()

    # -- what the consensus tells -----------------------------------------------
    def on_committed(self, data: Data) -> None:
        """Takes committed data, and publishes the configuration in it.

        What routers are told nothing of, as the state of the duties, gives the
        configuration no new version within an epoch.
        """
        self.committed = self._snapshot(data)
        state, (epoch, _) = self.committed.state, data.version
        if not state.revision:
            return
        document = published_document(state)
        if self._published != (epoch, document):
            self._published = (epoch, document)
            self.feed_server.publish(CONFIGURATION, data.version, document)

    def _snapshot(self, data: Data) -> Snapshot:
        """The state in some data; the same bytes are unpacked once only."""
        known = self.committed
        if known is not None and known.blob == data.blob:
            return known if known.version == data.version else Snapshot(data.version, data.blob, known.state)
        if self.pending is not None and self.pending.blob == data.blob:
            return Snapshot(data.version, data.blob, self.pending.state)
        return Snapshot(data.version, data.blob, State.unpack(data.blob))

    # -- the number of routers ----------------------------------------------------
    def _visible_routers(self) -> int:
        """Routers in the membership's table, those that died of late included."""
        return sum(entry.peer.role == ROUTER for entry in self.consensus.swim.table.values())

    def router_count(self) -> int:
        """The number of routers that share the endpoints: as committed, or as visible if that is more."""
        committed = self.committed.state.router_count if self.committed else 0
        return max(committed, self._visible_routers())

    # -- reading --------------------------------------------------------------------
    async def confirmed(self, deadline: Deadline) -> Snapshot | None:
        """Returns committed state that a majority confirmed after this call began, or None."""
        if not self.consensus.member.leading():
            return None
        data = await self.consensus.confirm(deadline.left())
        # Data newer than any that was reported as committed may still be lost with this primary.
        if data is None or self.committed is None or data.version > self.committed.version:
            return None
        return self._snapshot(data)

    def _is_newest(self, snapshot: Snapshot) -> bool:
        """Whether a confirmed state is still what a write would build on."""
        if not self.consensus.member.leading():
            return False
        return self.committed is not None and self.committed.version == snapshot.version

    # -- changing -------------------------------------------------------------------
    async def change(
        self, request: Order, deadline: Deadline, is_wanted: Callable[[], bool] = lambda: True
    ) -> ChangeOutcome:
        """Carries out a change, and returns its outcome by the deadline.

        A change is never refused while a write is under way, and never without
        confirmed state: the write could make the reason for the refusal untrue.

        Parameters
        ----------
        is_wanted
            Tells whether somebody still waits for the answer; if not, no write begins.
        """
        while deadline.left() and is_wanted():
            if self.pending is not None:
                pending = self.pending
                committed = await self._committed_in_time(pending, deadline)
                if request.is_retry_of(pending.request):
                    return Acknowledged(pending.state.revision) if committed else OutcomeUnknown()
                continue
            snapshot = await self.confirmed(deadline)
            if snapshot is None:
                return NotConfirmed()
            # Another write may have begun, or ended, while the state was being confirmed.
            if self.pending is not None or not self._is_newest(snapshot) or not is_wanted():
                continue
            outcome = await self._judge(request, snapshot)
            if outcome is not None:
                return outcome
        return OutcomeUnknown()

    @staticmethod
    async def _committed_in_time(pending: PendingWrite, deadline: Deadline) -> bool:
        """Whether a write is known to be committed by the deadline."""
        task = pending.committed
        done, _ = await asyncio.wait({task}, timeout=deadline.left().total_seconds())
        return bool(done) and not task.cancelled() and task.result()

    async def _judgement(self, request: Order, state: State) -> Judgement:
        if isinstance(request, EvacuationOrder):
            return judge_evacuation(state, request)
        if isinstance(request, StateUpdate):
            return request.judge(state)
        is_long = is_large(state.configuration) or is_large(request.change)
        return await run(is_long, judge, state, request, self._visible_routers())

    async def _judge(self, request: Order, snapshot: Snapshot) -> ChangeOutcome | None:
        """The outcome of a change; None when its write has begun, or the state has changed meanwhile."""
        judgement = await self._judgement(request, snapshot.state)
        if judgement.verdict is Verdict.ALREADY_COMMITTED:
            return Acknowledged(request.revision if isinstance(request, ChangeRequest) else snapshot.state.revision)
        if judgement.verdict is Verdict.FORGOTTEN:
            return OutcomeUnknown()
        if judgement.verdict is Verdict.STALE:
            return Stale(snapshot.state.revision)
        if judgement.verdict is Verdict.CONFLICT:
            return Conflict(judgement.fault)
        if judgement.verdict is Verdict.UNKNOWN_NAME:
            return UnknownName(judgement.fault)
        if judgement.state is None:
            return Invalid(judgement.fault)
        blob = await run(is_large(judgement.state.configuration), judgement.state.pack)
        # The loop ran on while threads judged and packed.
        if self.pending is None and self._is_newest(snapshot):
            write = self._write(request, snapshot, judgement.state, blob)
            task = asyncio.get_running_loop().create_task(write)
            self.pending = PendingWrite(request, blob, judgement.state, task)
        return None

    async def _write(self, request: Order, snapshot: Snapshot, state: State, blob: bytes) -> bool:
        """Writes a state over the one that it was made from; returns whether it is known to be committed."""
        try:
            # The task starts a turn of the event loop after the last check.
            if not self._is_newest(snapshot):
                return False
            data = await self.consensus.write(state.revision, blob, self.write_timeout())
            if data is None or data.revision != state.revision:
                return False
            _log_committed(request, state)
            return True
        finally:
            self.pending = None


def published_document(state: State) -> ConfigurationDict:
    """What routers are told: the operators' configuration, evacuated zones, roll-outs, and who shares rates.

    >>> published_document(State({"revision": 1})), published_document(State({"revision": 1}).evacuate("z"))
    ({'revision': 1}, {'revision': 1, 'evacuatedZones': ['z']})
    """
    additions = evacuated_zones_addition(state.evacuated)
    if state.rollouts is not None:
        # Deployments without roll-outs don't spend time and memory of a start on it.
        from .rollout_updates import rollouts_addition

        additions[ROLLOUTS] = rollouts_addition(state.rollouts)
    if state.rate_holders is not None:
        # Nor do those without cold rates.
        from sparloom.configuration.rate_holders import rate_holders_addition

        additions |= rate_holders_addition(state.rate_holders)
    document: ConfigurationDict = with_additions(state.configuration, additions)
    return document


def _log_committed(request: Order, state: State) -> None:
    if isinstance(request, ChangeRequest):
        logging.info("control: revision committed revision=%d", state.revision)
    elif isinstance(request, EvacuationOrder):
        logging.info("control: evacuation committed zone=%s evacuated=%s", request.zone, request.evacuate)
    else:
        logging.debug("control: update committed update=%s", request)
