"""Who wants to join, who is about to leave, who is suspected; and this member's own planned leave."""

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

# A suspicion lasts this many times longer than a learner that is silent.
SUSPICION_FACTOR = 4


@define(slots=True, eq=False)
class Learner:
    """A member without a vote that asked to join.

    Attributes
    ----------
    member
        The learner.
    initial
        It started together with the whole system (``Register.initial``).
    waiting_since
        When it first asked, on the monotonic clock.
    heard_at
        When it was last heard of.
    ready_epoch
        The epoch of the active view that it has on disk; 0 for none.
    """

    member: Member
    initial: bool
    waiting_since: timedelta
    heard_at: timedelta
    ready_epoch: int = 0


@define(slots=True, eq=False)
class Leaver:
    """A member that is about to shut down.

    Attributes
    ----------
    leaving_since
        When it first said so, on the monotonic clock.
    heard_at
        When it was last heard of.
    """

    leaving_since: timedelta
    heard_at: timedelta


@define(frozen=True, slots=True)
class Suspicion:
    """A member was found silent or slow.

    Attributes
    ----------
    suspected_at
        When, on the monotonic clock.
    slow_disk
        It answers, but its disk was too slow; messages from it don't clear this.
    """

    suspected_at: timedelta
    slow_disk: bool


@define(slots=True, eq=False)
class Membership:
    """What a member knows of others beside the active view, by their ids; in memory only.

    Attributes
    ----------
    learners
        Members that asked to join.
    leaving
        Members that are about to shut down.
    suspected
        Members that were silent or slow.

    >>> from .records import Member
    >>> known = Membership()
    >>> known.record_join(Member(4, "h", 1, "z", ""), False, timedelta(0)).ready_epoch = 7
    >>> [learner.member.id for learner in known.ready_learners(7)], known.ready_learners(8)
    ([4], [])
    """

    learners: dict[int, Learner] = field(factory=dict)
    leaving: dict[int, Leaver] = field(factory=dict)
    suspected: dict[int, Suspicion] = field(factory=dict)

    def record_suspicion(self, member_id: int, now: timedelta, slow_disk: bool = False) -> None:
        """A member was silent, or (``slow_disk``) heard but slow to put data on its disk."""
        earlier = self.suspected.get(member_id)
        # Silence must not hide an earlier finding about the disk, which only time clears.
        slow_disk = slow_disk or (earlier is not None and earlier.slow_disk)
        self.suspected[member_id] = Suspicion(now, slow_disk)

    def is_suspected(self, member_id: int, now: timedelta, timeout: timedelta) -> bool:
        """Whether a member was suspected less than ``timeout`` ago."""
        return member_id in self.suspected and now - self.suspected[member_id].suspected_at < timeout

    def record_heard(self, member_id: int) -> None:
        """A member answers: it is not silent any more; its disk may still be slow."""
        if member_id in self.suspected and not self.suspected[member_id].slow_disk:
            del self.suspected[member_id]

    def add_pause(self, pause: timedelta) -> None:
        """This process stood still for a while: messages that came meanwhile are yet to be read."""
        others: list[Learner | Leaver] = [*self.learners.values(), *self.leaving.values()]
        for other in others:
            other.heard_at += pause

    def expire(self, now: timedelta, timeout: timedelta) -> None:
        """Drops members not heard of for ``timeout``, and suspicions four times as old."""
        self.learners = {i: learner for i, learner in self.learners.items() if now - learner.heard_at < timeout}
        self.leaving = {i: leaver for i, leaver in self.leaving.items() if now - leaver.heard_at < timeout}
        oldest = timeout * SUSPICION_FACTOR
        self.suspected = {i: entry for i, entry in self.suspected.items() if now - entry.suspected_at < oldest}

    def record_join(self, member: Member, initial: bool, now: timedelta) -> Learner:
        """A member asks to join, perhaps again; it keeps its place among the waiting."""
        learner = self.learners.get(member.id)
        if learner is None:
            learner = self.learners[member.id] = Learner(member, initial, now, now)
        learner.member, learner.initial, learner.heard_at = member, initial, now
        return learner

    def record_leave(self, member_id: int, now: timedelta) -> None:
        """A member is about to shut down; it must get no seat any more."""
        leaver = self.leaving.setdefault(member_id, Leaver(now, now))
        leaver.heard_at = now
        self.learners.pop(member_id, None)

    def record_activation(self, member_id: int, epoch: int, now: timedelta) -> None:
        """A learner has the view of an epoch on disk."""
        if member_id in self.learners:
            learner = self.learners[member_id]
            learner.ready_epoch, learner.heard_at = epoch, now

    def ready_learners(self, epoch: int) -> list[ReadyLearner]:
        """The learners that have an epoch's view on disk, the longest waiting first."""
        ready = [learner for learner in self.learners.values() if learner.ready_epoch == epoch]
        ready.sort(key=lambda learner: learner.waiting_since)
        return [ReadyLearner(learner.member, learner.initial) for learner in ready]

    def drop_voters(self, ids: Container[int]) -> None:
        """Voters of an elected view are learners no more."""
        self.learners = {i: learner for i, learner in self.learners.items() if i not in ids}


@define(slots=True, eq=False)
class PlannedLeave:
    """This member's own graceful shutdown: its copy and its vote are moved before it ends.

    A primary hands over to a holder that stays; then the next primary is asked
    again and again until neither data nor majorities depend on this member.
    Silence of the others is no reason to end; the service bounds the wait.

    Attributes
    ----------
    consensus
        This member.
    released
        The leave is complete.
    sent_at
        When the primary was last asked, on the monotonic clock.
    """

    consensus: ConsensusMember
    released: bool = False
    sent_at: timedelta = NEVER

    def step(self) -> list[Action]:
        """The actions that are due; called at each tick."""
        consensus = self.consensus
        if self.released or consensus.now - self.sent_at < consensus.timing.resend_interval:
            return []
        if consensus.leadership:
            return self._step_as_primary(consensus.leadership)
        if consensus.view is None:
            # A founder may be counted by a view that it has not marked yet.
            return [] if consensus.founder else self.release()
        primary = consensus.primary()
        if consensus.election or primary is None or primary.id == consensus.member.id:
            return []
        self.sent_at = consensus.now
        return [Send(primary, Leave(consensus.member))]

    def _step_as_primary(self, leadership: Leadership) -> list[Action]:
        """Hands over once a backup that stays is near; a write under way is finished first, or it would be aborted."""
        consensus = self.consensus
        if not leadership.serving:
            return []
        staying = set(leadership.view.ids) - consensus.leaving_members()
        if not staying:
            return self.release()
        timeout = consensus.timing.election_timeout
        near = any(i in staying and not leadership.is_silent(i, timeout) for i in leadership.view.backups)
        if not near or leadership.write is not None:
            return []
        return consensus.transfer_leadership(consensus.now, leaving=True)

    def release(self) -> list[Action]:
        """This member may shut down."""
        self.released = True
        return [LeaveCompleted()]
