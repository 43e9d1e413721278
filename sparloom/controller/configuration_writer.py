"""Reads and changes the replicated control state, with one write in flight at a time.

``ConfigurationWriter`` answers every request from committed state that a
majority confirmed after the request arrived. This relies on the assumptions of
the consensus: a primary serves only while it is in contact with a majority of
its roster, and a disk retains what it has acknowledged. Without confirmation
the outcome is reported as unknown, never as a rejection.
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

from .change_requests import ChangeRequest, ChangeVerdict, StateUpdate, evaluate
from .control_state import State
from .evacuation_orders import EvacuationOrder, evaluate_evacuation
from .offload import is_large, run_offloaded

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.consensus import Data

    from .change_requests import ChangeEvaluation
    from .consensus_service import ConsensusService
    from .control_state import ConfigurationDict
    from .feed_server import FeedServer

    Version = tuple[int, int]
    AnyChange = ChangeRequest | EvacuationOrder | StateUpdate[Any]

# Clients give up after one second without a response. A large body extends the limit in proportion to its length.
RESPONSE_TIMEOUT = timedelta(milliseconds=800)
RESPONSE_TIMEOUT_PER_MIB = timedelta(seconds=1)
MIB = 1 << 20


@define(frozen=True, slots=True)
class Deadline:
    """The time by which a request must be answered.

    Attributes
    ----------
    at : timedelta
        The deadline on the clock of ``sparloom.transport.monotonic``.
    """

    at: timedelta

    @classmethod
    def after_body(cls, length: int) -> Deadline:
        """The deadline of a request whose body, ``length`` bytes long, was read just now."""
        return cls(monotonic() + RESPONSE_TIMEOUT + RESPONSE_TIMEOUT_PER_MIB * (length / MIB))

    def remaining(self) -> timedelta:
        """The time until the deadline, or zero after it."""
        difference: timedelta = self.at - monotonic()
        return max(timedelta(0), difference)


@define(frozen=True, slots=True)
class Snapshot:
    """A state and the version of the replicated data that contains it.

    Attributes
    ----------
    version : tuple of int
        The epoch and number of the data.
    blob : bytes
        The packed state.
    state : State
        The unpacked state.
    """

    version: Version
    blob: bytes
    state: State


@define(frozen=True, slots=True)
class PendingWrite:
    """A change whose write is in flight.

    Attributes
    ----------
    request : ChangeRequest, EvacuationOrder or StateUpdate
        The change.
    blob : bytes
        The packed state that is being written.
    state : State
        The unpacked state.
    committed : asyncio.Task
        Returns whether the write is known to be committed.
    """

    request: AnyChange
    blob: bytes
    state: State
    committed: asyncio.Task[bool]


@define(frozen=True, slots=True)
class Acknowledged:
    """The change is committed; ``revision`` is the revision of the configuration."""

    revision: int


@define(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may be committed now or later; the client should retry it."""


@define(frozen=True, slots=True)
class NotConfirmed:
    """This controller could not confirm that it is the primary."""


@define(frozen=True, slots=True)
class Stale:
    """The base of the change is not the current revision."""

    current_revision: int


@define(frozen=True, slots=True)
class Invalid:
    """The change is invalid on its base."""

    fault: str


@define(frozen=True, slots=True)
class Conflict:
    """A conflicting change of the same kind is in progress."""

    fault: str


@define(frozen=True, slots=True)
class UnknownName:
    """The change names something that does not exist."""

    fault: str


ChangeOutcome = Acknowledged | OutcomeUnknown | NotConfirmed | Stale | Invalid | Conflict | UnknownName


