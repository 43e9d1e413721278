"""The primary's side: copy the data, activate the view, serve.

Nothing is answered before the view is active: each holder has the data on
disk and a majority of each roster has marked the view. Whoever leads later
must hear of it, since its own quorum intersects those majorities.

The class reads in the order of a primary's life: activation of its view,
heartbeats and reads, calls. ``view_change`` has what repairs and changes the view.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

from .actions import NEVER, Aborted, Committed, ReadConfirmed, Send
from .records import Activate, Copy, CopyAck, Data, Heartbeat, HeartbeatAck
from .view_change import repair, replace_unresponsive
from .views import majority, quorum

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .actions import Action
    from .member import ConsensusMember
    from .records import Activated, Member, View

# How many heartbeats may wait for the answers of a majority before the oldest is forgotten.
MAXIMUM_UNCONFIRMED_HEARTBEATS = 30
# A copy that took less than this part of the time-out makes the next time-out shorter.
QUICK_COPY = 0.25
# A member that was not heard of for this many heartbeat intervals makes heartbeats more frequent.
LATE_HEARTBEATS = 1.5
# By how much more frequent heartbeats are then.
LATE_HEARTBEAT_RATE = 3
# Activations and copies are sent again at a multiple of the resend interval.
RESEND_INTERVALS = 4


class Phase(Enum):
    """How far a primary has come in its epoch."""

    COPYING = 0
    ACTIVATING = 1
    SERVING = 2


@define(slots=True, eq=False)
class Leadership:
    """A primary's state in its epoch.

    Times are those of ``ConsensusMember.now``.
    """

    # The member that leads; it owns this object.
    consensus: ConsensusMember
    # The view that is led: its epoch, its holders, its voters.
    view: View
    # When the election was won; once the view is served: when that began.
    started_at: timedelta
    phase: Phase = Phase.COPYING
    # Whether the view was served, so that earlier rosters have no say any more.
    committed: bool = False
    # Number of the last heartbeat, counted from 1 in each epoch.
    heartbeat_sequence: int = 0
    heartbeat_sent_at: timedelta = NEVER
    # When each heartbeat was sent, by its number; without those confirmed earlier.
    heartbeat_times: dict[int, timedelta] = field(factory=dict)
    # Number of the last heartbeat that each member acknowledged, by member id.
    acknowledged: dict[int, int] = field(factory=dict)
    # When each member was last heard, by member id; also by earlier views of this primary.
    heard_at: dict[int, timedelta] = field(factory=dict)
    # When the newest heartbeat that a majority acknowledged was sent: up to then no other member led.
    confirmed_at: timedelta = NEVER
    confirmed_sequence: int = 0
    # Number of the data (``Data.number``) on the disk of each holder, by member id.
    stored: dict[int, int] = field(factory=dict)
    # Ids of members that have the view as active on disk.
    activated: set[int] = field(factory=set)
    # Ids of members that have the view as committed on disk.
    committed_by: set[int] = field(factory=set)
    # When copies and activations were last sent.
    resent_at: timedelta = NEVER
    # The caller's id of the write under way, or None.
    write: int | None = None
    write_started_at: timedelta = timedelta(0)
    # Number of the first heartbeat after a read began, by the caller's id of the read.
    reads: dict[int, int] = field(factory=dict)
    # What every holder has on disk; None before the view is served.
    decided: Data | None = None
    # Number of the first heartbeat after a leaving member last asked for its release, by member id.
    release_requests: dict[int, int] = field(factory=dict)
    # Since when a change of the roster or the backups is due, or None.
    change_due_since: timedelta | None = None

    @property
    def epoch(self) -> int:
        """The epoch in which it leads."""
        return self.view.epoch

    @property
    def own_id(self) -> int:
        """The primary's own id."""
        return self.consensus.member.id

    @property
    def serving(self) -> bool:
        """Whether the view is active, so that calls may be answered."""
        return self.phase is Phase.SERVING

    @property
    def copy_timeout(self) -> timedelta:
        """How long a holder may take for a copy; it grows where every copy is slow."""
        return self.consensus.timing.election_timeout * self.consensus.copy_timeout_factor

    def add_pause(self, paused: timedelta) -> None:
        """The primary's own process stood still for a while: nobody was silent meanwhile."""
        self.heard_at = {member_id: heard_at + paused for member_id, heard_at in self.heard_at.items()}

    def is_silent(self, member_id: int, timeout: timedelta) -> bool:
        """Whether a member has been silent for longer than a time-out."""
        if member_id == self.own_id:
            return False
        return self.consensus.now - self.heard_at.get(member_id, self.started_at) > timeout

    # -- activation of the view -------------------------------------------------
    def start(self) -> list[Action]:
        """Begins to copy the data to each holder."""
        return [*self._copy_out(), *self.tick()]

    def _copy_out(self) -> list[Action]:
        """Sends the data to the backups and to the own disk, whose save is answered like a backup's."""
        consensus, view = self.consensus, self.view
        self.stored, self.resent_at = {}, consensus.now
        own = CopyAck(self.own_id, view.epoch, consensus.data.number, True, view.epoch)
        save = consensus.replica.save(Send(consensus.member, own), data=consensus.data)
        return [save, *self._copies(view.backups)]

    def _copies(self, backups: Collection[int]) -> list[Action]:
        copy = Copy(self.own_id, self.view, self.consensus.data)
        return [Send(member, copy) for member in self.view.roster if member.id in backups]

    def _activations(self, members: Iterable[Member]) -> list[Action]:
        activate = Activate(self.own_id, self.view, self.committed)
        return [Send(member, activate) for member in members]

    def on_ack(self, ack: HeartbeatAck | CopyAck | Activated) -> list[Action]:
        """Takes an answer to a heartbeat, a copy or an activation of this epoch; others are dropped."""
        if ack.epoch != self.view.epoch:
            return []
        self.heard_at[ack.sender] = self.consensus.now
        if isinstance(ack, HeartbeatAck):
            return self.on_heartbeat_ack(ack)
        if not ack.accepted:
            return self._on_rejection(ack)
        return self.on_copy_ack(ack) if isinstance(ack, CopyAck) else self.on_activated(ack)

    def _on_rejection(self, ack: HeartbeatAck | CopyAck | Activated) -> list[Action]:
        """Another member promised a later epoch: this one leads no more."""
        if ack.promised_epoch <= self.view.epoch:
            return []
        self.consensus.defer_candidacy(self.consensus.timing.election_timeout)
        return self.consensus.step_down()

    def on_copy_ack(self, ack: CopyAck) -> list[Action]:
        """A holder has the data on disk; once all have, the view is activated or the write committed."""
        # An acknowledgement of an earlier copy may overtake that of a later one.
        self.stored[ack.sender] = max(ack.number, self.stored.get(ack.sender, 0))
        if any(self.stored.get(holder) != self.consensus.data.number for holder in self.view.holders):
            return []
        if self.phase is Phase.COPYING:
            self._shorten_copy_timeout(self.started_at)
            self.phase, self.resent_at = Phase.ACTIVATING, self.consensus.now
            return self._activations(self.view.members)
        if self.write is None:
            return []
        self._shorten_copy_timeout(self.write_started_at)
        write, self.write = self.write, None
        self.decided = self.consensus.data
        return [Committed(write, self.decided)]

    def _shorten_copy_timeout(self, copied_since: timedelta) -> None:
        """All holders have a copy: one that was quick makes the time for the next shorter again."""
        consensus = self.consensus
        if consensus.now - copied_since < self.copy_timeout * QUICK_COPY:
            consensus.copy_timeout_factor = max(1, consensus.copy_timeout_factor // 2)

    def on_activated(self, ack: Activated) -> list[Action]:
        """A member has marked the view active, or committed; once a quorum has, the view is served."""
        self.consensus.membership.record_activation(ack.sender, ack.epoch, self.consensus.now)
        self.activated.add(ack.sender)
        if ack.committed:
            self.committed_by.add(ack.sender)
        if self.phase is Phase.ACTIVATING and quorum(self.activated, self.view.rosters):
            return self._serve()
        return []

    def _serve(self) -> list[Action]:
        consensus = self.consensus
        self.phase, self.started_at = Phase.SERVING, consensus.now
        self.decided = consensus.data
        actions = [Committed(0, self.decided), *self._heartbeat(at_once=True)]
        if self.view.previous:
            # Earlier rosters lose their say only now: before, a candidate that did not know of
            # this view could still have won with a majority of one of them.
            self.committed = True
            self.resent_at = consensus.now
            actions += self._activations(self.view.members)
        return actions + self._activations(learner.member for learner in consensus.membership.learners.values())

    def complete(self) -> bool:
        """Whether the last change of the roster is committed on a majority's disks."""
        return self.serving and (not self.view.previous or majority(self.committed_by, self.view.ids))

    # -- time and heartbeats ----------------------------------------------------
    def tick(self) -> list[Action]:
        """Sends heartbeats and what lacks an answer, and repairs; steps down where that is in vain."""
        consensus, timing = self.consensus, self.consensus.timing
        if self.serving and self._unconfirmed_for() > timing.election_timeout:
            consensus.defer_candidacy(timing.election_timeout)
            return consensus.step_down()
        activation_timeout = max(timing.candidacy_timeout * 2, self.copy_timeout * 2)
        if not self.serving and consensus.now - self.started_at > activation_timeout:
            # At random, so that two members don't depose each other in turn.
            consensus.defer_candidacy(timing.election_timeout * consensus.rng.random())
            return consensus.step_down()
        actions = self._heartbeat()
        if consensus.now - self.resent_at > timing.resend_interval * RESEND_INTERVALS:
            self.resent_at = consensus.now
            actions += self._resend()
        if self.serving:
            return actions + repair(self)
        return actions + (replace_unresponsive(self) if self.phase is Phase.COPYING else [])

    def _unconfirmed_for(self) -> timedelta:
        """For how long a majority has left a heartbeat unanswered; a stall of this process doesn't count."""
        sent_at = self.heartbeat_times.get(self.confirmed_sequence + 1, self.consensus.now)
        return self.consensus.now - max(sent_at, self.started_at)

    def _heartbeat(self, at_once: bool = False) -> list[Action]:
        """The next heartbeat if one is due: sooner where a member is late, as the last may be lost."""
        consensus, interval = self.consensus, self.consensus.timing.heartbeat_interval
        if any(self.is_silent(member_id, interval * LATE_HEARTBEATS) for member_id in self.view.ids):
            interval /= LATE_HEARTBEAT_RATE
        if not at_once and consensus.now - self.heartbeat_sent_at < interval:
            return []
        self.heartbeat_sequence += 1
        self.heartbeat_sent_at = consensus.now
        self._note_heartbeat()
        heartbeat = Heartbeat(self.own_id, self.view.epoch, self.heartbeat_sequence)
        others = [member for member in self.view.roster if member.id != self.own_id]
        return [*(Send(member, heartbeat) for member in others), *self._confirm()]

    def _note_heartbeat(self) -> None:
        """Notes when the last heartbeat was sent, and that this member itself acknowledges it."""
        sequence = self.heartbeat_sequence
        oldest = min(self.confirmed_sequence, sequence - MAXIMUM_UNCONFIRMED_HEARTBEATS)
        self.heartbeat_times = {number: at for number, at in self.heartbeat_times.items() if number > oldest}
        self.heartbeat_times[sequence] = self.consensus.now
        self.acknowledged[self.own_id] = sequence

    def _resend(self) -> list[Action]:
        """Copies and activations that lack an answer."""
        actions: list[Action] = []
        if self.phase is Phase.COPYING or self.write is not None:
            actions += self._copies(self.backups_without_data())
        if self.phase is not Phase.COPYING:
            done = self.committed_by if self.committed else self.activated
            actions += self._activations(member for member in self.view.roster if member.id not in done)
        if self.phase is Phase.ACTIVATING:
            answered = {*self.view.ids, *self.activated}
            actions += self._activations(member for member in self.view.members if member.id not in answered)
        return actions

    def backups_without_data(self) -> list[int]:
        """The backups that have not confirmed the newest data."""
        return [i for i in self.view.backups if self.stored.get(i) != self.consensus.data.number]

    def on_heartbeat_ack(self, ack: HeartbeatAck) -> list[Action]:
        """A member has heard a heartbeat, or has promised a later epoch."""
        if ack.promised_epoch > self.view.epoch:
            return self._on_rejection(ack)
        if ack.accepted:
            self.consensus.membership.record_heard(ack.sender)
            # Datagrams overtake each other.
            self.acknowledged[ack.sender] = max(ack.sequence, self.acknowledged.get(ack.sender, 0))
        if not ack.active:
            # This answer and the member's ``Activated`` may overtake each other. Asking once more is
            # harmless; to count a member that lacks the mark is not.
            self.activated.discard(ack.sender)
            self.committed_by.discard(ack.sender)
        return self._confirm()

    def _confirm(self) -> list[Action]:
        """Reads that began before a heartbeat that a majority has answered are confirmed.

        The answers show that no other member led when that heartbeat was sent,
        so no write of a later epoch can have been acknowledged before the read.
        """
        if not self.serving or self.decided is None:
            return []
        answered = sorted((self.acknowledged.get(member_id, 0) for member_id in self.view.ids), reverse=True)
        by_majority = answered[len(answered) // 2]
        if by_majority > self.confirmed_sequence:
            self.confirmed_sequence = by_majority
            self.confirmed_at = self.heartbeat_times.get(by_majority, self.confirmed_at)
        confirmed = [read for read, sequence in self.reads.items() if sequence <= self.confirmed_sequence]
        for read in confirmed:
            del self.reads[read]
        return [ReadConfirmed(read, self.decided) for read in confirmed]

    # -- calls ------------------------------------------------------------------
    def begin_write(self, write: int, revision: int, blob: bytes) -> list[Action] | None:
        """Starts a write; None before the view is active or while another write is under way."""
        if not self.serving or self.write is not None:
            return None
        consensus = self.consensus
        consensus.replica.data = Data(self.view.epoch, consensus.data.number + 1, revision, blob)
        self.write, self.write_started_at = write, consensus.now
        return self._copy_out()

    def begin_read(self, read: int) -> list[Action] | None:
        """Starts a confirmed read; None before the view is active."""
        if not self.serving:
            return None
        self.reads[read] = self.heartbeat_sequence + 1
        return self._heartbeat(at_once=True)

    def abort_calls(self) -> list[Action]:
        """What can't be answered any more once this member leads no longer."""
        writes = [] if self.write is None else [Aborted(self.write)]
        return [*writes, *(Aborted(read) for read in self.reads)]
