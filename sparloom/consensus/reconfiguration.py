"""Membership outside the active view.

``Membership`` tracks learners, leaving members and suspected members;
``PlannedLeave`` is the graceful shutdown of this member.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .actions import NEVER, LeaveCompleted, Send
from .records import Leave
from .views import ReadyLearner

if TYPE_CHECKING:
    from collections.abc import Container

    from .actions import Action
    from .leadership import Leadership
    from .member import ConsensusMember
    from .records import Member

# Multiple of the timeout for unresponsive learners after which a suspicion expires.
SUSPICION_TIMEOUT_FACTOR = 4


@define(slots=True, eq=False)
class Learner:
    """A member without a vote that has asked to join.

    Attributes
    ----------
    member
        The learner.
    initial
        Whether it took part in the first start of the system (``Register.initial``).
    waiting_since
        Time of its first request, on the monotonic clock.
    last_contact_at
        Time of its last message.
    ready_epoch
        The epoch of the active view that it has on disk; 0 for none.
    """

    member: Member
    initial: bool
    waiting_since: timedelta
    last_contact_at: timedelta
    ready_epoch: int = 0


@define(slots=True, eq=False)
class LeavingMember:
    """A member that is about to shut down.

    Attributes
    ----------
    leaving_since
        Time of its first announcement, on the monotonic clock.
    last_contact_at
        Time of its last message.
    """

    leaving_since: timedelta
    last_contact_at: timedelta


@define(frozen=True, slots=True)
class Suspicion:
    """A finding that a member is unresponsive or slow.

    Attributes
    ----------
    suspected_at
        Time of the finding, on the monotonic clock.
    slow_disk
        The member answers, but its disk is too slow; its messages don't clear this.
    """

    suspected_at: timedelta
    slow_disk: bool


@define(slots=True, eq=False)
class Membership:
    """What a member knows about others beyond the active view, by member id; in memory only.

    Attributes
    ----------
    learners
        Members that have asked to join.
    leaving
        Members that are about to shut down.
    suspected
        Members that were found unresponsive or slow.

    >>> from .records import Member
    >>> known = Membership()
    >>> known.record_join(Member(4, "h", 1, "z", ""), False, timedelta(0)).ready_epoch = 7
    >>> [learner.member.id for learner in known.ready_learners(7)], known.ready_learners(8)
    ([4], [])
    """

    learners: dict[int, Learner] = field(factory=dict)
    leaving: dict[int, LeavingMember] = field(factory=dict)
    suspected: dict[int, Suspicion] = field(factory=dict)

    def record_suspicion(self, member_id: int, now: timedelta, slow_disk: bool = False) -> None:
        """Records that a member is unresponsive or, with ``slow_disk``, responsive but slow to save data."""
        earlier = self.suspected.get(member_id)
        # An unresponsive member keeps an earlier slow-disk finding, which only expires.
        slow_disk = slow_disk or (earlier is not None and earlier.slow_disk)
        self.suspected[member_id] = Suspicion(now, slow_disk)

    def is_suspected(self, member_id: int, now: timedelta, timeout: timedelta) -> bool:
        """Returns whether a member was suspected less than ``timeout`` ago."""
        return member_id in self.suspected and now - self.suspected[member_id].suspected_at < timeout

    def record_response(self, member_id: int) -> None:
        """Clears the suspicion of a member that answers, unless its disk is slow."""
        if member_id in self.suspected and not self.suspected[member_id].slow_disk:
            del self.suspected[member_id]

    def exclude_pause(self, pause: timedelta) -> None:
        """Excludes a pause of this process from all timeouts: messages from that time are still unread."""
        others: list[Learner | LeavingMember] = [*self.learners.values(), *self.leaving.values()]
        for other in others:
            other.last_contact_at += pause

    def expire(self, now: timedelta, timeout: timedelta) -> None:
        """Drops members without a message for ``timeout``, and suspicions older than four times that."""
        self.learners = {i: learner for i, learner in self.learners.items() if now - learner.last_contact_at < timeout}
        self.leaving = {i: leaver for i, leaver in self.leaving.items() if now - leaver.last_contact_at < timeout}
        oldest = timeout * SUSPICION_TIMEOUT_FACTOR
        self.suspected = {i: entry for i, entry in self.suspected.items() if now - entry.suspected_at < oldest}

    def record_join(self, member: Member, initial: bool, now: timedelta) -> Learner:
        """Records a first or repeated request to join; a repeated one keeps its place in the queue."""
        learner = self.learners.get(member.id)
        if learner is None:
            learner = self.learners[member.id] = Learner(member, initial, now, now)
        learner.member, learner.initial, learner.last_contact_at = member, initial, now
        return learner

    def record_leave(self, member_id: int, now: timedelta) -> None:
        """Records that a member is about to shut down; it must not get a seat any more."""
        leaver = self.leaving.setdefault(member_id, LeavingMember(now, now))
        leaver.last_contact_at = now
        self.learners.pop(member_id, None)

    def record_activation(self, member_id: int, epoch: int, now: timedelta) -> None:
        """Records that a learner has the view of an epoch on disk."""
        if member_id in self.learners:
            learner = self.learners[member_id]
            learner.ready_epoch, learner.last_contact_at = epoch, now

    def ready_learners(self, epoch: int) -> list[ReadyLearner]:
        """Returns the learners that have an epoch's view on disk, the longest waiting first."""
        ready = [learner for learner in self.learners.values() if learner.ready_epoch == epoch]
        ready.sort(key=lambda learner: learner.waiting_since)
        return [ReadyLearner(learner.member, learner.initial) for learner in ready]

    def drop_voters(self, ids: Container[int]) -> None:
        """Removes the voters of an elected view from the learners."""
        self.learners = {i: learner for i, learner in self.learners.items() if i not in ids}