class ConfigurationWriter:
    """The committed configuration and the write in flight, if there is one.

    Attributes
    ----------
    committed : Snapshot or None
        The newest committed state reported by the consensus.
    pending : PendingWrite or None
        The write in flight.

    Parameters
    ----------
    consensus
        Confirms reads and performs writes.
    feed_server
        Publishes each committed configuration.
    write_timeout
        Returns the time after which the outcome of a write counts as unknown.
    """

    def __init__(
        self, consensus: ConsensusService, feed_server: FeedServer, write_timeout: Callable[[], timedelta]
    ) -> None:
        self.consensus, self.feed_server, self.write_timeout = consensus, feed_server, write_timeout
        self.committed: Snapshot | None = None
        self.pending: PendingWrite | None = None
        # The epoch and document of the last publication.
        self._published: tuple[int, ConfigurationDict] | None = None

    def cancel(self) -> None:
        """Stops waiting for the write in flight; its outcome stays unknown."""
        if self.pending is not None:
            self.pending.committed.cancel()

    # -- committed data -----------------------------------------------------------
    def on_committed(self, data: Data) -> None:
        """Stores committed data and publishes its configuration.

        Within an epoch, a change that does not affect the published document,
        such as one of the duties, publishes no new version.
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
        """The unpacked state of some data; known bytes are not unpacked again."""
        known = self.committed
        if known is not None and known.blob == data.blob:
            return known if known.version == data.version else Snapshot(data.version, data.blob, known.state)
        if self.pending is not None and self.pending.blob == data.blob:
            return Snapshot(data.version, data.blob, self.pending.state)
        return Snapshot(data.version, data.blob, State.unpack(data.blob))

    # -- the number of routers ----------------------------------------------------
    def _visible_routers(self) -> int:
        """The number of routers in the membership table, including those that died recently."""
        return sum(entry.peer.role == ROUTER for entry in self.consensus.swim.table.values())

    def router_count(self) -> int:
        """The number of routers that share the endpoints: the larger of the committed and the visible count."""
        committed = self.committed.state.router_count if self.committed else 0
        return max(committed, self._visible_routers())

    # -- reading --------------------------------------------------------------------
    async def read_confirmed(self, deadline: Deadline) -> Snapshot | None:
        """Returns committed state that a majority confirmed during this call, or None."""
        if not self.consensus.member.leading():
            return None
        data = await self.consensus.confirm(deadline.remaining())
        # Data newer than the last reported commit may still be lost if this primary fails.
        if data is None or self.committed is None or data.version > self.committed.version:
            return None
        return self._snapshot(data)

    def _is_newest(self, snapshot: Snapshot) -> bool:
        """Whether this is still the primary and a confirmed state is still the newest committed one."""
        if not self.consensus.member.leading():
            return False
        return self.committed is not None and self.committed.version == snapshot.version

    # -- changing -------------------------------------------------------------------
    async def change(
        self, request: AnyChange, deadline: Deadline, is_client_waiting: Callable[[], bool] = lambda: True
    ) -> ChangeOutcome:
        """Performs a change and returns its outcome by the deadline.

        A change is rejected only on confirmed state and while no write is in flight,
        because a pending write could invalidate the reason for the rejection.

        Parameters
        ----------
        is_client_waiting
            Returns whether the client still waits for the answer; if not, no write is started.
        """
        while deadline.remaining() and is_client_waiting():
            if self.pending is not None:
                pending = self.pending
                committed = await self._is_committed_by_deadline(pending, deadline)
                if request.is_retry_of(pending.request):
                    return Acknowledged(pending.state.revision) if committed else OutcomeUnknown()
                continue
            snapshot = await self.read_confirmed(deadline)
            if snapshot is None:
                return NotConfirmed()
            # Another write may have started or ended during the confirmation.
            if self.pending is not None or not self._is_newest(snapshot) or not is_client_waiting():
                continue
            outcome = await self._resolve_or_write(request, snapshot)
            if outcome is not None:
                return outcome
        return OutcomeUnknown()

    @staticmethod
    async def _is_committed_by_deadline(pending: PendingWrite, deadline: Deadline) -> bool:
        """Whether a write is known to be committed by the deadline."""
        task = pending.committed
        done, _ = await asyncio.wait({task}, timeout=deadline.remaining().total_seconds())
        return bool(done) and not task.cancelled() and task.result()

    async def _evaluate(self, request: AnyChange, state: State) -> ChangeEvaluation:
        if isinstance(request, EvacuationOrder):
            return evaluate_evacuation(state, request)
        if isinstance(request, StateUpdate):
            return request.evaluate(state)
        is_slow = is_large(state.configuration) or is_large(request.change)
        return await run_offloaded(is_slow, evaluate, state, request, self._visible_routers())

    async def _resolve_or_write(self, request: AnyChange, snapshot: Snapshot) -> ChangeOutcome | None:
        """Returns the outcome of a change that needs no write; otherwise starts its write and returns None.

        Also returns None, without a write, if the state has changed or another write has started meanwhile.
        """
        evaluation = await self._evaluate(request, snapshot.state)
        if evaluation.verdict is ChangeVerdict.ALREADY_COMMITTED:
            return Acknowledged(request.revision if isinstance(request, ChangeRequest) else snapshot.state.revision)
        if evaluation.verdict is ChangeVerdict.POSSIBLY_COMMITTED:
            return OutcomeUnknown()
        if evaluation.verdict is ChangeVerdict.STALE:
            return Stale(snapshot.state.revision)
        if evaluation.verdict is ChangeVerdict.CONFLICT:
            return Conflict(evaluation.fault)
        if evaluation.verdict is ChangeVerdict.UNKNOWN_NAME:
            return UnknownName(evaluation.fault)
        if evaluation.state is None:
            return Invalid(evaluation.fault)
        blob = await run_offloaded(is_large(evaluation.state.configuration), evaluation.state.pack)
        # The event loop kept running while worker threads evaluated and packed the change.
        if self.pending is None and self._is_newest(snapshot):
            write = self._write(request, snapshot, evaluation.state, blob)
            task = asyncio.get_running_loop().create_task(write)
            self.pending = PendingWrite(request, blob, evaluation.state, task)
        return None

    async def _write(self, request: AnyChange, snapshot: Snapshot, state: State, blob: bytes) -> bool:
        """Replaces the state of a snapshot with a new one; returns whether the write is known to be committed."""
        try:
            # The task starts one event loop iteration after the previous check.
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
    """The document for routers: the operators' configuration, evacuated zones, roll-outs and rate holders.

    >>> published_document(State({"revision": 1})), published_document(State({"revision": 1}).evacuate("z"))
    ({'revision': 1}, {'revision': 1, 'evacuatedZones': ['z']})
    """
    additions = evacuated_zones_addition(state.evacuated)
    if state.rollouts is not None:
        # Imported here to save startup time and memory on deployments without roll-outs.
        from .rollout_updates import rollouts_addition

        additions[ROLLOUTS] = rollouts_addition(state.rollouts)
    if state.rate_holders is not None:
        # Imported here to save startup time and memory on deployments without cold rates.
        from sparloom.configuration.rate_holders import rate_holders_addition

        additions |= rate_holders_addition(state.rate_holders)
    document: ConfigurationDict = with_additions(state.configuration, additions)
    return document


def _log_committed(request: AnyChange, state: State) -> None:
    if isinstance(request, ChangeRequest):
        logging.info("control: revision committed revision=%d", state.revision)
    elif isinstance(request, EvacuationOrder):
        logging.info("control: evacuation committed zone=%s evacuated=%s", request.zone, request.evacuate)
    else:
        logging.debug("control: update committed update=%s", request)
