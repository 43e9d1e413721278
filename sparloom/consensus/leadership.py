"""Primary side of the protocol: replicate the data, activate the view, serve calls.

``Leadership`` answers no call before its view is active: each holder has the
data on disk, and a majority of each roster has marked the view active. Every
later primary learns of the view, since its quorum intersects those majorities.

The methods are grouped by view activation, heartbeats with reads, and calls.
``view_change`` repairs and changes the view.
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

# Maximum number of unconfirmed heartbeats whose send times are stored; older ones are dropped.
MAXIMUM_UNCONFIRMED_HEARTBEATS = 30
# Fraction of the copy timeout within which a copy must complete to halve the copy timeout factor.
FAST_COPY_FRACTION = 0.25
# Number of heartbeat intervals without a message after which a member counts as late.
LATE_HEARTBEAT_INTERVALS = 1.5
# Divisor of the heartbeat interval while any member is late.
LATE_HEARTBEAT_DIVISOR = 3
# Interval between retries of activations and copies, in resend intervals.
RESEND_INTERVAL_FACTOR = 4


class Phase(Enum):
    """Progress of a primary in its epoch."""

    COPYING = 0
    ACTIVATING = 1
    SERVING = 2


@define(slots=True, eq=False)
class Leadership:
    """State of a primary in one epoch.

    Timestamps are in the time of ``ConsensusMember.now``.
    """

    # The primary; it owns this object.
    consensus: ConsensusMember
    # The view of the epoch: its holders and voters.
    view: View
    # Time at which the election was won; after activation, the time at which serving began.
    started_at: timedelta
    phase: Phase = Phase.COPYING
    # Whether the view has been served, so that earlier rosters are no longer required for a quorum.
    committed: bool = False
    # Number of the last heartbeat, counted from 1 in each epoch.
    heartbeat_sequence: int = 0
    heartbeat_sent_at: timedelta = NEVER
    # Send time of each heartbeat by its number, without those confirmed earlier.
    heartbeat_times: dict[int, timedelta] = field(factory=dict)
    # Number of the last acknowledged heartbeat by member id.
    acknowledged: dict[int, int] = field(factory=dict)
    # Time of the last message from each member, by member id, including earlier views of this primary.
    last_contact_at: dict[int, timedelta] = field(factory=dict)
    # Send time of the newest heartbeat acknowledged by a majority; until then no other member was primary.
    confirmed_at: timedelta = NEVER
    confirmed_sequence: int = 0
    # Number of the data (``Data.number``) on the disk of each holder, by member id.
    stored: dict[int, int] = field(factory=dict)
    # Ids of members that have the view marked active on disk.
    activated: set[int] = field(factory=set)
    # Ids of members that have the view marked committed on disk.
    committed_by: set[int] = field(factory=set)
    # Time at which copies and activations were last sent.
    resent_at: timedelta = NEVER
    # Id of the write in flight, as given by the caller, or None.
    write: int | None = None
    write_started_at: timedelta = timedelta(0)
    # Number of the first heartbeat after each read began, by the read's id as given by the caller.
    pending_reads: dict[int, int] = field(factory=dict)
    # The committed data, which every holder has on disk; None before the view is served.
    committed_data: Data | None = None
    # Number of the first heartbeat after the last release request of each leaving member, by member id.
    release_requests: dict[int, int] = field(factory=dict)
    # Time since which a change of the roster or the backups is due, or None.
    change_due_since: timedelta | None = None

    @property
    def epoch(self) -> int:
        """The epoch of the led view."""
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
        """Time allowed for a holder to store a copy; it grows if all copies are slow."""
        return self.consensus.timing.election_timeout * self.consensus.copy_timeout_factor

    def exclude_pause(self, pause: timedelta) -> None:
        """Excludes a pause of this process from the time for which members have been unresponsive."""
        self.last_contact_at = {
            member_id: last_contact_at + pause for member_id, last_contact_at in self.last_contact_at.items()
        }

    def is_unresponsive(self, member_id: int, timeout: timedelta) -> bool:
        """Returns whether no message of a member has arrived for longer than ``timeout``."""
        if member_id == self.own_id:
            return False
        return self.consensus.now - self.last_contact_at.get(member_id, self.started_at) > timeout

    # -- activation of the view -------------------------------------------------
    def start(self) -> list[Action]:
        """Starts replicating the data to each holder."""
        return [*self._replicate_data(), *self.tick()]

    def _replicate_data(self) -> list[Action]:
        """Sends the data to the backups and saves it locally; the local save is acknowledged like a backup's."""
        consensus, view = self.consensus, self.view
        self.stored, self.resent_at = {}, consensus.now
        own = CopyAck(self.own_id, view.epoch, consensus.data.number, True, view.epoch)
        save = consensus.replica.save(Send(consensus.member, own), data=consensus.data)
        return [save, *self._copy_messages(view.backups)]

    def _copy_messages(self, backups: Collection[int]) -> list[Action]:
        copy = Copy(self.own_id, self.view, self.consensus.data)
        return [Send(member, copy) for member in self.view.roster if member.id in backups]

    def _activation_messages(self, members: Iterable[Member]) -> list[Action]:
        activate = Activate(self.own_id, self.view, self.committed)
        return [Send(member, activate) for member in members]

    def on_ack(self, ack: HeartbeatAck | CopyAck | Activated) -> list[Action]:
        """Handles an answer to a heartbeat, copy or activation of this epoch; drops answers of other epochs."""
        if ack.epoch != self.view.epoch:
            return []
        self.last_contact_at[ack.sender] = self.consensus.now
        if isinstance(ack, HeartbeatAck):
            return self.on_heartbeat_ack(ack)
        if not ack.accepted:
            return self._on_rejection(ack)
        return self.on_copy_ack(ack) if isinstance(ack, CopyAck) else self.on_activated(ack)

    def _on_rejection(self, ack: HeartbeatAck | CopyAck | Activated) -> list[Action]:
        """Steps down if a member has promised a later epoch."""
        if ack.promised_epoch <= self.view.epoch:
            return []
        self.consensus.defer_candidacy(self.consensus.timing.election_timeout)
        return self.consensus.step_down()

    def on_copy_ack(self, ack: CopyAck) -> list[Action]:
        """Records that a holder has the data on disk; once all have it, activates the view or commits the write."""
        # Acknowledgements may arrive out of order.
        self.stored[ack.sender] = max(ack.number, self.stored.get(ack.sender, 0))
        if any(self.stored.get(holder) != self.consensus.data.number for holder in self.view.holders):
            return []
        if self.phase is Phase.COPYING:
            self._shorten_copy_timeout(self.started_at)
            self.phase, self.resent_at = Phase.ACTIVATING, self.consensus.now
            return self._activation_messages(self.view.members)
        if self.write is None:
            return []
        self._shorten_copy_timeout(self.write_started_at)
        write, self.write = self.write, None
        self.committed_data = self.consensus.data
        return [Committed(write, self.committed_data)]

    def _shorten_copy_timeout(self, copied_since: timedelta) -> None:
        """Halves the copy timeout factor after a fast copy to all holders."""
        consensus = self.consensus
        if consensus.now - copied_since < self.copy_timeout * FAST_COPY_FRACTION:
            consensus.copy_timeout_factor = max(1, consensus.copy_timeout_factor // 2)

    def on_activated(self, ack: Activated) -> list[Action]:
        """Records that a member has marked the view active or committed; serves the view once a quorum has."""
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
        self.committed_data = consensus.data
        actions = [Committed(0, self.committed_data), *self._heartbeat(at_once=True)]
        if self.view.previous:
            # Earlier rosters are required up to this point: a candidate that did not know this view
            # could have won with a majority of one of them.
            self.committed = True
            self.resent_at = consensus.now
            actions += self._activation_messages(self.view.members)
        return actions + self._activation_messages(learner.member for learner in consensus.membership.learners.values())

    def complete(self) -> bool:
        """Returns whether the last roster change is committed on the disks of a majority."""
        return self.serving and (not self.view.previous or majority(self.committed_by, self.view.ids))

    # -- time and heartbeats ----------------------------------------------------
    def tick(self) -> list[Action]:
        """Sends due heartbeats, resends unanswered messages and repairs the view; steps down after a timeout."""
        consensus, timing = self.consensus, self.consensus.timing
        if self.serving and self._unconfirmed_duration() > timing.election_timeout:
            consensus.defer_candidacy(timing.election_timeout)
            return consensus.step_down()
        activation_timeout = max(timing.candidacy_timeout * 2, self.copy_timeout * 2)
        if not self.serving and consensus.now - self.started_at > activation_timeout:
            # The random delay prevents two members from deposing each other in turn.
            consensus.defer_candidacy(timing.election_timeout * consensus.rng.random())
            return consensus.step_down()
        actions = self._heartbeat()
        if consensus.now - self.resent_at > timing.resend_interval * RESEND_INTERVAL_FACTOR:
            self.resent_at = consensus.now
            actions += self._resend()
        if self.serving:
            return actions + repair(self)
        return actions + (replace_unresponsive(self) if self.phase is Phase.COPYING else [])

    def _unconfirmed_duration(self) -> timedelta:
        """Returns the age of the oldest heartbeat without a majority, excluding pauses of this process."""
        sent_at = self.heartbeat_times.get(self.confirmed_sequence + 1, self.consensus.now)
        return self.consensus.now - max(sent_at, self.started_at)

    def _heartbeat(self, at_once: bool = False) -> list[Action]:
        """Sends a heartbeat if one is due; sooner if a member is late, as the last heartbeat may be lost."""
        consensus, interval = self.consensus, self.consensus.timing.heartbeat_interval
        if any(self.is_unresponsive(member_id, interval * LATE_HEARTBEAT_INTERVALS) for member_id in self.view.ids):
            interval /= LATE_HEARTBEAT_DIVISOR
        if not at_once and consensus.now - self.heartbeat_sent_at < interval:
            return []
        self.heartbeat_sequence += 1
        self.heartbeat_sent_at = consensus.now
        self._record_sent_heartbeat()
        heartbeat = Heartbeat(self.own_id, self.view.epoch, self.heartbeat_sequence)
        others = [member for member in self.view.roster if member.id != self.own_id]
        return [*(Send(member, heartbeat) for member in others), *self._confirm()]

    def _record_sent_heartbeat(self) -> None:
        """Records the send time of the last heartbeat and the primary's own acknowledgement of it."""
        sequence = self.heartbeat_sequence
        oldest = min(self.confirmed_sequence, sequence - MAXIMUM_UNCONFIRMED_HEARTBEATS)
        self.heartbeat_times = {number: at for number, at in self.heartbeat_times.items() if number > oldest}
        self.heartbeat_times[sequence] = self.consensus.now
        self.acknowledged[self.own_id] = sequence

    def _resend(self) -> list[Action]:
        """Returns the unanswered copies and activations."""
        actions: list[Action] = []
        if self.phase is Phase.COPYING or self.write is not None:
            actions += self._copy_messages(self.backups_without_data())
        if self.phase is not Phase.COPYING:
            done = self.committed_by if self.committed else self.activated
            actions += self._activation_messages(member for member in self.view.roster if member.id not in done)
        if self.phase is Phase.ACTIVATING:
            answered = {*self.view.ids, *self.activated}
            actions += self._activation_messages(member for member in self.view.members if member.id not in answered)
        return actions

    def backups_without_data(self) -> list[int]:
        """Returns the backups that have not acknowledged the newest data."""
        return [i for i in self.view.backups if self.stored.get(i) != self.consensus.data.number]

    def on_heartbeat_ack(self, ack: HeartbeatAck) -> list[Action]:
        """Handles the acknowledgement of a heartbeat, or its rejection for a later promised epoch."""
        if ack.promised_epoch > self.view.epoch:
            return self._on_rejection(ack)
        if ack.accepted:
            self.consensus.membership.record_response(ack.sender)
            # Datagrams may arrive out of order.
            self.acknowledged[ack.sender] = max(ack.sequence, self.acknowledged.get(ack.sender, 0))
        if not ack.active:
            # This answer may arrive after the member's later ``Activated``. A second activation request
            # is harmless; counting a member that has not marked the view active is not.
            self.activated.discard(ack.sender)
            self.committed_by.discard(ack.sender)
        return self._confirm()

    def _confirm(self) -> list[Action]:
        """Confirms the reads that began before a heartbeat which a majority has acknowledged.

        The acknowledgements show that no other member was primary when that
        heartbeat was sent, so no write of a later epoch can have been
        acknowledged before the read.
        """
        if not self.serving or self.committed_data is None:
            return []
        answered = sorted((self.acknowledged.get(member_id, 0) for member_id in self.view.ids), reverse=True)
        by_majority = answered[len(answered) // 2]
        if by_majority > self.confirmed_sequence:
            self.confirmed_sequence = by_majority
            self.confirmed_at = self.heartbeat_times.get(by_majority, self.confirmed_at)
        confirmed = [read for read, sequence in self.pending_reads.items() if sequence <= self.confirmed_sequence]
        for read in confirmed:
            del self.pending_reads[read]
        return [ReadConfirmed(read, self.committed_data) for read in confirmed]

    # -- calls ------------------------------------------------------------------
    def begin_write(self, write: int, revision: int, blob: bytes) -> list[Action] | None:
        """Starts a write; returns None before the view is active or while another write is in flight."""
        if not self.serving or self.write is not None:
            return None
        consensus = self.consensus
        consensus.replica.data = Data(self.view.epoch, consensus.data.number + 1, revision, blob)
        self.write, self.write_started_at = write, consensus.now
        return self._replicate_data()

    def begin_read(self, read: int) -> list[Action] | None:
        """Starts a confirmed read; returns None before the view is active."""
        if not self.serving:
            return None
        self.pending_reads[read] = self.heartbeat_sequence + 1
        return self._heartbeat(at_once=True)

    def abort_calls(self) -> list[Action]:
        """Returns the aborts of all pending calls, for when this member stops being primary."""
        writes = [] if self.write is None else [Aborted(self.write)]
        return [*writes, *(Aborted(read) for read in self.pending_reads)]