@define(slots=True, eq=False)
class PlannedLeave:
    """Graceful shutdown of this member: its copy and its vote are moved first.

    A primary transfers leadership to a holder that stays. The member then asks
    the current primary repeatedly until neither the data nor a majority depends
    on it. Missing answers don't complete the leave; the service bounds the wait.

    Attributes
    ----------
    consensus
        This member.
    released
        Whether the leave is complete.
    sent_at
        Time of the last request to the primary, on the monotonic clock.
    """

    consensus: ConsensusMember
    released: bool = False
    sent_at: timedelta = NEVER

    def step(self) -> list[Action]:
        """Returns the due actions; called at each tick."""
        consensus = self.consensus
        if self.released or consensus.now - self.sent_at < consensus.timing.resend_interval:
            return []
        if consensus.leadership:
            return self._step_as_primary(consensus.leadership)
        if consensus.view is None:
            # A founder may already be a voter of a view that it has not marked active yet.
            return [] if consensus.founder else self.release()
        primary = consensus.primary()
        if consensus.election or primary is None or primary.id == consensus.member.id:
            return []
        self.sent_at = consensus.now
        return [Send(primary, Leave(consensus.member))]

    def _step_as_primary(self, leadership: Leadership) -> list[Action]:
        """Transfers leadership once a staying backup is reachable and no write is in flight, as it would be aborted."""
        consensus = self.consensus
        if not leadership.serving:
            return []
        staying = set(leadership.view.ids) - consensus.leaving_members()
        if not staying:
            return self.release()
        timeout = consensus.timing.election_timeout
        reachable = any(i in staying and not leadership.is_unresponsive(i, timeout) for i in leadership.view.backups)
        if not reachable or leadership.write is not None:
            return []
        return consensus.transfer_leadership(consensus.now, leaving=True)

    def release(self) -> list[Action]:
        """Marks the leave as complete, so that this member may shut down."""
        self.released = True
        return [LeaveCompleted()]
