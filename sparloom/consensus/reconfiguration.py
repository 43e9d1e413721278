"""Who wants in, who is about to end, and whose disk or silence is suspected; and a planned leave."""

from datetime import timedelta

from attrs import define, field

from .actions import NEVER, LeaveCompleted, Send
from .records import Leave


@define(slots=True, eq=False)
class Learner:
    """A member that asked to be taken in; ``ready_epoch``: whose view it has on disk."""

    member: object
    initial: bool
    waiting_since: timedelta
    heard_at: timedelta
    ready_epoch: int = 0


@define(slots=True, eq=False)
class Leaver:
    """A member that is about to end: since when, and when it was last heard of."""

    leaving_since: timedelta
    heard_at: timedelta


@define(frozen=True, slots=True)
class Suspicion:
    """When a member was found silent, or (``slow_disk``) slow to save."""

    suspected_at: timedelta
    slow_disk: bool


@define(slots=True, eq=False)
class Membership:
    """What a member knows of others beside the active view.

    >>> from .records import Member
    >>> known = Membership()
    >>> known.record_join(Member(4, "h", 1, "z", ""), False, timedelta(0)).ready_epoch = 7
    >>> [member.id for member, initial in known.ready_learners(7)], known.ready_learners(8)
    ([4], [])
    """

    learners: dict = field(factory=dict)
    leaving: dict = field(factory=dict)
    suspected: dict = field(factory=dict)

    def record_suspicion(self, member_id, now, slow_disk=False):
        """A member was silent, or (``slow_disk``) heard but slow to put data on its disk."""
        slow_disk = slow_disk or member_id in self.suspected and self.suspected[member_id].slow_disk
        self.suspected[member_id] = Suspicion(now, slow_disk)

    def is_suspected(self, member_id, now, span):
        """Whether a member was suspected within a span."""
        return member_id in self.suspected and now - self.suspected[member_id].suspected_at < span

    def record_heard(self, member_id):
        """A member answers: it is not silent any more; its disk may still be slow."""
        if member_id in self.suspected and not self.suspected[member_id].slow_disk:
            del self.suspected[member_id]

    def add_pause(self, paused):
        """This process stood still for a while: nobody was silent meanwhile."""
        for known in (*self.learners.values(), *self.leaving.values()):
            known.heard_at += paused

    def expire(self, now, span):
        """Drops what was not heard of for a span, and suspicions of four spans."""
        self.learners = {i: learner for i, learner in self.learners.items() if now - learner.heard_at < span}
        self.leaving = {i: leaver for i, leaver in self.leaving.items() if now - leaver.heard_at < span}
        self.suspected = {
            i: suspicion for i, suspicion in self.suspected.items() if now - suspicion.suspected_at < span * 4
        }

    def record_join(self, member, initial, now):
        """A member asks to be taken in, perhaps again."""
        learner = self.learners.get(member.id)
        if learner is None:
            learner = self.learners[member.id] = Learner(member, initial, now, now)
        learner.member, learner.initial, learner.heard_at = member, initial, now
        return learner

    def record_leave(self, member_id, now):
        """A member is about to end; it takes no seat any more."""
        leaver = self.leaving.setdefault(member_id, Leaver(now, now))
        leaver.heard_at = now
        self.learners.pop(member_id, None)

    def record_activation(self, member_id, epoch, now):
        """A learner has the view of an epoch on disk."""
        if member_id in self.learners:
            learner = self.learners[member_id]
            learner.ready_epoch, learner.heard_at = epoch, now

    def ready_learners(self, epoch):
        """(member, initial) of the learners that hold an epoch's view, the longest waiting first."""
        learners = sorted((x for x in self.learners.values() if x.ready_epoch == epoch), key=lambda x: x.waiting_since)
        return [(learner.member, learner.initial) for learner in learners]

    def drop_voters(self, ids):
        """Those that an elected view counts are learners no more."""
        self.learners = {i: learner for i, learner in self.learners.items() if i not in ids}


@define(slots=True, eq=False)
class PlannedLeave:
    """This member's own leave: its copy and its vote are moved before it ends.

    A primary hands over to a holder that stays; then the next primary is asked
    again and again until nothing rests on this member any more. Silence of the
    others is no reason to end: the service bounds the wait.
    """

    consensus: object
    released: bool = False
    sent_at: timedelta = NEVER

    def step(self):
        """What is due."""
        consensus = self.consensus
        if self.released or consensus.now - self.sent_at < consensus.timing.resend_interval:
            return []
        if consensus.leadership:
            return self._as_primary()
        if consensus.view is None:
            # A founder may be counted by a view that it has not marked yet.
            return [] if consensus.founder else self.release()
        primary = consensus.primary()
        if consensus.election or primary is None or primary.id == consensus.member.id:
            return []
        self.sent_at = consensus.now
        return [Send(primary, Leave(consensus.member))]

    def _as_primary(self):
        consensus, leadership = self.consensus, self.consensus.leadership
        if not leadership.serving:
            return []
        staying = set(leadership.view.ids) - consensus.leaving_members()
        if not staying:
            return self.release()
        backups = [i for i in leadership.view.backups if i in staying]
        near = [i for i in backups if not leadership.late(i, consensus.timing.election_timeout)]
        if not near or leadership.write is not None:
            return []
        return consensus.transfer_leadership(consensus.now, leaving=True)

    def release(self):
        """This member may end."""
        self.released = True
        return [LeaveCompleted()]
